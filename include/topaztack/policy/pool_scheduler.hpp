#pragma once

#include <topaztack/policy/class_queue.hpp>
#include <topaztack/policy/routing.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// @file
/// One pool in one VM: who gets a slot, who waits, who is refused and when to come back.

namespace topaztack {

/// @brief A request for a slot.
struct AdmissionRequest {
    QueuedRequest request;
    std::vector<std::uint64_t> blocks;
    std::vector<BackendName> avoid;
    /// Whether to use avoided backend servers when there is no other.
    bool mayUseAvoided { false };
    WeightVersion oldestVersion;
    /// Whether the backend server's weight version matters.
    bool isRollout { false };
};

enum class AdmissionKind : std::uint8_t {
    Granted,
    Queued,
    /// No backend server of the pool may take it.
    NoServer,
    /// It would not be served before its deadline.
    TooLate,
    QueueFull,
};

struct Admission {
    AdmissionKind kind { AdmissionKind::NoServer };
    ServerIndex server { 0 };
    /// When asking again is worth while, for the refused.
    std::chrono::milliseconds retryAfter { 0 };
    /// A waiting request of a less urgent class that had to give way: it is refused now.
    std::optional<std::uint64_t> displaced;
};

/// @brief A waiting request that is settled: it gets a slot, or its deadline is over.
struct WaitResult {
    std::uint64_t id { 0 };
    std::optional<ServerIndex> server;
};

/// @brief What a finished attempt showed.
struct AttemptReport {
    std::optional<HealthSignal> healthSignal;
    std::chrono::microseconds took { 0 };
};

struct PoolScheduler {
    RoutingTable table;
    std::unordered_map<BackendName, ServerIndex> indexes;
    RequestQueue queue;
    std::unordered_map<std::uint64_t, AdmissionRequest> waiting;
    std::uint64_t queueLimit { 1000 };
    /// Slots of this VM at all backend servers together, borrowed ones apart.
    std::uint32_t capacity { 0 };
    /// Slots used beyond those.
    std::uint32_t borrowed { 0 };
    /// In flight of all classes but Booking.
    std::uint32_t background { 0 };
    TimePoint lastBookingAt;
};

/// Time after a booking for which slots are kept free for the next one.
inline constexpr std::chrono::seconds bookingReservationTime { 60 };

/// @brief Puts a new table of backend servers in place; known ones keep their counts, reports and health.
void replaceServers(PoolScheduler& pool, std::vector<ServerState> servers, std::uint64_t limit);

/// @brief Takes a backend server's report of its load; slots are borrowed or given back by it. While bookings come
/// none is borrowed, since a backend server that queues makes them wait behind rollouts.
void onLoadReport(PoolScheduler& pool, const BackendName& server, const LoadReport& report);

/// @brief Slots that only bookings may take: an eighth while bookings come.
std::uint32_t reservedSlots(const PoolScheduler& pool, TimePoint now);

/// @brief Requests a second that the pool's slots serve; zero while not known.
double drainRate(const PoolScheduler& pool);

/// @brief Decides on a request at its arrival.
Admission admit(PoolScheduler& pool, AdmissionRequest ask, TimePoint now, Random& random);

/// @brief Gives a slot back.
void release(PoolScheduler& pool, const BackendName& server, RequestClass requestClass, const AttemptReport& report,
    TimePoint now, Random& random);

/// @brief Settles waiting requests as far as slots allow; to be called after each release and now and then.
std::vector<WaitResult> dispatchWaiting(PoolScheduler& pool, TimePoint now, Random& random);

/// @brief Takes a waiting request out.
/// @return false if it does not wait any more.
bool cancelWaiting(PoolScheduler& pool, std::uint64_t id);

} // namespace topaztack
