#include <topaztack/policy/pool_scaling.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace topaztack {

using namespace std::chrono_literals;

namespace {

    /// Capacity above the demand that is always kept: requests arrive unevenly.
    constexpr double marginFactor = 1.2;
    /// An order covers this much more than what is needed, so that a load that grows steadily takes few orders.
    constexpr double orderHeadroom = 1.1;
    /// Servers are given up only above this multiple of what is needed: orders and the loads of weights on new servers
    /// cost more than servers that are idle for a while.
    constexpr double maxExcess = 1.6;
    constexpr Duration minScaleInDelay = 20s;
    constexpr Duration scaleInInterval = 5s;
    /// Part of a data centre's servers that one order may give up; at least one server.
    constexpr double maxScaleInFraction = 0.1;
    /// Capacity of a slow server, relative to a usual one.
    constexpr double slowServerCapacity = 0.5;
    /// No data centre is given more than this part of the capacity while another can take it.
    constexpr double maxDataCentreFraction = 0.5;
    /// Inputs older than this don't count as recent.
    constexpr Duration maxStoreAge = 5s;
    /// A pause of the decisions that is longer than this starts the observation of the need anew.
    constexpr Duration maxDecisionGap = 5s;
    /// Added to twice the boot time: an ordered server that isn't listed by then isn't expected any more.
    constexpr Duration startMargin = 5s;
    /// A group whose servers didn't come isn't ordered again for this long.
    constexpr Duration overduePause = 30s;
    /// Reclaimable servers are reclaimed because the platform lacks servers there.
    constexpr Duration reclaimPause = 60s;
    /// The wait of a late step's items is counted as this part of its target at least: servers that are ordered now
    /// start too late for them.
    constexpr double minTimeLeftFraction = 0.25;
    /// Part of the expected reports below which no server is given up: those that are missing may come from busy VMs.
    constexpr double minReportsForScaleIn = 0.9;
    /// Weight that the estimate of an item's time keeps over a second.
    constexpr double itemMemoryPerSecond = 0.98;
    constexpr double minFinishedItems = 5;
    /// Absorbs rounding errors of sums of fractions.
    constexpr double tolerance = 1e-6;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    std::uint64_t countListed(const ServerGroupCount& count)
    {
        return count.usable + count.starting + count.slow + count.suspected;
    }

    Duration startLimit(const PoolScalingLimits& limits) { return 2 * Duration(limits.bootTime) + startMargin; }

    /// Servers of the last raise that are not listed yet.
    std::uint64_t countMissing(const GroupOrder& order, std::uint64_t listed)
    {
        const auto arrived = listed > order.listedAtRaise ? listed - order.listedAtRaise : 0;
        return order.raisedBy - std::min(order.raisedBy, arrived);
    }

    struct PlannedGroup {
        std::uint64_t count { 0 };
        /// Servers that serve or will, in usual servers.
        double capacity { 0 };
        /// Whether its count may be raised.
        bool mayRaise { true };
        bool isConfirmed { true };
    };

    using Plan = std::map<ServerGroup, PlannedGroup>;

    /// What a plan must provide, in servers.
    struct Goal {
        double demand { 0 };
        double total { 0 };
        /// Whether the demand must be met without any one data centre.
        bool isLossTolerated { false };
    };

    enum class Lack : std::uint8_t {
        None,
        Regular,
        Total,
        LossTolerance,
    };

    struct FoundLack {
        Lack lack { Lack::None };
        /// For LossTolerance: the data centre whose loss can't be borne.
        DataCentre dataCentre;
    };

    double totalCapacity(const Plan& plan)
    {
        double total = 0;
        for (const auto& [group, planned] : plan)
            total += planned.capacity;
        return total;
    }

    double capacityOf(const Plan& plan, const DataCentre& dataCentre)
    {
        double total = 0;
        for (const auto& [group, planned] : plan)
            total += group.dataCentre == dataCentre ? planned.capacity : 0;
        return total;
    }

    std::uint64_t countOf(const Plan& plan, const DataCentre& dataCentre)
    {
        std::uint64_t count = 0;
        for (const auto& [group, planned] : plan)
            count += group.dataCentre == dataCentre ? planned.count : 0;
        return count;
    }

