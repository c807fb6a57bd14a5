#include "gateway/job_pages.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

std::string scoreAt(const boost::json::object& page, std::size_t index)
{
    const auto& result = page.at("results").as_array().at(index).as_object();
    const auto* score = result.if_contains("score");
    return score ? boost::json::value_to<std::string>(*score) : "";
}

std::ptrdiff_t countSeen(const WorkerStandin& worker, const std::string& id)
{
    const auto seen = worker.seen();
    return std::count_if(seen.begin(), seen.end(), [&id](const auto& request) { return request.id == id; });
}

} // namespace

TEST_GROUP(Scoring) { std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>(); };

TEST(Scoring, AnItemIsListedWithTheStampOfItsScoringCall)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", itemIds(20)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 20));
    const auto page = this->env->read(gateway, "j1");
    for (std::size_t index = 0; index < 20; ++index) {
        STRCMP_EQUAL("stamp", scoreAt(page, index).c_str());
        LONGS_EQUAL(1, countSeen(this->env->booking, "c-" + idAt(page, index)));
    }
    for (const auto& request : this->env->booking.seen())
        STRCMP_EQUAL("body", request.body.c_str());
}

TEST(Scoring, NoItemIsListedNorGeneratedAgainWhileItsScoringCallIsRefused)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.isFull = true;
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", itemIds(3)).status);
    std::this_thread::sleep_for(1s);
    CHECK_TRUE(this->env->read(gateway, "j1").at("results").as_array().empty());
    CHECK_TRUE(this->env->booking.seen().empty());
    this->env->booking.faults.isFull = false;
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 3));
    LONGS_EQUAL(3, this->env->engine.seen().size());
}

TEST(Scoring, AnItemWhoseScoringCallFailsAtEveryAttemptIsAborted)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.plainStatus = 500;
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    const auto page = this->env->read(gateway, "j1");
    STRCMP_EQUAL("aborted", stateAt(page, 0).c_str());
    STRCMP_EQUAL("", scoreAt(page, 0).c_str());
    LONGS_EQUAL(2, countSeen(this->env->booking, "c-i1"));
}

TEST(Scoring, LostAndForeignAnswersAreNoScoreAndTheCallIsRepeated)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.answersToLose = 1;
    this->env->booking.faults.foreignAnswers = 1;
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    STRCMP_EQUAL("stamp", scoreAt(this->env->read(gateway, "j1"), 0).c_str());
    LONGS_EQUAL(3, countSeen(this->env->booking, "c-i1"));
    LONGS_EQUAL(1, this->env->engine.seen().size());
}

// One worker of the plain service turns slow while a step ends.
TEST(Scoring, ACallAtASlowServerIsRepeatedAtAnother)
{
    auto& other = this->env->addWorker("i-app-2");
    this->env->registerServer(other, "app");
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.plainTime = 5000ms;
    const auto startedAt = Clock::now();
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", itemIds(6)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 6));
    CHECK_TRUE(Clock::now() - startedAt < 3s);
    LONGS_EQUAL(6, this->env->engine.seen().size());
}

// The service moves: the configuration sends the host and path of the calls to another pool.
TEST(Scoring, ACallFollowsTheRouteInForce)
{
    auto& other = this->env->addWorker("i-moved");
    this->env->registerServer(other, "app2");
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.isFull = true;
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(waitFor([&] { return this->env->engine.seen().size() == 1; }));
    auto configuration = boost::json::parse(TestEnvironment::configuration(2)).as_object();
    for (auto& route : configuration.at("routes").as_array()) {
        if (route.at("name") == "safe")
            route.as_object()["service"] = "app2";
    }
    configuration.at("services").as_array().push_back(boost::json::object { { "name", "app2" } });
    this->env->store.put("op", "", "config", boost::json::serialize(configuration));
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    LONGS_EQUAL(1, countSeen(other, "c-i1"));
    CHECK_TRUE(this->env->booking.seen().empty());
}

TEST(Scoring, NoCallIsMadeAfterTheJobHasEnded)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.isFull = true;
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", itemIds(3)).status);
    CHECK_TRUE(waitFor([&] { return this->env->engine.seen().size() == 3; }));
    LONGS_EQUAL(200, this->env->call(gateway.callers, "DELETE", "/-/lots/j1").status);
    // Calls that were sent before the end may still be on their way.
    std::this_thread::sleep_for(100ms);
    this->env->booking.faults.isFull = false;
    std::this_thread::sleep_for(1s);
    CHECK_TRUE(this->env->booking.seen().empty());
}

