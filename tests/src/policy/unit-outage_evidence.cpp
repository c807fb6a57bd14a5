#include <topaztack/base/random.hpp>
#include <topaztack/policy/outage_evidence.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

/// Asks some VMs drawn at random.
OutageRound askSome(std::vector<char> vmsAway, std::size_t asked, Random& random)
{
    OutageRound round;
    for (std::size_t index = 0; index < asked; ++index) {
        std::swap(vmsAway[index], vmsAway[index + random.below(vmsAway.size() - index)]);
        ++(vmsAway[index] != 0 ? round.away : round.reached);
    }
    return round;
}

} // namespace

TEST_GROUP(OutageEvidence) { OutageEvidence evidence; };

TEST(OutageEvidence, AnOutageIsConfirmedByThreeRoundsInARow)
{
    for (int round = 0; round < 2; ++round) {
        recordRound(this->evidence, { 3, 0 }, start);
        CHECK_FALSE(isOutageConfirmed(this->evidence, start));
    }
    recordRound(this->evidence, { 3, 0 }, start);
    CHECK_TRUE(isOutageConfirmed(this->evidence, start));
    CHECK_FALSE(isOutageConfirmed(this->evidence, start + confirmationLifetime));
}

TEST(OutageEvidence, OneVmThatReachesTheStoreRefutesAllRoundsBefore)
{
    for (int round = 0; round < 5; ++round)
        recordRound(this->evidence, { 6, 0 }, start);
    recordRound(this->evidence, { 5, 1 }, start);
    CHECK_FALSE(isOutageConfirmed(this->evidence, start));
    recordRound(this->evidence, { 6, 0 }, start);
    CHECK_FALSE(isOutageConfirmed(this->evidence, start));
}

TEST(OutageEvidence, ARoundWithTooFewAnswersProvesNothing)
{
    for (int round = 0; round < 5; ++round)
        recordRound(this->evidence, { 1, 0 }, start);
    CHECK_FALSE(isOutageConfirmed(this->evidence, start));
}

// The store turns 4 of 10 VMs away for 9 s, or a third of 195; the others may take this VM's jobs over meanwhile. Each
// VM that is turned away asks six others, three times a second.
TEST(OutageEvidence, AStoreThatTurnsAPartOfTheVmsAwayIsHardlyEverTakenForAwayForAll)
{
    Random random { 11 };
    const auto countFalseAlarms = [&random](std::size_t others, std::size_t away) {
        std::size_t alarms = 0;
        for (int outage = 0; outage < 2000; ++outage) {
            OutageEvidence seen;
            std::vector<char> vms(others, 0);
            std::fill_n(vms.begin(), away, 1);
            for (int round = 0; round < 30; ++round) {
                recordRound(seen, askSome(vms, 6, random), start);
                alarms += isOutageConfirmed(seen, start) ? 1 : 0;
            }
        }
        return alarms;
    };
    LONGS_EQUAL(0, countFalseAlarms(9, 3));
    LONGS_EQUAL(0, countFalseAlarms(194, 68));
}
