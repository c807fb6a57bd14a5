#include <topaztack/policy/pool_scaling.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <set>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

constexpr double slots = 8;

PoolScalingLimits limitsOf(std::uint64_t min, std::uint64_t max)
{
    PoolScalingLimits limits;
    limits.min = min;
    limits.max = max;
    limits.bootTime = 10s;
    limits.prices = { { DataCentre("z1"), 1.0 }, { DataCentre("z2"), 1.1 }, { DataCentre("z3"), 1.2 } };
    return limits;
}

ServerGroup groupOf(const std::string& dataCentre, bool isReclaimable = false)
{
    return { DataCentre(dataCentre), isReclaimable };
}

/// A platform that starts and drains servers as ordered, decisions once a second, and a load in concurrent requests.
struct Simulation {
    explicit Simulation(PoolScalingLimits limits, std::uint64_t serversPerDataCentre = 0)
        : limits(std::move(limits))
    {
        for (const auto& [dataCentre, price] : this->limits.prices)
            this->servers[{ dataCentre, false }] = this->ordered[{ dataCentre, false }] = serversPerDataCentre;
        this->state.settlesAt = this->now;
    }

    std::uint64_t total() const
    {
        std::uint64_t count = 0;
        for (const auto& [group, running] : this->servers)
            count += running;
        return count;
    }

    PoolObservation observe(double load)
    {
        PoolObservation seen;
        seen.slotsPerServer = slots;
        for (const auto& [group, count] : this->servers)
            seen.servers[group].usable = this->lost.contains(group.dataCentre) ? 0 : count;
        seen.running = load;
        seen.expectedReports = 10;
        seen.freshReports = this->freshReports;
        return seen;
    }

    void startServers()
    {
        std::erase_if(this->starting, [this](const auto& start) {
            const bool isUp = this->now >= start.second;
            if (isUp && this->servers[start.first] < this->ordered[start.first])
                ++this->servers[start.first];
            return isUp;
        });
    }

    void apply(const ServerGroup& group, std::uint64_t count)
    {
        ++this->orders;
        if (this->unavailable.contains(group)) {
            recordOrderRejected(this->state, group, this->now + 5s);
            return;
        }
        for (auto more = this->ordered[group]; more < count; ++more)
            this->starting.emplace_back(group, this->now + Duration(this->limits.bootTime));
        this->ordered[group] = count;
        this->servers[group] = std::min(this->servers[group], count);
        recordOrderAccepted(this->state, group);
    }

    ScalingDecision step(const PoolObservation& seen)
    {
        auto decision = decidePoolScaling(this->state, this->limits, seen, this->now);
        for (const auto& [group, count] : decision.orders) {
            std::uint64_t inDataCentre = count;
            const auto other = this->ordered.find({ group.dataCentre, !group.isReclaimable });
            inDataCentre += other == this->ordered.end() ? 0 : other->second;
            this->largest = std::max(this->largest, inDataCentre);
            if (!this->isDown)
                this->apply(group, count);
        }
        this->now += 1s;
        this->startServers();
        return decision;
    }

    ScalingDecision run(int secondsToRun, const std::function<double(int)>& load)
    {
        ScalingDecision decision;
        for (int second = 0; second < secondsToRun; ++second)
            decision = this->step(this->observe(load(second)));
        return decision;
    }

    const PoolScalingLimits limits;
    PoolScalingState state;
    TimePoint now { TimePoint {} + 1h };
    std::map<ServerGroup, std::uint64_t> servers;
    std::map<ServerGroup, std::uint64_t> ordered;
    std::vector<std::pair<ServerGroup, TimePoint>> starting;
    std::set<ServerGroup> unavailable;
    std::set<DataCentre> lost;
    bool isDown { false };
    std::uint64_t freshReports { 10 };
    int orders { 0 };
    /// The most servers that an order left a data centre with.
    std::uint64_t largest { 0 };
};

std::function<double(int)> constant(double load)
{
    return [load](int) { return load; };
}

} // namespace

TEST_GROUP(PoolScaling) {};

// 15 engines for 60 requests at once: between what is needed and 1.6 times that, so each order would be wasted.
TEST(PoolScaling, NothingIsOrderedWhileThereIsEnough)
{
    Simulation simulation(limitsOf(1, 30), 5);
    simulation.run(300, [](int second) { return 60 + (second * 7) % 10; });
    LONGS_EQUAL(0, simulation.orders);
}

