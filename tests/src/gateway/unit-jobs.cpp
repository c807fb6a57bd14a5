#include "gateway/job_pages.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

TEST_GROUP(Jobs) { std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>(); };

TEST(Jobs, AnAcceptedJobIsRunAndItsResultsAreListedOnceEach)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(30)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 30));
    const auto page = this->env->read(gateway, "j1");
    LONGS_EQUAL(30, page.at("total").to_number<int>());
    LONGS_EQUAL(30, page.at("next").to_number<int>());
    std::set<std::string> ids;
    for (std::size_t index = 0; index < 30; ++index) {
        ids.insert(idAt(page, index));
        CHECK_TRUE(outputAt(page, index) == this->env->engine.textOf(idAt(page, index)));
    }
    LONGS_EQUAL(30, ids.size());
}

TEST(Jobs, AnotherGatewayReadsTheSameResultsAtTheSamePositions)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(10)).status);
    CHECK_TRUE(this->env->waitForResults(second, "j1", 10));
    CHECK_TRUE(this->env->read(first, "j1") == this->env->read(second, "j1"));
    const auto tail = this->env->read(second, "j1", 7);
    LONGS_EQUAL(3, tail.at("results").as_array().size());
}

TEST(Jobs, AJobSubmittedAgainIsAcceptedOnce)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(5)).status);
    LONGS_EQUAL(202, this->env->submit(second, "j1", itemIds(5)).status);
    CHECK_TRUE(this->env->waitForResults(first, "j1", 5));
    LONGS_EQUAL(5, this->env->engine.seen().size());
}

TEST(Jobs, AJobIsAcceptedAfterALostAnswerOfTheStoreIsResolved)
{
    auto& gateway = this->env->startGateway();
    this->env->store.faults.answersToLose = 1;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(3)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 3));
}

TEST(Jobs, LostAnswersWhileResultsAreListedDuplicateNoResult)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(20)).status);
    this->env->store.faults.answersToLose = 3;
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 20));
    std::set<std::string> ids;
    const auto page = this->env->read(gateway, "j1");
    for (std::size_t index = 0; index < 20; ++index)
        ids.insert(idAt(page, index));
    LONGS_EQUAL(20, ids.size());
}

TEST(Jobs, AJobThatTheStoreRefusedNeverRuns)
{
    auto& gateway = this->env->startGateway();
    this->env->store.faults.refusesWrites = true;
    const auto answer = this->env->submit(gateway, "j1", itemIds(3));
    LONGS_EQUAL(503, answer.status);
    CHECK_FALSE(findHeader(answer.headers, "Retry-After").empty());
    this->env->store.faults.refusesWrites = false;
    std::this_thread::sleep_for(300ms);
    CHECK_TRUE(this->env->engine.seen().empty());
    CHECK_TRUE(this->env->store.rowsOf("job-heads").empty());
}

TEST(Jobs, AnInterruptedGenerationResumesAfterItsLastEvent)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.breakAfter = 2;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    CHECK_TRUE(outputAt(this->env->read(gateway, "j1"), 0) == this->env->engine.textOf("i1"));
    const auto seen = this->env->engine.seen();
    LONGS_EQUAL(3, seen.size());
    STRCMP_EQUAL("2", seen.at(1).lastEvent.c_str());
    STRCMP_EQUAL("4", seen.at(2).lastEvent.c_str());
}

TEST(Jobs, AnItemThatFailsAtEveryAttemptIsAbortedAfterAsManyAsItsRouteAllows)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.generationStatus = 500;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    STRCMP_EQUAL("aborted", stateAt(this->env->read(gateway, "j1"), 0).c_str());
    LONGS_EQUAL(2, this->env->engine.seen().size());
}

// The engine that is to continue a text answers with success and no events: half of the text counted as the whole.
TEST(Jobs, AnErrorWithStatus200DoesNotCompleteAText)
{
    auto& gateway = this->env->startGateway();
    auto& other = this->env->addWorker("i-lm-2");
    HttpResponse error;
    error.headers.push_back({ "Content-Type", "application/json" });
    other.faults.resumedAnswer = error;
    this->env->registerServer(other, "lm");
    this->env->engine.faults.breakAfter = 2;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(12)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 12));
    const auto page = this->env->read(gateway, "j1");
    for (std::size_t index = 0; index < 12; ++index)
        CHECK_TRUE(outputAt(page, index) == other.textOf(idAt(page, index)));
}

