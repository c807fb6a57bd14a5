#include "gateway/stream_client.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

constexpr const char* deadlyBody = "a body that the service can't bear";

/// A request that crashes servers may reach this many more once three of them have ended under it.
constexpr std::size_t maxFurtherRuns = 3;
constexpr std::size_t judgedAfterServers = 3;

std::size_t countDeadly(const WorkerStandin& worker)
{
    const auto seen = worker.seen();
    return static_cast<std::size_t>(
        std::count_if(seen.begin(), seen.end(), [](const auto& each) { return each.body == deadlyBody; }));
}

} // namespace

/// VMs before three servers of a plain service. A server that ends is back a moment later, under a new name at the same
/// address.
TEST_GROUP(DeadlyRequests)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();
    /// The present start of each server.
    std::vector<WorkerStandin*> servers;
    int starts { 0 };

    WorkerStandin& startServer(std::uint16_t port = 0)
    {
        WorkerOptions options;
        options.port = port;
        auto& server = this->env->addWorker("i-plain-" + std::to_string(++this->starts), options);
        server.faults.deadlyBody = deadlyBody;
        this->env->registerServer(server, "app");
        return server;
    }

    void startServers(std::size_t count)
    {
        this->env->store.remove("servers", "", this->env->booking.name);
        while (this->servers.size() < count)
            this->servers.push_back(&this->startServer());
    }

    void startVms(int count)
    {
        for (int vm = 1; vm <= count; ++vm)
            this->env->startGateway("vm-" + std::to_string(vm), static_cast<std::uint64_t>(vm));
        for (const auto& vm : this->env->gateways)
            waitFor([&] { return this->env->state(*vm, "servers").as_array().size() > this->servers.size(); });
    }

    /// Starts servers that ended again, and waits until all VMs know them.
    void restartServers()
    {
        for (auto& server : this->servers) {
            if (!server->hasCrashed())
                continue;
            this->env->store.remove("servers", "", server->name);
            server = &this->startServer(server->endpoint().port);
            for (const auto& vm : this->env->gateways)
                waitFor([&] { return this->knows(*vm, *server); });
        }
    }

    bool knows(const RunningGateway& vm, const WorkerStandin& server)
    {
        const auto known = this->env->state(vm, "servers");
        return std::any_of(known.as_array().begin(), known.as_array().end(),
            [&server](const auto& each) { return each.at("server").as_string() == server.name; });
    }

    HttpResponse send(const RunningGateway& vm, const std::string& path = "/b/1")
    {
        return this->env->call(vm.callers, "POST", path,
            { { "Topaztack-Request-Id", "d" + std::to_string(++this->sent) }, { "Topaztack-Deadline-Ms", "2000" } },
            deadlyBody);
    }

    /// Lets the request crash servers until no VM sends it any more.
    void crashUntilHeld()
    {
        for (int round = 0; round < 3; ++round) {
            this->send(*this->env->gateways[0]);
            this->restartServers();
        }
        for (const auto& vm : this->env->gateways)
            CHECK_TRUE(waitFor([&] {
                const auto suspects = this->env->state(*vm, "suspects");
                return !suspects.as_array().empty() && suspects.as_array()[0].at("verdict").as_string() == "held";
            }));
    }

    /// How often servers began to run the request.
    std::size_t runs() const
    {
        std::size_t count = 0;
        for (const auto& worker : this->env->workers)
            count += countDeadly(*worker);
        return count;
    }

    std::size_t ended() const
    {
        return static_cast<std::size_t>(std::count_if(this->env->workers.begin(), this->env->workers.end(),
            [](const auto& worker) { return worker->hasCrashed(); }));
    }

    int sent { 0 };
};

// The same request crashed the servers that ran it, came again at another VM, and crashed them again, all day long.
TEST(DeadlyRequests, ARequestThatCrashedThreeServersReachesHardlyAnyMore)
{
    this->startServers(3);
    this->startVms(3);
    for (int round = 0; round < 8; ++round) {
        this->send(*this->env->gateways[static_cast<std::size_t>(round) % this->env->gateways.size()]);
        this->restartServers();
    }
    CHECK_COMPARE(this->ended(), >=, judgedAfterServers);
    CHECK_COMPARE(this->runs(), <=, judgedAfterServers + maxFurtherRuns);
}

// A held request waited for a server, or was refused like one for which no server was free.
TEST(DeadlyRequests, AHeldRequestIsRejectedAtOnceAndToldWhy)
{
    this->startServers(3);
    this->startVms(2);
    this->crashUntilHeld();
    const auto startedAt = Clock::now();
    const auto answer = this->send(*this->env->gateways[1]);
    CHECK_TRUE(Clock::now() - startedAt < 300ms);
    LONGS_EQUAL(503, answer.status);
    CHECK_TRUE(answer.body.find("request-held") != std::string::npos);
    CHECK_TRUE(std::stod(std::string(findHeader(answer.headers, "Retry-After"))) > 60);
}