    std::set<DataCentre> dataCentresOf(const Plan& plan)
    {
        std::set<DataCentre> list;
        for (const auto& [group, planned] : plan)
            list.insert(group.dataCentre);
        return list;
    }

    FoundLack findLack(const Plan& plan, const Goal& goal)
    {
        double regular = 0;
        for (const auto& [group, planned] : plan)
            regular += group.isReclaimable ? 0 : planned.capacity;
        const auto total = totalCapacity(plan);
        if (regular + tolerance < goal.demand)
            return { Lack::Regular, {} };
        if (total + tolerance < goal.total)
            return { Lack::Total, {} };
        if (!goal.isLossTolerated)
            return {};
        for (const auto& dataCentre : dataCentresOf(plan)) {
            if (total - capacityOf(plan, dataCentre) + tolerance < goal.demand)
                return { Lack::LossTolerance, dataCentre };
        }
        return {};
    }

    double priceOf(const PoolScalingLimits& limits, const ServerGroup& group)
    {
        const auto found = limits.prices.find(group.dataCentre);
        const auto price = found == limits.prices.end() ? 1.0 : found->second;
        return group.isReclaimable ? price * limits.reclaimablePrice.value_or(1) : price;
    }

    bool isLost(const Plan& plan, const DataCentre& dataCentre)
    {
        return countOf(plan, dataCentre) > 0 && capacityOf(plan, dataCentre) <= tolerance;
    }

    /// The group to raise by one server. Capacity is spread in inverse proportion to the prices.
    ServerGroup const* chooseRaise(
        const Plan& plan, const PoolScalingLimits& limits, bool isReclaimable, const FoundLack& lack)
    {
        const ServerGroup* best = nullptr;
        std::pair<bool, double> bestCost;
        const auto total = totalCapacity(plan);
        for (const auto& [group, planned] : plan) {
            const bool isExcluded = group.isReclaimable != isReclaimable || !planned.mayRaise
                || countOf(plan, group.dataCentre) >= limits.max || isLost(plan, group.dataCentre)
                || (lack.lack == Lack::LossTolerance && group.dataCentre == lack.dataCentre);
            if (isExcluded)
                continue;
            const auto capacity = capacityOf(plan, group.dataCentre) + 1;
            const bool isTooLarge = capacity > maxDataCentreFraction * (total + 1) + 1;
            const std::pair cost { isTooLarge, capacity * priceOf(limits, group) };
            if (!best || cost < bestCost) {
                best = &group;
                bestCost = cost;
            }
        }
        return best;
    }

    /// Raises counts until the goal is reached.
    /// @return what is lacking in the end.
    Lack raise(Plan& plan, const PoolScalingLimits& limits, const Goal& goal)
    {
        const bool mayReclaim = limits.reclaimablePrice && *limits.reclaimablePrice < 1;
        while (true) {
            const auto lack = findLack(plan, goal);
            if (lack.lack == Lack::None)
                return Lack::None;
            // The demand itself is carried by servers that stay.
            const ServerGroup* chosen = nullptr;
            if (mayReclaim && lack.lack != Lack::Regular)
                chosen = chooseRaise(plan, limits, true, lack);
            if (!chosen)
                chosen = chooseRaise(plan, limits, false, lack);
            if (!chosen)
                return lack.lack;
            auto& group = plan[*chosen];
            ++group.count;
            ++group.capacity;
        }
    }

