#include <topaztack/policy/retry.hpp>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

TEST_GROUP(RetryTest) {};

TEST(RetryTest, RetriesStayWithinThePercentageOfFirstAttempts)
{
    CHECK_TRUE(rc::check("extra attempts", [](std::uint64_t seed, std::uint8_t rawPercent) {
        const std::uint64_t percent = rawPercent % 101;
        RetryBudget budget;
        Random random(seed);
        std::uint64_t retries = 0;
        for (std::uint64_t first = 1; first <= 500; ++first) {
            earnRetry(budget, percent);
            RetryContext context { 1, true, false, 30s };
            while (random.below(2) == 0 && decideRetry(budget, context, random) >= 0us)
                ++retries;
            RC_ASSERT(retries * 100 <= first * percent);
        }
    }));
}

TEST(RetryTest, RetryIsRefusedIfUnsafeOrAtTheAttemptLimitOrPastTheDeadline)
{
    RetryBudget budget { 10000 };
    Random random(1);
    CHECK_TRUE(decideRetry(budget, { 1, false, true, 30s }, random) < 0us);
    CHECK_TRUE(decideRetry(budget, { maxRequestAttempts, true, true, 30s }, random) < 0us);
    CHECK_TRUE(decideRetry(budget, { 1, true, true, 0s }, random) < 0us);
    CHECK_TRUE(decideRetry(budget, { 1, true, false, 30s }, random) >= 0us);
}

TEST(RetryTest, RetryAfterAFreeFailureIsNotCharged)
{
    RetryBudget budget;
    Random random(1);
    CHECK_TRUE(decideRetry(budget, { 1, true, true, 30s }, random) >= 0us);
    CHECK_TRUE(decideRetry(budget, { 1, true, false, 30s }, random) < 0us);
}

// A VM has just started and has earned no credit yet; the engine of its first request fails before the first token.
TEST(RetryTest, InitialBudgetAllowsRetriesUnlessThePercentageIsZero)
{
    Random random(1);
    auto budget = initialRetryBudget(10);
    std::uint64_t retries = 0;
    while (decideRetry(budget, { 1, true, false, 30s }, random) >= 0us)
        ++retries;
    LONGS_EQUAL(initialRetryCredit, retries);
    auto none = initialRetryBudget(0);
    CHECK_TRUE(decideRetry(none, { 1, true, false, 30s }, random) < 0us);
}

TEST(RetryTest, BackoffStaysBelowItsCap)
{
    Random random(7);
    for (std::uint32_t attempt = 1; attempt < 100; ++attempt) {
        CHECK_TRUE(backoff(1, random) < 5ms);
        CHECK_TRUE(backoff(attempt, random) < 1s);
    }
}
