#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>

/// @file
/// Ejection of slow and failing backend servers, never too many at once, and the way back in.

namespace topaztack {

/// @brief What an attempt or a probe showed of a backend server.
enum class HealthSignal : std::uint8_t {
    Answered,
    /// Connection refused or reset before anything was written.
    Unreachable,
    /// It broke off or timed out.
    Failed,
};

/// @brief The health of one backend server as one VM sees it.
struct ServerHealth {
    std::uint32_t failuresInRow { 0 };
    std::uint32_t ejections { 0 };
    std::uint32_t answers { 0 };
    double meanSeconds { 0 };
    bool isEjected { false };
    /// After this it is probed with one request at a time.
    TimePoint ejectedUntil;
    /// It said, or a list says, that it is leaving.
    TimePoint leavingUntil;
};

/// @brief What ejection knows of the pool.
struct PoolHealth {
    std::uint32_t servers { 0 };
    std::uint32_t ejected { 0 };
    /// Mean time of an answer over the pool; zero if not known.
    double meanSeconds { 0 };
};

/// Time for which a sign of leaving holds unless it is renewed.
inline constexpr std::chrono::seconds leavingTimeout { 10 };

/// @brief Ejected backend servers of a pool at most: a third, or one of two or three.
std::uint32_t maxEjected(std::uint32_t servers);

/// @brief Takes one sign in; ejects or takes back the backend server by the rule.
void recordHealthSignal(ServerHealth& health, PoolHealth& pool, HealthSignal sign, std::chrono::microseconds took,
    TimePoint now, Random& random);

/// @brief Notes a sign that the backend server is leaving.
void markLeaving(ServerHealth& health, TimePoint now);

/// @brief Requests that it may have in flight by its health: none, one for a probe, or `allowance`.
std::uint32_t limitByHealth(const ServerHealth& health, std::uint32_t allowance, TimePoint now);

} // namespace topaztack
