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

// A worker says in its answers that it leaves while the store still lists it as ready, or doesn't list it for a while.
TEST(ServerRegistry, AnAnnouncedDepartureOutlivesWhatTheStoreLists)
{
    auto server = makeServer("a");
    server.startedAt = 500ms;
    putServer(this->registry, server);
    CHECK_TRUE(noteDeparture(this->registry, server.name, 500ms, start));
    CHECK_FALSE(noteDeparture(this->registry, server.name, 500ms, start + 1s));
    const auto isLeaving = [this, &server] { return this->registry.entries.at(server.name).record.isLeaving; };
    CHECK_TRUE(isLeaving());
    putServer(this->registry, server);
    CHECK_TRUE(isLeaving());
    noteStoreRecovery(this->registry, start + 2s);
    retainServers(this->registry, {}, start + 2s);
    CHECK_TRUE(this->registry.entries.empty());
    putServer(this->registry, server);
    CHECK_TRUE(isLeaving());
    // A stale read may even return a record of an earlier start.
    server.startedAt = 400ms;
    putServer(this->registry, server);
    CHECK_TRUE(isLeaving());
}

TEST(ServerRegistry, OnlyALaterStartClearsAnAnnouncedDeparture)
{
    auto server = makeServer("a");
    server.startedAt = 500ms;
    noteDeparture(this->registry, server.name, 500ms, start);
    server.startedAt = 501ms;
    putServer(this->registry, server);
    CHECK_FALSE(this->registry.entries.at(server.name).record.isLeaving);
    // The start before the present one is still known to leave.
    CHECK_FALSE(noteDeparture(this->registry, server.name, 500ms, start));
    CHECK_FALSE(this->registry.entries.at(server.name).record.isLeaving);
}

TEST(ServerRegistry, AnAnnouncedDepartureIsForgottenOnlyOnceTheServerIsNotListed)
{
    putServer(this->registry, makeServer("a"));
    noteDeparture(this->registry, BackendName("a"), 0ms, start);
    removeExpiredServers(this->registry, start + departureRetention, false);
    LONGS_EQUAL(1, this->registry.departures.size());
    markServerAbsent(this->registry, BackendName("a"), start + departureRetention);
    removeExpiredServers(this->registry, start + departureRetention, false);
    CHECK_TRUE(this->registry.departures.empty());
}
