
#include "gateway/fixture.hpp"

#include <src/gateway/forwarder.hpp>

#include <CppUTest/TestHarness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <future>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

/// A caller's request without a connection.
class FakeExchange : public HttpExchange {
public:
    FakeExchange()
    {
        this->head.method = "POST";
        this->head.target = "/b/1";
        this->head.headers.push_back({ "Host", "a.example" });
    }

    const HttpRequest& request() const override { return this->head; }
    const Endpoint& caller() const override { return this->address; }
    asio::awaitable<bool> respond(HttpResponse response) override
    {
        this->answer = std::move(response);
        co_return !this->isGone;
    }
    asio::awaitable<bool> beginStream(HttpResponse) override { co_return false; }
    asio::awaitable<bool> writeChunk(std::string_view) override { co_return false; }
    asio::awaitable<bool> endStream() override { co_return false; }
    bool reserve(std::size_t) override { return true; }
    void onCallerGone(std::function<void()> notify) override { this->notify = std::move(notify); }
    bool isCallerGone() const override { return this->isGone; }

    void leave()
    {
        this->isGone = true;
        if (this->notify)
            this->notify();
    }

    HttpRequest head;
    HttpResponse answer;

private:
    Endpoint address;
    std::function<void()> notify;
    bool isGone { false };
};

/// What became of a request.
struct Ended {
    unsigned status { 0 };
    std::chrono::milliseconds took { 0 };
    std::chrono::milliseconds retryAfter { 0 };
};

/// The parts of a gateway that forward plain requests, with a configuration that has workspaces.
struct Forwarding {
    explicit Forwarding(TestEnvironment& env, std::chrono::milliseconds objective = 1000ms)
        : context(VmSettings {}, { VmName("vm-1"), Incarnation(1) }, platform::protocol())
        , peers(this->context)
        , quota(this->context, this->peers)
        , crashes(this->context, [](const ServerStart&) {})
        , software(this->context)
        , servers(this->context, this->quota, this->crashes, this->software, this->peers)
        , suspects(this->context, this->servers, this->crashes)
        , reach(this->context, this->servers, this->peers)
        , carrier(this->context, this->reach)
        , queue(this->context, this->servers, this->suspects, this->reach, this->peers)
        , usage(this->context, this->peers)
        , forwarder(this->context, this->servers, this->suspects, this->reach, this->carrier, this->queue, this->usage)
    {
        boost::intrusive_ptr<RouteTable> table(new RouteTable);
        table->hasWorkspaces = true;
        this->route.name = RouteName("safe");
        this->route.kind = RouteKind::Idempotent;
        this->route.timeout = 3000ms;
        this->route.latencyObjective = objective;
        this->route.pools.push_back({ PoolName("app"), 1 });
        this->route.maxAttempts = 2;
        table->routes.push_back(this->route);
        this->context.routes = table;
        StoreRow row;
        row.place = { "servers", "", env.booking.name };
        row.version = RowVersion(1);
        row.value = env.booking.record("app");
        this->servers.applyRows({ row }, true);
        this->context.threads.start();
    }

    ~Forwarding() { this->context.threads.stop(); }

    asio::awaitable<Ended> handle(std::shared_ptr<FakeExchange> exchange, CallerRequest call)
    {
        const auto startedAt = Clock::now();
        co_await this->forwarder.handle(*exchange, call, this->route, CallOrigin::Caller);
        Ended ended;
        ended.status = exchange->answer.status;
        ended.took = toMilliseconds(Clock::now() - startedAt);
        const auto retryAfter = std::string(findHeader(exchange->answer.headers, "Retry-After"));
        if (!retryAfter.empty())
            ended.retryAfter = std::chrono::milliseconds(std::lround(std::stod(retryAfter) * 1000));
        co_return ended;
    }

    std::future<Ended> send(const std::string& workspace, std::shared_ptr<FakeExchange> exchange = {})
    {
        if (!exchange)
            exchange = std::make_shared<FakeExchange>();
        CallerRequest call;
        call.id = RequestId("r" + std::to_string(++this->sent));
        call.workspace = WorkspaceName(workspace);
        return asio::co_spawn(this->context.loop(), this->handle(exchange, call), asio::use_future);
    }

    GatewayContext context;
    PeerDirectory peers;
    RequestQuota quota;
    CrashRecords crashes;
    SoftwareRecords software;
    ServerTable servers;
    SuspectGate suspects;
    ServerReach reach;
    CallCarrier carrier;
    RequestQueue queue;
    UsageCounter usage;
    Forwarder forwarder;
    Route route;
    int sent { 0 };
};

