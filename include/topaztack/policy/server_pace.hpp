#pragma once

#include <topaztack/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

/// @file
/// The concurrency window that one VM has at a backend server which started or recovered. It grows while answers arrive
/// as expected and shrinks when they are late, fail or say "full". Pure functions without I/O.

namespace topaztack {

/// @brief What a pace begins with.
struct PaceStart {
    /// Requests that the server runs at once, from all VMs together.
    std::uint64_t slots { 1 };
    /// The most requests that this VM has at a server whose pace is not limited: slots and queue allowance.
    std::uint32_t limit { 1 };
    /// VMs that may send to the server, this one included.
    std::size_t vms { 1 };
    /// This VM's place in the order in which the VMs begin, in [0, 1); see paceRank().
    double rank { 0 };
    /// Usual time of a request at the pool's servers; 0 if not known.
    Duration expected { 0 };
    /// Whether the server starts for all VMs now, so that they take turns; false if only this VM doesn't know it.
    bool isSharedStart { true };
};

enum class PacePhase : std::uint8_t {
    /// The pace limits nothing.
    Unlimited,
    /// The window doubles with each round of good answers.
    SlowStart,
    /// The window follows the ratio of expected to observed time.
    Gradient,
};

/// @brief What a function changed, for log lines and metrics.
enum class PaceChange : std::uint8_t { None, Halved, Lifted };

/// @brief The pace of one VM at one server. A VM that starts has no pace for a server until begin().
struct ServerPace {
    PacePhase phase { PacePhase::Unlimited };
    /// Requests that this VM may have at the server at once. Below 1, the part of the time in which it may have one.
    double window { 0 };
    std::uint32_t limit { 1 };
    /// The initial window, which the window returns to after a failure.
    double share { 1 };
    /// This VM sends nothing before, unless no other server has room.
    TimePoint entersAt;
    TimePoint lastSentAt;
    /// Whether the last request was sent about as soon as a window below 1 allowed.
    bool isHeldBack { false };
    TimePoint lastDecreaseAt;
    /// When an answer was last late, or said "full", or failed.
    TimePoint lastBadAt;
    /// When the window last doubled because nothing was bad for a while.
    TimePoint lastRelaxedAt;
    /// Factor of the time until the next request of a window below 1, and what it is derived from.
    double jitter { 1 };
    std::uint64_t seed { 0 };
    /// Usual time of a request at the pool's servers, as last passed.
    Duration expected { 0 };
    /// The time that the last answer took.
    Duration lastTook { 0 };
    /// Good answers in the current round of slow start.
    double goodInRound { 0 };
    /// Late answers in a row while nothing is limited.
    std::uint32_t consecutiveLate { 0 };
    std::uint32_t consecutiveFailures { 0 };
    /// The window before the first failure in a row.
    double windowBeforeFailures { 0 };
    /// Until then a server that failed gets nothing, unless no other server has room.
    TimePoint failingUntil;
    /// Requests that went to another server since the last failure.
    std::uint32_t passedOver { 0 };
};

/// @brief A VM's place in the order in which the VMs begin at a server: the same at each VM that computes it, and
/// another one for each start of each server.
/// @param serverStart names the server and its start.
double paceRank(std::string_view serverStart, std::string_view vm);

/// @brief Begins a pace: the server started, or recovered from failures, a crash or silence. The VMs enter one after
/// another, as many at once as there are slots, then at a rate that takes half of the server's capacity.
void begin(ServerPace& pace, const PaceStart& start, TimePoint now);

/// @brief Records that a request is sent.
void recordSend(ServerPace& pace, TimePoint now);

/// @brief Records an answer that reports no failure.
/// @param took from sending to the answer.
/// @param expected the usual time for that kind of work at the pool's servers; 0 if not known.
/// @param concurrencyAtSend this VM's requests at the server when the request was sent, itself included.
PaceChange recordAnswer(
    ServerPace& pace, TimePoint now, Duration took, Duration expected, std::uint32_t concurrencyAtSend);

/// @brief Records that the server was full.
PaceChange recordRefusal(ServerPace& pace, TimePoint now, std::uint32_t concurrencyAtSend);

/// @brief Records a failure, however fast it was reported.
PaceChange recordFailure(ServerPace& pace, TimePoint now);

/// @brief Records that a request went to another server though this one had a free slot.
void recordPassedOver(ServerPace& pace);

/// @brief Requests that this VM may have at the server now; 0 while it may send none, unless no other server has room.
double window(const ServerPace& pace, TimePoint now);

/// @brief Whether the window lets one more request through.
/// @param outstanding this VM's requests at the server.
bool maySend(const ServerPace& pace, std::uint32_t outstanding, TimePoint now);

/// @brief Whether the window holds a request back since the server was late or full, so that a request which can wait
/// should not be sent even if no other server has room. A server that fails or has just started doesn't count: it is
/// probed by requests that find no other.
bool isHeldByOverload(const ServerPace& pace, std::uint32_t outstanding, TimePoint now);

/// @brief When the window lets a request through that it holds back now, if no answer arrives before; `now` if that
/// depends on answers alone.
TimePoint nextSendAt(const ServerPace& pace, std::uint32_t outstanding, TimePoint now);

/// @brief How much the window holds a request back: 0 if it doesn't, otherwise in (0, 1], less for more room. Orders
/// the servers when all of them are held back.
double shortfall(const ServerPace& pace, std::uint32_t outstanding, TimePoint now);

} // namespace topaztack
