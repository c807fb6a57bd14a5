#include "gateway/job_pages.hpp"
#include "gateway/stream_client.hpp"

#include <topaztack/policy/event_stream.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <thread>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

constexpr int eventsPerStream = 5;
/// What is taken of a stream without events; the sockets hold some of it.
constexpr std::size_t maxFlood = 16 * maxEventSize;

/// The ids of the events, in the order of their arrival.
std::vector<std::string> idsOf(const ReceivedStream& stream)
{
    std::vector<std::string> ids;
    for (const auto& event : stream.events)
        ids.push_back(event.id);
    return ids;
}

HttpResponse errorAnswer(unsigned status, std::string contentType, std::string body)
{
    HttpResponse answer;
    answer.status = status;
    answer.headers.push_back({ "Content-Type", std::move(contentType) });
    answer.body = std::move(body);
    return answer;
}

std::vector<std::string> allIds(int first = 1, int last = eventsPerStream)
{
    std::vector<std::string> ids;
    for (int id = first; id <= last; ++id)
        ids.push_back(std::to_string(id));
    return ids;
}

} // namespace

TEST_GROUP(Streams)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();

    WorkerStandin& addEngine(const std::string& name, WorkerOptions options = {})
    {
        auto& engine = this->env->addWorker(name, std::move(options));
        this->env->registerServer(engine, "lm");
        return engine;
    }

    /// Waits until a VM knows this many servers.
    void waitForServers(const RunningGateway& gateway, std::size_t count)
    {
        CHECK_TRUE(waitFor([&] { return this->env->state(gateway, "servers").as_array().size() >= count; }));
    }
};

// A VM that collects the whole answer first makes a stream a long silence for its caller.
TEST(Streams, EventsArriveAsTheServerMakesThem)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.eventTime = 200ms;
    const auto startedAt = Clock::now();
    const auto stream = openStream(gateway, { .id = "s1" });
    LONGS_EQUAL(200, stream.status);
    CHECK_TRUE(idsOf(stream) == allIds());
    CHECK_TRUE(stream.isComplete);
    CHECK_TRUE(stream.arrivals.front() - startedAt < 400ms);
    CHECK_TRUE(stream.arrivals.back() - stream.arrivals.front() > 700ms);
    STRCMP_EQUAL("stamp", std::string(findHeader(stream.headers, "Topaztack-Server-Stamp")).c_str());
    CHECK_TRUE(stream.body.starts_with("id: 1\ndata: s1-1\n\nid: 2\n"));
}

TEST(Streams, AStreamThatBreaksOffGoesOnWithinTheAnswer)
{
    auto& gateway = this->env->startGateway();
    const auto& other = this->addEngine("i-lm-2");
    this->waitForServers(gateway, 3);
    this->env->engine.faults.breakAfter = 2;
    for (int stream = 0; stream < 10; ++stream) {
        const auto received = openStream(gateway, { .id = "s" + std::to_string(stream) });
        CHECK_TRUE(received.isComplete);
        CHECK_TRUE(idsOf(received) == allIds());
    }
    const auto seen = other.seen();
    CHECK_TRUE(
        std::any_of(seen.begin(), seen.end(), [](const SeenRequest& request) { return request.lastEvent == "2"; }));
}

// The server that is to continue a stream fails it, with any status. Callers found the error's text in the middle of
// their streams, or took a stream that ended there for complete.
TEST(Streams, AnErrorOfTheNextServerIsNoPartOfAStream)
{
    static constexpr int maxStreams = 40;
    for (const auto& answer :
        { errorAnswer(500, "text/plain", "out of memory\n\n"), errorAnswer(200, "text/plain", "out of memory\n\n"),
            errorAnswer(200, "application/json", ""), errorAnswer(200, "text/event-stream", "out of memory\n\n"),
            errorAnswer(200, "text/event-stream", "{\"error\":\"out of memory\"}\n\n") }) {
        this->env = std::make_unique<TestEnvironment>();
        this->env->engine.faults.breakAfter = 2;
        this->addEngine("i-lm-2").faults.resumedAnswer = answer;
        auto& gateway = this->env->startGateway();
        this->waitForServers(gateway, 3);
        bool isBrokenOff = false;
        for (int stream = 0; stream < maxStreams && !isBrokenOff; ++stream) {
            const auto received = openStream(gateway, { .id = "s" + std::to_string(stream) });
            const auto count = static_cast<int>(received.events.size());
            isBrokenOff = !received.isComplete;
            LONGS_EQUAL(200, received.status);
            CHECK_TRUE(idsOf(received) == allIds(1, count));
            LONGS_EQUAL(count == eventsPerStream ? 1 : 0, received.isComplete ? 1 : 0);
            CHECK_TRUE(received.body.find("out of memory") == std::string::npos);
        }
        CHECK_TRUE(isBrokenOff);
    }
}

