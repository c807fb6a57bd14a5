#include "gateway/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

TEST_GROUP(Forwarder) { std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>(); };

TEST(Forwarder, ServerResponseIsDeliveredUnchanged)
{
    auto& gateway = this->env->startGateway();
    const auto answer = this->env->book(gateway, "r1");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("served by i-app", answer.body.c_str());
    STRCMP_EQUAL("stamp", std::string(findHeader(answer.headers, "Topaztack-Server-Stamp")).c_str());
    STRCMP_EQUAL("/b/1", this->env->booking.seen().at(0).target.c_str());
    STRCMP_EQUAL("nine o clock", this->env->booking.seen().at(0).body.c_str());
}

TEST(Forwarder, IdempotentRequestIsRetriedWhenItsResponseIsLost)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.answersToLose = 1;
    LONGS_EQUAL(200, this->env->book(gateway, "r1").status);
    LONGS_EQUAL(2, this->env->booking.seen().size());
}

TEST(Forwarder, NonIdempotentRequestWhoseResponseIsLostIsNotRetriedAndGets502)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.answersToLose = 1;
    const auto answer = this->env->book(gateway, "r1", "/u/1");
    LONGS_EQUAL(502, answer.status);
    LONGS_EQUAL(1, this->env->booking.seen().size());
}

TEST(Forwarder, RequestThatItsOnlyServerRefusesGets503WithRetryAfter)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.isFull = true;
    const auto answer = this->env->book(gateway, "r1", "/u/1");
    LONGS_EQUAL(503, answer.status);
    CHECK_FALSE(findHeader(answer.headers, "Retry-After").empty());
    CHECK_TRUE(this->env->booking.seen().empty());
}

TEST(Forwarder, ResponseToAnotherRequestIsNotDelivered)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.foreignAnswers = 1;
    const auto answer = this->env->book(gateway, "r1");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("r1", std::string(findHeader(answer.headers, "Topaztack-Request-Id")).c_str());
    LONGS_EQUAL(2, this->env->booking.seen().size());
}

TEST(Forwarder, DrainingServerGetsNoNewRequests)
{
    auto& gateway = this->env->startGateway();
    const auto& other = this->env->addWorker("i-app-2");
    this->env->registerServer(other, "app");
    this->env->registerServer(this->env->booking, "app", "draining");
    CHECK_TRUE(waitFor([&] { return this->env->book(gateway, "r").body == "served by i-app-2"; }));
    const auto before = this->env->booking.seen().size();
    for (int request = 0; request < 5; ++request)
        LONGS_EQUAL(200, this->env->book(gateway, "r" + std::to_string(request)).status);
    LONGS_EQUAL(before, this->env->booking.seen().size());
}

// A worker announces its departure in its answers while the store, here unreachable too, lists it as ready.
TEST(Forwarder, ServerThatAnnouncesItsDepartureGetsNothingMore)
{
    auto& gateway = this->env->startGateway();
    const auto& other = this->env->addWorker("i-app-2");
    this->env->registerServer(other, "app");
    CHECK_TRUE(waitFor([&] { return this->env->book(gateway, "r").body == "served by i-app-2"; }));
    this->env->booking.faults.announcesDeparture = true;
    CHECK_TRUE(waitFor([&] { return this->env->book(gateway, "r").body == "served by i-app"; }));
    this->env->registerServer(this->env->booking, "app");
    this->env->store.faults.isDown = true;
    const auto before = this->env->booking.seen().size();
    for (int request = 0; request < 20; ++request)
        STRCMP_EQUAL("served by i-app-2", this->env->book(gateway, "r" + std::to_string(request)).body.c_str());
    LONGS_EQUAL(before, this->env->booking.seen().size());
}

TEST(Forwarder, RequestIsRejectedAtOnceIfItsOnlyServerAnnouncedItsDeparture)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.announcesDeparture = true;
    LONGS_EQUAL(200, this->env->book(gateway, "r1").status);
    const auto startedAt = Clock::now();
    const auto answer = this->env->book(gateway, "r2");
    LONGS_EQUAL(503, answer.status);
    CHECK_FALSE(findHeader(answer.headers, "Retry-After").empty());
    CHECK_TRUE(Clock::now() - startedAt < 500ms);
    LONGS_EQUAL(1, this->env->booking.seen().size());
}

TEST(Forwarder, RefusalThatAnnouncesADepartureCountsToo)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.announcesDeparture = true;
    this->env->booking.faults.isFull = true;
    LONGS_EQUAL(503, this->env->book(gateway, "r1").status);
    this->env->booking.faults.isFull = false;
    std::this_thread::sleep_for(300ms);
    LONGS_EQUAL(503, this->env->book(gateway, "r2").status);
    CHECK_TRUE(this->env->booking.seen().empty());
}

TEST(Forwarder, RequestIsNotRunByAServerThatTookOverTheAddress)
{
    auto& gateway = this->env->startGateway();
    // The record names another server than the one that listens at its address.
    auto record = this->env->booking.record("app");
    this->env->store.remove("servers", "", "i-app");
    this->env->store.put("servers", "", "i-gone", record);
    const auto answer = this->env->book(gateway, "r1", "/u/1");
    CHECK_TRUE(waitFor([&] { return this->env->book(gateway, "r2", "/u/1").status == 503; }));
    const auto before = this->env->booking.seen().size();
    LONGS_EQUAL(503, this->env->book(gateway, "r3", "/u/1").status);
    LONGS_EQUAL(before, this->env->booking.seen().size());
}

