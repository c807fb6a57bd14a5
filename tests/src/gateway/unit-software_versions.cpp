#include "gateway/job_pages.hpp"
#include "gateway/stream_client.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <thread>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

/// Requests with this id that a worker was asked to resume.
std::size_t countResumed(const WorkerStandin& worker, const std::string& id)
{
    const auto seen = worker.seen();
    return static_cast<std::size_t>(std::count_if(seen.begin(), seen.end(),
        [&id](const SeenRequest& request) { return request.id == id && !request.lastEvent.empty(); }));
}

std::size_t countStarted(const WorkerStandin& worker, const std::string& id)
{
    const auto seen = worker.seen();
    return static_cast<std::size_t>(std::count_if(seen.begin(), seen.end(),
        [&id](const SeenRequest& request) { return request.id == id && request.lastEvent.empty(); }));
}

} // namespace

TEST_GROUP(SoftwareVersions)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();

    WorkerStandin& addEngine(const std::string& name, const std::string& softwareVersion)
    {
        WorkerOptions options;
        options.softwareVersion = softwareVersion;
        auto& engine = this->env->addWorker(name, std::move(options));
        this->env->registerServer(engine, "lm");
        return engine;
    }
};

/// Servers that start again under their name with newer software, while one of two VMs is out of step: the store turns
/// it away, so that its list of servers is old.
TEST_GROUP(RestartedServers)
{
    static constexpr int streams = 20;
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();
    RunningGateway* inStep { nullptr };
    RunningGateway* outOfStep { nullptr };
    /// Stays, with the old software.
    WorkerStandin* older { nullptr };
    /// Has started again, with the new software.
    WorkerStandin* restarted { nullptr };

    WorkerStandin& addEngine(const std::string& name, const std::string& softwareVersion, std::uint16_t port,
        std::chrono::milliseconds start)
    {
        WorkerOptions options;
        options.softwareVersion = softwareVersion;
        options.port = port;
        options.startedAt = start;
        auto& engine = this->env->addWorker(name, std::move(options));
        this->env->registerServer(engine, "lm");
        return engine;
    }

    void setup() override
    {
        this->env->store.remove("servers", "", this->env->engine.name);
        this->older = &this->addEngine("i-older", "v1", 0, 1'700'000'000'000ms);
        auto& before = this->addEngine("i-restarted", "v1", 0, 1'700'000'000'000ms);
        this->inStep = &this->env->startGateway("vm-1", 1);
        this->outOfStep = &this->env->startGatewayAt(this->env->store.sideEndpoint(), "vm-2", 2);
        for (auto* vm : { this->inStep, this->outOfStep })
            CHECK_TRUE(waitFor([&] { return !this->env->state(*vm, "peers").as_object().empty(); }));
        this->env->store.faults.turnsSideAway = true;
        // A call that the store holds until there are changes would still be answered.
        std::this_thread::sleep_for(1s);
        const auto port = before.endpoint().port;
        before.crash();
        std::this_thread::sleep_for(100ms);
        this->restarted = &this->addEngine("i-restarted", "v2", port, 1'700'000'060'000ms);
        CHECK_TRUE(waitFor([&] {
            const auto software = boost::json::serialize(this->env->state(*this->inStep, "software"));
            return software.find("\"v2\":\"recorded\"") != std::string::npos;
        }));
    }

    /// Begins streams at one VM, takes them up at the other one, and checks that no two versions make one of them.
    void beginAndTakeUp(const RunningGateway& first, const RunningGateway& second, std::size_t minTakenUp)
    {
        std::size_t takenUp = 0;
        for (int stream = 0; stream < streams; ++stream) {
            const auto id = "s" + std::to_string(stream);
            const auto begun = openStream(first, { .id = id, .leaveAfter = 2 });
            if (begun.status != 200)
                continue;
            // The server reports its start, and other VMs are told what began the stream.
            std::this_thread::sleep_for(300ms);
            const auto again = id + "-again";
            const auto rest = openStream(second, { .id = again, .lastEvent = begun.events.back().id, .resumes = id });
            takenUp += rest.isComplete ? 1 : 0;
            const bool wasNewer = countStarted(*this->restarted, id) > 0;
            LONGS_EQUAL(0, countResumed(wasNewer ? *this->older : *this->restarted, again));
        }
        CHECK_TRUE(takenUp >= minTakenUp);
    }
};

// A VM that took a restarted server for the process of its old record continued streams of the old software there.
TEST(RestartedServers, AVmThatIsOutOfStepContinuesNoStreamAtAServerThatHasOtherSoftware)
{
    this->beginAndTakeUp(*this->inStep, *this->outOfStep, 1);
}

// It began streams there, and told others that the old software had begun them.
TEST(RestartedServers, AVmThatIsOutOfStepTellsNoWrongSoftwareOfAStream)
{
    this->beginAndTakeUp(*this->outOfStep, *this->inStep, 1);
}

// Engines crash beside others of newer software, and texts that had begun went on there.
TEST(SoftwareVersions, AnItemGoesOnOnlyAtAServerOfTheVersionThatBeganIt)
{
    auto& gateway = this->env->startGateway();
    const auto& newer = this->addEngine("i-lm-2", "v2");
    this->env->engine.faults.breakAfter = 2;
    const auto items = itemIds(20);
    LONGS_EQUAL(202, this->env->submit(gateway, "job", items).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "job", items.size()));
    for (const auto& item : items)
        LONGS_EQUAL(0, countResumed(newer, item));
}

// A caller takes a stream up at a VM that did not begin it, while servers of two versions serve.
TEST(SoftwareVersions, AStreamIsTakenUpAtAServerOfTheVersionThatBeganIt)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    const auto& newer = this->addEngine("i-lm-2", "v2");
    std::this_thread::sleep_for(1s);
    std::size_t takenUp = 0;
    for (int stream = 0; stream < 20; ++stream) {
        const auto id = "s" + std::to_string(stream);
        const auto begun = openStream(first, { .id = id, .leaveAfter = 2 });
        CHECK_TRUE(begun.events.size() >= 2);
        const auto last = begun.events.back().id;
        const auto again = id + "-again";
        const auto rest = openStream(second, { .id = again, .lastEvent = last, .resumes = id });
        takenUp += rest.isComplete ? 1 : 0;
        const bool wasNewer = countStarted(newer, id) > 0;
        LONGS_EQUAL(0, countResumed(wasNewer ? this->env->engine : newer, again));
    }
    LONGS_EQUAL(20, takenUp);
}