// Servers of two versions serve beside each other; none of the version that began the stream is left.
TEST(Streams, AStreamThatNoServerOfItsVersionCanContinueBreaksOff)
{
    auto& gateway = this->env->startGateway();
    WorkerOptions options;
    options.softwareVersion = "v2";
    const auto& newer = this->addEngine("i-lm-2", std::move(options));
    this->waitForServers(gateway, 3);
    // The route allows three attempts, so that three of five events arrive.
    this->env->engine.faults.breakAfter = 1;
    std::size_t brokenOff = 0;
    for (int stream = 0; stream < 10; ++stream) {
        const auto received = openStream(gateway, { .id = "s" + std::to_string(stream) });
        brokenOff += received.isComplete ? 0 : 1;
        LONGS_EQUAL(received.isComplete ? eventsPerStream : 3, received.events.size());
    }
    CHECK_TRUE(brokenOff > 0);
    for (const auto& request : newer.seen())
        CHECK_TRUE(request.lastEvent.empty());
}

TEST(Streams, AStreamThatMayRunOnceIsNotSentAgain)
{
    auto& gateway = this->env->startGateway();
    const auto& other = this->addEngine("i-lm-2");
    this->waitForServers(gateway, 3);
    this->env->engine.faults.breakAfter = 2;
    for (int stream = 0; stream < 6; ++stream)
        openStream(gateway, { .id = "s" + std::to_string(stream), .path = "/o/1" });
    std::map<std::string, int> runs;
    for (const auto& request : this->env->engine.seen())
        ++runs[request.id];
    for (const auto& request : other.seen())
        ++runs[request.id];
    LONGS_EQUAL(6, runs.size());
    for (const auto& [id, count] : runs)
        LONGS_EQUAL(1, count);
}

// A caller comes back with an attempt that no VM has heard of, while servers of two versions serve.
TEST(Streams, AStreamOfUnknownOriginIsRefusedAsNotRun)
{
    auto& gateway = this->env->startGateway();
    WorkerOptions options;
    options.softwareVersion = "v2";
    this->addEngine("i-lm-2", std::move(options));
    this->waitForServers(gateway, 3);
    // Before that, no stream can have been begun by the second version.
    CHECK_TRUE(waitFor([&] { return this->env->isSoftwareRecorded(gateway); }));
    const auto startedAt = Clock::now();
    const auto stream = openStream(gateway, { .id = "s1", .lastEvent = "2", .resumes = "lost" });
    LONGS_EQUAL(503, stream.status);
    CHECK_FALSE(findHeader(stream.headers, "Retry-After").empty());
    CHECK_TRUE(Clock::now() - startedAt < 500ms);
    CHECK_TRUE(this->env->engine.seen().empty());
}

// The VM that began the stream is lost at the same moment.
TEST(Streams, AStreamIsTakenUpAfterItsVmIsLost)
{
    for (int vm = 1; vm <= 4; ++vm)
        this->env->startGateway("vm-" + std::to_string(vm), static_cast<std::uint64_t>(vm));
    WorkerOptions options;
    options.softwareVersion = "v2";
    const auto& newer = this->addEngine("i-lm-2", std::move(options));
    for (const auto& vm : this->env->gateways) {
        this->waitForServers(*vm, 3);
        CHECK_TRUE(waitFor([&] { return this->env->state(*vm, "peers").as_object().size() == 3; }));
    }
    for (int stream = 0; stream < 20; ++stream)
        openStream(*this->env->gateways.back(), { .id = "s" + std::to_string(stream), .leaveAfter = 2 });
    std::this_thread::sleep_for(100ms);
    this->env->gateways.pop_back();
    for (int stream = 0; stream < 20; ++stream) {
        const auto id = "s" + std::to_string(stream);
        const auto rest
            = openStream(*this->env->gateways.front(), { .id = id + "-2", .lastEvent = "2", .resumes = id });
        CHECK_TRUE(rest.isComplete);
        CHECK_TRUE(idsOf(rest) == allIds(3));
        const auto began = newer.seen();
        const bool wasNewer
            = std::any_of(began.begin(), began.end(), [&id](const SeenRequest& request) { return request.id == id; });
        const auto& wrong = wasNewer ? this->env->engine : newer;
        for (const auto& request : wrong.seen())
            CHECK_FALSE(request.id == id + "-2");
    }
}

