#include "gateway/stream_client.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <future>
#include <thread>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

/// Callers' deadline of a plain request on the tightest deployment.
constexpr std::chrono::milliseconds firstTryLimit { 800 };
constexpr std::chrono::milliseconds laterTryLimit { 150 };

} // namespace

/// An address at which connections hang: nobody answers the handshake, as behind a partition.
class SilentAddress {
public:
    SilentAddress()
        : acceptor(this->loop, boost::asio::ip::tcp::v4())
    {
        this->acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
        this->acceptor.listen(0);
        // Linux takes one connection more than the queue holds, and drops the handshakes of others.
        for (auto& socket : this->queued) {
            socket.open(boost::asio::ip::tcp::v4());
            socket.non_blocking(true);
            const auto address = this->acceptor.local_endpoint();
            // Asio would wait for the handshake.
            static_cast<void>(
                ::connect(socket.native_handle(), address.data(), static_cast<socklen_t>(address.size())));
        }
    }

    Endpoint endpoint() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

private:
    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor acceptor;
    std::array<boost::asio::ip::tcp::socket, 2> queued { boost::asio::ip::tcp::socket(this->loop),
        boost::asio::ip::tcp::socket(this->loop) };
};

/// A VM whose links to all backend servers are gone, beside one that reaches them. The VM that is cut off has a view of
/// the store of its own, in which the servers have addresses that can't be reached.
TEST_GROUP(CutOff)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();
    std::unique_ptr<StoreStandin> cutView = std::make_unique<StoreStandin>(this->env->threads);

    void teardown() override
    {
        this->env->gateways.clear();
        this->env->threads.stop();
    }

    /// The record of a server, with another address.
    static std::string recordAt(const WorkerStandin& worker, const std::string& pool, const Endpoint& address)
    {
        auto record = boost::json::parse(worker.record(pool)).as_object();
        record["address"] = toText(address);
        return boost::json::serialize(record);
    }

    /// Starts a VM that reaches the servers and one that does not.
    void startVms(const Endpoint& unreachable)
    {
        auto& sound = this->env->startGateway("vm-sound", 1);
        this->cutView->put("op", "", "config", TestEnvironment::configuration(1));
        this->cutView->put("servers", "", "i-app", recordAt(this->env->booking, "app", unreachable));
        this->cutView->put("servers", "", "i-lm", recordAt(this->env->engine, "lm", unreachable));
        CHECK_TRUE(waitFor([&] { return this->env->store.rowsOf("gateways").contains("vm-sound"); }));
        this->cutView->put("gateways", "", "vm-sound", this->env->store.rowsOf("gateways").at("vm-sound"));
        auto& cut = this->env->startGatewayAt(this->cutView->endpoint(), "vm-cut", 2);
        CHECK_TRUE(waitFor([&] { return this->env->state(cut, "servers").as_array().size() == 2; }));
        CHECK_TRUE(waitFor([&] { return !this->env->state(cut, "peers").as_object().empty(); }));
        this->sound = &sound;
        this->cut = &cut;
    }

    RunningGateway* sound { nullptr };
    RunningGateway* cut { nullptr };
};

// Callers of a VM that had lost its links to the servers were refused after four attempts to connect, while other VMs
// served theirs.
TEST(CutOff, CallersOfAVmThatReachesNoServerAreServedThroughAnother)
{
    this->startVms(this->env->refusing.add());
    for (const std::string path : { "/b/1", "/u/1" }) {
        const auto answer = this->env->book(*this->cut, "r" + path, path);
        LONGS_EQUAL(200, answer.status);
        STRCMP_EQUAL("served by i-app", answer.body.c_str());
        STRCMP_EQUAL("stamp", std::string(findHeader(answer.headers, "Topaztack-Server-Stamp")).c_str());
    }
    LONGS_EQUAL(2, this->env->booking.seen().size());
    STRCMP_EQUAL("nine o clock", this->env->booking.seen().at(0).body.c_str());
}

// Each request waited for four connections that nobody answered, and its caller's deadline passed.
TEST(CutOff, ConnectionsThatHangAreNotWaitedForByEachRequest)
{
    const SilentAddress silent;
    this->startVms(silent.endpoint());
    auto startedAt = Clock::now();
    LONGS_EQUAL(200, this->env->book(*this->cut, "r1").status);
    CHECK_TRUE(Clock::now() - startedAt < firstTryLimit);
    for (int request = 0; request < 5; ++request) {
        startedAt = Clock::now();
        LONGS_EQUAL(200, this->env->book(*this->cut, "r" + std::to_string(request)).status);
        CHECK_TRUE(Clock::now() - startedAt < laterTryLimit);
    }
}

TEST(CutOff, StreamsArePassedOnEventByEventAndTakenUp)
{
    this->startVms(this->env->refusing.add());
    this->env->engine.faults.eventTime = 60ms;
    const auto whole = openStream(*this->cut, { .id = "s1" });
    LONGS_EQUAL(200, whole.status);
    CHECK_TRUE(whole.isComplete);
    LONGS_EQUAL(5, whole.events.size());
    CHECK_TRUE(whole.arrivals.back() - whole.arrivals.front() > 150ms);
    const auto begun = openStream(*this->cut, { .id = "s2", .leaveAfter = 2 });
    const auto rest = openStream(*this->cut, { .id = "s3", .lastEvent = "2", .resumes = "s2" });
    CHECK_TRUE(rest.isComplete);
    LONGS_EQUAL(3, rest.events.size());
    STRCMP_EQUAL("3", rest.events.front().id.c_str());
}

