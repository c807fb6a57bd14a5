#include "gateway/fixture.hpp"
#include "standins/platform_api.hpp"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds leaseSilence { 500 };

/// An order that took effect.
struct SeenOrder {
    std::string dataCentre;
    std::uint64_t count { 0 };
    std::string holder;
    std::uint64_t fence { 0 };
};

} // namespace

/// A pool with one server in z1 of which each of two data centres is to have two.
TEST_GROUP(PoolScaler)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();
    std::unique_ptr<PlatformApiStandin> api = std::make_unique<PlatformApiStandin>(this->env->threads, leaseSilence);

    void setup() override
    {
        auto configuration = boost::json::parse(TestEnvironment::configuration(1)).as_object();
        for (auto& service : configuration.at("services").as_array()) {
            if (service.at("name").as_string() == "app")
                service.as_object()["scaling"]
                    = boost::json::parse(R"({"min":2,"max":4,"bootS":3,"zonePrices":{"z1":1.0,"z2":1.5}})");
        }
        this->env->store.put("op", "", "config", boost::json::serialize(configuration));
        // Left by an earlier holder, so that this one need not wait until all servers are listed.
        this->env->store.put("server-orders", "", "app/z1/regular",
            R"({"pool":"app","data_centre":"z1","reclaimable":false,"count":1,"before":0,"confirmed":true,)"
            R"("ordered":false,"raised_by":0,"listed":0,"raised_ms":0,"fence":0})");
        this->env->adjustSettings = [this](VmSettings& settings) {
            settings.duties.ordersServers = true;
            settings.duties.address = this->api->endpoint();
            settings.duties.callsPerSecond = 50;
            settings.duties.silence = leaseSilence;
            settings.duties.thawTime = 100ms;
        };
    }

    void teardown() override
    {
        this->env->gateways.clear();
        this->env->threads.stop();
        for (const auto& violation : this->api->violations())
            FAIL(violation.c_str());
    }

    std::vector<SeenOrder> orders() const
    {
        std::vector<SeenOrder> list;
        for (const auto& call : this->api->calls()) {
            const auto body = boost::json::parse(call.body);
            list.push_back({ boost::json::value_to<std::string>(body.at("zone")),
                body.at("desiredCount").to_number<std::uint64_t>(), call.holder, call.fencingNumber });
        }
        return list;
    }

    std::string storedOrder(const std::string& key) const
    {
        const auto rows = this->env->store.rowsOf("server-orders");
        const auto found = rows.find(key);
        return found == rows.end() ? std::string {} : found->second;
    }
};

TEST(PoolScaler, EachDataCentreIsBroughtToItsMinimumOnce)
{
    this->env->startGateway();
    CHECK_TRUE(waitFor([&] { return this->orders().size() >= 2; }));
    std::this_thread::sleep_for(2500ms);
    LONGS_EQUAL(2, this->orders().size());
    for (const auto& order : this->orders()) {
        LONGS_EQUAL(2, order.count);
        STRCMP_EQUAL("vm-1", order.holder.c_str());
        CHECK_TRUE(order.fence > 0);
    }
    CHECK_TRUE(this->storedOrder("app/z2/regular").find("\"confirmed\":true") != std::string::npos);
}

// Orders that nobody asked for would cost servers.
TEST(PoolScaler, NothingIsOrderedUnlessTheSettingsSaySo)
{
    const auto usual = this->env->adjustSettings;
    this->env->adjustSettings = [&usual](VmSettings& settings) {
        usual(settings);
        settings.duties.ordersServers = false;
    };
    this->env->startGateway();
    std::this_thread::sleep_for(3s);
    LONGS_EQUAL(0, this->orders().size());
    LONGS_EQUAL(1, this->env->store.rowsOf("server-orders").size());
}

// The order may have taken effect, so that another one in its place could be carried out before or after it.
TEST(PoolScaler, AnOrderWithoutAnAnswerIsRepeatedByTheNextHolderToo)
{
    this->api->faults.answersToLose = 1000;
    auto& first = this->env->startGateway("vm-1", 1);
    CHECK_TRUE(waitFor([&] { return this->orders().size() >= 4; }));
    CHECK_TRUE(this->storedOrder("app/z1/regular").find("\"confirmed\":false") != std::string::npos);
    first.gateway->shutDown();
    const auto before = this->orders();
    this->api->faults.answersToLose = 0;
    this->env->startGateway("vm-2", 2);
    CHECK_TRUE(waitFor([&] { return this->orders().size() >= before.size() + 2; }));
    std::this_thread::sleep_for(1500ms);
    const auto all = this->orders();
    LONGS_EQUAL(before.size() + 2, all.size());
    std::uint64_t fence = 0;
    for (std::size_t index = 0; index < all.size(); ++index) {
        LONGS_EQUAL(2, all[index].count);
        STRCMP_EQUAL(index < before.size() ? "vm-1" : "vm-2", all[index].holder.c_str());
        CHECK_TRUE(all[index].fence >= fence);
        fence = all[index].fence;
    }
    CHECK_TRUE(all.back().fence > before.back().fence);
}

TEST(PoolScaler, DataCentresWithoutServersAreNotAskedAgainForSeconds)
{
    this->api->faults.hasNoServers = true;
    this->env->startGateway();
    CHECK_TRUE(waitFor([&] { return this->api->attempts() >= 2; }));
    std::this_thread::sleep_for(4s);
    LONGS_EQUAL(2, this->api->attempts());
    CHECK_TRUE(this->storedOrder("app/z2/regular").find("\"count\":0") != std::string::npos);
    this->api->faults.hasNoServers = false;
    CHECK_TRUE(waitFor([&] { return this->orders().size() >= 2; }));
    LONGS_EQUAL(4, this->api->attempts());
}

// Each repetition counts against the calls that the platform takes from all VMs.
TEST(PoolScaler, WhileThePlatformIsDownOrdersAreRepeatedWithGrowingPauses)
{
    this->api->faults.isDown = true;
    this->env->startGateway();
    CHECK_TRUE(waitFor([&] { return this->api->attempts() >= 2; }));
    std::this_thread::sleep_for(6s);
    CHECK_TRUE(this->api->attempts() <= 8);
    this->api->faults.isDown = false;
    CHECK_TRUE(waitFor([&] { return this->orders().size() >= 2; }, 25s));
    for (const auto& order : this->orders())
        LONGS_EQUAL(2, order.count);
}

// A second VM answers for its load and orders nothing.
TEST(PoolScaler, OneVmOrdersForAll)
{
    this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    CHECK_TRUE(waitFor([&] { return this->orders().size() >= 2; }));
    std::this_thread::sleep_for(2s);
    LONGS_EQUAL(2, this->orders().size());
    STRCMP_EQUAL(this->orders()[0].holder.c_str(), this->orders()[1].holder.c_str());
    const auto usage = this->env->call(second.peers, "GET", "/pool-usage");
    LONGS_EQUAL(200, usage.status);
    CHECK_TRUE(boost::json::parse(usage.body).as_object().contains("app"));
}