    /// Lowers the count of one group.
    /// @return whether there was one whose servers can be spared.
    bool lower(Plan& plan, const PoolScalingLimits& limits, const Goal& goal, double keep)
    {
        const ServerGroup* best = nullptr;
        std::uint64_t bestAmount = 0;
        double bestCost = 0;
        const auto total = totalCapacity(plan);
        for (const auto& [group, planned] : plan) {
            const auto inDataCentre = countOf(plan, group.dataCentre);
            if (!planned.isConfirmed || planned.count == 0 || inDataCentre <= limits.min || planned.capacity < 1)
                continue;
            auto amount = static_cast<std::uint64_t>(maxScaleInFraction * static_cast<double>(inDataCentre));
            amount = std::min({ amount, inDataCentre - limits.min, planned.count,
                static_cast<std::uint64_t>(planned.capacity), static_cast<std::uint64_t>(total - keep) });
            amount = std::max<std::uint64_t>(1, amount);
            auto lowered = plan;
            lowered[group].count -= amount;
            lowered[group].capacity -= static_cast<double>(amount);
            const auto cost = capacityOf(plan, group.dataCentre) * priceOf(limits, group);
            if (findLack(lowered, goal).lack == Lack::None && (!best || cost > bestCost)) {
                best = &group;
                bestAmount = amount;
                bestCost = cost;
            }
        }
        if (!best)
            return false;
        plan[*best].count -= bestAmount;
        plan[*best].capacity -= static_cast<double>(bestAmount);
        return true;
    }

    /// Adds groups that are new and, where nothing was ordered, counts the servers that are listed as ordered.
    void updateGroups(PoolScalingState& state, const PoolScalingLimits& limits, const PoolObservation& seen)
    {
        for (const auto& [group, count] : seen.servers) {
            auto& order = state.groups[group];
            if (!order.isOrdered)
                order.count = std::max(order.count, countListed(count));
        }
        std::set<DataCentre> dataCentres;
        for (const auto& [group, order] : state.groups)
            dataCentres.insert(group.dataCentre);
        for (const auto& [dataCentre, price] : limits.prices)
            dataCentres.insert(dataCentre);
        for (const auto& dataCentre : dataCentres) {
            state.groups.try_emplace({ dataCentre, false });
            if (limits.reclaimablePrice)
                state.groups.try_emplace({ dataCentre, true });
        }
    }

    ServerGroupCount countIn(const PoolObservation& seen, const ServerGroup& group)
    {
        const auto found = seen.servers.find(group);
        return found == seen.servers.end() ? ServerGroupCount {} : found->second;
    }

    Plan currentPlan(
        const PoolScalingState& state, const PoolScalingLimits& limits, const PoolObservation& seen, TimePoint now)
    {
        Plan plan;
        for (const auto& [group, order] : state.groups) {
            const auto count = countIn(seen, group);
            const auto missing = countMissing(order, countListed(count));
            const auto age = now - order.raisedAt;
            auto& planned = plan[group];
            planned.count = order.count;
            planned.capacity = static_cast<double>(count.usable + count.starting)
                + slowServerCapacity * static_cast<double>(count.slow);
            if (age < startLimit(limits))
                planned.capacity += static_cast<double>(missing);
            const bool isOverdue = missing > 0 && age >= startLimit(limits) && age < startLimit(limits) + overduePause;
            planned.isConfirmed = order.isConfirmed;
            planned.mayRaise = order.isConfirmed && now >= order.notBefore && !isOverdue;
        }
        return plan;
    }

    /// Groups that the platform reclaims keep what is left of them, so that the rest of the data centre's limit is free
    /// for servers that stay.
    bool applyReclaims(PoolScalingState& state, Plan& plan, const PoolObservation& seen, TimePoint now)
    {
        bool isReclaimed = false;
        for (auto& [group, planned] : plan) {
            const auto count = countIn(seen, group);
            if (!group.isReclaimable || count.reclaimed == 0)
                continue;
            state.groups[group].notBefore = now + reclaimPause;
            planned.mayRaise = false;
            if (!planned.isConfirmed || planned.count <= countListed(count))
                continue;
            planned.count = countListed(count);
            isReclaimed = true;
        }
        return isReclaimed;
    }

    bool applyMinimum(Plan& plan, const PoolScalingLimits& limits)
    {
        bool isRaised = false;
        for (const auto& dataCentre : dataCentresOf(plan)) {
            auto& regular = plan[{ dataCentre, false }];
            const auto count = countOf(plan, dataCentre);
            const auto wanted = std::min(limits.min, limits.max);
            if (count >= wanted || !regular.mayRaise)
                continue;
            regular.count += wanted - count;
            regular.capacity += static_cast<double>(wanted - count);
            isRaised = true;
        }
        return isRaised;
    }

