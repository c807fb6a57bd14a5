#include <topaztack/policy/drain.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

TEST_GROUP(Drain) {};

// The load is 12 callers with kept connections; requests taken late in a planned stop need most of the time that is
// left.
TEST(Drain, ARequestThatMightOutliveTheProcessIsTakenOnlyWhileCallersStillComeHere)
{
    const TimePoint start {};
    const auto drain = planDrain(start, 8s);
    CHECK_TRUE(mayTakeRequest(drain, start + 2s, start + 12s));
    CHECK_FALSE(mayTakeRequest(drain, start + 3s, start + 13s));
    CHECK_TRUE(mayTakeRequest(drain, start + 3s, start + 4s));
}

TEST(Drain, RequestsRunUntilShortlyBeforeTheProcessIsKilled)
{
    const TimePoint start {};
    const auto drain = planDrain(start, 8s);
    CHECK_TRUE(drain.abandonAt >= start + 7500ms);
    CHECK_TRUE(drain.abandonAt < drain.answerAt);
    CHECK_TRUE(drain.answerAt < drain.endsAt);
    CHECK_TRUE(drain.endsAt < start + 8s);
    CHECK_TRUE(planDrain(start, 1s).outOfRotationAt <= planDrain(start, 1s).abandonAt);
}
