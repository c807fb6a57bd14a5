#include <topaztack/base/random.hpp>
#include <topaztack/policy/server_speed.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };
constexpr double usual = 0.025;

/// Samples of a time each, one after another at an interval.
bool feed(SpeedEstimate& estimate, TimePoint& now, int count, Duration took, Duration interval)
{
    bool isFound = false;
    for (int sample = 0; sample < count; ++sample)
        isFound = recordSample(estimate, took, 1, 6, false, now += interval) || isFound;
    return isFound;
}

} // namespace

TEST_GROUP(ServerSpeed)
{
    SpeedEstimate estimate;
    TimePoint now { start };
};

// Servers turn 2.5 times slower for 300 ms every few seconds; 40 answers per second come from each.
TEST(ServerSpeed, ShortNoiseDoesNotChangeTheSlowness)
{
    for (int round = 0; round < 20; ++round) {
        feed(this->estimate, this->now, 80, 25ms, 25ms);
        CHECK_FALSE(feed(this->estimate, this->now, 12, 62ms, 25ms));
        DOUBLES_EQUAL(1, slowness(this->estimate, usual, this->now, WorkKind::Request), 0.01);
    }
}

// The event interval of an engine turns from 40 to 100 ms, with one generation there.
TEST(ServerSpeed, ARealSlowDownIsFoundWithinHalfASecond)
{
    feed(this->estimate, this->now, 50, 40ms, 40ms);
    const auto slowSince = this->now;
    bool isFound = false;
    while (!isFound && this->now < slowSince + 2s)
        isFound = recordSample(this->estimate, 100ms, 0, 8, false, this->now += 100ms);
    CHECK_TRUE(this->now - slowSince <= 500ms);
    CHECK_TRUE(slowness(this->estimate, 0.04, this->now, WorkKind::EventInterval) > 1.7);
    // It is fast again as soon as it works as before.
    feed(this->estimate, this->now, 12, 40ms, 40ms);
    DOUBLES_EQUAL(1, slowness(this->estimate, 0.04, this->now, WorkKind::EventInterval), 0.01);
}

// A plain server turns ten times slower, with a request every 50 ms.
TEST(ServerSpeed, AnOverdueAnswerConfirmsSlowOnes)
{
    feed(this->estimate, this->now, 40, 25ms, 50ms);
    CHECK_FALSE(recordSample(this->estimate, 250ms, 1, 6, true, this->now += 250ms));
    CHECK_TRUE(recordSample(this->estimate, 250ms, 1, 6, true, this->now += 50ms));
}

// Before any answer of the slow server has arrived.
TEST(ServerSpeed, ARequestInFlightForTooLongCountsAtOnce)
{
    feed(this->estimate, this->now, 40, 25ms, 50ms);
    DOUBLES_EQUAL(1, overdueSlowness(this->estimate, usual, 62ms), 0.01);
    CHECK_TRUE(overdueSlowness(this->estimate, usual, 80ms) > 2.5);
    CHECK_TRUE(overdueSlowness(this->estimate, usual, 10s) <= 4);
    // Where nothing is known of the server, the pool's usual time counts.
    CHECK_TRUE(overdueSlowness({}, usual, 80ms) > 2.5);
    DOUBLES_EQUAL(1, overdueSlowness({}, 0, 10s), 0.01);
}

// A server runs at half speed from its start on.
TEST(ServerSpeed, AServerAtHalfSpeedIsKnownWithConfidenceAndForgottenWithAge)
{
    feed(this->estimate, this->now, 2, 50ms, 100ms);
    const auto early = slowness(this->estimate, usual, this->now, WorkKind::Request);
    CHECK_TRUE(early > 1 && early < 1.2);
    feed(this->estimate, this->now, 30, 50ms, 100ms);
    CHECK_TRUE(slowness(this->estimate, usual, this->now, WorkKind::Request) > 1.5);
    CHECK_TRUE(confidence(this->estimate, this->now) > 0.99);
    CHECK_TRUE(slowness(this->estimate, usual, this->now + 5min, WorkKind::Request) < 1.1);
}

// Equal servers, service times between half and one and a half of the mean.
TEST(ServerSpeed, EqualServersStayEqual)
{
    Random random(11);
    for (int server = 0; server < 20; ++server) {
        SpeedEstimate each;
        for (int sample = 0; sample < 400; ++sample)
            recordSample(each, std::chrono::microseconds(12500 + random.below(25000)), 1, 6, false, this->now += 20ms);
        // The lower quartile of these times is 19 ms.
        DOUBLES_EQUAL(1, slowness(each, 0.0195, this->now, WorkKind::Request), 0.06);
    }
}

// One VM has twice as many requests at a server as it has slots, so each waits as long as it runs.
TEST(ServerSpeed, UtilisationIsNotTakenForSlowness)
{
    for (int sample = 0; sample < 50; ++sample)
        recordSample(this->estimate, 50ms, 12, 6, false, this->now += 50ms);
    DOUBLES_EQUAL(1, slowness(this->estimate, usual, this->now, WorkKind::Request), 0.01);
}

// Other VMs fill the server's queue for two seconds of five; this VM sees only the answers.
TEST(ServerSpeed, AQueueAtTimesHardlyEntersTheEstimate)
{
    for (int sample = 0; sample < 200; ++sample)
        recordSample(this->estimate, sample % 5 < 2 ? 45ms : 25ms, 1, 6, false, this->now += 50ms);
    CHECK_TRUE(slowness(this->estimate, usual, this->now, WorkKind::Request) < 1.25);
}

// A third of the engines takes 1.3 times as long for an event.
TEST(ServerSpeed, ASmallDifferenceOfEventIntervalsCounts)
{
    feed(this->estimate, this->now, 50, 52ms, 52ms);
    const auto slow = slowness(this->estimate, 0.04, this->now, WorkKind::EventInterval);
    CHECK_TRUE(slow > 1.2);
    CHECK_TRUE(slow < 1.3);
}
