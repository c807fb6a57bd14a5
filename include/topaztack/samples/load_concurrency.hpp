#pragma once

#include <topaztack/base/time.hpp>

#include <cstddef>

/// @file
/// Limits how many engines load weights at once. The weight store serves a few loads at full speed and slows all of
/// them down beyond that; how many it serves is learned from the durations of loads. Pure functions without I/O.

namespace topaztack {

/// @brief Adaptive concurrency limit for loads from one weight store.
struct LoadConcurrency {
    /// Loads that may run at once.
    std::size_t maxConcurrentLoads { 2 };
    /// Lower bound of the limit.
    std::size_t minConcurrentLoads { 2 };
    /// Duration of a load that no other load slows down. Until it is measured, the duration typical of known engines.
    Duration baselineLoadTime { std::chrono::seconds(1) };
    bool isBaselineMeasured { false };
    /// Incremented by each change of the limit: loads that began before a change say nothing about the new limit.
    std::size_t round { 0 };
    /// Whether the limit doubles with each increase; ends when a load is slowed down for the first time.
    bool isInSlowStart { false };

    /// @name Loads since the limit was last evaluated
    /// @{
    std::size_t loadsInWindow { 0 };
    /// Sum over these loads of the number that ran at the same time, each load itself included.
    std::size_t concurrencySum { 0 };
    Duration shortestLoad { 0 };
    /// @}
    /// Evaluations without a slowdown since the limit last changed.
    std::size_t windowsWithoutSlowdown { 0 };
};

/// @brief The initial limit for a pool with this many engines.
LoadConcurrency initialLoadConcurrency(std::size_t engines);

/// @brief Records a finished load, and evaluates the limit once there are enough of them. An engine reports the end of
/// a load late by up to one heartbeat, so the shortest of several loads is what counts.
/// @param concurrent loads running when this one began or when it ended, itself included, whichever is more.
/// @param round value of LoadConcurrency::round when the load began.
/// @param engines number of engines; at most half of them load at once.
void recordLoad(
    LoadConcurrency& concurrency, Duration took, std::size_t concurrent, std::size_t round, std::size_t engines);

} // namespace topaztack
