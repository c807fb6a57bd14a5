#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>

/// @file
/// Outlier ejection: slow or failing backend servers get no requests for a while, never too many of a pool at once.
/// They are readmitted after a successful probe.

namespace topaztack {

/// @brief The result of an attempt or a probe, as evidence of a backend server's health.
enum class HealthSignal : std::uint8_t {
    Answered,
    /// Connection refused or reset before anything was written.
    Unreachable,
    /// The response broke off or timed out.
    Failed,
};

/// @brief The health of one backend server as one VM observes it.
struct ServerHealth {
    std::uint32_t consecutiveFailures { 0 };
    /// Ejections since it was last healthy; each doubles the time of the next.
    std::uint32_t ejections { 0 };
    /// Responses since the last ejection, counted up to those needed to judge its speed.
    std::uint32_t responses { 0 };
    /// Moving average of the response time.
    double meanSeconds { 0 };
    bool isEjected { false };
    /// From then on it is probed with one request at a time.
    TimePoint ejectedUntil;
    /// Until then it gets no requests: it announced, or a list of servers says, that it is shutting down.
    TimePoint leavingUntil;
};

/// @brief The state of the whole pool that ejection depends on.
struct PoolHealth {
    std::uint32_t servers { 0 };
    std::uint32_t ejected { 0 };
    /// Moving average of the response time over the pool; zero if not known.
    double meanSeconds { 0 };
};

/// A server counts as leaving for this long after it last announced it.
inline constexpr std::chrono::seconds leavingTimeout { 10 };

/// @brief The most backend servers of a pool that may be ejected at once: a third, at least one, but none of a single
/// server.
std::uint32_t maxEjected(std::uint32_t servers);

/// @brief Records the result of an attempt; ejects the backend server if it fails or is slow, readmits it after a
/// successful probe.
/// @param took time of the attempt, used if it was answered.
void recordHealthSignal(ServerHealth& health, PoolHealth& pool, HealthSignal signal, std::chrono::microseconds took,
    TimePoint now, Random& random);

/// @brief Records that the backend server announced its shutdown.
void markLeaving(ServerHealth& health, TimePoint now);

/// @brief The requests that a backend server may have in flight: `allowance` if healthy, one if due for a probe, none
/// if ejected or leaving.
std::uint32_t limitByHealth(const ServerHealth& health, std::uint32_t allowance, TimePoint now);

} // namespace topaztack
