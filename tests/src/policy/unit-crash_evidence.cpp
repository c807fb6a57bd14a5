#include <topaztack/policy/crash_evidence.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint(1h);

ServerStart server(int number)
{
    return { BackendName("i-" + std::to_string(number)), std::chrono::milliseconds(number) };
}

CrashEvidence evidenceOf(int ends, int alone)
{
    CrashEvidence evidence;
    for (int end = 0; end < ends; ++end)
        recordEnd(evidence, server(end), end < alone, start);
    return evidence;
}

} // namespace

TEST_GROUP(CrashEvidence) {};

TEST(CrashEvidence, ARequestIsHeldAfterThreeServersOfWhichTwoRanNoOtherSuspect)
{
    CHECK_TRUE(judge({}, start) == CrashVerdict::Clear);
    CHECK_TRUE(judge(evidenceOf(1, 0), start) == CrashVerdict::Suspected);
    CHECK_TRUE(judge(evidenceOf(2, 2), start) == CrashVerdict::Suspected);
    CHECK_TRUE(judge(evidenceOf(3, 2), start) == CrashVerdict::Held);
}

// A request that stood beside the one that crashes servers, or on servers that ended for another cause.
TEST(CrashEvidence, ARequestThatWasNeverAloneIsOnlySuspected)
{
    CHECK_TRUE(judge(evidenceOf(3, 0), start) == CrashVerdict::Suspected);
    CHECK_TRUE(judge(evidenceOf(4, 1), start) == CrashVerdict::Suspected);
}

// Three runs after the third end are the most that is allowed, whether or not servers could be set aside.
TEST(CrashEvidence, FiveEndsAreEnoughWhateverElseRanThere)
{
    CHECK_TRUE(judge(evidenceOf(5, 0), start) == CrashVerdict::Held);
}

TEST(CrashEvidence, TheEndOfAServerThatSeveralVmsSawCountsOnce)
{
    auto evidence = evidenceOf(2, 1);
    mergeEvidence(evidence, evidenceOf(2, 2));
    LONGS_EQUAL(2, evidence.ends.size());
    CHECK_TRUE(evidence.ends.at(server(1)));
}

TEST(CrashEvidence, AHeldRequestIsTriedOnceMoreAfterAWhileAndThenHeldForLonger)
{
    auto evidence = evidenceOf(3, 2);
    const auto until = heldUntil(evidence);
    CHECK_TRUE(judge(evidence, until - 1ms) == CrashVerdict::Held);
    CHECK_TRUE(judge(evidence, until) == CrashVerdict::Suspected);
    recordEnd(evidence, server(7), true, until);
    CHECK_TRUE(heldUntil(evidence) - until == 2 * (until - start));
}

TEST(CrashEvidence, OldEvidenceIsForgotten)
{
    CHECK_TRUE(judge(evidenceOf(1, 0), start + 9min) == CrashVerdict::Suspected);
    CHECK_TRUE(judge(evidenceOf(1, 0), start + 10min) == CrashVerdict::Clear);
    CHECK_TRUE(judge(evidenceOf(3, 2), start + 19min) == CrashVerdict::Suspected);
    CHECK_TRUE(judge(evidenceOf(3, 2), start + 20min) == CrashVerdict::Clear);
}

// A suspected request took the last server of its pool.
TEST(CrashEvidence, AServerIsSparedOnlyWhileHalfOfThePoolRemains)
{
    CHECK_TRUE(canSpareServer(3, 3));
    CHECK_TRUE(canSpareServer(2, 3));
    CHECK_FALSE(canSpareServer(1, 3));
    CHECK_TRUE(canSpareServer(2, 2));
    CHECK_FALSE(canSpareServer(5, 10));
    CHECK_TRUE(canSpareServer(6, 10));
    CHECK_TRUE(canSpareServer(1, 1));
}

TEST(CrashEvidence, OwedWorkWaitsLongerWithEachServerButNeverForGood)
{
    CHECK_TRUE(pauseAfterEnds(2) == 0s);
    CHECK_TRUE(pauseAfterEnds(3) == 1s);
    CHECK_TRUE(pauseAfterEnds(4) == 2s);
    CHECK_TRUE(pauseAfterEnds(1000) == 8s);
}

TEST(CrashEvidence, StartsAreReadAsPrinted)
{
    const ServerStart one { BackendName("i-1@x"), 1700000000123ms };
    CHECK_TRUE(parseServerStart(toText(one)) == one);
    for (const char* wrong : { "", "@", "12", "12@", "x@i-1", "@i-1" })
        CHECK_FALSE(parseServerStart(wrong).has_value());
}
