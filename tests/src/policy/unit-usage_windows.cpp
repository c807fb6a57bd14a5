#include <topaztack/policy/usage_windows.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

namespace {

const WorkspaceName large("huka270");
const WorkspaceName small("b");

VmIdentity vm(const std::string& name, std::uint64_t incarnation = 1)
{
    return { VmName(name), Incarnation(incarnation) };
}

} // namespace

TEST_GROUP(UsageWindows) {};

// Messages are repeated and overtake each other.
TEST(UsageWindows, CountsReceivedTwiceOrOutOfOrderAreCountedOnce)
{
    UsageWindows usage;
    mergeUsage(usage, 7, vm("vm-1"), { { large, 5 } });
    mergeUsage(usage, 7, vm("vm-1"), { { large, 9 }, { small, 1 } });
    mergeUsage(usage, 7, vm("vm-1"), { { large, 5 } });
    mergeUsage(usage, 7, vm("vm-2"), { { large, 2 } });
    const auto sum = sumUsage(usage.windows.at(7));
    LONGS_EQUAL(11, sum.at(large));
    LONGS_EQUAL(1, sum.at(small));
}

TEST(UsageWindows, AProcessThatReplacesAnotherCountsAnew)
{
    UsageWindows usage;
    mergeUsage(usage, 7, vm("vm-1", 1), { { large, 5 } });
    mergeUsage(usage, 7, vm("vm-1", 2), { { large, 3 } });
    LONGS_EQUAL(8, sumUsage(usage.windows.at(7)).at(large));
}

TEST(UsageWindows, MemoryIsBounded)
{
    UsageWindows usage;
    for (std::uint64_t window = 0; window < 200; ++window)
        mergeUsage(usage, window, vm("vm-1"), { { large, 1 } });
    for (std::uint64_t incarnation = 0; incarnation < 2000; ++incarnation)
        mergeUsage(usage, 0, vm("vm-1", incarnation), { { large, 1 } });
    LONGS_EQUAL(64, usage.windows.size());
    LONGS_EQUAL(1000, usage.windows.at(0).size());
    expireUsage(usage, 60);
    LONGS_EQUAL(4, usage.windows.size());
}

// One of 68 VMs can't be asked: its part is below the tolerance of 5 %, unless it has most of a workspace.
TEST(UsageWindows, MissingCountsMatterIfTheyExceedTheToleranceOfAnyWorkspace)
{
    CHECK_FALSE(mayExceedTolerance({ { large, 6700 } }, { { { large, 100 } } }, 0.05));
    CHECK_FALSE(mayExceedTolerance({ { large, 6700 } }, {}, 0.05));
    CHECK_TRUE(mayExceedTolerance({ { large, 6700 } }, { { { large, 200 } }, { { large, 200 } } }, 0.05));
    CHECK_TRUE(mayExceedTolerance({ { large, 6700 }, { small, 10 } }, { { { large, 100 }, { small, 1 } } }, 0.05));
    CHECK_TRUE(mayExceedTolerance({}, { { { small, 1 } } }, 0.05));
}

TEST(UsageWindows, CountsArePrintedAndReadBack)
{
    const UsageCounts counts { { large, 412 }, { small, 1 } };
    CHECK_TRUE(parseUsageCounts(toText(counts)) == counts);
    CHECK_TRUE(parseUsageCounts("{}") == UsageCounts {});
    CHECK_FALSE(parseUsageCounts(R"({"a":-1})").has_value());
    CHECK_FALSE(parseUsageCounts("[]").has_value());
}
