#include <topaztack/policy/software_history.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

constexpr auto maxAge = 10min;
constexpr std::chrono::milliseconds now = 1h;

bool isOnly(const std::vector<SoftwareSpan>& history, const std::string& version)
{
    return onlyPossibleSoftware(history, now, maxAge) == version;
}

} // namespace

/// Guards against streams joined from two versions after all VMs lost their memory.
TEST_GROUP(SoftwareHistory) {};

TEST(SoftwareHistory, TheOnlyVersionInServiceCanHaveBegunAStream) { CHECK_TRUE(isOnly({ { "v1", {} } }, "v1")); }

TEST(SoftwareHistory, NothingIsProvedWhileTwoVersionsAreInService)
{
    CHECK_FALSE(onlyPossibleSoftware({ { "v1", {} }, { "v2", {} } }, now, maxAge).has_value());
}

TEST(SoftwareHistory, NothingIsProvedWithoutARecord) { CHECK_FALSE(onlyPossibleSoftware({}, now, maxAge).has_value()); }

// The servers of the old version have just left; its streams may still be taken up.
TEST(SoftwareHistory, AVersionThatLeftCountsAsLongAsItsStreamsMayGoOn)
{
    CHECK_FALSE(onlyPossibleSoftware({ { "v1", now - maxAge + 1ms }, { "v2", {} } }, now, maxAge).has_value());
    CHECK_TRUE(isOnly({ { "v1", now - maxAge }, { "v2", {} } }, "v2"));
}

TEST(SoftwareHistory, AVersionThatIsGoneCanStillBeTheOnlyOne) { CHECK_TRUE(isOnly({ { "v1", now - 1s } }, "v1")); }

TEST(SoftwareHistory, ATimeInTheFutureProvesNothing)
{
    CHECK_FALSE(onlyPossibleSoftware({ { "v1", now + 1s }, { "v2", {} } }, now, maxAge).has_value());
}

TEST(SoftwareHistory, ARecordIsKeptTwiceAsLongAsItIsUsed)
{
    CHECK_FALSE(isForgettable({ "v1", now - 2 * maxAge + 1ms }, now, maxAge));
    CHECK_TRUE(isForgettable({ "v1", now - 2 * maxAge }, now, maxAge));
    CHECK_FALSE(isForgettable({ "v1", {} }, now, maxAge));
}
