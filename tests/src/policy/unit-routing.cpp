#include <topaztack/policy/prefix.hpp>
#include <topaztack/policy/routing.hpp>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <numeric>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

std::vector<SlotHolder> makeVms(std::size_t count, std::size_t dataCentres)
{
    std::vector<SlotHolder> vms;
    for (std::size_t index = 0; index < count; ++index)
        vms.push_back(
            { VmName("vm-" + std::to_string(index)), DataCentre("dc-" + std::to_string(index % dataCentres)), false });
    return vms;
}

} // namespace

std::vector<SharedBackend> makeBackends(std::size_t count, std::size_t dataCentres)
{
    std::vector<SharedBackend> backends;
    for (std::size_t index = 0; index < count; ++index)
        backends.push_back({ BackendName("b-" + std::to_string(1000 + index)),
            DataCentre("dc-" + std::to_string(index % dataCentres)) });
    return backends;
}

TEST_GROUP(SlotShareTest) {};

TEST(SlotShareTest, SharesOfAllVmsAddUpToTheLimitAndAreEven)
{
    CHECK_TRUE(rc::check("sum of shares", [](std::uint8_t rawVms, std::uint16_t rawLimit, std::uint8_t rawBackends) {
        const auto vms = makeVms(1 + rawVms % 40, 3);
        const auto backends = makeBackends(1 + rawBackends % 30, 3);
        const std::uint64_t limit = 1 + rawLimit % 64;
        std::vector<std::uint64_t> sums(backends.size(), 0);
        std::vector<std::size_t> assignments;
        for (const auto& vm : vms) {
            const auto shares = slotShares(backends, limit, vm, vms);
            assignments.push_back(0);
            for (std::size_t index = 0; index < backends.size(); ++index) {
                sums[index] += shares[index].slots;
                assignments.back() += shares[index].slots > 0 ? 1 : 0;
                RC_ASSERT(shares[index].slots == 0
                    || shares[index].slots >= std::min<std::uint64_t>(limit, minSlotsPerHolder));
            }
        }
        for (const auto sum : sums)
            RC_ASSERT(sum == limit);
        const auto maxAssignments = *std::max_element(assignments.begin(), assignments.end());
        const auto total = std::accumulate(assignments.begin(), assignments.end(), std::size_t { 0 });
        RC_ASSERT(maxAssignments <= total / vms.size() + 2);
    }));
}

TEST(SlotShareTest, OnlyNearVmsGetSlotsWhileTheySuffice)
{
    const auto vms = makeVms(30, 3);
    const auto backends = makeBackends(9, 3);
    for (const auto& vm : vms) {
        const auto shares = slotShares(backends, 8, vm, vms);
        for (std::size_t index = 0; index < backends.size(); ++index)
            CHECK_TRUE(shares[index].slots == 0 || vm.dataCentre == backends[index].dataCentre);
    }
}

TEST(SlotShareTest, UnusedSlotsAreBorrowedAndReturned)
{
    const SlotShare share { 2, 3 };
    const TimePoint now { 1h };
    LONGS_EQUAL(1, borrowSlots(share, 0, 8, { 0, 0, now, true }, true));
    LONGS_EQUAL(0, borrowSlots(share, 0, 8, { 0, 0, now, true }, false));
    LONGS_EQUAL(0, borrowSlots(share, 0, 8, { 6, 0, now, true }, true));
    LONGS_EQUAL(4, borrowSlots(share, 4, 8, { 2, 0, now, true }, true));
    LONGS_EQUAL(3, borrowSlots(share, 4, 8, { 7, 0, now, true }, true));
    LONGS_EQUAL(0, borrowSlots(share, 4, 8, { 8, 1, now, true }, true));
    LONGS_EQUAL(0, borrowSlots({ 0, 3 }, 0, 8, { 0, 0, now, true }, true));
    LONGS_EQUAL(6, slotAllowance(share, 4, { 0, 0, now, true }, now));
    LONGS_EQUAL(2, slotAllowance(share, 4, { 0, 0, now - reportLifetime, true }, now));
}

TEST_GROUP(ServerHealthTest)
{
    PoolHealth pool { 6, 0, 0 };
    Random random { 3 };
    TimePoint now { 1h };

    void record(ServerHealth & health, HealthSignal signal, std::chrono::microseconds took = 10ms)
    {
        recordHealthSignal(health, this->pool, signal, took, this->now, this->random);
    }
};

TEST(ServerHealthTest, FailingServerIsEjectedProbedAndReadmitted)
{
    ServerHealth health;
    record(health, HealthSignal::Failed);
    record(health, HealthSignal::Failed);
    LONGS_EQUAL(8, limitByHealth(health, 8, now));
    record(health, HealthSignal::Failed);
    LONGS_EQUAL(0, limitByHealth(health, 8, now));
    now = health.ejectedUntil;
    LONGS_EQUAL(1, limitByHealth(health, 8, now));
    record(health, HealthSignal::Answered);
    LONGS_EQUAL(8, limitByHealth(health, 8, now));
    LONGS_EQUAL(0, pool.ejected);
}

