#include "gateway/job_pages.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

TEST_GROUP(Jobs) { std::unique_ptr<World> world = std::make_unique<World>(); };

TEST(Jobs, AnAcceptedJobIsRunAndItsResultsAreListedOnceEach)
{
    auto& gateway = this->world->startGateway();
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", manyItems(30)).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 30));
    const auto page = this->world->read(gateway, "j1");
    LONGS_EQUAL(30, page.at("total").to_number<int>());
    LONGS_EQUAL(30, page.at("next").to_number<int>());
    std::set<std::string> ids;
    for (std::size_t index = 0; index < 30; ++index) {
        ids.insert(idAt(page, index));
        CHECK_TRUE(outputAt(page, index) == this->world->engine.textOf(idAt(page, index)));
    }
    LONGS_EQUAL(30, ids.size());
}

TEST(Jobs, AnotherGatewayReadsTheSameResultsAtTheSamePositions)
{
    auto& first = this->world->startGateway("vm-1", 1);
    auto& second = this->world->startGateway("vm-2", 2);
    LONGS_EQUAL(202, this->world->submit(first, "j1", manyItems(10)).status);
    CHECK_TRUE(this->world->waitForResults(second, "j1", 10));
    CHECK_TRUE(this->world->read(first, "j1") == this->world->read(second, "j1"));
    const auto tail = this->world->read(second, "j1", 7);
    LONGS_EQUAL(3, tail.at("results").as_array().size());
}

TEST(Jobs, AJobSubmittedAgainIsAcceptedOnce)
{
    auto& first = this->world->startGateway("vm-1", 1);
    auto& second = this->world->startGateway("vm-2", 2);
    LONGS_EQUAL(202, this->world->submit(first, "j1", manyItems(5)).status);
    LONGS_EQUAL(202, this->world->submit(second, "j1", manyItems(5)).status);
    CHECK_TRUE(this->world->waitForResults(first, "j1", 5));
    LONGS_EQUAL(5, this->world->engine.seen().size());
}

TEST(Jobs, ALostAnswerOfTheStoreIsSettledBeforeTheJobIsAnswered)
{
    auto& gateway = this->world->startGateway();
    this->world->store.faults.answersToLose = 1;
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", manyItems(3)).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 3));
}

TEST(Jobs, LostAnswersWhileResultsAreListedDoubleNothing)
{
    auto& gateway = this->world->startGateway();
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", manyItems(20)).status);
    this->world->store.faults.answersToLose = 3;
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 20));
    std::set<std::string> ids;
    const auto page = this->world->read(gateway, "j1");
    for (std::size_t index = 0; index < 20; ++index)
        ids.insert(idAt(page, index));
    LONGS_EQUAL(20, ids.size());
}

TEST(Jobs, AJobThatTheStoreRefusedNeverRuns)
{
    auto& gateway = this->world->startGateway();
    this->world->store.faults.refusesWrites = true;
    const auto answer = this->world->submit(gateway, "j1", manyItems(3));
    LONGS_EQUAL(503, answer.status);
    CHECK_FALSE(findHeader(answer.headers, "Retry-After").empty());
    this->world->store.faults.refusesWrites = false;
    std::this_thread::sleep_for(300ms);
    CHECK_TRUE(this->world->engine.seen().empty());
    CHECK_TRUE(this->world->store.rowsOf("job-heads").empty());
}

TEST(Jobs, ABrokenGenerationGoesOnAfterItsLastEvent)
{
    auto& gateway = this->world->startGateway();
    this->world->engine.faults.breakAfter = 2;
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 1));
    CHECK_TRUE(outputAt(this->world->read(gateway, "j1"), 0) == this->world->engine.textOf("i1"));
    const auto seen = this->world->engine.seen();
    LONGS_EQUAL(3, seen.size());
    STRCMP_EQUAL("2", seen.at(1).lastEvent.c_str());
    STRCMP_EQUAL("4", seen.at(2).lastEvent.c_str());
}

TEST(Jobs, AnItemThatFailsAtEveryAttemptIsAbortedAfterAsManyAsItsRouteAllows)
{
    auto& gateway = this->world->startGateway();
    this->world->engine.faults.generationStatus = 500;
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 1));
    STRCMP_EQUAL("aborted", stateAt(this->world->read(gateway, "j1"), 0).c_str());
    LONGS_EQUAL(2, this->world->engine.seen().size());
}

