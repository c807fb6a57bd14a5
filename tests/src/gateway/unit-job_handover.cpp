#include "gateway/job_pages.hpp"

#include <CppUTest/TestHarness.h>

#include <set>
#include <thread>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

TEST_GROUP(JobHandover) { std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>(); };

TEST(JobHandover, WhileTheStoreIsDownAnUnknownJobIsAnswered503)
{
    auto& gateway = this->env->startGateway();
    this->env->store.faults.isDown = true;
    LONGS_EQUAL(503, this->env->call(gateway.callers, "GET", "/-/lots/none").status);
    LONGS_EQUAL(503, this->env->call(gateway.callers, "DELETE", "/-/lots/none").status);
}

TEST(JobHandover, AJobWhoseOwnerIsGoneIsTakenOverWithoutDuplicateResults)
{
    auto& first = this->env->startGateway("vm-1", 1);
    this->env->engine.faults.eventTime = 100ms;
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(12)).status);
    CHECK_TRUE(this->env->waitForResults(first, "j1", 4));
    this->env->gateways.clear();
    auto& second = this->env->startGateway("vm-2", 2);
    CHECK_TRUE(this->env->waitForResults(second, "j1", 12));
    const auto page = this->env->read(second, "j1");
    std::set<std::string> ids;
    for (std::size_t index = 0; index < 12; ++index)
        ids.insert(idAt(page, index));
    LONGS_EQUAL(12, ids.size());
}

TEST(JobHandover, AShutdownReleasesTheJobAtOnce)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    this->env->engine.faults.eventTime = 100ms;
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(30)).status);
    first.gateway->shutDown();
    const auto heads = this->env->store.rowsOf("job-heads");
    CHECK_TRUE(heads.at("j1").find("vm-1") == std::string::npos);
    CHECK_TRUE(this->env->waitForResults(second, "j1", 30));
}

TEST(JobHandover, ATrainersNextJobGoesToTheGatewayThatRanTheLast)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(2)).status);
    CHECK_TRUE(this->env->waitForResults(second, "j1", 2));
    LONGS_EQUAL(202, this->env->submit(second, "j2", { "k1", "k2" }).status);
    CHECK_TRUE(this->env->waitForResults(second, "j2", 2));
    CHECK_TRUE(this->env->store.rowsOf("job-heads").at("j2").find("vm-1") != std::string::npos);
}

TEST(JobHandover, AJobThatItsChosenOwnerDoesNotTakeIsRunByTheAcceptingGateway)
{
    {
        auto& first = this->env->startGateway("vm-1", 1);
        LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(2)).status);
        CHECK_TRUE(this->env->waitForResults(first, "j1", 2));
    }
    auto& second = this->env->startGateway("vm-2", 2);
    this->env->gateways.erase(this->env->gateways.begin());
    LONGS_EQUAL(202, this->env->submit(second, "j2", { "k1", "k2" }).status);
    CHECK_TRUE(this->env->waitForResults(second, "j2", 2));
}

// A VM takes a job back from the owner that it had named, loses it to that VM while it stands still, and then that VM
// is removed for good. A job whose claim never counted as ended was not claimed again, and its items were never run.
TEST(JobHandover, AJobTakenBackAfterAFailedHandoverIsTakenOverAgain)
{
    {
        auto& first = this->env->startGateway("vm-1", 1);
        LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(2)).status);
        CHECK_TRUE(this->env->waitForResults(first, "j1", 2));
    }
    auto& second = this->env->startGateway("vm-2", 2);
    this->env->gateways.erase(this->env->gateways.begin());
    this->env->engine.faults.eventTime = 2000ms;
    LONGS_EQUAL(202, this->env->submit(second, "j2", { "k1" }).status);
    const auto head = [this] { return parseJobHead(this->env->store.rowsOf("job-heads").at("j2")).value(); };
    CHECK_TRUE(waitFor([&] { return head().owner.name == VmName("vm-2") && head().inFlight.size() == 1; }));
    auto taken = head();
    taken.owner = VmIdentity { VmName("vm-1"), Incarnation(3) };
    ++taken.writes;
    this->env->store.replace("job-heads", "j2", toText(taken));
    this->env->engine.faults.eventTime = 1ms;
    CHECK_TRUE(this->env->waitForResults(second, "j2", 1));
    STRCMP_EQUAL("vm-2", head().owner.name.value().c_str());
}

