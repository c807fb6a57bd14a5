#pragma once

#include <topaztack/base/time.hpp>

#include <cstddef>

/// @file
/// How many loads of weights run at once, where the store of weights serves a few at full speed and slows all of them
/// down beyond that. How many it serves is learned from how long loads take. Pure.

namespace topaztack {

/// @brief What has been learned of a store of weights.
struct LoadConcurrency {
    /// Loads that may run at once.
    std::size_t maxConcurrentLoads { 2 };
    /// It never falls below this.
    std::size_t minConcurrentLoads { 2 };
    /// How long a load takes that nothing slows down. Until it was measured, that of the engines seen so far.
    Duration baselineLoadTime { std::chrono::seconds(1) };
    bool isBaselineMeasured { false };
    /// Grows by one with each change of the limit: loads begun before tell nothing of the new one.
    std::size_t round { 0 };
    /// Grows fast until a load is slowed down for the first time.
    bool isInSlowStart { false };

    /// @name Loads since the limit was last looked at
    /// @{
    std::size_t loadsInWindow { 0 };
    /// How many ran beside each of them, it included, added up.
    std::size_t concurrencySum { 0 };
    Duration shortestLoad { 0 };
    /// @}
    /// Looks in a row at which nothing was slowed down.
    std::size_t windowsWithoutSlowdown { 0 };
};

/// @brief Where to begin for a number of engines.
LoadConcurrency initialLoadConcurrency(std::size_t engines);

/// @brief A load is over. An engine's end of a load is told of late by up to a heartbeat, so the shortest of several
/// loads is what counts.
/// @param beside loads that ran when it began or when it ended, itself included, whichever were more.
/// @param round of the pace when it began.
/// @param engines that there are; half of them at most load at once.
void recordLoad(LoadConcurrency& pace, Duration took, std::size_t beside, std::size_t round, std::size_t engines);

} // namespace topaztack