TEST(Jobs, AnItemThatCanNeverBeDoneIsAbortedAtOnce)
{
    auto& gateway = this->world->startGateway();
    this->world->engine.faults.generationStatus = 422;
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 1));
    STRCMP_EQUAL("aborted", stateAt(this->world->read(gateway, "j1"), 0).c_str());
    LONGS_EQUAL(1, this->world->engine.seen().size());
}

TEST(Jobs, AnEndedJobStartsNothingMoreAndKeepsWhatIsListed)
{
    auto& gateway = this->world->startGateway();
    this->world->engine.faults.eventTime = 200ms;
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", manyItems(40)).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 1));
    LONGS_EQUAL(200, this->world->call(gateway.callers, "DELETE", "/-/lots/j1").status);
    LONGS_EQUAL(200, this->world->call(gateway.callers, "DELETE", "/-/lots/j1").status);
    const auto before = this->world->engine.seen().size();
    std::this_thread::sleep_for(1500ms);
    LONGS_EQUAL(before, this->world->engine.seen().size());
    CHECK_TRUE(this->world->read(gateway, "j1").at("results").as_array().size() >= 1);
}

TEST(Jobs, BodiesAreGivenByAnyGatewayAndUnknownJobsAreNotFound)
{
    auto& first = this->world->startGateway("vm-1", 1);
    auto& second = this->world->startGateway("vm-2", 2);
    this->world->engine.faults.isFull = true;
    LONGS_EQUAL(202, this->world->submit(first, "j1", manyItems(3)).status);
    const auto body = this->world->call(second.callers, "GET", "/-/items/j1?id=i1");
    LONGS_EQUAL(200, body.status);
    STRCMP_EQUAL("body", body.body.c_str());
    LONGS_EQUAL(404, this->world->call(second.callers, "GET", "/-/items/j1?id=none").status);
    LONGS_EQUAL(404, this->world->call(second.callers, "GET", "/-/items/none?id=i1").status);
    LONGS_EQUAL(404, this->world->call(second.callers, "GET", "/-/lots/none").status);
    LONGS_EQUAL(404, this->world->call(second.callers, "DELETE", "/-/lots/none").status);
}

TEST(Jobs, TextOfAnItemThatComesAgainIsNotGeneratedAgain)
{
    auto& gateway = this->world->startGateway();
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", { "i1", "i2" }).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 2));
    LONGS_EQUAL(202, this->world->submit(gateway, "j2", { "i1", "k2" }).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j2", 2));
    const auto seen = this->world->engine.seen();
    LONGS_EQUAL(1, std::count_if(seen.begin(), seen.end(), [](const auto& request) { return request.id == "i1"; }));
}

// Pattern: a trainer's next job comes before this VM has seen the end of the last one.
TEST(Jobs, TextThatIsDoneInAJobStillOpenIsNotGeneratedAgain)
{
    auto& gateway = this->world->startGateway();
    this->world->engine.faults.slowItem = "slow";
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", { "i1", "slow" }).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 1));
    LONGS_EQUAL(202, this->world->submit(gateway, "j2", { "i1", "k2" }).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j2", 2));
    const auto seen = this->world->engine.seen();
    LONGS_EQUAL(1, std::count_if(seen.begin(), seen.end(), [](const auto& request) { return request.id == "i1"; }));
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 2));
}

TEST(Jobs, TextOfOlderWeightsThanAJobAllowsIsGeneratedAgain)
{
    auto& gateway = this->world->startGateway();
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", { "i1", "i2" }).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 2));
    this->world->store.put("op", "", "version/m", R"({"model":"m","version":2})");
    LONGS_EQUAL(202, this->world->submit(gateway, "j2", { "i1" }, 2).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j2", 1));
    const auto page = this->world->read(gateway, "j2");
    LONGS_EQUAL(2, page.at("results").as_array().at(0).at("versions").as_array().at(0).to_number<int>());
}

TEST(Jobs, ACompleteJobIsNotBegunAgainWhenItsOlderHeadsArriveLate)
{
    auto& gateway = this->world->startGateway();
    for (int job = 0; job < 8; ++job) {
        const auto id = "j" + std::to_string(job);
        LONGS_EQUAL(202, this->world->submit(gateway, id, { id + "-a", id + "-b" }).status);
        CHECK_TRUE(this->world->waitForResults(gateway, id, 2));
    }
    std::this_thread::sleep_for(500ms);
    LONGS_EQUAL(8, counterOf(*this->world, gateway, "topaztack_job_starts_total"));
}

// Pattern: a zone is cut off and its engines reset every connection at once.
TEST(Jobs, AnEngineThatResetsConnectionsIsNotTriedInATightLoop)
{
    auto record = this->world->engine.record("lm");
    const auto address = "127.0.0.1:" + std::to_string(this->world->engine.endpoint().port);
    record.replace(record.find(address), address.size(), toText(freeEndpoint()));
    this->world->store.put("servers", "", "i-lm", record);
    auto& gateway = this->world->startGateway();
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", manyItems(10)).status);
    std::this_thread::sleep_for(2s);
    const auto attempts = counterOf(*this->world, gateway, "topaztack_item_attempts_total");
    CHECK_TRUE(attempts >= 4);
    CHECK_TRUE(attempts <= 40);
    this->world->list(this->world->engine, "lm");
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 10));
}

