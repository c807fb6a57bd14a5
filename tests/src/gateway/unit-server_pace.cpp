#include "gateway/fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

std::size_t countOf(const WorkerStandin& worker) { return worker.seen().size(); }

double metric(TestEnvironment& env, const RunningGateway& gateway, const std::string& name)
{
    const auto text = env.call(gateway.operators, "GET", "/metrics").body;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
}

} // namespace

TEST_GROUP(ServerPacing)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();

    WorkerStandin& addServer(const std::string& name)
    {
        auto& worker = this->env->addWorker(name);
        this->env->registerServer(worker, "app");
        return worker;
    }

    void bookMany(const RunningGateway& gateway, int count)
    {
        for (int request = 0; request < count; ++request)
            this->env->book(gateway, "r" + std::to_string(request), "/u/1");
    }

    /// Writes the record of a server that has just started.
    void restart(const WorkerStandin& worker)
    {
        auto record = boost::json::parse(worker.record("app")).as_object();
        record["born"] = unixTime().count();
        this->env->store.put("servers", "", worker.name, boost::json::serialize(record));
    }
};

// The server that fails answers fastest, so it is always the least loaded one.
TEST(ServerPacing, AServerThatAnswers500AtOnceGetsFewRequests)
{
    this->addServer("i-app-2");
    auto& failing = this->addServer("i-app-3");
    failing.faults.plainStatus = 500;
    auto& gateway = this->env->startPacedGateway();
    this->bookMany(gateway, 10);
    const auto before = countOf(failing);
    this->bookMany(gateway, 1000);
    CHECK_TRUE(countOf(failing) - before < 50);
}

// A server restarts and takes 100 ms for a request instead of about 1 ms, then works as before.
TEST(ServerPacing, AServerThatRestartsSlowGetsLittleUntilItIsFast)
{
    auto& other = this->addServer("i-app-2");
    auto& slow = this->addServer("i-app-3");
    auto& gateway = this->env->startPacedGateway();
    this->bookMany(gateway, 150);
    CHECK_TRUE(countOf(slow) > 20);
    CHECK_TRUE(countOf(other) > 20);
    slow.faults.plainTime = 100ms;
    this->restart(slow);
    std::this_thread::sleep_for(300ms);
    const auto before = countOf(slow);
    this->bookMany(gateway, 150);
    CHECK_TRUE(countOf(slow) - before <= 15);
    slow.faults.plainTime = 0ms;
    const auto slowBefore = countOf(slow);
    CHECK_TRUE(waitFor([&] {
        this->bookMany(gateway, 20);
        return countOf(slow) > slowBefore + 60;
    }));
}

// The whole pool restarts: every server is paced, and no request is refused or waits for that.
TEST(ServerPacing, ARequestIsSentAtOnceThoughAllServersArePaced)
{
    auto& gateway = this->env->startPacedGateway();
    this->restart(this->env->booking);
    for (int request = 0; request < 20; ++request) {
        const auto startedAt = Clock::now();
        LONGS_EQUAL(200, this->env->book(gateway, "r" + std::to_string(request), "/u/1").status);
        CHECK_TRUE(Clock::now() - startedAt < 150ms);
    }
}

// As before: a server that restarts slow gets an equal share, since only requests in flight count.
TEST(ServerPacing, WithoutTheSettingChoicesAndStateAreAsBefore)
{
    auto& slow = this->addServer("i-app-2");
    auto& gateway = this->env->startGateway();
    slow.faults.plainTime = 20ms;
    this->restart(slow);
    std::this_thread::sleep_for(300ms);
    this->bookMany(gateway, 100);
    CHECK_TRUE(countOf(slow) >= 30);
    CHECK_TRUE(countOf(slow) <= 70);
    const auto servers = this->env->state(gateway, "servers");
    for (const auto& server : servers.as_array())
        CHECK_FALSE(server.as_object().contains("pace"));
    DOUBLES_EQUAL(0, metric(*this->env, gateway, "topaztack_server_paces_begun_total"), 0);
    DOUBLES_EQUAL(0, metric(*this->env, gateway, "topaztack_server_slow_downs_total"), 0);
}