TEST(Forwarder, UnknownRouteGets404AndMalformedHeaderIsNamedIn400)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(404, this->env->book(gateway, "r1", "/nowhere").status);
    const auto answer = this->env->call(gateway.callers, "POST", "/b/1", { { "Topaztack-Deadline-Ms", "soon" } });
    LONGS_EQUAL(400, answer.status);
    CHECK_TRUE(answer.body.find("Topaztack-Deadline-Ms") != std::string::npos);
}

TEST(Forwarder, OlderConfigurationDoesNotReplaceANewerOne)
{
    auto& gateway = this->env->startGateway();
    this->env->store.put("op", "", "config", TestEnvironment::configuration(5, "2000"));
    const auto versionInForce = [&] {
        const auto state = this->env->call(gateway.operators, "GET", "/debug/state");
        return boost::json::parse(state.body).at("configuration").to_number<int>();
    };
    CHECK_TRUE(waitFor([&] { return versionInForce() == 5; }));
    this->env->store.put("op", "", "config", TestEnvironment::configuration(4, "2000"));
    this->env->store.put("op", "", "other", "{}");
    std::this_thread::sleep_for(200ms);
    LONGS_EQUAL(5, versionInForce());
}

TEST(Forwarder, DuringAStoreOutageKnownRoutesAreServedAndUnknownRoutesGet503)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(200, this->env->book(gateway, "r1").status);
    this->env->store.faults.isDown = true;
    CHECK_TRUE(waitFor([&] { return this->env->book(gateway, "r2", "/nowhere").status == 503; }));
    LONGS_EQUAL(200, this->env->book(gateway, "r3").status);
}

TEST(Forwarder, GatewayWithoutConfigurationIsNotReadyAndAnswersNotRun)
{
    this->env->store.remove("op", "", "config");
    RunningGateway gateway(this->env->store.endpoint(), "vm-9", 9);
    CHECK_TRUE(waitFor([&] { return this->env->call(gateway.operators, "GET", "/-/readyz").status == 503; }));
    LONGS_EQUAL(503, this->env->book(gateway, "r1").status);
}

TEST(Forwarder, MalformedServerRecordsDoNotHideOtherServers)
{
    this->env->store.put("servers", "", "i-odd", "\xff\x01 no json");
    this->env->store.put("servers", "", "i-empty", "{}");
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(200, this->env->book(gateway, "r1").status);
}

// Another writer leaves odd entries among those of the servers: VMs that read the list ended again and again, or
// stopped following it.
TEST(Forwarder, OddEntriesAmongTheServersDoNotEndTheirFollowing)
{
    auto& gateway = this->env->startGateway();
    const auto put = [this](const std::string& key, const std::string& from, const std::string& to) {
        auto record = this->env->booking.record("app");
        record.replace(record.find(from), from.size(), to);
        this->env->store.put("servers", "", key, record);
    };
    put("i-nested", "\"models\":[", "\"models\":[" + std::string(50'000, '[') + std::string(50'000, ']') + ",");
    for (const std::string number : { "18446744073709551615", "1e400", "-9223372036854775809" }) {
        put("i-slots-" + number, "\"slots\":4", "\"slots\":" + number);
        put("i-born-" + number, "\"sequence\":1", "\"born\":" + number);
    }
    put("i-port", "127.0.0.1:", "127.0.0.1:9");
    put("i-name\r\nX-Other: 1", "\"sequence\":1", "\"sequence\":2");
    this->env->store.put("servers", "", "i-text", "\"" + std::string(60'000, 'x'));
    const auto& later = this->env->addWorker("i-later");
    this->env->registerServer(later, "app");
    this->env->store.remove("servers", "", "i-app");
    CHECK_TRUE(waitFor([&] {
        const auto known = boost::json::serialize(this->env->state(gateway, "servers"));
        return known.find("i-later") != std::string::npos && known.find("i-app") == std::string::npos;
    }));
    for (int request = 0; request < 10; ++request) {
        const auto answer = this->env->book(gateway, "r" + std::to_string(request), "/u/1");
        LONGS_EQUAL(200, answer.status);
        STRCMP_EQUAL("served by i-later", answer.body.c_str());
    }
}

// A zone is cut off from the network, so that half of the servers or more, here three of four, can't be reached.
TEST(Forwarder, UnreachableServersDoNotCountAsAttempts)
{
    const auto record = this->env->booking.record("app");
    const auto address = toText(this->env->booking.endpoint());
    for (int server = 0; server < 3; ++server) {
        auto unreachable = record;
        unreachable.replace(unreachable.find(address), address.size(), toText(this->env->refusing.add()));
        this->env->store.put("servers", "", "i-cut-" + std::to_string(server), unreachable);
    }
    auto& gateway = this->env->startGateway();
    for (int request = 0; request < 10; ++request)
        LONGS_EQUAL(200, this->env->book(gateway, "r" + std::to_string(request), "/u/1").status);
    LONGS_EQUAL(10, this->env->booking.seen().size());
}