std::size_t countInTime(std::vector<std::future<Ended>>& requests, std::chrono::milliseconds objective)
{
    std::size_t count = 0;
    for (auto& request : requests) {
        const auto ended = request.get();
        count += ended.status == 200 && ended.took <= objective ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_GROUP(RequestQueue) { std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>(); };

TEST(RequestQueue, RequestWaitsForAServerThatIsFullForAWhile)
{
    Forwarding forwarding(*this->env);
    this->env->booking.faults.isFull = true;
    auto request = forwarding.send("a");
    CHECK_TRUE(request.wait_for(200ms) == std::future_status::timeout);
    this->env->booking.faults.isFull = false;
    const auto ended = request.get();
    LONGS_EQUAL(200, ended.status);
    CHECK_TRUE(ended.took <= 1000ms);
    LONGS_EQUAL(1, this->env->booking.seen().size());
}

TEST(RequestQueue, RequestThatFindsNoServerWithinItsObjectiveIsRefusedThen)
{
    Forwarding forwarding(*this->env, 300ms);
    this->env->booking.faults.isFull = true;
    const auto ended = forwarding.send("a").get();
    LONGS_EQUAL(503, ended.status);
    // The sixth of the objective is expected to be needed by a server.
    CHECK_TRUE(ended.took >= 200ms && ended.took <= 400ms);
    CHECK_TRUE(ended.retryAfter >= 100ms);
    CHECK_TRUE(this->env->booking.seen().empty());
}

TEST(RequestQueue, RequestWhoseCallerLeavesStopsWaiting)
{
    Forwarding forwarding(*this->env, 2500ms);
    this->env->booking.faults.isFull = true;
    const auto exchange = std::make_shared<FakeExchange>();
    auto request = forwarding.send("a", exchange);
    CHECK_TRUE(request.wait_for(150ms) == std::future_status::timeout);
    asio::post(forwarding.context.loop(), [exchange] { exchange->leave(); });
    CHECK_TRUE(request.wait_for(500ms) == std::future_status::ready);
    this->env->booking.faults.isFull = false;
    std::this_thread::sleep_for(300ms);
    CHECK_TRUE(this->env->booking.seen().empty());
}

TEST(RequestQueue, WithoutWorkspacesARefusedRequestIsAnsweredAtOnce)
{
    Forwarding forwarding(*this->env);
    boost::intrusive_ptr<RouteTable> table(new RouteTable);
    table->routes.push_back(forwarding.route);
    forwarding.context.routes = table;
    this->env->booking.faults.isFull = true;
    const auto ended = forwarding.send("a").get();
    LONGS_EQUAL(503, ended.status);
    CHECK_TRUE(ended.took <= 150ms);
}

// The server takes 10 requests of this VM at once, 50 ms each: 200 per second.
TEST(RequestQueue, SmallWorkspaceIsInTimeWhileAnotherFloods)
{
    constexpr auto objective = 400ms;
    Forwarding forwarding(*this->env, objective);
    this->env->booking.faults.plainTime = 50ms;
    std::vector<std::future<Ended>> small;
    std::vector<std::future<Ended>> flood;
    for (int step = 0; step < 40; ++step) {
        for (int index = 0; index < 25; ++index)
            flood.push_back(forwarding.send("flood"));
        small.push_back(forwarding.send("small"));
        std::this_thread::sleep_for(50ms);
    }
    LONGS_EQUAL(small.size(), countInTime(small, objective));
    const auto served = countInTime(flood, objective);
    CHECK_TRUE(served >= 1);
}

// Two VMs report the use of one workspace to the VM that keeps the pool.
TEST(RequestQueue, UseOfAWorkspaceIsAddedUpOverVms)
{
    Forwarding forwarding(*this->env);
    boost::intrusive_ptr<RouteTable> table(new RouteTable);
    table->pools.push_back({ .name = PoolName("app") });
    forwarding.context.routes = table;
    HttpRequest request;
    request.body = R"({"vm":"vm-2","pool":"app","uses":[["a",0,1500,300,0],["b",0,100,100,0]]})";
    LONGS_EQUAL(200, forwarding.queue.answer(request).status);
    request.body = R"({"vm":"vm-3","pool":"app","uses":[["a",0,500,200,0]]})";
    const auto answer = boost::json::parse(forwarding.queue.answer(request).body);
    const auto& total = answer.at("uses").at(0);
    LONGS_EQUAL(2000, total.at(2).as_int64());
    LONGS_EQUAL(500, total.at(3).as_int64());
    // 720 is what the servers did and a fifth more; `b` asks for 100 of it.
    LONGS_EQUAL(620, total.at(4).as_int64());
    request.body = R"({"vm":"vm-3","pool":"other","uses":[]})";
    LONGS_EQUAL(400, forwarding.queue.answer(request).status);
    request.body = "{";
    LONGS_EQUAL(400, forwarding.queue.answer(request).status);
}

TEST(RequestQueue, RetryAfterGrowsWithTheQueue)
{
    Forwarding forwarding(*this->env, 300ms);
    this->env->booking.faults.plainTime = 50ms;
    std::vector<std::future<Ended>> requests;
    for (int step = 0; step < 10; ++step) {
        for (int index = 0; index < 60; ++index)
            requests.push_back(forwarding.send("a"));
        std::this_thread::sleep_for(50ms);
    }
    std::vector<std::chrono::milliseconds> waits;
    for (auto& request : requests) {
        const auto ended = request.get();
        if (ended.status == 503)
            waits.push_back(ended.retryAfter);
    }
    CHECK_TRUE(waits.size() > 100);
    CHECK_TRUE(*std::max_element(waits.begin(), waits.end()) >= 1000ms);
    CHECK_TRUE(*std::min_element(waits.begin(), waits.end()) >= 100ms);
}
