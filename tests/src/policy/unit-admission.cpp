#include "policy/overload_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 5;

/// Parts of the capacity completed in time, and of the sends answered "full", must meet these (WORK.md, B.6).
constexpr double minInTimePart = 0.9;
constexpr double maxFullPart = 0.1;

double fullPart(const World& world)
{
    return world.sends == 0 ? 0 : static_cast<double>(world.fulls) / static_cast<double>(world.sends);
}

double partOfCapacity(const World& world, std::size_t servers, double seconds)
{
    return static_cast<double>(world.total().inTime) / seconds / world.capacity(servers);
}

double inTimePart(World& world, const std::string& workspace) { return world.outcomes[workspace].inTimePart(); }

/// Two of three servers are gone for 12 s in which 677 requests/s arrive at all VMs.
struct HeavyDay {
    explicit HeavyDay(std::uint64_t seed, double floodPerSecond = 677)
        : world({}, seed)
    {
        this->world.takeAway(1, 0s, 14s);
        this->world.takeAway(2, 0s, 14s);
        this->world.addLoad("small", { 3, 4 }, 3, 0s, 14s);
        if (floodPerSecond > 0)
            this->world.addLoad("flood", this->world.everyVm(), floodPerSecond, 2s, 14s);
        this->world.run(2s);
        this->world.resetCounts();
        this->world.run(14s);
    }

    World world;
};

WaitingRequest makeRequest(const std::string& workspace, Duration latestStart)
{
    return { WorkspaceName(workspace), 0, 25ms, TimePoint(latestStart) };
}

} // namespace

TEST_GROUP(Admission) { Random random { 7 }; };

TEST(Admission, RequestRunsAtOnceWhileNobodyWaits)
{
    PoolQueue pool;
    CHECK_TRUE(AdmissionVerdict::Run
        == decideAdmission(pool, makeRequest("a", 2s), true, TimePoint(1s), this->random).verdict);
    CHECK_TRUE(AdmissionVerdict::Wait
        == decideAdmission(pool, makeRequest("a", 2s), false, TimePoint(1s), this->random).verdict);
}

TEST(Admission, RetryAfterGrowsWithTheQueueAndStaysWithinItsBounds)
{
    PoolQueue pool;
    for (auto time = 0s; time <= 5s; time += 1s)
        recordDrained(pool.drain, 1s, TimePoint(time));
    const auto shortest = retryAfter(pool, makeRequest("a", 5s), TimePoint(5s), this->random);
    CHECK_TRUE(shortest >= minRefusalRetryAfter && shortest <= 2 * minRefusalRetryAfter);
    for (int index = 0; index < 100; ++index)
        enqueue(pool.waiting, makeRequest("b", 6s));
    for (int index = 0; index < 40; ++index)
        enqueue(pool.waiting, makeRequest("a", 6s));
    const auto longer = retryAfter(pool, makeRequest("a", 5s), TimePoint(5s), this->random);
    CHECK_TRUE(longer > 1s);
    for (int index = 0; index < 2000; ++index)
        CHECK_TRUE(retryAfter(pool, makeRequest("a", 5s), TimePoint(5s), this->random) <= maxRefusalRetryAfter);
}

TEST(Admission, FairLevelGivesSmallDemandsAllAndSharesTheRest)
{
    DOUBLES_EQUAL(4, fairLevel({ 1, 1, 10, 20 }, 10), 1e-9);
    DOUBLES_EQUAL(2.5, fairLevel({ 10, 10, 10, 10 }, 10), 1e-9);
}

// All servers are full while most of 68 VMs each have less than one request there.
TEST(Admission, MostOfTheCapacityIsInTimeAndFewSendsMeetFullServers)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const HeavyDay day(seed);
        CHECK_TRUE(partOfCapacity(day.world, 1, 12) >= minInTimePart);
        CHECK_TRUE(fullPart(day.world) < maxFullPart);
    }
}