// A load that grows from 20 to 200 requests within two minutes: the capacity stays ahead, with few orders.
TEST(PoolScaling, CapacityFollowsARamp)
{
    Simulation simulation(limitsOf(1, 30), 2);
    const auto ramp = [](int second) { return std::min(200.0, 20 + 1.5 * second); };
    for (int second = 0; second < 150; ++second) {
        simulation.step(simulation.observe(ramp(second)));
        CHECK_TRUE(static_cast<double>(simulation.total()) * slots >= ramp(second));
    }
    CHECK_TRUE(simulation.orders <= 45);
}

// Ten times the load from one second to the next: one decision orders all servers, and no second one orders them again
// while they start.
TEST(PoolScaling, ABurstIsAnsweredByOneDecision)
{
    Simulation simulation(limitsOf(1, 30), 2);
    simulation.run(30, constant(24));
    LONGS_EQUAL(0, simulation.orders);
    simulation.run(1, constant(240));
    const auto orders = simulation.orders;
    CHECK_TRUE(orders >= 1 && orders <= 3);
    simulation.run(25, constant(240));
    LONGS_EQUAL(orders, simulation.orders);
    CHECK_TRUE(simulation.total() * slots >= 240 * 1.5);
}

// 90 requests by day, 8 by night: servers are given up slowly, and only after the lower need held.
TEST(PoolScaling, TheNightGivesUpServersSlowly)
{
    Simulation simulation(limitsOf(2, 30), 8);
    simulation.run(60, constant(120));
    simulation.run(19, constant(8));
    LONGS_EQUAL(24, simulation.total());
    auto before = simulation.total();
    for (int five = 0; five < 60; ++five) {
        simulation.run(5, constant(8));
        CHECK_TRUE(before - simulation.total() <= 1);
        before = simulation.total();
    }
    LONGS_EQUAL(6, simulation.total());
    for (const auto& [group, count] : simulation.servers)
        CHECK_TRUE(group.isReclaimable || count >= 2);
}

// A load that swings between 40 and 100 requests every 8 s.
TEST(PoolScaling, ASwingingLoadCausesNoOscillation)
{
    Simulation simulation(limitsOf(1, 30), 3);
    const auto swing = [](int second) { return (second / 8) % 2 == 0 ? 40.0 : 100.0; };
    simulation.run(40, swing);
    const auto orders = simulation.orders;
    const auto servers = simulation.total();
    simulation.run(600, swing);
    LONGS_EQUAL(orders, simulation.orders);
    LONGS_EQUAL(servers, simulation.total());
}

// The loss of any data centre must leave enough for the load.
TEST(PoolScaling, EnoughRemainsAfterTheLossOfADataCentre)
{
    Simulation simulation(limitsOf(1, 30), 1);
    simulation.run(60, constant(160));
    for (const auto& [group, count] : simulation.servers)
        CHECK_TRUE(static_cast<double>(simulation.total() - count) * slots >= 160);
    simulation.lost.insert(DataCentre("z1"));
    const auto z1 = simulation.servers[groupOf("z1")];
    simulation.run(60, constant(160));
    // What was ordered of the lost data centre stays ordered, or its servers would be drained on its return.
    LONGS_EQUAL(z1, simulation.ordered[groupOf("z1")]);
    CHECK_TRUE(static_cast<double>(simulation.total() - z1) * slots >= 160 * 1.2);
}

// The loss leaves one data centre with more than half of the load's servers, at its limit.
TEST(PoolScaling, NoOrderExceedsTheLimitOfADataCentre)
{
    Simulation simulation(limitsOf(1, 6), 2);
    const auto decision = simulation.run(120, constant(400));
    CHECK_TRUE(decision.reason == ScalingReason::NoneAvailable);
    LONGS_EQUAL(18, simulation.total());
    LONGS_EQUAL(6, simulation.largest);
}

// Reclaimable servers cost a third; all of a data centre are reclaimed at once while the load stays.
TEST(PoolScaling, ReclaimedServersAreReplacedAtOnce)
{
    auto limits = limitsOf(1, 30);
    limits.reclaimablePrice = 0.33;
    Simulation simulation(limits, 1);
    simulation.run(60, constant(160));
    std::uint64_t regular = 0;
    std::uint64_t reclaimable = 0;
    for (const auto& [group, count] : simulation.servers)
        (group.isReclaimable ? reclaimable : regular) += count;
    CHECK_TRUE(reclaimable > 0);
    CHECK_TRUE(static_cast<double>(regular) * slots >= 160);

    const auto reclaimed = std::find_if(simulation.servers.begin(), simulation.servers.end(),
        [](const auto& entry) { return entry.first.isReclaimable && entry.second > 0; });
    auto seen = simulation.observe(160);
    auto& count = seen.servers[reclaimed->first];
    count.leaving = count.reclaimed = count.usable;
    count.usable = 0;
    reclaimed->second = 0;
    const auto decision = simulation.step(seen);
    CHECK_TRUE(decision.reason == ScalingReason::Shortage);
    LONGS_EQUAL(0, decision.orders.at(reclaimed->first));
    CHECK_TRUE(decision.orders.size() >= 2);
    CHECK_FALSE(decision.orders.contains(groupOf("z1", true)) && decision.orders.at(groupOf("z1", true)) > 0
        && reclaimed->first == groupOf("z1", true));
    simulation.run(30, constant(160));
    CHECK_TRUE(static_cast<double>(simulation.total()) * slots >= 160 * 1.2);
}

