#include <topaztack/samples/load_concurrency.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

/// Simulates rounds of loads from a store that serves `storeCapacity` loads at full speed. The end of a load is
/// reported up to 1.2 s late.
LoadConcurrency concurrencyAfter(std::size_t rounds, std::size_t engines, std::size_t storeCapacity)
{
    auto concurrency = initialLoadConcurrency(engines);
    std::size_t reported = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto concurrent = concurrency.maxConcurrentLoads;
        const auto slowdown = std::max(1.0, static_cast<double>(concurrent) / static_cast<double>(storeCapacity));
        for (std::size_t load = 0; load < concurrent; ++load) {
            const auto delay = std::chrono::milliseconds(150 * (5 * reported++ % 9));
            recordLoad(concurrency, std::chrono::duration_cast<Duration>(900ms * slowdown) + delay, concurrent,
                concurrency.round, engines);
        }
    }
    return concurrency;
}

} // namespace

TEST_GROUP(LoadConcurrency) {};

// 3,000 engines share a store that serves 9 loads at full speed. With 600 loads at once each takes a minute, is treated
// as failed, and no engine ever gets the weights that its trainer waits for.
TEST(LoadConcurrency, FallsToTheCapacityOfASmallStore)
{
    const auto concurrency = concurrencyAfter(30, 3000, 9);
    CHECK_TRUE(concurrency.maxConcurrentLoads >= 8);
    CHECK_TRUE(concurrency.maxConcurrentLoads <= 20);
}

TEST(LoadConcurrency, GrowsToTheCapacityOfALargeStore)
{
    const auto concurrency = concurrencyAfter(40, 3000, 600);
    CHECK_TRUE(concurrency.maxConcurrentLoads >= 400);
    CHECK_TRUE(concurrency.maxConcurrentLoads <= 800);
}

TEST(LoadConcurrency, StaysNearTheStoreCapacityOfKnownDeployments)
{
    const auto small = concurrencyAfter(60, 11, 2);
    CHECK_TRUE(small.maxConcurrentLoads >= 2);
    CHECK_TRUE(small.maxConcurrentLoads <= 3);
    const auto large = concurrencyAfter(60, 44, 9);
    CHECK_TRUE(large.maxConcurrentLoads >= 8);
    CHECK_TRUE(large.maxConcurrentLoads <= 12);
}

TEST(LoadConcurrency, StaysBetweenTwoAndHalfOfTheEngines)
{
    // The limit is probed now and then with one load more.
    const auto small = concurrencyAfter(60, 8, 1);
    CHECK_TRUE(small.maxConcurrentLoads >= 2);
    CHECK_TRUE(small.maxConcurrentLoads <= 3);
    CHECK_TRUE(concurrencyAfter(60, 8, 100).maxConcurrentLoads == 4);
}

// On the first version, load times are unknown. If a load were assumed to end at once, every engine would be loading
// within a second, and none would serve.
TEST(LoadConcurrency, AssumesOneSecondPerLoadUntilMeasured)
{
    CHECK_TRUE(initialLoadConcurrency(44).baselineLoadTime == 1s);
    auto concurrency = initialLoadConcurrency(44);
    for (int load = 0; load < 20; ++load)
        recordLoad(concurrency, 2500ms, 1, concurrency.round, 44);
    CHECK_TRUE(concurrency.baselineLoadTime == 2500ms);
}

// A version arrives while nothing loads. The first load of the burst starts alone but is slowed down by the following
// ones, which must not be mistaken for a store that serves only one load.
TEST(LoadConcurrency, BurstThatStartsWithOneLoadDoesNotLowerTheLimit)
{
    auto concurrency = initialLoadConcurrency(44);
    for (int burst = 0; burst < 20; ++burst) {
        const auto concurrent = concurrency.maxConcurrentLoads;
        const auto round = concurrency.round;
        const auto slowdown = std::max(1.0, static_cast<double>(concurrent) / 9);
        for (std::size_t load = 1; load <= concurrent; ++load)
            recordLoad(concurrency, std::chrono::duration_cast<Duration>(900ms * slowdown),
                std::max(load, concurrent + 1 - load), round, 44);
    }
    CHECK_TRUE(concurrency.maxConcurrentLoads >= 7);
    CHECK_TRUE(concurrency.maxConcurrentLoads <= 13);
}

// After the limit is lowered, the loads that started under the old limit are still finishing.
TEST(LoadConcurrency, LoadsStartedUnderAnEarlierLimitDoNotLowerItAgain)
{
    auto concurrency = initialLoadConcurrency(44);
    for (int load = 0; load < 12; ++load)
        recordLoad(concurrency, 900ms, 9, concurrency.round, 44);
    const auto before = concurrency.round;
    for (int load = 0; load < 12; ++load)
        recordLoad(concurrency, 1300ms, 12, before, 44);
    const auto lowered = concurrency.maxConcurrentLoads;
    CHECK_TRUE(lowered < 9);
    for (int load = 0; load < 40; ++load)
        recordLoad(concurrency, 1800ms, 18, before, 44);
    LONGS_EQUAL(lowered, concurrency.maxConcurrentLoads);
}
