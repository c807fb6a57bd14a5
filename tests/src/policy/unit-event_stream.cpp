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

// Results are JSON: a row or page with bytes that are not UTF-8 could be written, and not be read again.
TEST(EventStream, AnEventOfATextHoldsUtf8Only)
{
    CHECK_FALSE(checkTextEvent(4, 5, "caf\xc3\xa9").has_value());
    CHECK_FALSE(checkTextEvent(std::nullopt, 1, "").has_value());
    CHECK_TRUE(checkTextEvent(4, 5, "caf\xe9").has_value());
    // A character that is cut off, though the next event may hold the rest: a result separates them by a line feed.
    CHECK_TRUE(checkTextEvent(4, 5, "caf\xc3").has_value());
    CHECK_TRUE(checkTextEvent(4, 6, "caf\xc3\xa9").has_value());
}

// All servers send an event that no text can hold in the same place: without a pause the item was sent again as fast as
// they answered.
TEST(EventStream, AnItemWhoseEventsAreRefusedInARowIsResumedMoreAndMoreSlowly)
{
    CHECK_TRUE(pauseAfterRefusedEvents(1) == 0ms);
    Duration last = pauseAfterRefusedEvents(2);
    CHECK_TRUE(last > 0ms);
    for (std::size_t events = 3; events < 100; ++events) {
        CHECK_TRUE(pauseAfterRefusedEvents(events) >= last);
        last = pauseAfterRefusedEvents(events);
    }
    CHECK_TRUE(last >= 1s && last < 3s);
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
