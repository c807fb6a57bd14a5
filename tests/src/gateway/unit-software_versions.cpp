#include "gateway/job_pages.hpp"
#include "gateway/stream_client.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

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
