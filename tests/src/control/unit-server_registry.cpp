#include <topaztack/control/server_registry.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

ServerRecord makeServer(const std::string& name, bool isLeaving = false)
{
    ServerRecord server;
    server.name = BackendName(name);
    server.isLeaving = isLeaving;
    return server;
}

} // namespace

TEST_GROUP(ServerRegistry) { ServerRegistry registry; };

TEST(ServerRegistry, ServerAbsentWhileTheStoreIsAvailableIsRemovedImmediately)
{
    putServer(this->registry, makeServer("a"));
    markServerAbsent(this->registry, BackendName("a"), start);
    CHECK_TRUE(this->registry.entries.empty());
}

TEST(ServerRegistry, RecordAbsentAfterAnOutageIsKeptUntilTheGracePeriodEnds)
{
    putServer(this->registry, makeServer("a"));
    noteStoreRecovery(this->registry, start);
    markServerAbsent(this->registry, BackendName("a"), start + 100ms);
    CHECK_TRUE(removeExpiredServers(this->registry, start + 2s, false).empty());
    LONGS_EQUAL(1, this->registry.entries.size());
    LONGS_EQUAL(1, removeExpiredServers(this->registry, start + outageGracePeriod, false).size());
    CHECK_TRUE(this->registry.entries.empty());
}

TEST(ServerRegistry, RecordThatReappearsWithinTheGracePeriodIsKept)
{
    putServer(this->registry, makeServer("a"));
    noteStoreRecovery(this->registry, start);
    markServerAbsent(this->registry, BackendName("a"), start + 100ms);
    putServer(this->registry, makeServer("a"));
    CHECK_TRUE(removeExpiredServers(this->registry, start + 1min, false).empty());
    LONGS_EQUAL(1, this->registry.entries.size());
}

TEST(ServerRegistry, LeavingServerAbsentAfterAnOutageIsRemovedImmediately)
{
    putServer(this->registry, makeServer("a", true));
    noteStoreRecovery(this->registry, start);
    markServerAbsent(this->registry, BackendName("a"), start + 100ms);
    CHECK_TRUE(this->registry.entries.empty());
}

TEST(ServerRegistry, NoRecordExpiresWhileTheStoreIsUnavailable)
{
    putServer(this->registry, makeServer("a"));
    noteStoreRecovery(this->registry, start);
    markServerAbsent(this->registry, BackendName("a"), start + 100ms);
    CHECK_TRUE(removeExpiredServers(this->registry, start + 1min, true).empty());
    LONGS_EQUAL(1, this->registry.entries.size());
}

TEST(ServerRegistry, FullReadRemovesServersThatItDoesNotList)
{
    putServer(this->registry, makeServer("a"));
    putServer(this->registry, makeServer("b"));
    retainServers(this->registry, { BackendName("b") }, start);
    LONGS_EQUAL(1, this->registry.entries.size());
    CHECK_TRUE(this->registry.entries.contains(BackendName("b")));
}