// One caller's request was taken for another one's: same path, other body, or same body and another caller.
TEST(DeadlyRequests, OtherPathsBodiesAndCallersAreServedAsBefore)
{
    this->startServers(3);
    this->startVms(2);
    this->crashUntilHeld();
    for (const auto& vm : this->env->gateways) {
        LONGS_EQUAL(200, this->env->book(*vm, "r1", "/b/1").status);
        LONGS_EQUAL(200, this->env->book(*vm, "r2", "/b/2").status);
    }
    const auto before = this->runs();
    this->env->call(this->env->gateways[0]->callers, "POST", "/b/1",
        { { "Topaztack-Request-Id", "r3" }, { "Authorization", "Bearer other" } }, deadlyBody);
    CHECK_COMPARE(this->runs(), >, before);
}

// The memory of all VMs was lost at once, and the request crashed three more servers.
TEST(DeadlyRequests, AHeldRequestStaysHeldWhenAllVmsAreRestarted)
{
    this->startServers(3);
    this->startVms(2);
    this->crashUntilHeld();
    this->env->gateways.clear();
    this->startVms(2);
    const auto before = this->runs();
    CHECK_TRUE(waitFor([&] { return !this->env->state(*this->env->gateways[0], "suspects").as_array().empty(); }));
    LONGS_EQUAL(503, this->send(*this->env->gateways[0]).status);
    LONGS_EQUAL(before, this->runs());
}

// A request that may run once goes to one server with each attempt of its caller, each time at another VM.
TEST(DeadlyRequests, ARequestThatMayRunOnceIsRecognisedOverItsCallersAttempts)
{
    this->startServers(3);
    this->startVms(4);
    for (std::size_t round = 0; round < 10; ++round) {
        this->send(*this->env->gateways[round % this->env->gateways.size()], "/u/1");
        this->restartServers();
    }
    CHECK_COMPARE(this->runs(), <=, judgedAfterServers + maxFurtherRuns);
}

// One request took all servers of its pool within its caller's two attempts.
TEST(DeadlyRequests, ASuspectedRequestDoesNotTakeTheLastServersOfItsPool)
{
    this->startServers(3);
    this->startVms(2);
    for (int attempt = 0; attempt < 6; ++attempt) {
        this->send(*this->env->gateways[static_cast<std::size_t>(attempt) % 2]);
        // A caller's way back to another VM.
        std::this_thread::sleep_for(50ms);
    }
    LONGS_EQUAL(2, this->ended());
    for (const auto& vm : this->env->gateways)
        LONGS_EQUAL(200, this->env->book(*vm, "r" + std::to_string(++this->sent)).status);
}

// Servers end for other causes too, with many requests on them; none of these pays for it.
TEST(DeadlyRequests, RequestsOnServersThatEndForAnotherCauseAreServed)
{
    this->startServers(4);
    this->startVms(2);
    for (auto* server : this->servers)
        server->faults.plainTime = 100ms;
    for (int round = 0; round < 3; ++round) {
        std::vector<std::thread> callers;
        std::atomic<int> served { 0 };
        for (int caller = 0; caller < 6; ++caller)
            callers.emplace_back([this, caller, &served] {
                const auto& vm = *this->env->gateways[static_cast<std::size_t>(caller) % 2];
                served += this->env->book(vm, "r" + std::to_string(caller), "/b/same").status == 200 ? 1 : 0;
            });
        std::this_thread::sleep_for(50ms);
        this->servers[0]->crash();
        for (auto& caller : callers)
            caller.join();
        LONGS_EQUAL(6, served.load());
        this->restartServers();
        for (auto* server : this->servers)
            server->faults.plainTime = 100ms;
    }
    for (const auto& vm : this->env->gateways)
        CHECK_TRUE(waitFor([&] { return this->env->state(*vm, "suspects").as_array().empty(); }));
}

// A lost answer or a reset connection looks the same at first, but the server goes on.
TEST(DeadlyRequests, LostAnswersAreNoEvidence)
{
    this->startServers(3);
    this->startVms(1);
    for (int round = 0; round < 5; ++round) {
        for (auto* server : this->servers)
            server->faults.answersToLose = 1;
        this->env->book(*this->env->gateways[0], "r" + std::to_string(round));
        for (auto* server : this->servers)
            server->faults.answersToLose = 0;
    }
    CHECK_TRUE(this->env->state(*this->env->gateways[0], "suspects").as_array().empty());
    LONGS_EQUAL(200, this->env->book(*this->env->gateways[0], "r9").status);
}

