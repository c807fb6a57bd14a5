#include <topaztack/policy/job_placement.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

namespace {

PlacementCandidate vmWith(double processor, std::uint64_t openItems, bool ranLastJob = false, std::uint64_t rank = 0)
{
    PlacementCandidate vm;
    vm.processor = processor;
    vm.openItems = openItems;
    vm.ranLastJob = ranLastJob;
    vm.rank = rank;
    return vm;
}

} // namespace

TEST_GROUP(JobPlacement) {};

TEST(JobPlacement, NoCandidateNoPlace) { CHECK_FALSE(placeJob({}, 10).has_value()); }

// Pattern: VMs of 0.12 and 0.5 cores; a step of 200 items is more than a weak one can relay.
TEST(JobPlacement, AFirstJobGoesToAStrongVmTheSameForAllThatChoose)
{
    LONGS_EQUAL(1, *placeJob({ vmWith(0.12, 0, false, 1), vmWith(0.5, 0, false, 7), vmWith(0.5, 0, false, 9) }, 200));
    LONGS_EQUAL(1, *placeJob({ vmWith(0.5, 0, false, 9), vmWith(0.5, 0, false, 7), vmWith(0.12, 0, false, 1) }, 200));
}

// Pattern: three trainers on the same engines. Each VM alone would fill slots that the others count on.
TEST(JobPlacement, JobsAreKeptTogetherWhileThereIsRoom)
{
    LONGS_EQUAL(1, *placeJob({ vmWith(0.5, 0), vmWith(0.5, 400), vmWith(0.5, 200) }, 200));
    LONGS_EQUAL(2, *placeJob({ vmWith(0.5, 0), vmWith(0.5, 1400), vmWith(0.5, 200) }, 200));
}

TEST(JobPlacement, ATrainersJobsStayWhereItsTextsAre)
{
    LONGS_EQUAL(0, *placeJob({ vmWith(0.5, 0, true), vmWith(0.5, 400) }, 200));
    LONGS_EQUAL(1, *placeJob({ vmWith(0.12, 300, true), vmWith(0.5, 0) }, 200));
}

TEST(JobPlacement, WithoutRoomTheLeastLoadedForItsStrengthIsTaken)
{
    LONGS_EQUAL(1, *placeJob({ vmWith(0.12, 360), vmWith(0.5, 1500) }, 200));
    LONGS_EQUAL(0, *placeJob({ vmWith(0.12, 100), vmWith(0.5, 3000) }, 300));
}
