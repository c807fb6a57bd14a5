#include <topaztack/policy/event_stream.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

TEST_GROUP(EventStream) {};

TEST(EventStream, AnEventFollowsTheLastOneWithoutAGapAndOnce)
{
    CHECK_TRUE(isNextEvent(std::nullopt, 1));
    CHECK_FALSE(isNextEvent(std::nullopt, 0));
    CHECK_FALSE(isNextEvent(std::nullopt, 2));
    CHECK_TRUE(isNextEvent(4, 5));
    CHECK_FALSE(isNextEvent(4, 4));
    CHECK_FALSE(isNextEvent(4, 6));
}

// Engines with an event each 2 s are slow, but sound; with a fixed limit of 1.5 s their streams were cut.
TEST(EventStream, TheLimitBetweenEventsFollowsTheServersPace)
{
    CHECK_TRUE(eventTimeLimit(0ms) == 1500ms);
    CHECK_TRUE(eventTimeLimit(50ms) == 1500ms);
    CHECK_TRUE(eventTimeLimit(2s) > 4s);
}

TEST(EventStream, AFirstEventMayTakeLongerThanItsObjectiveBeforeAnotherServerIsTried)
{
    CHECK_TRUE(firstEventTimeLimit(400ms, 0ms) == 600ms);
    CHECK_TRUE(firstEventTimeLimit(2s, 0ms) == 3s);
    CHECK_TRUE(firstEventTimeLimit(400ms, 500ms) == 4s);
}
