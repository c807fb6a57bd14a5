#include <topaztack/samples/load_pace.hpp>

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

    void raise(LoadPace& pace, std::size_t engines)
    {
        const auto most = std::max(fewestAtOnce, engines / 2);
        if (pace.isRising) {
            pace.atOnce = std::min(most, pace.atOnce * 2);
        } else if (++pace.calmLooks >= looksPerTry) {
            const auto grown = static_cast<std::size_t>(static_cast<double>(pace.atOnce) * growth);
            pace.atOnce = std::min(most, std::max(pace.atOnce + 1, grown));
            pace.calmLooks = 0;
        }
    }

    void look(LoadPace& pace, std::size_t engines)
    {
        const auto beside = static_cast<double>(pace.besideSum) / static_cast<double>(pace.loads);
        if (!pace.isMeasured || beside <= static_cast<double>(fewestAtOnce))
            pace.usual = pace.least;
        pace.isMeasured = true;
        const double ratio = static_cast<double>(pace.least.count()) / static_cast<double>(pace.usual.count());
        pace.usual = std::min(pace.usual, pace.least);
        if (ratio >= slowedDown) {
            // Loads whose end was not told of yet count among those beside.
            const auto served = std::min(beside, static_cast<double>(pace.atOnce)) / ratio;
            pace.atOnce = std::max({ pace.fewest, pace.atOnce / 2, static_cast<std::size_t>(served) });
            pace.isRising = false;
            pace.calmLooks = 0;
        } else if (beside >= usedPart * static_cast<double>(pace.atOnce)) {
            raise(pace, engines);
        }
    }

} // namespace

LoadPace firstPace(std::size_t engines)
{
    LoadPace pace;
    const auto usual = (engines + enginesPerLoad / 2) / enginesPerLoad;
    pace.atOnce = std::clamp(usual, fewestAtOnce, mostAtFirst);
    // More engines than any deployment had whose store is known.
    pace.isRising = usual > mostAtFirst;
    pace.fewest = std::max(fewestAtOnce, pace.atOnce / 2);
    return pace;
}

void noteLoad(LoadPace& pace, Duration took, std::size_t beside, std::size_t round, std::size_t engines)
{
    if (round != pace.round)
        return;
    const bool isFirst = pace.loads == 0;
    pace.least = isFirst ? took : std::min(pace.least, took);
    pace.besideSum = (isFirst ? 0 : pace.besideSum) + beside;
    if (++pace.loads < std::max(fewestLoads, pace.atOnce))
        return;
    const auto before = pace.atOnce;
    look(pace, engines);
    pace.loads = 0;
    pace.round += pace.atOnce == before ? 0 : 1;
}

} // namespace topaztack
