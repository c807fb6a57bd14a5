#include <topaztack/samples/load_concurrency.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

/// Loads in rounds against a store that serves some at full speed; a load's end is told of after up to 1.2 s.
LoadConcurrency paceAfter(std::size_t rounds, std::size_t engines, std::size_t served)
{
    auto pace = initialLoadConcurrency(engines);
    std::size_t told = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto running = pace.maxConcurrentLoads;
        const auto stretch = std::max(1.0, static_cast<double>(running) / static_cast<double>(served));
        for (std::size_t load = 0; load < running; ++load) {
            const auto late = std::chrono::milliseconds(150 * (5 * told++ % 9));
            recordLoad(
                pace, std::chrono::duration_cast<Duration>(900ms * stretch) + late, running, pace.round, engines);
        }
    }
    return pace;
}

} // namespace

TEST_GROUP(LoadConcurrency) {};

// Pattern: 3,000 engines before a store that serves 9 loads. With 600 at once each takes a minute, which passes for a
// failed load, and no engine ever has the weights that its trainer waits for.
TEST(LoadConcurrency, FallsToTheCapacityOfASmallStore)
{
    const auto pace = paceAfter(30, 3000, 9);
    CHECK_TRUE(pace.maxConcurrentLoads >= 8);
    CHECK_TRUE(pace.maxConcurrentLoads <= 20);
}

TEST(LoadConcurrency, GrowsToTheCapacityOfALargeStore)
{
    const auto pace = paceAfter(40, 3000, 600);
    CHECK_TRUE(pace.maxConcurrentLoads >= 400);
    CHECK_TRUE(pace.maxConcurrentLoads <= 800);
}

TEST(LoadConcurrency, StaysNearTheStoreCapacityOfKnownDeployments)
{
    const auto small = paceAfter(60, 11, 2);
    CHECK_TRUE(small.maxConcurrentLoads >= 2);
    CHECK_TRUE(small.maxConcurrentLoads <= 3);
    const auto large = paceAfter(60, 44, 9);
    CHECK_TRUE(large.maxConcurrentLoads >= 8);
    CHECK_TRUE(large.maxConcurrentLoads <= 12);
}

TEST(LoadConcurrency, StaysBetweenTwoAndHalfOfTheEngines)
{
    // One more than the limit is tried now and then.
    const auto small = paceAfter(60, 8, 1);
    CHECK_TRUE(small.maxConcurrentLoads >= 2);
    CHECK_TRUE(small.maxConcurrentLoads <= 3);
    CHECK_TRUE(paceAfter(60, 8, 100).maxConcurrentLoads == 4);
}

// Pattern: the first version of a day. A load whose length is not known yet must not pass for over at once: every
// engine would be loading within a second, and none would serve.
TEST(LoadConcurrency, AssumesOneSecondPerLoadUntilMeasured)
{
    CHECK_TRUE(initialLoadConcurrency(44).baselineLoadTime == 1s);
    auto pace = initialLoadConcurrency(44);
    for (int load = 0; load < 20; ++load)
        recordLoad(pace, 2500ms, 1, pace.round, 44);
    CHECK_TRUE(pace.baselineLoadTime == 2500ms);
}

// Pattern: a version is named while nothing loads: the first of a burst begins alone and is slowed down by those after
// it.
TEST(LoadConcurrency, BurstThatStartsWithOneLoadDoesNotLowerTheLimit)
{
    auto pace = initialLoadConcurrency(44);
    for (int burst = 0; burst < 20; ++burst) {
        const auto running = pace.maxConcurrentLoads;
        const auto round = pace.round;
        const auto stretch = std::max(1.0, static_cast<double>(running) / 9);
        for (std::size_t load = 1; load <= running; ++load)
            recordLoad(pace, std::chrono::duration_cast<Duration>(900ms * stretch), std::max(load, running + 1 - load),
                round, 44);
    }
    CHECK_TRUE(pace.maxConcurrentLoads >= 7);
    CHECK_TRUE(pace.maxConcurrentLoads <= 13);
}

// Pattern: the limit has just been lowered, and the loads that were begun under the old one end one after the other.
TEST(LoadConcurrency, LoadsStartedUnderAnEarlierLimitDoNotLowerItAgain)
{
    auto pace = initialLoadConcurrency(44);
    for (int load = 0; load < 12; ++load)
        recordLoad(pace, 900ms, 9, pace.round, 44);
    const auto before = pace.round;
    for (int load = 0; load < 12; ++load)
        recordLoad(pace, 1300ms, 12, before, 44);
    const auto lowered = pace.maxConcurrentLoads;
    CHECK_TRUE(lowered < 9);
    for (int load = 0; load < 40; ++load)
        recordLoad(pace, 1800ms, 18, before, 44);
    LONGS_EQUAL(lowered, pace.maxConcurrentLoads);
}
