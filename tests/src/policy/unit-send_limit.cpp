#include <topaztack/policy/send_limit.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

/// A number of requests sent together, all of which find the servers full.
void refuse(SendLimit& limit, int count, TimePoint now, bool isUsedUp = true)
{
    for (int index = 0; index < count; ++index)
        recordSend(limit, now);
    SendResult result;
    result.outcome = SendOutcome::Full;
    result.isUsedUp = isUsedUp;
    for (int index = 0; index < count; ++index)
        recordSendResult(limit, result, now);
}

void answer(SendLimit& limit, Duration took, TimePoint now)
{
    recordSend(limit, now - took);
    SendResult result;
    result.outcome = SendOutcome::Answered;
    result.took = took;
    result.latencyObjective = 150ms;
    result.isUsedUp = true;
    recordSendResult(limit, result, now);
}

} // namespace

TEST_GROUP(SendLimit)
{
    SendLimit limit;
    const TimePoint start { 1h };
};

TEST(SendLimit, NothingIsLimitedBeforeAServerIsFull)
{
    for (int index = 0; index < 100; ++index)
        recordSend(this->limit, this->start);
    CHECK_FALSE(isLimited(this->limit, this->start));
    CHECK_TRUE(nextSendAt(this->limit, 25ms, this->start) == this->start);
}

// Requests sent together are refused together: each counted alone would end at the lowest limit.
TEST(SendLimit, RefusalsWithin100MillisecondsHalveTheLimitOnce)
{
    refuse(this->limit, 8, this->start);
    DOUBLES_EQUAL(4, this->limit.limit, 1e-9);
    refuse(this->limit, 4, this->start + 99ms);
    DOUBLES_EQUAL(4, this->limit.limit, 1e-9);
    refuse(this->limit, 4, this->start + 100ms);
    DOUBLES_EQUAL(2, this->limit.limit, 1e-9);
}

TEST(SendLimit, BelowOneThereIsAPauseBetweenSends)
{
    refuse(this->limit, 1, this->start);
    refuse(this->limit, 1, this->start + 200ms);
    refuse(this->limit, 1, this->start + 400ms);
    DOUBLES_EQUAL(0.25, this->limit.limit, 1e-9);
    CHECK_TRUE(nextSendAt(this->limit, 25ms, this->start + 400ms) == this->start + 500ms);
}

TEST(SendLimit, WorkspaceWithOneRequestAtOnceIsNotPaused)
{
    for (auto time = 0ms; time < 2s; time += 200ms)
        refuse(this->limit, 1, this->start + time, false);
    DOUBLES_EQUAL(1, this->limit.limit, 1e-9);
}

TEST(SendLimit, EarlyAnswersRaiseTheLimitAndLateOnesLowerIt)
{
    refuse(this->limit, 4, this->start);
    for (auto time = 100ms; time <= 1s; time += 100ms)
        answer(this->limit, 30ms, this->start + time);
    const auto raised = this->limit.limit;
    CHECK_TRUE(raised > 2);
    for (auto time = 1100ms; time <= 3s; time += 100ms)
        answer(this->limit, 120ms, this->start + time);
    CHECK_TRUE(this->limit.limit < raised / 2);
}

TEST(SendLimit, LimitIsForgottenFiveSecondsAfterTheLastSignOfCongestion)
{
    refuse(this->limit, 4, this->start);
    CHECK_TRUE(isLimited(this->limit, this->start + 4999ms));
    CHECK_FALSE(isLimited(this->limit, this->start + 5s));
}