// The cheapest data centre has no servers, then none has any, while the load is above what is there.
TEST(PoolScaling, WhatOneDataCentreLacksIsOrderedInAnother)
{
    Simulation simulation(limitsOf(1, 30), 2);
    simulation.unavailable = { groupOf("z1") };
    simulation.run(30, constant(100));
    LONGS_EQUAL(2, simulation.servers[groupOf("z1")]);
    CHECK_TRUE(simulation.total() * slots >= 120);
}

TEST(PoolScaling, NothingIsAskedForMoreOftenThanEveryFewSecondsIfThereIsNone)
{
    Simulation simulation(limitsOf(1, 30), 2);
    simulation.unavailable = { groupOf("z1"), groupOf("z2"), groupOf("z3") };
    simulation.run(60, constant(100));
    CHECK_TRUE(simulation.orders <= 3 * 12);
    simulation.unavailable.clear();
    simulation.run(20, constant(100));
    CHECK_TRUE(simulation.total() * slots >= 120);
}

// Most of the VMs don't report, so the load seems to be gone: servers given up now would be missed.
TEST(PoolScaling, MissingReportsChangeNoOrder)
{
    Simulation simulation(limitsOf(1, 30), 8);
    simulation.run(60, constant(120));
    simulation.freshReports = 4;
    CHECK_TRUE(simulation.run(120, constant(5)).reason == ScalingReason::InputsMissing);
    LONGS_EQUAL(0, simulation.orders);
    // The lower need must then hold anew.
    simulation.freshReports = 5;
    simulation.run(15, constant(5));
    LONGS_EQUAL(0, simulation.orders);
}

// A quarter of the VMs can't be asked and may be the busy ones.
TEST(PoolScaling, NoServerIsGivenUpWhileSomeReportsAreMissing)
{
    Simulation simulation(limitsOf(1, 30), 8);
    simulation.freshReports = 8;
    simulation.run(120, constant(5));
    LONGS_EQUAL(0, simulation.orders);
    simulation.freshReports = 9;
    simulation.run(20, constant(5));
    CHECK_TRUE(simulation.orders > 0);
}

TEST(PoolScaling, AnOutageOfTheStoreChangesNoOrder)
{
    Simulation simulation(limitsOf(1, 30), 8);
    auto seen = simulation.observe(0);
    seen.servers.clear();
    seen.storeAge = 8s;
    for (int second = 0; second < 60; ++second)
        CHECK_TRUE(simulation.step(seen).orders.empty());
}

// A deployment starts, and its servers are listed one after the other: an order that states the few that are known
// would make the platform drain the others.
TEST(PoolScaling, NothingIsOrderedWhileTheServersOfADeploymentAreBeingListed)
{
    Simulation simulation(limitsOf(2, 30), 8);
    simulation.state = PoolScalingState {};
    for (std::uint64_t second = 0; second < 60; ++second) {
        auto seen = simulation.observe(120);
        for (auto& [group, count] : seen.servers)
            count.usable = std::min(count.usable, second);
        simulation.step(seen);
    }
    LONGS_EQUAL(0, simulation.orders);
    LONGS_EQUAL(8, simulation.state.groups[groupOf("z2")].count);
}

// A data centre is lost together with the deciding VM before anything was ordered.
TEST(PoolScaling, ServersThatWereNeverOrderedAreRememberedByTheNextHolder)
{
    Simulation simulation(limitsOf(2, 30), 8);
    simulation.run(10, constant(120));
    PoolScalingState taken;
    taken.groups = simulation.state.groups;
    simulation.state = taken;
    simulation.lost.insert(DataCentre("z1"));
    simulation.run(60, constant(120));
    LONGS_EQUAL(8, simulation.ordered[groupOf("z1")]);
}