    Goal goalFor(double demand, const Plan& plan)
    {
        const auto dataCentres = dataCentresOf(plan);
        const bool isOneLost = std::any_of(dataCentres.begin(), dataCentres.end(),
            [&plan](const auto& dataCentre) { return isLost(plan, dataCentre); });
        return { demand, demand * marginFactor, dataCentres.size() > 1 && !isOneLost };
    }

    /// The smallest number of servers that reaches the goal if they are spread evenly.
    double serversFor(const Goal& goal, std::size_t dataCentres)
    {
        if (!goal.isLossTolerated)
            return goal.total;
        const auto count = static_cast<double>(dataCentres);
        return std::max(goal.total, goal.demand * count / (count - 1));
    }

    /// Records the differences of the plan from what was ordered.
    void recordOrders(PoolScalingState& state, const Plan& plan, const PoolObservation& seen, TimePoint now)
    {
        for (const auto& [group, planned] : plan) {
            auto& order = state.groups[group];
            if (planned.count == order.count)
                continue;
            const auto listed = countListed(countIn(seen, group));
            order.countBefore = order.count;
            if (planned.count > order.count) {
                order.raisedBy = countMissing(order, listed) + planned.count - order.count;
                order.listedAtRaise = listed;
                order.raisedAt = now;
            } else {
                order.raisedBy = 0;
            }
            order.count = planned.count;
            order.isOrdered = true;
            order.isConfirmed = false;
        }
    }

    bool mayGiveUpServers(const PoolObservation& seen)
    {
        return static_cast<double>(seen.freshReports)
            >= minReportsForScaleIn * static_cast<double>(seen.expectedReports);
    }

    /// A guess would order servers that may not be needed, and loads of weights with them.
    bool isItemTimeMissing(const PoolObservation& seen)
    {
        const bool hasOpenSteps
            = std::any_of(seen.steps.begin(), seen.steps.end(), [](const StepDemand& step) { return step.isOpen; });
        return hasOpenSteps && seen.itemTime <= Duration(0);
    }

    bool hasRecentInputs(const PoolObservation& seen)
    {
        return seen.storeAge <= maxStoreAge && seen.freshReports * 2 >= seen.expectedReports;
    }

    void recordNeed(
        PoolScalingState& state, const PoolScalingLimits& limits, double demand, double needed, TimePoint now)
    {
        if (!state.decidingSince || now - state.decidedAt > maxDecisionGap) {
            state.decidingSince = now;
            state.needs.clear();
        }
        state.decidedAt = now;
        state.needs.push_back({ now, demand, needed });
        std::erase_if(state.needs, [&limits, now](const auto& need) { return now - need.at > scaleInDelay(limits); });
    }

    /// Gives up servers if there have been too many for long enough.
    bool applyExcess(PoolScalingState& state, Plan& plan, const PoolScalingLimits& limits, TimePoint now)
    {
        const bool hasHeld = now - *state.decidingSince >= scaleInDelay(limits);
        if (!hasHeld || now - state.loweredAt < scaleInInterval)
            return false;
        auto highest = state.needs.front();
        for (const auto& need : state.needs) {
            highest.demand = std::max(highest.demand, need.demand);
            highest.needed = std::max(highest.needed, need.needed);
        }
        const auto keep = maxExcess * highest.needed;
        if (totalCapacity(plan) < keep + 1 || !lower(plan, limits, goalFor(highest.demand, plan), keep))
            return false;
        state.loweredAt = now;
        return true;
    }

} // namespace

std::string_view reasonName(ScalingReason reason)
{
    static constexpr std::array<std::string_view, 8> names { "enough", "settling", "inputs-missing", "below-minimum",
        "shortage", "none-available", "reclaimed", "excess" };
    return names.at(static_cast<std::size_t>(reason));
}

Duration scaleInDelay(const PoolScalingLimits& limits)
{
    return std::max<Duration>(minScaleInDelay, 2 * Duration(limits.bootTime));
}

void recordItems(ItemTimeEstimate& estimate, double inFlight, std::uint64_t finished, Duration period)
{
    const auto kept = std::pow(itemMemoryPerSecond, seconds(period));
    estimate.inFlightSeconds = estimate.inFlightSeconds * kept + inFlight * seconds(period);
    estimate.finished = estimate.finished * kept + static_cast<double>(finished);
    estimate.inFlight = inFlight;
}

