#include <topaztack/samples/load_concurrency.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr std::size_t fewestAtOnce = 2;
    /// Loads that the stores seen so far serve at full speed, as a part of the engines.
    constexpr std::size_t enginesPerLoad = 5;
    /// Where to begin at most: too many at once take as long together, but keep their engines from serving.
    constexpr std::size_t mostAtFirst = 16;
    /// Loads between two looks; the shortest of so many is told of nearly at once.
    constexpr std::size_t fewestLoads = 12;
    /// A load that takes this many times as long was slowed down by others.
    constexpr double slowedDown = 1.3;
    /// Looks without a slow load before more at once are tried, and how many times as many.
    constexpr std::size_t looksPerTry = 2;
    constexpr double growth = 1.25;
    /// Part of the limit that must have been made use of for it to grow.
    constexpr double usedPart = 0.7;

    void raise(LoadConcurrency& pace, std::size_t engines)
    {
        const auto most = std::max(fewestAtOnce, engines / 2);
        if (pace.isInSlowStart) {
            pace.maxConcurrentLoads = std::min(most, pace.maxConcurrentLoads * 2);
        } else if (++pace.windowsWithoutSlowdown >= looksPerTry) {
            const auto grown = static_cast<std::size_t>(static_cast<double>(pace.maxConcurrentLoads) * growth);
            pace.maxConcurrentLoads = std::min(most, std::max(pace.maxConcurrentLoads + 1, grown));
            pace.windowsWithoutSlowdown = 0;
        }
    }

    void look(LoadConcurrency& pace, std::size_t engines)
    {
        const auto beside = static_cast<double>(pace.concurrencySum) / static_cast<double>(pace.loadsInWindow);
        if (!pace.isBaselineMeasured || beside <= static_cast<double>(fewestAtOnce))
            pace.usual = pace.shortestLoad;
        pace.isBaselineMeasured = true;
        const double ratio = static_cast<double>(pace.shortestLoad.count()) / static_cast<double>(pace.usual.count());
        pace.usual = std::min(pace.usual, pace.shortestLoad);
        if (ratio >= slowedDown) {
            // Loads whose end was not told of yet count among those beside.
            const auto served = std::min(beside, static_cast<double>(pace.maxConcurrentLoads)) / ratio;
            pace.maxConcurrentLoads
                = std::max({ pace.minConcurrentLoads, pace.maxConcurrentLoads / 2, static_cast<std::size_t>(served) });
            pace.isInSlowStart = false;
            pace.windowsWithoutSlowdown = 0;
        } else if (beside >= usedPart * static_cast<double>(pace.maxConcurrentLoads)) {
            raise(pace, engines);
        }
    }

} // namespace

LoadConcurrency initialLoadConcurrency(std::size_t engines)
{
    LoadConcurrency pace;
    const auto usual = (engines + enginesPerLoad / 2) / enginesPerLoad;
    pace.maxConcurrentLoads = std::clamp(usual, fewestAtOnce, mostAtFirst);
    // More engines than any deployment had whose store is known.
    pace.isInSlowStart = usual > mostAtFirst;
    pace.minConcurrentLoads = std::max(fewestAtOnce, pace.maxConcurrentLoads / 2);
    return pace;
}

void recordLoad(LoadConcurrency& pace, Duration took, std::size_t beside, std::size_t round, std::size_t engines)
{
    if (round != pace.round)
        return;
    const bool isFirst = pace.loadsInWindow == 0;
    pace.shortestLoad = isFirst ? took : std::min(pace.shortestLoad, took);
    pace.concurrencySum = (isFirst ? 0 : pace.concurrencySum) + beside;
    if (++pace.loadsInWindow < std::max(fewestLoads, pace.maxConcurrentLoads))
        return;
    const auto before = pace.maxConcurrentLoads;
    look(pace, engines);
    pace.loadsInWindow = 0;
    pace.round += pace.maxConcurrentLoads == before ? 0 : 1;
}

} // namespace topaztack
