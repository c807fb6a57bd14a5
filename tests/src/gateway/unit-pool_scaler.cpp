#include "gateway/fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <mutex>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

/// An order as the platform received it.
struct SeenOrder {
    std::string dataCentre;
    std::uint64_t count { 0 };
    std::string holder;
    std::uint64_t fence { 0 };
    TimePoint at;
};

/// The platform's call for servers on loopback.
class ScaleApi {
public:
    explicit ScaleApi(IoThreads& threads)
        : server(
            threads, { "127.0.0.1", 0 }, [] { return HttpServerLimits {}; },
            [this](HttpExchange& exchange) { return this->handle(exchange); }, this->metrics, "api")
    {
        if (!this->server.start())
            throw std::runtime_error("stand-in of the platform's API can't listen");
    }

    Endpoint endpoint() const { return { "127.0.0.1", this->server.port() }; }

    std::vector<SeenOrder> orders() const
    {
        const std::lock_guard guard(this->lock);
        return this->seen;
    }

    /// The status of each answer; 0 for none.
    std::atomic<unsigned> status { 200 };
    /// A data centre that has no servers.
    std::string without;

private:
    boost::asio::awaitable<void> handle(HttpExchange& exchange)
    {
        const auto& request = exchange.request();
        const auto body = boost::json::parse(request.body);
        SeenOrder order;
        order.dataCentre = boost::json::value_to<std::string>(body.at("zone"));
        order.count = body.at("desiredCount").to_number<std::uint64_t>();
        order.holder = std::string(findHeader(request.headers, "Topaztack-Duty-Holder"));
        order.fence = std::stoull(std::string(findHeader(request.headers, "Topaztack-Fencing-Token")));
        order.at = Clock::now();
        HttpResponse response;
        response.status = order.dataCentre == this->without ? 409 : this->status.load();
        {
            const std::lock_guard guard(this->lock);
            this->seen.push_back(std::move(order));
        }
        if (response.status != 0)
            co_await exchange.respond(std::move(response));
        else
            co_await pause();
    }

    /// Longer than the gateway waits for an answer.
    static boost::asio::awaitable<void> pause()
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, 2s);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    mutable std::mutex lock;
    std::vector<SeenOrder> seen;
    MetricsRegistry metrics;
    HttpServer server;
};

} // namespace

/// A pool with one server in z1 of which each of two data centres is to have two.
TEST_GROUP(PoolScaler)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();
    std::unique_ptr<ScaleApi> api = std::make_unique<ScaleApi>(this->env->threads);

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
            settings.duties.silence = 0ms;
            settings.duties.thawTime = 100ms;
        };
    }

    void teardown() override
    {
        this->env->gateways.clear();
        this->env->threads.stop();
    }

    std::vector<SeenOrder> ordersOf(const std::string& dataCentre) const
    {
        auto orders = this->api->orders();
        std::erase_if(orders, [&dataCentre](const auto& order) { return order.dataCentre != dataCentre; });
        return orders;
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
    CHECK_TRUE(waitFor([&] { return this->api->orders().size() >= 2; }));
    std::this_thread::sleep_for(2500ms);
    LONGS_EQUAL(2, this->api->orders().size());
    for (const auto& order : this->api->orders()) {
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
    LONGS_EQUAL(0, this->api->orders().size());
    LONGS_EQUAL(1, this->env->store.rowsOf("server-orders").size());
}

// The order may have taken effect, so that another one in its place could be carried out before or after it.
TEST(PoolScaler, AnOrderWithoutAnAnswerIsRepeatedByTheNextHolderToo)
{
    this->api->status = 0;
    auto& first = this->env->startGateway("vm-1", 1);
    CHECK_TRUE(waitFor([&] { return this->ordersOf("z1").size() >= 2; }));
    CHECK_TRUE(this->storedOrder("app/z1/regular").find("\"confirmed\":false") != std::string::npos);
    first.gateway->shutDown();
    const auto before = this->api->orders();
    this->api->status = 200;
    this->env->startGateway("vm-2", 2);
    CHECK_TRUE(waitFor([&] { return this->api->orders().size() >= before.size() + 2; }));
    std::this_thread::sleep_for(1500ms);
    const auto all = this->api->orders();
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

TEST(PoolScaler, ADataCentreWithoutServersIsNotAskedAgainForSeconds)
{
    this->api->without = "z2";
    this->env->startGateway();
    CHECK_TRUE(waitFor([&] { return this->ordersOf("z2").size() >= 2; }));
    const auto asked = this->ordersOf("z2");
    CHECK_TRUE(asked[1].at - asked[0].at >= 5s);
    LONGS_EQUAL(1, this->ordersOf("z1").size());
    CHECK_TRUE(this->storedOrder("app/z2/regular").find("\"count\":0") != std::string::npos);
}

// A second VM answers for its load and orders nothing.
TEST(PoolScaler, OneVmOrdersForAll)
{
    this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    CHECK_TRUE(waitFor([&] { return this->api->orders().size() >= 2; }));
    std::this_thread::sleep_for(2s);
    LONGS_EQUAL(2, this->api->orders().size());
    STRCMP_EQUAL(this->api->orders()[0].holder.c_str(), this->api->orders()[1].holder.c_str());
    const auto usage = this->env->call(second.peers, "GET", "/pool-usage");
    LONGS_EQUAL(200, usage.status);
    CHECK_TRUE(boost::json::parse(usage.body).as_object().contains("app"));
}
