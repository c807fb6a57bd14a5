#pragma once

#include <topaztack/policy/class_queue.hpp>
#include <topaztack/policy/routing.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// @file
/// Admission control of one pool in one VM: a request gets a slot, waits in the queue, or is refused with the time
/// after which to retry.

namespace topaztack {

/// @brief A request for a slot.
struct AdmissionRequest {
    QueuedRequest request;
    /// Hashes of the prompt's blocks.
    std::vector<std::uint64_t> blocks;
    /// Backend servers to avoid.
    std::vector<BackendName> avoid;
    /// Whether avoided backend servers may be used if no other is free.
    bool mayUseAvoided { false };
    WeightVersion oldestVersion;
    /// Whether the backend server's weight version matters.
    bool isRollout { false };
};

/// @brief The decision on a request at its arrival.
enum class AdmissionKind : std::uint8_t {
    Granted,
    Queued,
    /// No backend server of the pool is eligible.
    NoServer,
    /// The request would not be completed before its deadline.
    TooLate,
    QueueFull,
};

/// @brief A decision with its details.
struct Admission {
    AdmissionKind kind { AdmissionKind::NoServer };
    ServerIndex server { 0 };
    /// Time after which to retry, if refused; if `displaced` is set, the time after which that request is to retry.
    std::chrono::milliseconds retryAfter { 0 };
    /// A waiting request of a less urgent class that was removed from the full queue to make room; it must be refused.
    std::optional<std::uint64_t> displaced;
};

/// @brief How a queued request stopped waiting: it got a slot, or it can no longer meet its deadline.
struct WaitResult {
    std::uint64_t id { 0 };
    /// Nothing if the deadline can no longer be met.
    std::optional<ServerIndex> server;
};

/// @brief The result of a finished attempt.
struct AttemptReport {
    /// Nothing if the attempt tells nothing about the health of the backend server.
    std::optional<HealthSignal> healthSignal;
    std::chrono::microseconds took { 0 };
};

/// @brief The scheduler of one pool.
struct PoolScheduler {
    RoutingTable table;
    /// Indexes in `table.servers`.
    std::unordered_map<BackendName, ServerIndex> indexes;
    RequestQueue queue;
    std::unordered_map<std::uint64_t, AdmissionRequest> waiting;
    std::uint64_t queueLimit { 1000 };
    /// Slots of this VM at all backend servers together, without borrowed ones.
    std::uint32_t capacity { 0 };
    /// Borrowed slots at all backend servers together.
    std::uint32_t borrowed { 0 };
    /// Requests in flight of all classes but Booking.
    std::uint32_t backgroundInFlight { 0 };
    TimePoint lastBookingAt;
};

/// Slots are reserved for bookings for this long after the last one.
inline constexpr std::chrono::seconds bookingReservationTime { 60 };

/// @brief Replaces the backend servers. Those already known keep their counts, load reports and health.
void replaceServers(PoolScheduler& pool, std::vector<ServerState> servers, std::uint64_t limit);

/// @brief Handles a load report of a backend server; slots are borrowed or returned accordingly. None is borrowed while
/// slots are reserved for bookings: they would wait behind rollouts in the queue of an overloaded backend server.
void onLoadReport(PoolScheduler& pool, const BackendName& server, const LoadReport& report);

/// @brief The number of slots reserved for bookings: an eighth, at least one, for `bookingReservationTime` after each
/// booking; zero if the pool has fewer than two slots.
std::uint32_t reservedSlots(const PoolScheduler& pool, TimePoint now);

/// @brief The rate at which the pool's slots serve requests, per second; zero while not known.
double drainRate(const PoolScheduler& pool);

/// @brief Decides on a request at its arrival.
Admission admit(PoolScheduler& pool, AdmissionRequest incoming, TimePoint now, Random& random);

/// @brief Releases the slot of a finished attempt.
void release(PoolScheduler& pool, const BackendName& server, RequestClass requestClass, const AttemptReport& report,
    TimePoint now, Random& random);

/// @brief Gives free slots to waiting requests and drops those that can no longer meet their deadline. Call it after
/// each release and periodically.
std::vector<WaitResult> dispatchWaiting(PoolScheduler& pool, TimePoint now, Random& random);

/// @brief Removes a waiting request.
/// @return false if it is not waiting.
bool cancelWaiting(PoolScheduler& pool, std::uint64_t id);

} // namespace topaztack
