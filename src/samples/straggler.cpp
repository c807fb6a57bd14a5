#include <topaztack/samples/slot_planner.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    /// Share of the cost of waiting that another option must save.
    constexpr double minSaving = 0.2;

    double cost(const PlannerRules& rules, Duration time, double lag, Duration typical)
    {
        const double idle
            = static_cast<double>(time.count()) / static_cast<double>(std::max<Duration::rep>(1, typical.count()));
        const double stale = lag / static_cast<double>(rules.bound.versions + 1);
        return rules.idleWeight * idle + rules.stalenessWeight * stale;
    }

} // namespace

StragglerChoice chooseStragglerAction(const StragglerEstimates& estimates, const PlannerRules& rules, Duration typical)
{
    const double waitCost = cost(rules, estimates.waitTime, estimates.waitLag, typical);
    double best = waitCost * (1 - minSaving);
    auto choice = StragglerChoice::Wait;
    const auto consider = [&](bool mayChoose, Duration time, double lag, StragglerChoice candidate) {
        const double value = cost(rules, time, lag, typical);
        if (!mayChoose || value >= best)
            return;
        best = value;
        choice = candidate;
    };
    consider(estimates.mayMove, estimates.moveTime, estimates.moveLag, StragglerChoice::Move);
    consider(estimates.mayHedge, estimates.hedgeTime, estimates.hedgeLag, StragglerChoice::Hedge);
    return choice;
}

std::uint64_t lookaheadSteps(const PlannerRules& rules)
{
    const auto bound = rules.bound.versions;
    if (rules.idleWeight >= rules.stalenessWeight)
        return bound;
    return bound > 0 ? bound - 1 : 0;
}

std::uint64_t predictedLag(const PlannerEstimates& estimates, Duration duration, TimePoint now)
{
    if (!estimates.lastVersion || estimates.versionInterval <= Duration::zero())
        return 0;
    const auto end = now + duration - *estimates.lastVersion;
    const auto passed = now - *estimates.lastVersion;
    // An overdue version counts as one that may come at any moment, not as several missed ones.
    const auto overdue = std::max(Duration::zero(), passed - estimates.versionInterval);
    return static_cast<std::uint64_t>(std::max<Duration::rep>(0, (end - overdue) / estimates.versionInterval));
}

} // namespace topaztack