Duration itemTimeOf(const ItemTimeEstimate& estimate)
{
    if (estimate.finished < std::max(minFinishedItems, estimate.inFlight))
        return Duration(0);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(estimate.inFlightSeconds / estimate.finished));
}

double concurrencyNeeded(const PoolObservation& seen)
{
    struct ModelNeed {
        double open { 0 };
        double next { 0 };
    };
    std::map<ModelName, ModelNeed> models;
    for (const auto& step : seen.steps) {
        auto& need = models[step.model];
        const auto target = seconds(step.target);
        const auto itemTime = seconds(seen.itemTime);
        const auto remaining = static_cast<double>(step.remaining);
        if (target > 0)
            need.next = std::max(need.next, static_cast<double>(step.items) * itemTime / target);
        if (!step.isOpen)
            continue;
        const auto timeLeft = std::max({ seconds(step.timeLeft), itemTime, minTimeLeftFraction * target });
        need.open += timeLeft > 0 ? remaining * itemTime / timeLeft : remaining;
    }
    double concurrency = seen.running + seen.waiting + seen.refusedPerSecond * seconds(seen.requestTime);
    for (const auto& [model, need] : models)
        concurrency += std::max(need.open, need.next);
    return concurrency;
}

ScalingDecision decidePoolScaling(
    PoolScalingState& state, const PoolScalingLimits& limits, const PoolObservation& seen, TimePoint now)
{
    ScalingDecision decision;
    if (!state.settlesAt)
        state.settlesAt = state.groups.empty() ? now + Duration(limits.bootTime) + startMargin : now;
    updateGroups(state, limits, seen);
    if (now < *state.settlesAt) {
        decision.reason = ScalingReason::Settling;
    } else if (!hasRecentInputs(seen) || isItemTimeMissing(seen)) {
        decision.reason = ScalingReason::InputsMissing;
    } else {
        auto plan = currentPlan(state, limits, seen, now);
        decision.demand
            = std::max(concurrencyNeeded(seen) / std::max(1.0, seen.slotsPerServer), static_cast<double>(seen.models));
        const auto goal = goalFor(decision.demand, plan);
        decision.needed = serversFor(goal, dataCentresOf(plan).size());
        decision.present = totalCapacity(plan);
        // The items of a step come at once. Servers that they used lately are not given up, whatever the mean need is.
        const auto used = std::max(decision.demand, seen.itemsInFlight / std::max(1.0, seen.slotsPerServer));
        const auto usedServers = serversFor(goalFor(used, plan), dataCentresOf(plan).size());
        recordNeed(state, limits, used, usedServers, now);
        if (applyReclaims(state, plan, seen, now))
            decision.reason = ScalingReason::Reclaimed;
        if (applyMinimum(plan, limits))
            decision.reason = ScalingReason::BelowMinimum;
        if (findLack(plan, goal).lack != Lack::None) {
            const Goal withHeadroom { goal.demand * orderHeadroom, goal.total * orderHeadroom, goal.isLossTolerated };
            decision.reason = ScalingReason::Shortage;
            raise(plan, limits, withHeadroom);
            if (findLack(plan, goal).lack != Lack::None)
                decision.reason = ScalingReason::NoneAvailable;
        } else if (decision.reason == ScalingReason::Enough && mayGiveUpServers(seen)
            && applyExcess(state, plan, limits, now)) {
            decision.reason = ScalingReason::Excess;
        }
        recordOrders(state, plan, seen, now);
    }
    for (const auto& [group, order] : state.groups) {
        if (!order.isConfirmed)
            decision.orders[group] = order.count;
    }
    return decision;
}

void recordOrderAccepted(PoolScalingState& state, const ServerGroup& group) { state.groups[group].isConfirmed = true; }

void recordOrderRejected(PoolScalingState& state, const ServerGroup& group, TimePoint notBefore)
{
    auto& order = state.groups[group];
    order.isConfirmed = true;
    order.count = order.countBefore;
    order.raisedBy = 0;
    order.notBefore = notBefore;
}

} // namespace topaztack