// In a planned restart, text that engines have generated so far must not be generated again.
TEST(JobHandover, AVmThatShutsDownSavesItsTextsForTheNextOwner)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    this->env->engine.faults.eventTime = 300ms;
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(3)).status);
    CHECK_TRUE(waitFor([&] { return this->env->engine.seen().size() == 3; }));
    std::this_thread::sleep_for(700ms);
    first.gateway->shutDown();
    CHECK_TRUE(this->env->waitForResults(second, "j1", 3));
    const auto page = this->env->read(second, "j1");
    for (std::size_t index = 0; index < 3; ++index)
        CHECK_TRUE(outputAt(page, index) == this->env->engine.textOf(idAt(page, index)));
    const auto seen = this->env->engine.seen();
    LONGS_EQUAL(6, seen.size());
    for (std::size_t index = 3; index < 6; ++index)
        CHECK_FALSE(seen.at(index).lastEvent.empty());
}

// Processes are killed and start again seconds later. Their jobs must not wait for the owner timeout meanwhile: a
// refused connection shows that the owner is gone.
TEST(JobHandover, AJobOfAnOwnerThatRefusesConnectionsIsTakenOverBeforeTheOwnerTimeout)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    for (auto* gateway : { &first, &second })
        CHECK_TRUE(waitFor([&] { return this->env->state(*gateway, "peers").as_object().size() == 1; }));
    this->env->engine.faults.eventTime = 1000ms;
    LONGS_EQUAL(202, this->env->submit(first, "j1", { "a" }).status);
    const auto owner = parseJobHead(this->env->store.rowsOf("job-heads").at("j1")).value().owner.name;
    const bool isFirst = owner == VmName("vm-1");
    this->env->gateways.erase(this->env->gateways.begin() + (isFirst ? 0 : 1));
    auto& successor = isFirst ? second : first;
    CHECK_TRUE(this->env->waitForResults(successor, "j1", 1));
    LONGS_EQUAL(1, counterValue(*this->env, successor, "topaztack_job_owners_dead_total"));
}

// VMs are killed in the middle of a step whose longest items take most of the available time, so there is no time to
// generate them again from the start.
TEST(JobHandover, ATakeoverResumesFromSavedTexts)
{
    WorkerOptions options;
    options.events = 80;
    auto& engine = this->env->addWorker("i-long", options);
    engine.faults.eventTime = 50ms;
    this->env->registerServer(this->env->engine, "none");
    this->env->registerServer(engine, "lm");
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    LONGS_EQUAL(202, this->env->submit(first, "j1", { "a" }).status);
    const auto areTextsSaved
        = [this] { return parseJobHead(this->env->store.rowsOf("job-heads").at("j1")).value().textObjects > 0; };
    CHECK_TRUE(waitFor(areTextsSaved));
    const auto head = parseJobHead(this->env->store.rowsOf("job-heads").at("j1")).value();
    const bool isFirst = head.owner.name == VmName("vm-1");
    this->env->gateways.erase(this->env->gateways.begin() + (isFirst ? 0 : 1));
    auto& successor = isFirst ? second : first;
    CHECK_TRUE(this->env->waitForResults(successor, "j1", 1));
    CHECK_TRUE(outputAt(this->env->read(successor, "j1"), 0) == engine.textOf("a"));
    const auto seen = engine.seen();
    LONGS_EQUAL(2, seen.size());
    CHECK_TRUE(std::stoi(seen.at(1).lastEvent) >= 16);
    // Only the submission's object is left; the text objects are removed once the job is complete.
    CHECK_TRUE(waitFor([this] { return this->env->store.objects() == 1; }));
}

// An owner died after it had stored texts and before its head referred to them.
TEST(JobHandover, ATextObjectThatAnotherOwnerStoredIsNotReferredToAsOnesOwn)
{
    WorkerOptions options;
    options.events = 80;
    auto& engine = this->env->addWorker("i-long", options);
    engine.faults.eventTime = 50ms;
    this->env->registerServer(this->env->engine, "none");
    this->env->registerServer(engine, "lm");
    const auto put = this->env->call(this->env->store.endpoint(), "PUT", "/-/blob-put/job-j1-texts-0",
        { { "If-None-Match", "*" } }, "left by another");
    LONGS_EQUAL(200, put.status);
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "a" }).status);
    const auto textObjects
        = [this] { return parseJobHead(this->env->store.rowsOf("job-heads").at("j1")).value().textObjects; };
    CHECK_TRUE(waitFor([&] { return textObjects() > 0; }));
    LONGS_EQUAL(2, textObjects());
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
}

