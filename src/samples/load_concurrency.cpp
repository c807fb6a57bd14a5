#include <topaztack/samples/load_concurrency.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr std::size_t minLimit = 2;
    /// Known weight stores serve one load for this many engines at full speed.
    constexpr std::size_t enginesPerLoad = 5;
    /// More loads at once take as long in total, but keep all their engines from serving meanwhile.
    constexpr std::size_t maxInitialLimit = 16;
    /// Loads per evaluation; with this many, the shortest is reported almost without delay.
    constexpr std::size_t minLoadsPerWindow = 12;
    /// Ratio to the baseline from which a load counts as slowed down by others.
    constexpr double slowdownRatio = 1.3;
    /// Evaluations without a slowdown before the limit grows.
    constexpr std::size_t windowsPerIncrease = 2;
    constexpr double growthFactor = 1.25;
    /// Share of the limit that must have been used for it to grow.
    constexpr double minUtilisation = 0.7;

    void raiseLimit(LoadConcurrency& concurrency, std::size_t engines)
    {
        const auto upperBound = std::max(minLimit, engines / 2);
        if (concurrency.isInSlowStart) {
            concurrency.maxConcurrentLoads = std::min(upperBound, concurrency.maxConcurrentLoads * 2);
        } else if (++concurrency.windowsWithoutSlowdown >= windowsPerIncrease) {
            const auto grown
                = static_cast<std::size_t>(static_cast<double>(concurrency.maxConcurrentLoads) * growthFactor);
            concurrency.maxConcurrentLoads = std::min(upperBound, std::max(concurrency.maxConcurrentLoads + 1, grown));
            concurrency.windowsWithoutSlowdown = 0;
        }
    }

    void adjustLimit(LoadConcurrency& concurrency, std::size_t engines)
    {
        const auto meanConcurrency
            = static_cast<double>(concurrency.concurrencySum) / static_cast<double>(concurrency.loadsInWindow);
        if (!concurrency.isBaselineMeasured || meanConcurrency <= static_cast<double>(minLimit))
            concurrency.baselineLoadTime = concurrency.shortestLoad;
        concurrency.isBaselineMeasured = true;
        const double ratio = static_cast<double>(concurrency.shortestLoad.count())
            / static_cast<double>(concurrency.baselineLoadTime.count());
        concurrency.baselineLoadTime = std::min(concurrency.baselineLoadTime, concurrency.shortestLoad);
        if (ratio >= slowdownRatio) {
            // Capped at the limit because loads whose end has not been reported yet are still counted as running.
            const auto served = std::min(meanConcurrency, static_cast<double>(concurrency.maxConcurrentLoads)) / ratio;
            concurrency.maxConcurrentLoads = std::max({ concurrency.minConcurrentLoads,
                concurrency.maxConcurrentLoads / 2, static_cast<std::size_t>(served) });
            concurrency.isInSlowStart = false;
            concurrency.windowsWithoutSlowdown = 0;
        } else if (meanConcurrency >= minUtilisation * static_cast<double>(concurrency.maxConcurrentLoads)) {
            raiseLimit(concurrency, engines);
        }
    }

} // namespace

LoadConcurrency initialLoadConcurrency(std::size_t engines)
{
    LoadConcurrency concurrency;
    const auto expected = (engines + enginesPerLoad / 2) / enginesPerLoad;
    concurrency.maxConcurrentLoads = std::clamp(expected, minLimit, maxInitialLimit);
    // The capacity of the store is unknown for pools larger than any known deployment.
    concurrency.isInSlowStart = expected > maxInitialLimit;
    concurrency.minConcurrentLoads = std::max(minLimit, concurrency.maxConcurrentLoads / 2);
    return concurrency;
}

void recordLoad(
    LoadConcurrency& concurrency, Duration took, std::size_t concurrent, std::size_t round, std::size_t engines)
{
    if (round != concurrency.round)
        return;
    const bool isFirst = concurrency.loadsInWindow == 0;
    concurrency.shortestLoad = isFirst ? took : std::min(concurrency.shortestLoad, took);
    concurrency.concurrencySum = (isFirst ? 0 : concurrency.concurrencySum) + concurrent;
    if (++concurrency.loadsInWindow < std::max(minLoadsPerWindow, concurrency.maxConcurrentLoads))
        return;
    const auto before = concurrency.maxConcurrentLoads;
    adjustLimit(concurrency, engines);
    concurrency.loadsInWindow = 0;
    concurrency.round += concurrency.maxConcurrentLoads == before ? 0 : 1;
}

} // namespace topaztack