// A stream that its carrier can't end must not look complete.
TEST(CutOff, AStreamThatBreaksAtItsCarrierDoesNotLookComplete)
{
    this->startVms(this->env->refusing.add());
    this->env->engine.faults.breakAfter = 2;
    const auto broken = openStream(*this->cut, { .id = "s1", .path = "/o/1" });
    CHECK_FALSE(broken.isComplete);
    LONGS_EQUAL(2, broken.events.size());
}

// A caller that leaves leaves no work behind at the server.
TEST(CutOff, AStreamWhoseCallerLeavesEndsAtItsServer)
{
    this->startVms(this->env->refusing.add());
    this->env->engine.faults.eventTime = 50ms;
    openStream(*this->cut, { .id = "s1", .leaveAfter = 1 });
    CHECK_TRUE(waitFor(
        [this] {
            const auto servers = this->env->state(*this->sound, "servers").as_array();
            return std::all_of(servers.begin(), servers.end(),
                [](const auto& server) { return server.at("outstanding").template to_number<int>() == 0; });
        },
        500ms));
}

// Requests were passed to and fro between VMs, or waited, when the servers were gone for all of them.
TEST(CutOff, RequestsAreRejectedAtOnceWhenNoVmReachesAServer)
{
    this->startVms(this->env->refusing.add());
    this->env->booking.crash();
    std::this_thread::sleep_for(50ms);
    LONGS_EQUAL(503, this->env->book(*this->cut, "r1").status);
    for (int request = 0; request < 5; ++request) {
        const auto startedAt = Clock::now();
        const auto answer = this->env->book(*this->cut, "r" + std::to_string(request));
        LONGS_EQUAL(503, answer.status);
        CHECK_FALSE(findHeader(answer.headers, "Retry-After").empty());
        CHECK_TRUE(Clock::now() - startedAt < laterTryLimit + 250ms);
    }
}

// "Not run" is said only of what no VM sent to a server.
TEST(CutOff, ARequestWhoseAnswerIsLostAtTheCarrierIsNotSaidNotToHaveRun)
{
    this->startVms(this->env->refusing.add());
    this->env->booking.faults.answersToLose = 10;
    LONGS_EQUAL(502, this->env->book(*this->cut, "r1", "/u/1").status);
    LONGS_EQUAL(1, this->env->booking.seen().size());
}

TEST(CutOff, ALinkThatHealsIsUsedAtOnce)
{
    const auto address = this->env->refusing.add();
    this->startVms(address);
    LONGS_EQUAL(200, this->env->book(*this->cut, "r1").status);
    this->env->refusing.release();
    WorkerOptions options;
    options.port = address.port;
    this->env->addWorker("i-app", options);
    std::this_thread::sleep_for(500ms);
    LONGS_EQUAL(200, this->env->book(*this->cut, "r2").status);
    LONGS_EQUAL(1, this->env->workers.back()->seen().size());
}

// A VM that lost its links took the servers for ended, and the requests on them for the cause; the other VMs believed
// it.
TEST(CutOff, AVmThatReachesNoServerDoesNotTakeRequestsForTheCause)
{
    auto& reset = this->env->addWorker("i-app");
    reset.faults.deadlyBody = "nine o clock";
    this->startVms(this->env->refusing.add());
    this->cutView->put("servers", "", "i-app", recordAt(reset, "app", reset.endpoint()));
    CHECK_TRUE(waitFor([&] {
        const auto known = boost::json::serialize(this->env->state(*this->cut, "servers"));
        return known.find(toText(reset.endpoint())) != std::string::npos;
    }));
    LONGS_EQUAL(200, this->env->book(*this->cut, "r1").status);
    CHECK_TRUE(reset.hasCrashed());
    CHECK_TRUE(this->env->state(*this->cut, "suspects").as_array().empty());
}

// A VM that was stopped on purpose cut the streams that it carried for others.
TEST(CutOff, AVmThatStopsEndsWhatItCarriesAndTakesNothingMore)
{
    this->startVms(this->env->refusing.add());
    this->env->engine.faults.eventTime = 800ms;
    ReceivedStream stream;
    std::thread caller([&] { stream = openStream(*this->cut, { .id = "s1" }); });
    CHECK_TRUE(waitFor([this] { return !this->env->engine.seen().empty(); }));
    std::thread stop([this] { this->sound->gateway->shutDown(); });
    std::this_thread::sleep_for(300ms);
    LONGS_EQUAL(503, this->env->book(*this->cut, "r1").status);
    caller.join();
    stop.join();
    CHECK_TRUE(stream.isComplete);
    LONGS_EQUAL(5, stream.events.size());
}

// Only requests that a VM sent to servers itself were answered at its end; one that another VM carries was cut off.
TEST(CutOff, ARequestThatAnotherVmCarriesIsAnsweredWhenItsOwnVmStops)
{
    this->startVms(this->env->refusing.add());
    auto configuration = boost::json::parse(TestEnvironment::configuration(2)).as_object();
    for (auto& route : configuration.at("routes").as_array())
        route.as_object()["timeoutMs"] = 12000;
    for (auto* store : { &this->env->store, this->cutView.get() })
        store->put("op", "", "config", boost::json::serialize(configuration));
    for (auto* gateway : { this->sound, this->cut })
        CHECK_TRUE(waitFor([&] { return this->env->state(*gateway, "configuration").to_number<int>() == 2; }));
    this->env->booking.faults.plainTime = 11s;
    auto answer = std::async(std::launch::async, [this] {
        return this->env->call(this->cut->callers, "POST", "/u/1",
            { { "Topaztack-Request-Id", "r1" }, { "Topaztack-Deadline-Ms", "12000" } });
    });
    CHECK_TRUE(waitFor([&] { return this->env->booking.seen().size() == 1; }));
    this->cut->gateway->shutDown();
    LONGS_EQUAL(502, answer.get().status);
}