// The deciding VM changes every 4 s and takes over what was ordered: a burst is answered by the same orders as with one
// holder, and nothing is given up.
TEST(PoolScaling, ChangingHoldersDoNotOrderTwice)
{
    Simulation single(limitsOf(1, 30), 2);
    single.run(40, constant(160));
    Simulation changing(limitsOf(1, 30), 2);
    for (int holder = 0; holder < 10; ++holder) {
        PoolScalingState taken;
        taken.groups = changing.state.groups;
        changing.state = taken;
        changing.run(4, constant(160));
    }
    LONGS_EQUAL(single.orders, changing.orders);
    LONGS_EQUAL(single.total(), changing.total());
    changing.run(8, constant(4));
    LONGS_EQUAL(single.total(), changing.total());
}

// No answer for a minute while the load grows from 40 to 200: the same order is repeated, since it may have taken
// effect, and the rest follows once it is confirmed.
TEST(PoolScaling, AnOrderOfUnknownOutcomeIsRepeatedUnchanged)
{
    Simulation simulation(limitsOf(1, 30), 2);
    simulation.isDown = true;
    const auto first = simulation.run(1, constant(60)).orders;
    CHECK_FALSE(first.empty());
    for (int second = 0; second < 60; ++second) {
        const auto decision = simulation.run(1, constant(60 + 140.0 * second / 60));
        for (const auto& [group, count] : first)
            LONGS_EQUAL(count, decision.orders.at(group));
    }
    simulation.isDown = false;
    simulation.run(40, constant(200));
    CHECK_TRUE(simulation.total() * slots >= 240);
}

// Servers that were ordered and never come: after the time in which they should have started, others are ordered
// elsewhere.
TEST(PoolScaling, ServersThatDoNotStartAreOrderedElsewhere)
{
    Simulation simulation(limitsOf(1, 30), 2);
    simulation.run(1, constant(100));
    std::erase_if(simulation.starting, [](const auto& start) { return start.first == groupOf("z1"); });
    simulation.run(50, constant(100));
    CHECK_TRUE(simulation.total() * slots >= 120);
}

// Trainers with 480 items every 60 s of which each takes 8 s: between two steps no item waits, but the next one comes.
TEST(PoolScaling, TheNextStepOfATrainerKeepsItsServers)
{
    Simulation simulation(limitsOf(1, 30), 5);
    for (int second = 0; second < 300; ++second) {
        auto seen = simulation.observe(0);
        seen.itemTime = 8s;
        const bool isOpen = second % 60 < 40;
        seen.steps.push_back({ ModelName("m"), isOpen, 480, isOpen ? 480U - 12U * (second % 60) : 0, 60s,
            60s - std::chrono::seconds(second % 60) });
        simulation.step(seen);
        CHECK_TRUE(simulation.total() * slots >= 64);
    }
    LONGS_EQUAL(0, simulation.orders);
}

TEST(PoolScaling, ItemsThatAreDueSoonNeedMoreConcurrency)
{
    PoolObservation seen;
    seen.itemTime = 2s;
    seen.steps.push_back({ ModelName("m"), true, 100, 100, 20s, 20s });
    DOUBLES_EQUAL(10, concurrencyNeeded(seen), 0.01);
    seen.steps.front().timeLeft = 10s;
    DOUBLES_EQUAL(20, concurrencyNeeded(seen), 0.01);
    // Servers that are ordered now are too late for a step that is overdue.
    seen.steps.front().timeLeft = -5s;
    DOUBLES_EQUAL(40, concurrencyNeeded(seen), 0.01);
}

// 20 items in flight of which 10 finish each second take 2 s each.
TEST(PoolScaling, TheTimeOfAnItemFollowsFromThoseInFlight)
{
    ItemTimeEstimate estimate;
    CHECK_TRUE(itemTimeOf(estimate) == 0s);
    for (int second = 0; second < 10; ++second)
        recordItems(estimate, 20, 10, 1s);
    CHECK_TRUE(itemTimeOf(estimate) > 1990ms && itemTimeOf(estimate) < 2010ms);
}

TEST(PoolScaling, EachModelHasAServerThoughNothingIsRequested)
{
    Simulation simulation(limitsOf(0, 30), 0);
    auto seen = simulation.observe(0);
    seen.models = 3;
    for (int second = 0; second < 30; ++second)
        simulation.step(seen);
    CHECK_TRUE(simulation.total() >= 3);
}

// A pool of 3,000 servers: one decision must not hold up the loop of a weak VM.
TEST(PoolScaling, LargePoolsAreDecidedQuickly)
{
    Simulation simulation(limitsOf(1, 2000), 10);
    const auto startedAt = Clock::now();
    simulation.run(1, constant(12000));
    CHECK_TRUE(Clock::now() - startedAt < 100ms);
    CHECK_TRUE(simulation.orders == 3);
}
