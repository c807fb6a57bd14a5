#include "gateway/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

TEST_GROUP(Forwarder) { std::unique_ptr<World> world = std::make_unique<World>(); };

TEST(Forwarder, ARequestGetsItsServersAnswerUnchanged)
{
    auto& gateway = this->world->startGateway();
    const auto answer = this->world->book(gateway, "r1");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("served by i-app", answer.body.c_str());
    STRCMP_EQUAL("stamp", std::string(findHeader(answer.headers, "Topaztack-Server-Stamp")).c_str());
    STRCMP_EQUAL("/b/1", this->world->booking.seen().at(0).target.c_str());
    STRCMP_EQUAL("nine o clock", this->world->booking.seen().at(0).body.c_str());
}

TEST(Forwarder, AnIdempotentRequestWhoseAnswerIsLostRunsAgain)
{
    auto& gateway = this->world->startGateway();
    this->world->booking.faults.answersToLose = 1;
    LONGS_EQUAL(200, this->world->book(gateway, "r1").status);
    LONGS_EQUAL(2, this->world->booking.seen().size());
}

TEST(Forwarder, ANonIdempotentRequestWhoseAnswerIsLostNeverRunsAgainAndIsNotCalledNotRun)
{
    auto& gateway = this->world->startGateway();
    this->world->booking.faults.answersToLose = 1;
    const auto answer = this->world->book(gateway, "r1", "/u/1");
    LONGS_EQUAL(502, answer.status);
    LONGS_EQUAL(1, this->world->booking.seen().size());
}

TEST(Forwarder, AServerThatRefusesMakesARefusalThatSaysWhenToComeBack)
{
    auto& gateway = this->world->startGateway();
    this->world->booking.faults.isFull = true;
    const auto answer = this->world->book(gateway, "r1", "/u/1");
    LONGS_EQUAL(503, answer.status);
    CHECK_FALSE(findHeader(answer.headers, "Retry-After").empty());
    CHECK_TRUE(this->world->booking.seen().empty());
}

TEST(Forwarder, AnAnswerToAnotherRequestIsNotDelivered)
{
    auto& gateway = this->world->startGateway();
    this->world->booking.faults.foreignAnswers = 1;
    const auto answer = this->world->book(gateway, "r1");
    LONGS_EQUAL(200, answer.status);
    STRCMP_EQUAL("r1", std::string(findHeader(answer.headers, "Topaztack-Request-Id")).c_str());
    LONGS_EQUAL(2, this->world->booking.seen().size());
}

TEST(Forwarder, ALeavingServerGetsNoMoreRequests)
{
    auto& gateway = this->world->startGateway();
    const auto& other = this->world->addWorker("i-app-2");
    this->world->list(other, "app");
    this->world->list(this->world->booking, "app", "draining");
    CHECK_TRUE(waitFor([&] { return this->world->book(gateway, "r").body == "served by i-app-2"; }));
    const auto before = this->world->booking.seen().size();
    for (int request = 0; request < 5; ++request)
        LONGS_EQUAL(200, this->world->book(gateway, "r" + std::to_string(request)).status);
    LONGS_EQUAL(before, this->world->booking.seen().size());
}

TEST(Forwarder, AnAddressThatAnotherServerTookRunsNothing)
{
    auto& gateway = this->world->startGateway();
    // The record still names the server that was there before.
    auto record = this->world->booking.record("app");
    this->world->store.remove("servers", "", "i-app");
    this->world->store.put("servers", "", "i-gone", record);
    const auto answer = this->world->book(gateway, "r1", "/u/1");
    CHECK_TRUE(waitFor([&] { return this->world->book(gateway, "r2", "/u/1").status == 503; }));
    const auto before = this->world->booking.seen().size();
    LONGS_EQUAL(503, this->world->book(gateway, "r3", "/u/1").status);
    LONGS_EQUAL(before, this->world->booking.seen().size());
}

TEST(Forwarder, ARouteThatNoConfigurationHasIsNotFoundAndABadHeaderIsNamed)
{
    auto& gateway = this->world->startGateway();
    LONGS_EQUAL(404, this->world->book(gateway, "r1", "/nowhere").status);
    const auto answer = this->world->call(gateway.callers, "POST", "/b/1", { { "Topaztack-Deadline-Ms", "soon" } });
    LONGS_EQUAL(400, answer.status);
    CHECK_TRUE(answer.body.find("Topaztack-Deadline-Ms") != std::string::npos);
}

TEST(Forwarder, AnOlderConfigurationNeverComesBack)
{
    auto& gateway = this->world->startGateway();
    this->world->store.put("op", "", "config", World::configuration(5, "2000"));
    const auto versionInForce = [&] {
        const auto state = this->world->call(gateway.operators, "GET", "/debug/state");
        return boost::json::parse(state.body).at("configuration").to_number<int>();
    };
    CHECK_TRUE(waitFor([&] { return versionInForce() == 5; }));
    this->world->store.put("op", "", "config", World::configuration(4, "2000"));
    this->world->store.put("op", "", "other", "{}");
    std::this_thread::sleep_for(200ms);
    LONGS_EQUAL(5, versionInForce());
}

TEST(Forwarder, WithTheStoreAwayRequestsGoOnAndUnknownRoutesAreNotDenied)
{
    auto& gateway = this->world->startGateway();
    LONGS_EQUAL(200, this->world->book(gateway, "r1").status);
    this->world->store.faults.isDown = true;
    CHECK_TRUE(waitFor([&] { return this->world->book(gateway, "r2", "/nowhere").status == 503; }));
    LONGS_EQUAL(200, this->world->book(gateway, "r3").status);
}

TEST(Forwarder, AGatewayWithoutConfigurationIsNotReadyAndSaysNotRun)
{
    this->world->store.remove("op", "", "config");
    RunningGateway gateway(this->world->store.endpoint(), "vm-9", 9);
    CHECK_TRUE(waitFor([&] { return this->world->call(gateway.operators, "GET", "/-/readyz").status == 503; }));
    LONGS_EQUAL(503, this->world->book(gateway, "r1").status);
}

TEST(Forwarder, GarbageInTheServersTableHidesNoOtherServer)
{
    this->world->store.put("servers", "", "i-odd", "\xff\x01 no json");
    this->world->store.put("servers", "", "i-empty", "{}");
    auto& gateway = this->world->startGateway();
    LONGS_EQUAL(200, this->world->book(gateway, "r1").status);
}

// Pattern: a zone is cut off, so that half of the servers can't be reached.
TEST(Forwarder, AServerThatCannotBeReachedCostsNoAttempt)
{
    const auto record = this->world->booking.record("app");
    const auto address = toText(this->world->booking.endpoint());
    for (int server = 0; server < 3; ++server) {
        auto unreachable = record;
        unreachable.replace(unreachable.find(address), address.size(), toText(freeEndpoint()));
        this->world->store.put("servers", "", "i-cut-" + std::to_string(server), unreachable);
    }
    auto& gateway = this->world->startGateway();
    for (int request = 0; request < 10; ++request)
        LONGS_EQUAL(200, this->world->book(gateway, "r" + std::to_string(request), "/u/1").status);
    LONGS_EQUAL(10, this->world->booking.seen().size());
}