TEST(ServerHealthTest, FailedProbeEjectsForLonger)
{
    ServerHealth health;
    record(health, HealthSignal::Unreachable);
    const auto first = health.ejectedUntil - now;
    now = health.ejectedUntil;
    record(health, HealthSignal::Failed);
    CHECK_TRUE(health.ejectedUntil - now > first);
}

TEST(ServerHealthTest, SlowServerIsEjected)
{
    std::vector<ServerHealth> servers(6);
    for (int round = 0; round < 40; ++round) {
        for (std::size_t index = 0; index < servers.size(); ++index)
            record(servers[index], HealthSignal::Answered, index == 0 ? 200ms : 10ms);
    }
    CHECK_TRUE(servers[0].ejections > 0);
    for (std::size_t index = 1; index < servers.size(); ++index)
        CHECK_FALSE(servers[index].isEjected);
}

TEST(ServerHealthTest, AtMostAThirdOfThePoolIsEjected)
{
    std::vector<ServerHealth> servers(6);
    for (auto& health : servers)
        record(health, HealthSignal::Unreachable);
    LONGS_EQUAL(2, pool.ejected);
    LONGS_EQUAL(1, maxEjected(2));
    LONGS_EQUAL(0, maxEjected(1));
}

TEST_GROUP(PrefixViewTest)
{
    PrefixView view;
    std::vector<std::uint64_t> blocks = prefixBlocks(std::string(6 * prefixBlockSize, 'p'));
};

TEST(PrefixViewTest, FindsTheLongestCachedPrefix)
{
    for (std::size_t index = 0; index < 4; ++index)
        recordStored(view, blocks[index], 7);
    recordStored(view, blocks[0], 9);
    const auto matches = findPrefix(view, blocks);
    CHECK_TRUE(matches.size() == 1 && matches[0].server == 7 && matches[0].blocks == 4);
    recordEvicted(view, blocks[3], 7);
    CHECK_TRUE(findPrefix(view, blocks).at(0).blocks == 3);
}

TEST(PrefixViewTest, SizeStaysWithinItsLimits)
{
    CHECK_TRUE(rc::check("bounded", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& events) {
        PrefixView small;
        small.maxBlocks = 16;
        for (const auto& [block, server] : events) {
            if (server % 4 == 0)
                recordEvicted(small, block, server);
            else
                recordStored(small, block, server);
            RC_ASSERT(small.blocks.size() <= 16U);
            RC_ASSERT(small.order.size() <= 64U);
        }
        for (const auto& [block, holders] : small.blocks)
            RC_ASSERT(holders.count <= maxServersPerBlock);
    }));
}

TEST_GROUP(RoutingTest)
{
    RoutingTable table;
    Random random { 5 };
    TimePoint now { 1h };

    void setup() override
    {
        this->table.limit = 8;
        this->table.servers.resize(8);
        for (std::size_t index = 0; index < this->table.servers.size(); ++index) {
            this->table.servers[index].isLocal = index < 4;
            this->table.servers[index].share = { 8, 1 };
        }
    }

    std::map<ServerIndex, int> choose(int times, const RouteQuery& query = {})
    {
        std::map<ServerIndex, int> counts;
        for (int turn = 0; turn < times; ++turn)
            ++counts[chooseServer(this->table, query, this->now, this->random).value()];
        return counts;
    }
};

TEST(RoutingTest, LocalServersArePreferredUntilTheyAreFull)
{
    int remote = 0;
    for (const auto& [server, count] : choose(1000))
        remote += server >= 4 ? count : 0;
    CHECK_TRUE(remote < 100);
    for (ServerIndex index = 0; index < 4; ++index)
        table.servers[index].inFlight = 8;
    for (const auto& [server, count] : choose(100))
        CHECK_TRUE(server >= 4);
}

TEST(RoutingTest, CachedPrefixIsPreferredUntilTheLoadOutweighsIt)
{
    const auto blocks = prefixBlocks(std::string(8 * prefixBlockSize, 'p'));
    for (const auto block : blocks)
        recordStored(table.prefixes, block, 2);
    RouteQuery query;
    query.blocks = blocks;
    LONGS_EQUAL(100, choose(100, query)[2]);
    table.servers[2].inFlight = 7;
    CHECK_TRUE(choose(100, query)[2] < 50);
}

TEST(RoutingTest, OutdatedReportsDoNotSendMostRequestsToOneServer)
{
    for (auto& server : table.servers) {
        server.isLocal = true;
        server.report = { 6, 0, now - 1s, true };
    }
    table.servers[5].report.running = 0;
    CHECK_TRUE(choose(1000)[5] < 700);
}

TEST(RoutingTest, EveryRuleRespectsSlotsAndAvoidedServers)
{
    for (const auto rule :
        { RoutingRule::LowestCost, RoutingRule::LeastInFlight, RoutingRule::RoundRobin, RoutingRule::RandomChoice }) {
        table.rule = rule;
        table.servers[7].inFlight = 0;
        for (ServerIndex index = 0; index < 6; ++index)
            table.servers[index].inFlight = 8;
        const std::vector<ServerIndex> avoid { 6 };
        RouteQuery query;
        query.avoid = avoid;
        LONGS_EQUAL(50, choose(50, query)[7]);
        table.servers[7].inFlight = 8;
        CHECK_FALSE(chooseServer(table, query, now, random).has_value());
    }
}