// Pattern: several trainers' owners share the engines, and each alone would fill them.
TEST(Jobs, AnOwnerSaysInItsHeadWhatItHasAtEachEngine)
{
    auto& gateway = this->world->startGateway();
    this->world->engine.faults.eventTime = 100ms;
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", manyItems(20)).status);
    const auto says = [&] {
        const auto head = parseJobHead(this->world->store.rowsOf("job-heads").at("j1")).value();
        const auto found = head.inFlight.find(BackendName("i-lm"));
        return found != head.inFlight.end() && found->second == 4;
    };
    CHECK_TRUE(waitFor(says));
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 20));
}

TEST(Jobs, ItemsOfARouteThatIsGoneAreListedAsAborted)
{
    auto& gateway = this->world->startGateway();
    this->world->engine.faults.isFull = true;
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", manyItems(3)).status);
    this->world->store.put("op", "", "config", World::configurationWithoutJobs(2));
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 3));
    const auto page = this->world->read(gateway, "j1");
    for (std::size_t index = 0; index < 3; ++index)
        STRCMP_EQUAL("aborted", stateAt(page, index).c_str());
}

TEST(Jobs, AnItemGoesToThePoolOfItsOwnPath)
{
    auto& other = this->world->addWorker("i-lm2");
    this->world->list(other, "lm2");
    this->world->store.put("op", "", "config", World::configurationWithMore(2));
    auto& gateway = this->world->startGateway();
    const auto body = World::jobBody({ "i1", "i2" }, 1, "/k/");
    LONGS_EQUAL(
        202, this->world->call(gateway.callers, "POST", "/j/j1", { { "Topaztack-Request-Id", "j1" } }, body).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 2));
    LONGS_EQUAL(2, other.seen().size());
    CHECK_TRUE(this->world->engine.seen().empty());
}

TEST(Jobs, AnItemThatIsNotDoneWithinItsRetentionIsListedAsAborted)
{
    auto& other = this->world->addWorker("i-lm2");
    this->world->list(other, "lm2");
    this->world->store.put("op", "", "config", World::configurationWithMore(2));
    auto& gateway = this->world->startGateway();
    other.faults.isFull = true;
    const auto body = World::jobBody({ "i1" }, 1, "/k/");
    LONGS_EQUAL(
        202, this->world->call(gateway.callers, "POST", "/k/j1", { { "Topaztack-Request-Id", "j1" } }, body).status);
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 1));
    STRCMP_EQUAL("aborted", stateAt(this->world->read(gateway, "j1"), 0).c_str());
}

// Pattern: a trainer that takes no text of two versions, and weights that change under a generation.
TEST(Jobs, ATextOfTwoVersionsIsMadeAgainWhereOneIsWanted)
{
    auto configuration = World::configuration(2);
    const std::string before = R"("retentionS":40.0)";
    configuration.replace(configuration.find(before), before.size(), before + R"(,"singleVersion":true)");
    this->world->store.put("op", "", "config", configuration);
    auto& gateway = this->world->startGateway();
    this->world->engine.faults.eventTime = 200ms;
    LONGS_EQUAL(202, this->world->submit(gateway, "j1", { "i1" }).status);
    CHECK_TRUE(waitFor([&] { return this->world->engine.seen().size() == 1; }));
    std::this_thread::sleep_for(500ms);
    this->world->store.put("op", "", "version/m", R"({"model":"m","version":2})");
    CHECK_TRUE(this->world->waitForResults(gateway, "j1", 1));
    const auto page = this->world->read(gateway, "j1");
    LONGS_EQUAL(1, page.at("results").as_array().at(0).at("versions").as_array().size());
    LONGS_EQUAL(2, this->world->engine.version());
    CHECK_TRUE(outputAt(page, 0) == this->world->engine.textOf("i1"));
}
