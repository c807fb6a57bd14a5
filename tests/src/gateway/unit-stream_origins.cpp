#include "gateway/stream_client.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <thread>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

constexpr int eventsPerStream = 5;
/// A list of servers that has been watched for this long used to prove which version had begun a stream.
constexpr auto formerProofTime = 15s;

std::size_t countRuns(const WorkerStandin& worker, const std::string& id)
{
    const auto seen = worker.seen();
    return static_cast<std::size_t>(
        std::count_if(seen.begin(), seen.end(), [&id](const SeenRequest& request) { return request.id == id; }));
}

} // namespace

/// Streams that callers take up again after the VMs that knew who began them lost their memory. Guards against answers
/// that join text of two software versions.
TEST_GROUP(StreamOrigins)
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

    void waitUntilRecorded(const RunningGateway& gateway, const std::string& softwareVersion)
    {
        CHECK_TRUE(waitFor([&] {
            const auto software = this->env->state(gateway, "software").as_object();
            const auto* pool = software.if_contains("lm");
            const auto* version = pool ? pool->as_object().if_contains(softwareVersion) : nullptr;
            return version && *version == "recorded";
        }));
    }

    void beginStream(const RunningGateway& gateway, const std::string& id)
    {
        const auto begun = openStream(gateway, { .id = id, .leaveAfter = 2 });
        LONGS_EQUAL(200, begun.status);
        CHECK_TRUE(begun.events.size() >= 2);
    }

    /// All VMs lose power, and come back with empty memory.
    RunningGateway& restartAll()
    {
        this->env->gateways.clear();
        return this->env->startGateway("vm-1", 2);
    }
};

// The servers of the old version have left, all VMs are back and have watched the list for long: only the new version
// is known to them.
TEST(StreamOrigins, AStreamIsNotContinuedByTheVersionThatReplacedItsServers)
{
    auto& first = this->env->startGateway();
    this->waitUntilRecorded(first, "v1");
    this->beginStream(first, "s1");
    this->env->gateways.clear();
    this->env->store.remove("servers", "", this->env->engine.name);
    const auto& newer = this->addEngine("i-lm-2", "v2");
    auto& back = this->env->startGateway("vm-1", 2);
    this->waitUntilRecorded(back, "v2");
    std::this_thread::sleep_for(formerProofTime + 1s);
    const auto startedAt = Clock::now();
    const auto rest = openStream(back, { .id = "s1-2", .lastEvent = "2", .resumes = "s1" });
    LONGS_EQUAL(503, rest.status);
    CHECK_FALSE(findHeader(rest.headers, "Retry-After").empty());
    CHECK_TRUE(Clock::now() - startedAt < 500ms);
    LONGS_EQUAL(0, countRuns(newer, "s1-2"));
    // The caller may begin anew.
    CHECK_TRUE(openStream(back, { .id = "s1-3" }).isComplete);
}

TEST(StreamOrigins, AStreamIsNotContinuedWhileBothVersionsServe)
{
    auto& first = this->env->startGateway();
    this->waitUntilRecorded(first, "v1");
    this->beginStream(first, "s1");
    this->addEngine("i-lm-2", "v2");
    this->waitUntilRecorded(first, "v2");
    auto& back = this->restartAll();
    this->waitUntilRecorded(back, "v2");
    LONGS_EQUAL(503, openStream(back, { .id = "s1-2", .lastEvent = "2", .resumes = "s1" }).status);
}

// The ordinary case: a VM restarts, and one version has been in service all along.
TEST(StreamOrigins, AStreamGoesOnAtOnceIfOnlyOneVersionEverServed)
{
    auto& first = this->env->startGateway();
    this->waitUntilRecorded(first, "v1");
    this->beginStream(first, "s1");
    auto& back = this->restartAll();
    this->waitUntilRecorded(back, "v1");
    const auto rest = openStream(back, { .id = "s1-2", .lastEvent = "2", .resumes = "s1" });
    CHECK_TRUE(rest.isComplete);
    LONGS_EQUAL(eventsPerStream - 2, rest.events.size());
    // A caller that doesn't name the attempt that began the stream, and one that comes back a second time.
    CHECK_TRUE(openStream(back, { .id = "s1-3", .lastEvent = "2" }).isComplete);
    CHECK_TRUE(openStream(back, { .id = "s1-4", .lastEvent = "3", .resumes = "s1" }).isComplete);
}

// The same servers start anew with other software while no VM runs.
TEST(StreamOrigins, AStreamIsNotContinuedByServersThatChangedTheirSoftware)
{
    auto& first = this->env->startGateway();
    this->waitUntilRecorded(first, "v1");
    this->beginStream(first, "s1");
    this->env->gateways.clear();
    auto record = boost::json::parse(this->env->engine.record("lm")).as_object();
    record["version"] = "v2";
    record["born"] = 1'700'000'000'000;
    this->env->store.put("servers", "", this->env->engine.name, boost::json::serialize(record));
    auto& back = this->env->startGateway("vm-1", 2);
    this->waitUntilRecorded(back, "v2");
    LONGS_EQUAL(503, openStream(back, { .id = "s1-2", .lastEvent = "2", .resumes = "s1" }).status);
}

// Attempts without an id share an empty one, which must not stand for the version of whichever came last.
TEST(StreamOrigins, AnAttemptWithoutAnIdProvesNothing)
{
    auto& gateway = this->env->startGateway();
    this->addEngine("i-lm-2", "v2");
    this->waitUntilRecorded(gateway, "v1");
    this->waitUntilRecorded(gateway, "v2");
    this->beginStream(gateway, "");
    LONGS_EQUAL(503, openStream(gateway, { .id = "s1-2", .lastEvent = "2" }).status);
}

// A version that the store doesn't have yet could be forgotten by all VMs at once.
TEST(StreamOrigins, NoStreamBeginsWithAVersionThatIsNotRecorded)
{
    this->env->store.faults.refusesWrites = true;
    auto& gateway = this->env->startGateway();
    CHECK_TRUE(waitFor([&] { return this->env->state(gateway, "servers").as_array().size() >= 2; }));
    LONGS_EQUAL(503, openStream(gateway, { .id = "s1" }).status);
    this->env->store.faults.refusesWrites = false;
    this->waitUntilRecorded(gateway, "v1");
    CHECK_TRUE(openStream(gateway, { .id = "s2" }).isComplete);
}

TEST(StreamOrigins, ATakeUpIsRefusedWhileTheStoreDoesNotAnswer)
{
    auto& first = this->env->startGateway();
    this->waitUntilRecorded(first, "v1");
    this->beginStream(first, "s1");
    auto& back = this->restartAll();
    this->waitUntilRecorded(back, "v1");
    this->env->store.faults.isDown = true;
    const auto startedAt = Clock::now();
    LONGS_EQUAL(503, openStream(back, { .id = "s1-2", .lastEvent = "2", .resumes = "s1" }).status);
    CHECK_TRUE(Clock::now() - startedAt < 1500ms);
    this->env->store.faults.isDown = false;
}

TEST(StreamOrigins, AMalformedRecordProvesNothing)
{
    auto& gateway = this->env->startGateway();
    this->waitUntilRecorded(gateway, "v1");
    this->env->store.put("software-versions", "", "other", "{}");
    LONGS_EQUAL(503, openStream(gateway, { .id = "s1-2", .lastEvent = "2", .resumes = "lost" }).status);
}
