#include <topaztack/policy/true_time.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };
/// 2026-01-01 in Unix time when the store's clock stands at 0.
constexpr std::chrono::milliseconds trueOffset { 1'767'225'600'000 };

std::vector<std::chrono::milliseconds> offsetsOf(std::size_t good, std::size_t off, std::chrono::milliseconds error)
{
    std::vector<std::chrono::milliseconds> offsets(off, trueOffset + error);
    for (std::size_t vm = 0; vm < good; ++vm)
        offsets.push_back(trueOffset + std::chrono::milliseconds(static_cast<int>(vm % 21) - 10));
    return offsets;
}

bool isTrue(const std::optional<std::chrono::milliseconds>& offset)
{
    return offset && std::chrono::abs(*offset - trueOffset) <= 20ms;
}

} // namespace

TEST_GROUP(TrueTime) {};

TEST(TrueTime, OneVmWhoseClockIsOffChangesNothing)
{
    CHECK_TRUE(isTrue(agreeOnOffset(offsetsOf(2, 1, 7s), 3)));
    CHECK_TRUE(isTrue(agreeOnOffset(offsetsOf(2, 1, -7s), 3)));
}

// 68 VMs: the clocks of one data centre are set off by seconds at once.
TEST(TrueTime, AThirdOfTheVmsOffByTheSameAmountChangesNothing)
{
    CHECK_TRUE(isTrue(agreeOnOffset(offsetsOf(46, 22, 4s), 68)));
    CHECK_TRUE(isTrue(agreeOnOffset(offsetsOf(46, 22, -4s), 68)));
}

// The VMs that are heard first may be those that are off.
TEST(TrueTime, NothingIsAgreedBeforeTwoThirdsOfTheVmsAreHeard)
{
    CHECK_FALSE(agreeOnOffset({}, 0).has_value());
    CHECK_FALSE(agreeOnOffset(offsetsOf(1, 0, 0s), 3).has_value());
    CHECK_FALSE(agreeOnOffset(offsetsOf(4, 22, 4s), 68).has_value());
    CHECK_FALSE(agreeOnOffset(offsetsOf(23, 22, 4s), 68).has_value());
    CHECK_TRUE(agreeOnOffset(offsetsOf(24, 22, 4s), 68).has_value());
    CHECK_TRUE(isTrue(agreeOnOffset(offsetsOf(1, 0, 0s), 1)));
}

TEST(TrueTime, NothingIsAgreedIfHalfOfTheVmsAreOff)
{
    CHECK_FALSE(agreeOnOffset(offsetsOf(1, 1, 4s), 2).has_value());
    CHECK_FALSE(agreeOnOffset(offsetsOf(3, 3, 4s), 6).has_value());
}

// Offsets that VMs published while they were off stay known for a minute; meanwhile others may jump.
TEST(TrueTime, ALargeChangeIsTakenOnlyAfterItHasLasted)
{
    TrueTime time;
    updateTrueTime(time, trueOffset, start);
    updateTrueTime(time, trueOffset + 4s, start + 10s);
    updateTrueTime(time, trueOffset + 4s, start + 150s);
    CHECK_TRUE(isTrue(time.offset));
    updateTrueTime(time, trueOffset, start + 155s);
    updateTrueTime(time, trueOffset + 4s, start + 160s);
    updateTrueTime(time, trueOffset + 4s, start + 309s);
    CHECK_TRUE(isTrue(time.offset));
    updateTrueTime(time, trueOffset + 4s, start + 310s);
    CHECK_FALSE(isTrue(time.offset));
}

// A jump in the middle of a window must not move what is counted to another one.
TEST(TrueTime, TheOffsetStaysInUseWhileThereIsNoAgreement)
{
    TrueTime time;
    updateTrueTime(time, std::nullopt, start);
    CHECK_FALSE(time.offset.has_value());
    updateTrueTime(time, trueOffset, start + 1s);
    updateTrueTime(time, std::nullopt, start + 2s);
    CHECK_TRUE(isTrue(time.offset));
    updateTrueTime(time, trueOffset + 5ms, start + 3s);
    CHECK_TRUE(isTrue(time.offset));
}

TEST(TrueTime, TheStoresClockIsFollowedByTheAnswersThatArriveFirst)
{
    StoreClock clock;
    CHECK_FALSE(storeTimeAt(clock, start).has_value());
    recordStoreTime(clock, 0ms, start);
    CHECK_FALSE(storeTimeAt(clock, start).has_value());
    recordStoreTime(clock, 10'000ms, start + 400ms);
    recordStoreTime(clock, 11'000ms, start + 1004ms);
    recordStoreTime(clock, 12'000ms, start + 2300ms);
    LONGS_EQUAL(12'996, storeTimeAt(clock, start + 3s)->count());
}

// Answers that arrived while the process was stopped are read late.
TEST(TrueTime, AFreezeDoesNotChangeTheStoresClock)
{
    StoreClock clock;
    recordStoreTime(clock, 10'000ms, start);
    for (int answer = 0; answer < 10; ++answer)
        CHECK_FALSE(recordStoreTime(clock, 10'100ms, start + 30s));
    LONGS_EQUAL(40'000, storeTimeAt(clock, start + 30s)->count());
    CHECK_FALSE(recordStoreTime(clock, 40'000ms, start + 30s));
    LONGS_EQUAL(41'000, storeTimeAt(clock, start + 31s)->count());
}

TEST(TrueTime, AStoreWhoseClockWasSetBackIsFollowedAgain)
{
    StoreClock clock;
    recordStoreTime(clock, 100'000ms, start);
    bool isReset = false;
    for (int answer = 1; answer <= 20; ++answer)
        isReset = recordStoreTime(clock, std::chrono::milliseconds(100 * answer), start + 100ms * answer);
    CHECK_TRUE(isReset);
    LONGS_EQUAL(3000, storeTimeAt(clock, start + 3s)->count());
}

TEST(TrueTime, WindowsBeginAtMultiplesOfTheirLength)
{
    LONGS_EQUAL(353'445'120, windowAt(1'767'225'600'000ms, 5s));
    LONGS_EQUAL(353'445'119, windowAt(1'767'225'599'999ms, 5s));
    LONGS_EQUAL(1'767'225'605'000, windowStart(353'445'121, 5s).count());
}
