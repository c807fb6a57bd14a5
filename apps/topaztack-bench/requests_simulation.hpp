#pragma once

#include <topaztack/policy/pool_scheduler.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// @file
/// A small discrete-event run of the request path's decisions: several VMs before backend servers that serve in order
/// of arrival. No sockets, no threads; the same seed gives the same run.

namespace topaztack::bench {

/// @brief How VMs share a backend server's slots.
enum class SharingRule : std::uint8_t {
    /// Equal shares, and what a fresh report shows unused.
    EqualAndLent,
    /// Equal shares only.
    Equal,
    /// Each VM uses the whole limit.
    WholeLimit,
    /// No limit at all: backend servers queue.
    None,
};

/// @brief What VMs know of the backend servers' prefix caches.
enum class PrefixKnowledge : std::uint8_t {
    /// Own sends, and events that come late and with gaps.
    LateEvents,
    /// Every change at once: what no VM can have.
    Oracle,
};

struct SimulationOptions {
    std::size_t vms { 11 };
    std::size_t servers { 12 };
    std::uint32_t slots { 8 };
    std::uint64_t queueLimit { 1000 };
    RoutingRule rule { RoutingRule::LowestCost };
    SharingRule sharing { SharingRule::EqualAndLent };
    PrefixKnowledge knowledge { PrefixKnowledge::LateEvents };
    /// Share of all arrivals that come to the first VM; the others share the rest.
    double firstVmShare { 0 };
    double bookingsPerSecond { 0 };
    double rolloutsPerSecond { 0 };
    std::chrono::microseconds bookingTime { std::chrono::milliseconds(20) };
    std::chrono::microseconds rolloutTime { std::chrono::milliseconds(400) };
    std::chrono::microseconds deadline { std::chrono::seconds(5) };
    /// Prompts share prefixes: so many families, each with blocks of its own. 0 for none.
    std::uint64_t prefixFamilies { 0 };
    std::size_t blocksOfPrefix { 16 };
    /// Blocks that one backend server caches.
    std::size_t cachedBlocks { 256 };
    std::chrono::seconds duration { 60 };
    std::uint64_t seed { 1 };
};

struct SimulationResult {
    std::vector<double> bookingSeconds;
    std::uint64_t bookings { 0 };
    std::uint64_t bookingsInTime { 0 };
    std::uint64_t rollouts { 0 };
    std::uint64_t rolloutsInTime { 0 };
    std::uint64_t refused { 0 };
    /// Served, but after their deadline.
    std::uint64_t late { 0 };
    std::uint64_t blocksAsked { 0 };
    std::uint64_t blocksHit { 0 };
    /// Most requests that a backend server had at once.
    std::size_t mostAtServer { 0 };
    double measuredSeconds { 0 };
};

/// @brief Runs the model; the first sixth of the time is not counted.
SimulationResult simulate(const SimulationOptions& options);

/// @brief The quantile of a set of times; zero if it is empty.
double quantileOf(std::vector<double> values, double fraction);

} // namespace topaztack::bench
