#pragma once

#include <topaztack/base/time.hpp>

#include <cstdint>
#include <optional>

/// @file
/// How many requests of a workspace one of many VMs has at a pool's servers at once while these say that they are full.
/// Pure functions without I/O.

namespace topaztack {

/// @brief The limit of one workspace's requests to a pool at one VM. Off until a server says that it is full, and again
/// some time after the last sign that servers are short of room.
struct SendLimit {
    /// Requests at once. Below 1: one at a time, with pauses in which the others' requests are served.
    double limit { 0 };
    std::uint32_t inFlight { 0 };
    TimePoint lastSentAt;
    /// When an answer last changed the limit.
    TimePoint adjustedAt;
    std::optional<TimePoint> halvedAt;
    /// When a server last was full, or answered late though it can answer early.
    std::optional<TimePoint> congestedAt;
    /// The shortest time of a request at a server, raised slowly.
    double shortestSeconds { 0 };
};

/// @brief How a request at a server of the pool ended.
enum class SendOutcome : std::uint8_t {
    Answered,
    Full,
    /// Shows neither that there is room nor that there is none.
    Other,
};

/// @brief A request that ended.
struct SendResult {
    SendOutcome outcome { SendOutcome::Other };
    /// Time at the server, if answered.
    Duration took {};
    /// Latency objective of the request's route.
    Duration latencyObjective {};
    /// Whether requests of the workspace wait or were refused since the last result.
    bool isUsedUp { false };
    /// The part of the workspace's requests that this VM gets.
    double weight { 1 };
};

/// @brief Whether the limit is in force.
bool isLimited(const SendLimit& limit, TimePoint now);

/// @brief Whether the limit has no effect any more and nothing is in flight.
bool isIdle(const SendLimit& limit, TimePoint now);

/// @brief When the next request may be sent, as far as the limit goes.
/// @param serviceTime expected time of a request at a server.
/// @return TimePoint::max() if only the end of another request makes room.
TimePoint nextSendAt(const SendLimit& limit, Duration serviceTime, TimePoint now);

void recordSend(SendLimit& limit, TimePoint now);

/// @brief Adjusts the limit of a workspace that asks for more than its share of a pool that lacks room, and keeps it in
/// force.
/// @param ratio its share by what it has.
void adjustToShare(SendLimit& limit, double ratio, TimePoint now);

/// @brief Lifts the limit of a workspace that asks for less than its share, until a server is full again.
void lift(SendLimit& limit);

/// @brief Ends a request that recordSend() counted.
void recordSendResult(SendLimit& limit, const SendResult& result, TimePoint now);

} // namespace topaztack