// The owner stops between the text and its score.
TEST(Scoring, ATakeoverMakesTheCallOfACompleteTextWithoutGeneratingItAgain)
{
    auto& first = this->env->startGateway("vm-1", 1);
    this->env->booking.faults.isFull = true;
    LONGS_EQUAL(202, this->env->submitScored(first, "j1", itemIds(3)).status);
    CHECK_TRUE(waitFor([&] { return this->env->engine.seen().size() == 3; }));
    std::this_thread::sleep_for(300ms);
    auto& second = this->env->startGateway("vm-2", 2);
    first.gateway->shutDown();
    this->env->booking.faults.isFull = false;
    CHECK_TRUE(this->env->waitForResults(second, "j1", 3));
    const auto page = this->env->read(second, "j1");
    for (std::size_t index = 0; index < 3; ++index) {
        STRCMP_EQUAL("stamp", scoreAt(page, index).c_str());
        CHECK_TRUE(outputAt(page, index) == this->env->engine.textOf(idAt(page, index)));
    }
    LONGS_EQUAL(3, this->env->engine.seen().size());
}

TEST(Scoring, TheScoreOfAResubmittedItemIsReusedOnlyForTheSameCall)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", { "i1", "i2" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 2));
    auto body = TestEnvironment::scoredJobBody({ "i1", "i2" });
    const std::string before = "c-i2";
    body.replace(body.find(before), before.size(), "c-new");
    LONGS_EQUAL(
        202, this->env->call(gateway.callers, "POST", "/j/j2", { { "Topaztack-Request-Id", "j2" } }, body).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j2", 2));
    LONGS_EQUAL(1, countSeen(this->env->booking, "c-i1"));
    LONGS_EQUAL(1, countSeen(this->env->booking, "c-i2"));
    LONGS_EQUAL(1, countSeen(this->env->booking, "c-new"));
    LONGS_EQUAL(2, this->env->engine.seen().size());
}

TEST(Scoring, AMalformedCallRefusesTheWholeJob)
{
    auto& gateway = this->env->startGateway();
    auto body = TestEnvironment::scoredJobBody({ "i1", "i2" });
    const std::string before = R"("hostname":"a.example",)";
    body.replace(body.rfind(before), before.size(), "");
    const auto answer = this->env->call(gateway.callers, "POST", "/j/j1", { { "Topaztack-Request-Id", "j1" } }, body);
    LONGS_EQUAL(400, answer.status);
    CHECK_TRUE(answer.body.find("i2") != std::string::npos);
    CHECK_TRUE(answer.body.find("hostname") != std::string::npos);
    CHECK_TRUE(this->env->store.rowsOf("job-heads").empty());
    CHECK_TRUE(this->env->engine.seen().empty());
}

// One of the services that score a job's texts has no server left.
TEST(Scoring, CallsOfOneRouteDoNotHoldUpThoseOfAnother)
{
    auto configuration = boost::json::parse(TestEnvironment::configuration(2)).as_object();
    auto empty = configuration.at("routes").at(1).as_object();
    empty["name"] = "empty";
    empty["prefix"] = "/n/";
    empty["service"] = "none";
    configuration.at("routes").as_array().push_back(empty);
    configuration.at("services").as_array().push_back(boost::json::object { { "name", "none" } });
    this->env->store.put("op", "", "config", boost::json::serialize(configuration));
    auto& gateway = this->env->startGateway();
    auto job = boost::json::parse(TestEnvironment::scoredJobBody({ "i1", "i2", "i3" })).as_object();
    job.at("items").at(0).at("scorerUrl").as_object()["path"] = "/n/i1";
    // The second and third texts end after the first.
    this->env->engine.faults.slowItem = "i2";
    LONGS_EQUAL(202,
        this->env
            ->call(gateway.callers, "POST", "/j/j1", { { "Topaztack-Request-Id", "j1" } }, boost::json::serialize(job))
            .status);
    CHECK_TRUE(waitFor([&] { return countSeen(this->env->booking, "c-i2") == 1; }, 6s));
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 2));
    LONGS_EQUAL(1, countSeen(this->env->booking, "c-i3"));
}

// The route of the calls is removed while they are made, and comes back.
TEST(Scoring, CallsWaitWhileTheirRouteIsMissing)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.plainTime = 200ms;
    this->env->booking.faults.plainStatus = 404;
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", itemIds(20)).status);
    CHECK_TRUE(waitFor([&] { return !this->env->booking.seen().empty(); }));
    auto configuration = boost::json::parse(TestEnvironment::configuration(2)).as_object();
    auto& routes = configuration.at("routes").as_array();
    routes.erase(routes.begin() + 1);
    this->env->store.put("op", "", "config", boost::json::serialize(configuration));
    std::this_thread::sleep_for(1s);
    const auto before = this->env->booking.seen().size();
    std::this_thread::sleep_for(500ms);
    LONGS_EQUAL(before, this->env->booking.seen().size());
    this->env->booking.faults.plainStatus = 200;
    this->env->store.put("op", "", "config", TestEnvironment::configuration(3));
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 20));
}