TEST(Jobs, AnItemThatCanNeverBeDoneIsAbortedAtOnce)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.generationStatus = 422;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    STRCMP_EQUAL("aborted", stateAt(this->env->read(gateway, "j1"), 0).c_str());
    LONGS_EQUAL(1, this->env->engine.seen().size());
}

TEST(Jobs, AnEndedJobStartsNothingMoreAndKeepsWhatIsListed)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.eventTime = 200ms;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(40)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    LONGS_EQUAL(200, this->env->call(gateway.callers, "DELETE", "/-/lots/j1").status);
    LONGS_EQUAL(200, this->env->call(gateway.callers, "DELETE", "/-/lots/j1").status);
    const auto before = this->env->engine.seen().size();
    std::this_thread::sleep_for(1500ms);
    LONGS_EQUAL(before, this->env->engine.seen().size());
    CHECK_TRUE(this->env->read(gateway, "j1").at("results").as_array().size() >= 1);
}

TEST(Jobs, AnyGatewayServesItemBodiesAndUnknownJobsAreNotFound)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    this->env->engine.faults.isFull = true;
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(3)).status);
    const auto body = this->env->call(second.callers, "GET", "/-/items/j1?id=i1");
    LONGS_EQUAL(200, body.status);
    STRCMP_EQUAL("body", body.body.c_str());
    LONGS_EQUAL(404, this->env->call(second.callers, "GET", "/-/items/j1?id=none").status);
    LONGS_EQUAL(404, this->env->call(second.callers, "GET", "/-/items/none?id=i1").status);
    LONGS_EQUAL(404, this->env->call(second.callers, "GET", "/-/lots/none").status);
    LONGS_EQUAL(404, this->env->call(second.callers, "DELETE", "/-/lots/none").status);
}

TEST(Jobs, TextOfAResubmittedItemIsReused)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "i1", "i2" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 2));
    LONGS_EQUAL(202, this->env->submit(gateway, "j2", { "i1", "k2" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j2", 2));
    const auto seen = this->env->engine.seen();
    LONGS_EQUAL(1, std::count_if(seen.begin(), seen.end(), [](const auto& request) { return request.id == "i1"; }));
}

// A trainer may submit its next job before this VM has seen the end of the last one.
TEST(Jobs, FinishedTextOfAnOpenJobIsReused)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.slowItem = "slow";
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "i1", "slow" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    LONGS_EQUAL(202, this->env->submit(gateway, "j2", { "i1", "k2" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j2", 2));
    const auto seen = this->env->engine.seen();
    LONGS_EQUAL(1, std::count_if(seen.begin(), seen.end(), [](const auto& request) { return request.id == "i1"; }));
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 2));
}

TEST(Jobs, TextOfOlderWeightsThanAJobAllowsIsRegenerated)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "i1", "i2" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 2));
    this->env->store.put("op", "", "version/m", R"({"model":"m","version":2})");
    LONGS_EQUAL(202, this->env->submit(gateway, "j2", { "i1" }, 2).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j2", 1));
    const auto page = this->env->read(gateway, "j2");
    LONGS_EQUAL(2, page.at("results").as_array().at(0).at("versions").as_array().at(0).to_number<int>());
}

TEST(Jobs, ACompleteJobIsNotRestartedByOlderHeadsThatArriveLate)
{
    auto& gateway = this->env->startGateway();
    for (int job = 0; job < 8; ++job) {
        const auto id = "j" + std::to_string(job);
        LONGS_EQUAL(202, this->env->submit(gateway, id, { id + "-a", id + "-b" }).status);
        CHECK_TRUE(this->env->waitForResults(gateway, id, 2));
    }
    std::this_thread::sleep_for(500ms);
    LONGS_EQUAL(8, counterValue(*this->env, gateway, "topaztack_job_starts_total"));
}

// When a zone is cut off, its engines reset every connection at once; attempts must still be spaced out.
TEST(Jobs, AnEngineThatResetsConnectionsIsNotRetriedInATightLoop)
{
    auto record = this->env->engine.record("lm");
    const auto address = "127.0.0.1:" + std::to_string(this->env->engine.endpoint().port);
    record.replace(record.find(address), address.size(), toText(this->env->refusing.add()));
    this->env->store.put("servers", "", "i-lm", record);
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(10)).status);
    std::this_thread::sleep_for(2s);
    const auto attempts = counterValue(*this->env, gateway, "topaztack_item_attempts_total");
    CHECK_TRUE(attempts >= 4);
    CHECK_TRUE(attempts <= 40);
    this->env->registerServer(this->env->engine, "lm");
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 10));
}