TEST(Admission, SmallWorkspaceIsInTimeAsOftenAsWithoutTheFloodFromAllVms)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        HeavyDay day(seed);
        HeavyDay calm(seed, 0);
        CHECK_TRUE(inTimePart(day.world, "small") >= inTimePart(calm.world, "small"));
    }
}

TEST(Admission, SmallWorkspaceIsInTimeAsOftenAsWithoutAFloodFromOneVm)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world({}, seed);
        world.addLoad("small", { 3, 4 }, 20, 0s, 10s);
        world.addLoad("flood", { 3 }, 2000, 0s, 10s);
        world.run(10s);
        CHECK_TRUE(partOfCapacity(world, 3, 10) >= minInTimePart);
        CHECK_TRUE(fullPart(world) < maxFullPart);
        CHECK_TRUE(inTimePart(world, "small") >= 1);
    }
}

// Queues that know only their own VM's requests give the large workspace 20 to 30 shares.
TEST(Admission, LargeWorkspaceAtAllVmsGetsNoMoreThanOneAndAHalfShares)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world({}, seed);
        for (std::size_t index = 0; index < 75; ++index) {
            std::vector<std::size_t> at { index * 7 % 68 };
            if (index % 2 == 1)
                at.push_back(index * 13 % 68);
            world.addLoad("small" + std::to_string(index), at, 20, 0s, 20s);
        }
        world.addLoad("large", world.everyVm(), 700, 0s, 20s);
        world.run(6s);
        world.resetCounts();
        world.run(20s);
        const auto share = static_cast<double>(world.total().inTime) / 76;
        CHECK_TRUE(static_cast<double>(world.outcomes["large"].inTime) <= 1.5 * share);
        CHECK_TRUE(static_cast<double>(world.outcomes["large"].inTime) >= share / 1.5);
        CHECK_TRUE(partOfCapacity(world, 3, 14) >= minInTimePart);
        CHECK_TRUE(fullPart(world) < maxFullPart);
    }
}

TEST(Admission, UrgentRankIsInTimeWhileAnotherFloods)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world({}, seed);
        world.addLoad("urgent", { 1, 2, 3 }, 100, 0s, 10s, 0);
        world.addLoad("flood", world.everyVm(), 1400, 0s, 10s, 3);
        world.run(10s);
        CHECK_TRUE(inTimePart(world, "urgent") >= minInTimePart);
        CHECK_TRUE(partOfCapacity(world, 3, 10) >= minInTimePart);
    }
}

// A trainer's scoring calls come all at once, from one VM.
TEST(Admission, StepOfATrainerDoesNotMakeCallersLate)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world({}, seed);
        world.addLoad("callers", world.everyVm(), 200, 0s, 10s);
        for (auto at = 1s; at < 10s; at += 2s)
            world.addLoad("trainer", { 5 }, 2000, at, at + 200ms);
        world.run(10s);
        CHECK_TRUE(inTimePart(world, "callers") >= 0.99);
    }
}

// Requests that were refused come back together when servers are free again.
TEST(Admission, LoadThatFitsIsInTimeAgainSoonAfterABurstOrALoss)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world({}, seed);
        world.takeAway(1, 0s, 4s);
        world.addLoad("usual", world.everyVm(), 300, 0s, 14s);
        world.addLoad("burst", world.everyVm(), 1500, 1s, 4s);
        world.run(6s);
        world.resetCounts();
        world.run(14s);
        CHECK_TRUE(inTimePart(world, "usual") >= 0.99);
        CHECK_TRUE(fullPart(world) < maxFullPart);
        world.run(15s);
        LONGS_EQUAL(0, world.waiting());
    }
}

TEST(Admission, ManyVmsWithFewRequestsEachUseTheCapacity)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        WorldOptions options;
        options.vms = 350;
        World world(options, seed);
        world.addLoad("callers", world.everyVm(), 2100, 0s, 12s);
        world.run(2s);
        world.resetCounts();
        world.run(12s);
        CHECK_TRUE(partOfCapacity(world, 3, 10) >= minInTimePart);
        CHECK_TRUE(fullPart(world) < maxFullPart);
    }
}
