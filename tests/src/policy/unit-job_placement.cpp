#include <topaztack/policy/job_placement.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

namespace {

PlacementCandidate makeVm(double processor, std::uint64_t openItems, bool ranLastJob = false, std::uint64_t rank = 0)
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

TEST(JobPlacement, NoVmIsChosenWithoutCandidates) { CHECK_FALSE(placeJob({}, 10).has_value()); }

// VMs with 0.12 and 0.5 cores; a step of 200 items is more than a weak one can relay.
TEST(JobPlacement, FirstJobGoesToTheSameStrongVmInAnyOrderOfCandidates)
{
    LONGS_EQUAL(1, *placeJob({ makeVm(0.12, 0, false, 1), makeVm(0.5, 0, false, 7), makeVm(0.5, 0, false, 9) }, 200));
    LONGS_EQUAL(1, *placeJob({ makeVm(0.5, 0, false, 9), makeVm(0.5, 0, false, 7), makeVm(0.12, 0, false, 1) }, 200));
}

// Three trainers use the same engines. If their jobs ran on different VMs, each VM would fill slots that the others
// count on.
TEST(JobPlacement, JobsArePlacedOnTheBusiestVmWithCapacity)
{
    LONGS_EQUAL(1, *placeJob({ makeVm(0.5, 0), makeVm(0.5, 400), makeVm(0.5, 200) }, 200));
    LONGS_EQUAL(2, *placeJob({ makeVm(0.5, 0), makeVm(0.5, 1400), makeVm(0.5, 200) }, 200));
}

TEST(JobPlacement, NextJobOfATrainerStaysOnItsVmWhileThatHasCapacity)
{
    LONGS_EQUAL(0, *placeJob({ makeVm(0.5, 0, true), makeVm(0.5, 400) }, 200));
    LONGS_EQUAL(1, *placeJob({ makeVm(0.12, 300, true), makeVm(0.5, 0) }, 200));
}

TEST(JobPlacement, VmWithTheFewestItemsPerCoreIsChosenIfNoneHasCapacity)
{
    LONGS_EQUAL(1, *placeJob({ makeVm(0.12, 360), makeVm(0.5, 1500) }, 200));
    LONGS_EQUAL(0, *placeJob({ makeVm(0.12, 100), makeVm(0.5, 3000) }, 300));
}
