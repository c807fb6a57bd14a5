#include "gateway/fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

/// What a server that names a limit may get in this time: one and a half times the limit, and 5 requests.
constexpr std::chrono::seconds limitWindow { 4 };
constexpr double maxLimitRatio = 1.5;
constexpr std::size_t maxExcessRequests = 5;

std::size_t allowedInWindow(double perSecond)
{
    return static_cast<std::size_t>(maxLimitRatio * perSecond * limitWindow.count()) + maxExcessRequests;
}

/// The most requests that reached a worker within the window, those before `start` left out.
std::size_t mostInWindow(const WorkerStandin& worker, TimePoint start)
{
    const auto seen = worker.seen();
    std::size_t most = 0;
    for (const auto& first : seen) {
        const auto count = std::count_if(seen.begin(), seen.end(),
            [&](const auto& each) { return each.at >= first.at && each.at < first.at + limitWindow; });
        if (first.at >= start)
            most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

std::vector<std::string> itemNames(int count)
{
    std::vector<std::string> names;
    for (int item = 0; item < count; ++item)
        names.push_back("i" + std::to_string(item));
    return names;
}

} // namespace

TEST_GROUP(RequestLimit)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();

    /// Starts VMs and waits until each knows the others.
    void startVms(int count)
    {
        for (int vm = 1; vm <= count; ++vm)
            this->env->startGateway("vm-" + std::to_string(vm), static_cast<std::uint64_t>(vm));
        for (const auto& vm : this->env->gateways)
            waitFor(
                [&] { return this->env->state(*vm, "peers").as_object().size() + 1 >= this->env->gateways.size(); });
    }

    /// Sends a request at each VM in turn for some time.
    /// @return how many were answered with success.
    int bookAtAll(std::chrono::milliseconds time, std::chrono::milliseconds pause = 15ms)
    {
        int served = 0;
        int sent = 0;
        const auto end = Clock::now() + time;
        while (Clock::now() < end) {
            for (const auto& vm : this->env->gateways) {
                served += this->env->book(*vm, "r" + std::to_string(++sent)).status == 200 ? 1 : 0;
                std::this_thread::sleep_for(pause);
            }
        }
        this->sent = sent;
        return served;
    }

    int sent { 0 };
};

// A server that named its limit got what all VMs together send, though each of them sent little.
TEST(RequestLimit, AllVmsTogetherKeepToTheLimitThatAServerNames)
{
    this->startVms(3);
    // A VM prefers a server to which it has a connection, so each makes one to the server with the limit first.
    this->bookAtAll(100ms);
    const auto& other = this->env->addWorker("i-app-2");
    this->env->registerServer(other, "app");
    for (const auto& vm : this->env->gateways)
        CHECK_TRUE(waitFor([&] { return this->env->state(*vm, "servers").as_array().size() >= 3; }));
    this->env->booking.faults.requestsPerSecond = 2;
    this->bookAtAll(500ms);
    const auto start = Clock::now();
    const auto served = this->bookAtAll(5s);
    LONGS_EQUAL(this->sent, served);
    CHECK_COMPARE(mostInWindow(this->env->booking, start), <=, allowedInWindow(2));
    CHECK_COMPARE(mostInWindow(this->env->booking, start), >=, 4);
}

// Items of jobs reached an engine far more often than the limit that it had named.
TEST(RequestLimit, ItemsKeepToTheLimitThatAnEngineNames)
{
    const auto& other = this->env->addWorker("i-lm-2");
    this->env->registerServer(other, "lm");
    this->env->engine.faults.requestsPerSecond = 2;
    this->startVms(1);
    const auto items = itemNames(300);
    LONGS_EQUAL(202, this->env->submit(*this->env->gateways[0], "job", items).status);
    CHECK_TRUE(this->env->waitForResults(*this->env->gateways[0], "job", items.size()));
    const auto first = this->env->engine.seen().at(0).at;
    CHECK_COMPARE(mostInWindow(this->env->engine, first + 500ms), <=, allowedInWindow(2));
}

// The calls that score texts come from the jobs' owner, beside what callers send through all VMs.
TEST(RequestLimit, ScoringCallsAndCallersShareTheLimit)
{
    this->env->booking.faults.requestsPerSecond = 2;
    this->startVms(2);
    LONGS_EQUAL(202, this->env->submitScored(*this->env->gateways[0], "job", itemNames(30)).status);
    this->bookAtAll(500ms);
    const auto start = Clock::now();
    this->bookAtAll(5s);
    CHECK_COMPARE(mostInWindow(this->env->booking, start), <=, allowedInWindow(2));
}

TEST(RequestLimit, ARequestThatNoServerMayTakeIsRejectedAtOnceAndToldWhenToReturn)
{
    this->env->booking.faults.requestsPerSecond = 0.5;
    this->startVms(1);
    this->bookAtAll(200ms);
    const auto startedAt = Clock::now();
    HttpResponse refusal;
    CHECK_TRUE(waitFor([&] { return (refusal = this->env->book(*this->env->gateways[0], "r")).status == 503; }));
    CHECK_TRUE(Clock::now() - startedAt < 500ms);
    const auto after = std::stod(std::string(findHeader(refusal.headers, "Retry-After")));
    CHECK_TRUE(after >= 0.2 && after <= 2.5);
}

TEST(RequestLimit, ALimitThatIsNoLongerNamedEnds)
{
    this->startVms(2);
    this->env->booking.faults.requestsPerSecond = 1;
    this->bookAtAll(1s);
    this->env->booking.faults.requestsPerSecond = -1;
    CHECK_TRUE(waitFor([&] {
        const auto answered = this->bookAtAll(200ms);
        return answered == this->sent;
    }));
    const auto served = this->bookAtAll(1s);
    LONGS_EQUAL(this->sent, served);
}

// The VM that keeps the budget of a server is lost, and its row in the store stays.
TEST(RequestLimit, TheLossOfAVmNeitherStopsNorRaisesWhatALimitedServerGets)
{
    const auto& other = this->env->addWorker("i-app-2");
    this->env->registerServer(other, "app");
    this->startVms(4);
    this->env->booking.faults.requestsPerSecond = 4;
    const auto start = Clock::now() + 500ms;
    while (this->env->gateways.size() > 1) {
        const auto served = this->bookAtAll(2s);
        LONGS_EQUAL(this->sent, served);
        this->env->gateways.pop_back();
    }
    const auto before = this->env->booking.seen().size();
    this->bookAtAll(6s);
    CHECK_COMPARE(mostInWindow(this->env->booking, start), <=, allowedInWindow(4));
    CHECK_COMPARE(this->env->booking.seen().size() - before, >=, 3);
}

TEST(RequestLimit, AMalformedQueryOfAnotherVmIsRefused)
{
    this->startVms(1);
    const auto& vm = *this->env->gateways[0];
    for (const std::string body : { "", "[]", "{}", R"({"server":1,"charge":false,"limit":{}})",
             R"({"server":"i-app","charge":0,"limit":{"per_second":1,"age_ms":0}})",
             R"({"server":"i-app","charge":false,"limit":{"per_second":"x","age_ms":0}})",
             R"({"server":"i-app","charge":false,"limit":{"per_second":1,"age_ms":1e300}})" })
        LONGS_EQUAL(400, this->env->call(vm.peers, "POST", "/request-quota", {}, body).status);
    LONGS_EQUAL(200, this->env->book(vm, "r1").status);
}