// Owners of several trainers' jobs share the engines. Without each other's counts each alone would fill them.
TEST(Jobs, AnOwnerWritesItsGenerationsPerEngineIntoTheHead)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.eventTime = 100ms;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(20)).status);
    const auto hasFourInFlight = [&] {
        const auto head = parseJobHead(this->env->store.rowsOf("job-heads").at("j1")).value();
        const auto found = head.inFlight.find(BackendName("i-lm"));
        return found != head.inFlight.end() && found->second == 4;
    };
    CHECK_TRUE(waitFor(hasFourInFlight));
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 20));
}

TEST(Jobs, ItemsOfARemovedRouteAreListedAsAborted)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.isFull = true;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(3)).status);
    this->env->store.put("op", "", "config", TestEnvironment::configurationWithoutJobs(2));
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 3));
    const auto page = this->env->read(gateway, "j1");
    for (std::size_t index = 0; index < 3; ++index)
        STRCMP_EQUAL("aborted", stateAt(page, index).c_str());
}

TEST(Jobs, AnItemGoesToThePoolOfItsOwnPath)
{
    auto& other = this->env->addWorker("i-lm2");
    this->env->registerServer(other, "lm2");
    this->env->store.put("op", "", "config", TestEnvironment::configurationWithExtraRoute(2));
    auto& gateway = this->env->startGateway();
    const auto body = TestEnvironment::jobBody({ "i1", "i2" }, 1, "/k/");
    LONGS_EQUAL(
        202, this->env->call(gateway.callers, "POST", "/j/j1", { { "Topaztack-Request-Id", "j1" } }, body).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 2));
    LONGS_EQUAL(2, other.seen().size());
    CHECK_TRUE(this->env->engine.seen().empty());
}

TEST(Jobs, AnItemThatIsNotFinishedWithinItsRetentionIsListedAsAborted)
{
    auto& other = this->env->addWorker("i-lm2");
    this->env->registerServer(other, "lm2");
    this->env->store.put("op", "", "config", TestEnvironment::configurationWithExtraRoute(2));
    auto& gateway = this->env->startGateway();
    other.faults.isFull = true;
    const auto body = TestEnvironment::jobBody({ "i1" }, 1, "/k/");
    LONGS_EQUAL(
        202, this->env->call(gateway.callers, "POST", "/k/j1", { { "Topaztack-Request-Id", "j1" } }, body).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    STRCMP_EQUAL("aborted", stateAt(this->env->read(gateway, "j1"), 0).c_str());
}

// The trainer accepts no text made by two versions, and the weights change during a generation.
TEST(Jobs, ATextOfTwoVersionsIsRegeneratedOnASingleVersionRoute)
{
    auto configuration = TestEnvironment::configuration(2);
    const std::string before = R"("retentionS":40.0)";
    configuration.replace(configuration.find(before), before.size(), before + R"(,"singleVersion":true)");
    this->env->store.put("op", "", "config", configuration);
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.eventTime = 200ms;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(waitFor([&] { return this->env->engine.seen().size() == 1; }));
    std::this_thread::sleep_for(500ms);
    this->env->store.put("op", "", "version/m", R"({"model":"m","version":2})");
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    const auto page = this->env->read(gateway, "j1");
    LONGS_EQUAL(1, page.at("results").as_array().at(0).at("versions").as_array().size());
    LONGS_EQUAL(2, this->env->engine.version());
    CHECK_TRUE(outputAt(page, 0) == this->env->engine.textOf("i1"));
}

// An engine says in the heads of its streams that it leaves; its record still says that it is ready.
TEST(Jobs, AnEngineThatAnnouncesItsDepartureFinishesItsItemsAndGetsNoMore)
{
    auto& other = this->env->addWorker("i-lm-2");
    this->env->registerServer(other, "lm");
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.announcesDeparture = true;
    this->env->engine.faults.eventTime = 50ms;
    other.faults.eventTime = 50ms;
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(24)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 24));
    // Its four slots are filled before its first answer arrives.
    CHECK_TRUE(this->env->engine.seen().size() <= 4);
    const auto page = this->env->read(gateway, "j1");
    for (std::size_t index = 0; index < 24; ++index)
        CHECK_TRUE(outputAt(page, index) == this->env->engine.textOf(idAt(page, index)));
}
