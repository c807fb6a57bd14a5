#include <topaztack/wire/connection_budget.hpp>

#include <CppUTest/TestHarness.h>

#include <list>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = 8000;
constexpr std::size_t openPart = 7000;

} // namespace

TEST_GROUP(ConnectionBudget)
{
    ConnectionBudget budget { .maxHeld = limit };
    std::list<ConnectionUse> uses;
    TimePoint now { Clock::now() };

    ConnectionUse& add(ConnectionPhase phase, std::size_t held = 0)
    {
        auto& use = this->uses.emplace_back();
        join(this->budget, use, this->now);
        changePhase(this->budget, use, phase, this->now);
        CHECK_TRUE(tryHold(this->budget, use, held));
        return use;
    }

    void teardown() override
    {
        for (auto& use : this->uses)
            leave(this->budget, use);
    }
};

// In calm a request of the largest size is served beside idle connections.
TEST(ConnectionBudget, OneRequestMayTakeAllButASixteenthOfTheBudget)
{
    this->add(ConnectionPhase::Idle, 400);
    auto& large = this->add(ConnectionPhase::Receiving);
    CHECK_TRUE(tryHold(this->budget, large, limit - limit / 16 - 400));
    CHECK_FALSE(tryHold(this->budget, large, limit - limit / 16 - 399));
}

TEST(ConnectionBudget, ConnectionsHoldLessWhileTheRestOfTheProcessNeedsMore)
{
    this->add(ConnectionPhase::Receiving, 1000);
    static constexpr std::size_t process = 16000;
    LONGS_EQUAL(limit, maxHeldBeside(this->budget, limit, process, 0));
    LONGS_EQUAL(limit, maxHeldBeside(this->budget, limit, process, 5000));
    LONGS_EQUAL(5000, maxHeldBeside(this->budget, limit, process, 11000));
    LONGS_EQUAL(limit / 8, maxHeldBeside(this->budget, limit, process, 30000));
}

// Pattern: a crowd of large bodies that never end.
TEST(ConnectionBudget, SmallRequestsFindRoomBesideManyLargeOnes)
{
    std::size_t held = 0;
    for (int count = 0; count < 100; ++count) {
        auto& use = this->add(ConnectionPhase::Receiving);
        while (tryHold(this->budget, use, use.held + 100))
            held += 100;
    }
    CHECK_TRUE(held >= openPart);
    CHECK_TRUE(this->budget.held < limit);
    auto& small = this->add(ConnectionPhase::Receiving);
    CHECK_TRUE(tryHold(this->budget, small, (limit - this->budget.held) / 2));
}

TEST(ConnectionBudget, StalledRequestsAreEvictedOnlyUnderPressureLongestFirst)
{
    auto& first = this->add(ConnectionPhase::Receiving, 3000);
    this->now += 10ms;
    auto& second = this->add(ConnectionPhase::Receiving, 900);
    this->now += stallTime;
    CHECK_TRUE(evictStalled(this->budget, this->now).empty());
    auto& third = this->add(ConnectionPhase::Receiving, 600);
    const auto evicted = evictStalled(this->budget, this->now);
    LONGS_EQUAL(1, evicted.size());
    POINTERS_EQUAL(&first, evicted.front());
    CHECK_FALSE(second.isEvicted);
    CHECK_FALSE(third.isEvicted);
}

// Pattern: a caller sends a byte now and then, so that its connection never falls silent.
TEST(ConnectionBudget, ATrickleIsNoProgress)
{
    auto& trickle = this->add(ConnectionPhase::Receiving, 3000);
    auto& steady = this->add(ConnectionPhase::Receiving, 3000);
    for (int count = 0; count < 20; ++count) {
        this->now += stallTime / 10;
        recordProgress(this->budget, trickle, 1, this->now);
        recordProgress(this->budget, steady, minProgress / 4, this->now);
    }
    const auto evicted = evictStalled(this->budget, this->now);
    LONGS_EQUAL(1, evicted.size());
    POINTERS_EQUAL(&trickle, evicted.front());
}

TEST(ConnectionBudget, ARequestInHandIsNeverEvicted)
{
    this->add(ConnectionPhase::Handling, openPart);
    this->now += 10 * stallTime;
    CHECK_TRUE(evictStalled(this->budget, this->now).empty());
    POINTERS_EQUAL(nullptr, evictForNewConnection(this->budget, this->now));
}

TEST(ConnectionBudget, ANewConnectionTakesThePlaceOfTheLeastUseful)
{
    auto& handled = this->add(ConnectionPhase::Handling);
    auto& stalled = this->add(ConnectionPhase::Receiving);
    this->now += stallTime;
    auto& idle = this->add(ConnectionPhase::Idle);
    auto& receiving = this->add(ConnectionPhase::Receiving);
    auto& closing = this->add(ConnectionPhase::Closing);
    for (auto* expected : { &closing, &stalled, &idle, &receiving })
        POINTERS_EQUAL(expected, evictForNewConnection(this->budget, this->now));
    POINTERS_EQUAL(nullptr, evictForNewConnection(this->budget, this->now));
    CHECK_FALSE(handled.isEvicted);
}

TEST(ConnectionBudget, WhatEvictedConnectionsHoldIsReturnedWhenTheyEnd)
{
    auto& stalled = this->add(ConnectionPhase::Receiving, openPart);
    this->now += stallTime;
    LONGS_EQUAL(1, evictStalled(this->budget, this->now).size());
    CHECK_TRUE(evictStalled(this->budget, this->now).empty());
    LONGS_EQUAL(openPart, this->budget.held);
    changePhase(this->budget, stalled, ConnectionPhase::Sending, this->now);
    CHECK_TRUE(tryHold(this->budget, stalled, 0));
    LONGS_EQUAL(0, this->budget.held);
    LONGS_EQUAL(0, this->budget.heldByEvicted);
}
