#include <topaztack/policy/pool_reach.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

TEST_GROUP(PoolReach) { TimePoint now { 1h }; };

TEST(PoolReach, AVmIsCutOffOnceNoServerOfThePoolTakesAConnection)
{
    PoolReach reach;
    CHECK_TRUE(recordCheck(reach, 3, 0, this->now));
    CHECK_TRUE(reach.isCutOff);
    CHECK_FALSE(recordCheck(reach, 3, 0, this->now));
}

// Half of the servers are gone: the others are enough, and nothing is passed on.
TEST(PoolReach, OneConnectionShowsThatTheLinkIsSound)
{
    PoolReach reach;
    CHECK_FALSE(recordCheck(reach, 3, 1, this->now));
    CHECK_FALSE(reach.isCutOff);
}

TEST(PoolReach, ALinkThatHealsIsUsedAtOnce)
{
    PoolReach reach;
    recordCheck(reach, 3, 0, this->now);
    CHECK_TRUE(recordCheck(reach, 3, 1, this->now + 1ms));
    CHECK_FALSE(reach.isCutOff);
}

// A VM that knows no server can't tell whether its links are sound.
TEST(PoolReach, APoolWithoutServersIsNotTakenForCutOff)
{
    PoolReach reach;
    CHECK_FALSE(recordCheck(reach, 0, 0, this->now));
}

// Slow servers let requests go unanswered too; each would have cost connections.
TEST(PoolReach, ConnectionsAreTriedOnlyIfNothingElseTells)
{
    PoolReach reach;
    CHECK_TRUE(needsCheck(reach, false, true, this->now));
    CHECK_TRUE(needsCheck(reach, true, false, this->now));
    CHECK_FALSE(needsCheck(reach, true, true, this->now));
    recordCheck(reach, 3, 2, this->now);
    CHECK_FALSE(needsCheck(reach, false, false, this->now + 249ms));
    CHECK_TRUE(needsCheck(reach, false, false, this->now + 250ms));
}