// In a planned restart, callers reach a VM that shuts down until the load balancer has removed it.
TEST(JobHandover, AVmThatShutsDownAcceptsAJobForAnotherVm)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    std::thread shutdown([&first] { first.gateway->shutDown(); });
    CHECK_TRUE(waitFor([&] { return this->env->call(first.operators, "GET", "/-/readyz").status == 503; }));
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(3)).status);
    CHECK_TRUE(this->env->waitForResults(second, "j1", 3));
    const auto head = parseJobHead(this->env->store.rowsOf("job-heads").at("j1")).value();
    STRCMP_EQUAL("vm-2", head.owner.name.value().c_str());
    shutdown.join();
}

// The store refuses a whole data centre, and callers reach only VMs of their own data centre.
TEST(JobHandover, AVmThatTheStoreRefusesPassesJobCallsToPeers)
{
    auto& cutOff = this->env->startGatewayAt(this->env->store.sideEndpoint(), "vm-1", 1);
    auto& connected = this->env->startGateway("vm-2", 2);
    CHECK_TRUE(waitFor([&] { return this->env->state(cutOff, "peers").as_object().contains("vm-2"); }));
    this->env->store.faults.turnsSideAway = true;
    LONGS_EQUAL(202, this->env->submit(cutOff, "j1", itemIds(3)).status);
    CHECK_TRUE(this->env->waitForResults(connected, "j1", 3));
    CHECK_TRUE(this->env->read(cutOff, "j1") == this->env->read(connected, "j1"));
    LONGS_EQUAL(404, this->env->call(cutOff.callers, "GET", "/-/lots/none").status);
    LONGS_EQUAL(200, this->env->call(cutOff.callers, "GET", "/-/items/j1?id=i1").status);
    LONGS_EQUAL(200, this->env->call(cutOff.callers, "DELETE", "/-/lots/j1").status);
    const auto heads = this->env->store.rowsOf("job-heads");
    CHECK_TRUE(parseJobHead(heads.at("j1")).value().isEnded);
}

TEST(JobHandover, ACallThatNoVmCanAnswerIsRefusedAndNotForwardedInALoop)
{
    auto& first = this->env->startGatewayAt(this->env->store.sideEndpoint(), "vm-1", 1);
    auto& second = this->env->startGatewayAt(this->env->store.sideEndpoint(), "vm-2", 2);
    CHECK_TRUE(waitFor([&] { return this->env->state(first, "peers").as_object().contains("vm-2"); }));
    CHECK_TRUE(waitFor([&] { return this->env->state(second, "peers").as_object().contains("vm-1"); }));
    this->env->store.faults.turnsSideAway = true;
    const auto answer = this->env->submit(first, "j1", itemIds(3));
    LONGS_EQUAL(503, answer.status);
    CHECK_FALSE(findHeader(answer.headers, "Retry-After").empty());
    LONGS_EQUAL(503, this->env->call(second.callers, "GET", "/-/lots/j1").status);
}

// A peer freezes while it handles a call. A read has no effect and may be refused; a submission may have taken effect.
TEST(JobHandover, ACallWithoutAPeersAnswerMayHaveRunOnlyIfItHasAnEffect)
{
    auto& cutOff = this->env->startGatewayAt(this->env->store.sideEndpoint(), "vm-1", 1);
    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor silent(loop, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    this->env->store.put("gateways", "", "vm-2",
        R"({"vm":"vm-2","incarnation":2,"data_centre":"z2","address":"127.0.0.1:)"
            + std::to_string(silent.local_endpoint().port()) + R"(","written_ms":1})");
    CHECK_TRUE(waitFor([&] { return this->env->state(cutOff, "peers").as_object().contains("vm-2"); }));
    this->env->store.faults.turnsSideAway = true;
    LONGS_EQUAL(503, this->env->call(cutOff.callers, "GET", "/-/lots/j1").status);
    LONGS_EQUAL(504, this->env->submit(cutOff, "j1", itemIds(2)).status);
}