TEST(Streams, AServerIsFreedAtOnceWhenItsCallerLeaves)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.eventTime = 300ms;
    const auto left = openStream(gateway, { .id = "s1", .leaveAfter = 1 });
    LONGS_EQUAL(1, left.events.size());
    CHECK_TRUE(waitFor(
        [&] {
            const auto servers = this->env->state(gateway, "servers").as_array();
            return std::all_of(servers.begin(), servers.end(),
                [](const boost::json::value& server) { return server.at("outstanding").to_number<int>() == 0; });
        },
        150ms));
}

// An event each 2 s is slow, but sound.
TEST(Streams, ASlowStreamThatMayRunOnceGoesOn)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.eventTime = 1900ms;
    const auto stream = openStream(gateway, { .id = "s1", .path = "/o/1", .leaveAfter = 3 });
    LONGS_EQUAL(3, stream.events.size());
    LONGS_EQUAL(1, this->env->engine.seen().size());
}

// A server sends bytes now and then that complete no event, or comments; each of them used to extend its time.
TEST(Streams, AStalledStreamGoesOnElsewhereThoughItSendsBytes)
{
    auto& gateway = this->env->startGateway();
    const auto& other = this->addEngine("i-lm-2");
    this->waitForServers(gateway, 3);
    this->env->engine.faults.dribblesAfter = 2;
    for (int stream = 0; stream < 4; ++stream) {
        const auto startedAt = Clock::now();
        const auto received = openStream(gateway, { .id = "s" + std::to_string(stream) });
        CHECK_TRUE(received.isComplete);
        CHECK_TRUE(idsOf(received) == allIds());
        CHECK_TRUE(Clock::now() - startedAt < 4s);
    }
    CHECK_FALSE(other.seen().empty());
}

TEST(Streams, AStalledItemGoesOnElsewhereThoughItsServerSendsBytes)
{
    auto& gateway = this->env->startGateway();
    this->addEngine("i-lm-2");
    this->waitForServers(gateway, 3);
    this->env->engine.faults.dribblesAfter = 2;
    LONGS_EQUAL(202, this->env->submit(gateway, "job", itemIds(6)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "job", 6));
}

// Bytes that are no event, without end, as fast as the connection takes them.
TEST(Streams, BytesWithoutEndAreCutOff)
{
    auto& gateway = this->env->startGateway();
    this->addEngine("i-lm-2");
    this->waitForServers(gateway, 3);
    this->env->engine.faults.floodsAfter = 2;
    for (int stream = 0; stream < 4; ++stream) {
        const auto received = openStream(gateway, { .id = "s" + std::to_string(stream) });
        CHECK_TRUE(received.isComplete);
        CHECK_TRUE(idsOf(received) == allIds());
    }
    CHECK_TRUE(this->env->engine.faults.mostFlooded < maxFlood);
}

TEST(Streams, AnItemWhoseServerFloodsItWithBytesGoesOnElsewhere)
{
    auto& gateway = this->env->startGateway();
    this->addEngine("i-lm-2");
    this->waitForServers(gateway, 3);
    this->env->engine.faults.floodsAfter = 2;
    LONGS_EQUAL(202, this->env->submit(gateway, "job", itemIds(6)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "job", 6));
    CHECK_TRUE(this->env->engine.faults.mostFlooded < maxFlood);
}

TEST(Streams, AFullPoolRefusesAtOnce)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.isFull = true;
    const auto startedAt = Clock::now();
    const auto stream = openStream(gateway, { .id = "s1" });
    LONGS_EQUAL(503, stream.status);
    CHECK_FALSE(findHeader(stream.headers, "Retry-After").empty());
    CHECK_TRUE(Clock::now() - startedAt < 500ms);
}

TEST(Streams, AMalformedMessageAboutAStreamIsRefused)
{
    auto& gateway = this->env->startGateway();
    for (const std::string body : { "", "[]", "{}", R"({"attempt":1})", R"({"attempt":"a","software":7})" })
        LONGS_EQUAL(400, this->env->call(gateway.peers, "POST", "/stream-origin", {}, body).status);
    LONGS_EQUAL(200, openStream(gateway, { .id = "s1" }).status);
}
