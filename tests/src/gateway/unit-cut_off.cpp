#include "gateway/stream_client.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

/// Callers' deadline of a plain request on the tightest deployment.
constexpr std::chrono::milliseconds firstTryLimit { 800 };
constexpr std::chrono::milliseconds laterTryLimit { 150 };

} // namespace

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
    this->startVms(freeEndpoint());
    for (const std::string path : { "/b/1", "/u/1" }) {
        const auto answer = this->env->book(*this->cut, "r" + path, path);
        LONGS_EQUAL(200, answer.status);
        STRCMP_EQUAL("served by i-app", answer.body.c_str());
        STRCMP_EQUAL("stamp", std::string(findHeader(answer.headers, "Topaztack-Server-Stamp")).c_str());
    }
    LONGS_EQUAL(2, this->env->booking.seen().size());
    STRCMP_EQUAL("nine o clock", this->env->booking.seen().at(0).body.c_str());
}