// Engines that ended before a stream's first event were taken one after the other, as by plain requests.
TEST(DeadlyRequests, AStreamThatCrashesEnginesIsHeldToo)
{
    std::vector<WorkerStandin*> engines;
    const auto startEngine = [&](std::uint16_t port) -> WorkerStandin* {
        WorkerOptions options;
        options.port = port;
        auto& engine = this->env->addWorker("i-engine-" + std::to_string(++this->starts), options);
        engine.faults.deadlyBody = "prompt";
        this->env->registerServer(engine, "lm");
        return &engine;
    };
    this->env->store.remove("servers", "", this->env->engine.name);
    for (int engine = 0; engine < 3; ++engine)
        engines.push_back(startEngine(0));
    this->startVms(2);
    unsigned status = 0;
    for (std::size_t round = 0; round < 6; ++round) {
        const auto& vm = *this->env->gateways[round % 2];
        status = openStream(vm, { .id = "s" + std::to_string(round) }).status;
        for (auto& engine : engines) {
            if (!engine->hasCrashed())
                continue;
            this->env->store.remove("servers", "", engine->name);
            engine = startEngine(engine->endpoint().port);
            CHECK_TRUE(waitFor([&] { return this->knows(vm, *engine); }));
        }
    }
    LONGS_EQUAL(503, status);
    CHECK_COMPARE(this->ended(), <=, judgedAfterServers + maxFurtherRuns);
}

// An item is owed whatever ended under it: it goes on, ever slower, and is listed once a server bears it.
TEST(DeadlyRequests, AnItemUnderWhichEnginesEndedIsListedAndTakesThemSlowly)
{
    this->env->store.remove("servers", "", this->env->engine.name);
    std::vector<WorkerStandin*> engines;
    for (int engine = 0; engine < 8; ++engine) {
        auto& added = this->env->addWorker("i-engine-" + std::to_string(engine));
        added.faults.deadlyBody = "body";
        this->env->registerServer(added, "lm");
        engines.push_back(&added);
    }
    this->startVms(1);
    const auto& vm = *this->env->gateways[0];
    LONGS_EQUAL(202, this->env->submit(vm, "job", { "i1" }).status);
    CHECK_TRUE(waitFor([this] { return this->ended() >= judgedAfterServers; }));
    std::this_thread::sleep_for(2500ms);
    CHECK_COMPARE(this->ended(), <=, judgedAfterServers + 1);
    auto& sound = this->env->addWorker("i-engine-sound");
    for (auto* engine : engines)
        this->env->store.remove("servers", "", engine->name);
    this->env->registerServer(sound, "lm");
    CHECK_TRUE(this->env->waitForResults(vm, "job", 1));
    const auto page = this->env->read(vm, "job");
    STRCMP_EQUAL("completed", page.at("results").as_array()[0].at("state").as_string().c_str());
}

// The call that scores a text is owed with its item.
TEST(DeadlyRequests, AScoringCallUnderWhichServersEndedIsMadeAndTakesThemSlowly)
{
    this->startServers(8);
    for (auto* server : this->servers)
        server->faults.deadlyBody = "body";
    this->startVms(1);
    const auto& vm = *this->env->gateways[0];
    LONGS_EQUAL(202, this->env->submitScored(vm, "job", { "i1" }).status);
    CHECK_TRUE(waitFor([this] { return this->ended() >= judgedAfterServers; }));
    std::this_thread::sleep_for(2500ms);
    CHECK_COMPARE(this->ended(), <=, judgedAfterServers + 1);
    auto& sound = this->env->addWorker("i-plain-sound");
    for (auto* server : this->servers)
        this->env->store.remove("servers", "", server->name);
    this->env->registerServer(sound, "app");
    CHECK_TRUE(this->env->waitForResults(vm, "job", 1));
}

// Rows of another writer, or of another release, must not take a VM down.
TEST(DeadlyRequests, MalformedRowsAreIgnored)
{
    this->startServers(3);
    this->startVms(1);
    const auto& vm = *this->env->gateways[0];
    const std::map<std::string, std::string> rows { { "no-slash", "{}" }, { "a/vm", "" }, { "b/vm", "[]" },
        { "c/vm", R"({"target":"x","ends":[],"last_ms":0})" },
        { "d/vm", R"({"target":"99999999999999999999999","ends":[],"last_ms":0})" },
        { "e/vm", R"({"target":"1","ends":[{"server":5,"alone":true}],"last_ms":1e300})" },
        { "f/vm", R"({"target":"1","ends":[{"server":"@","alone":true}],"last_ms":-5})" }, { "/", "{}" } };
    for (const auto& [key, value] : rows)
        this->env->store.put("crash-records", "", key, value);
    this->crashUntilHeld();
    LONGS_EQUAL(503, this->send(vm).status);
    LONGS_EQUAL(200, this->env->book(vm, "r1").status);
}
