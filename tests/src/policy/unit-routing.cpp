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

std::vector<SlotHolder> vmsOf(std::size_t count, std::size_t dataCentres)
{
    std::vector<SlotHolder> vms;
    for (std::size_t index = 0; index < count; ++index)
        vms.push_back(
            { VmName("vm-" + std::to_string(index)), DataCentre("dc-" + std::to_string(index % dataCentres)), false });
    return vms;
}

} // namespace

std::vector<SharedBackend> backendsOf(std::size_t count, std::size_t dataCentres)
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
    CHECK_TRUE(rc::check("sum of shares", [](std::uint8_t vmCount, std::uint16_t someLimit, std::uint8_t someBackends) {
        const auto vms = vmsOf(1 + vmCount % 40, 3);
        const auto backends = backendsOf(1 + someBackends % 30, 3);
        const std::uint64_t limit = 1 + someLimit % 64;
        std::vector<std::uint64_t> sums(backends.size(), 0);
        std::vector<std::size_t> places;
        for (const auto& vm : vms) {
            const auto shares = slotShares(backends, limit, vm, vms);
            places.push_back(0);
            for (std::size_t index = 0; index < backends.size(); ++index) {
                sums[index] += shares[index].slots;
                places.back() += shares[index].slots > 0 ? 1 : 0;
                RC_ASSERT(shares[index].slots == 0
                    || shares[index].slots >= std::min<std::uint64_t>(limit, minSlotsPerHolder));
            }
        }
        for (const auto sum : sums)
            RC_ASSERT(sum == limit);
        const auto most = *std::max_element(places.begin(), places.end());
        const auto total = std::accumulate(places.begin(), places.end(), std::size_t { 0 });
        RC_ASSERT(most <= total / vms.size() + 2);
    }));
}

TEST(SlotShareTest, NearVmsComeFirst)
{
    const auto vms = vmsOf(30, 3);
    const auto backends = backendsOf(9, 3);
    for (const auto& vm : vms) {
        const auto shares = slotShares(backends, 8, vm, vms);
        for (std::size_t index = 0; index < backends.size(); ++index)
            CHECK_TRUE(shares[index].slots == 0 || vm.dataCentre == backends[index].dataCentre);
    }
}

TEST(SlotShareTest, BorrowsWhatIsUnusedAndGivesItBack)
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

    void sign(ServerHealth & health, HealthSignal what, std::chrono::microseconds took = 10ms)
    {
        recordHealthSignal(health, this->pool, what, took, this->now, this->random);
    }
};

TEST(ServerHealthTest, FailingServerIsEjectedProbedAndTakenBack)
{
    ServerHealth health;
    sign(health, HealthSignal::Failed);
    sign(health, HealthSignal::Failed);
    LONGS_EQUAL(8, limitByHealth(health, 8, now));
    sign(health, HealthSignal::Failed);
    LONGS_EQUAL(0, limitByHealth(health, 8, now));
    now = health.ejectedUntil;
    LONGS_EQUAL(1, limitByHealth(health, 8, now));
    sign(health, HealthSignal::Answered);
    LONGS_EQUAL(8, limitByHealth(health, 8, now));
    LONGS_EQUAL(0, pool.ejected);
}

TEST(ServerHealthTest, FailedProbeEjectsForLonger)
{
    ServerHealth health;
    sign(health, HealthSignal::Unreachable);
    const auto first = health.ejectedUntil - now;
    now = health.ejectedUntil;
    sign(health, HealthSignal::Failed);
    CHECK_TRUE(health.ejectedUntil - now > first);
}

TEST(ServerHealthTest, SlowServerIsEjected)
{
    std::vector<ServerHealth> servers(6);
    for (int round = 0; round < 40; ++round) {
        for (std::size_t index = 0; index < servers.size(); ++index)
            sign(servers[index], HealthSignal::Answered, index == 0 ? 200ms : 10ms);
    }
    CHECK_TRUE(servers[0].ejections > 0);
    for (std::size_t index = 1; index < servers.size(); ++index)
        CHECK_FALSE(servers[index].isEjected);
}

TEST(ServerHealthTest, AThirdAtMostIsOutAtOnce)
{
    std::vector<ServerHealth> servers(6);
    for (auto& health : servers)
        sign(health, HealthSignal::Unreachable);
    LONGS_EQUAL(2, pool.ejected);
    LONGS_EQUAL(1, maxEjected(2));
    LONGS_EQUAL(0, maxEjected(1));
}

TEST_GROUP(PrefixViewTest)
{
    PrefixView view;
    std::vector<std::uint64_t> blocks = prefixBlocks(std::string(6 * prefixBlockSize, 'p'));
};

TEST(PrefixViewTest, FindsTheLongestCachedPart)
{
    for (std::size_t index = 0; index < 4; ++index)
        recordStored(view, blocks[index], 7);
    recordStored(view, blocks[0], 9);
    const auto matches = findPrefix(view, blocks);
    CHECK_TRUE(matches.size() == 1 && matches[0].server == 7 && matches[0].blocks == 4);
    recordEvicted(view, blocks[3], 7);
    CHECK_TRUE(findPrefix(view, blocks).at(0).blocks == 3);
}

TEST(PrefixViewTest, StaysWithinItsBound)
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

TEST(RoutingTest, OwnDataCentreComesFirstAndSpillsOverWhenFull)
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

TEST(RoutingTest, PrefixDrawsUntilTheLoadOutweighsIt)
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

TEST(RoutingTest, LateReportsDoNotMakeAHerd)
{
    for (auto& server : table.servers) {
        server.isLocal = true;
        server.report = { 6, 0, now - 1s, true };
    }
    table.servers[5].report.running = 0;
    CHECK_TRUE(choose(1000)[5] < 700);
}

TEST(RoutingTest, EveryRuleKeepsToSlotsAndAvoidance)
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
