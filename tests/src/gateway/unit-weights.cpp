#include "gateway/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

std::string publishedVersion(std::uint64_t version)
{
    return R"({"model":"m","version":)" + std::to_string(version) + "}";
}

} // namespace

TEST_GROUP(Weights) { std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>(); };

TEST(Weights, EachPublishedVersionIsOrderedOnceByOneGateway)
{
    this->env->startGateway("vm-1", 1);
    this->env->startGateway("vm-2", 2);
    this->env->store.put("op", "", "version/m", publishedVersion(2));
    CHECK_TRUE(waitFor([&] { return this->env->engine.version() == 2; }));
    this->env->registerServer(this->env->engine, "lm");
    this->env->store.put("op", "", "version/m", publishedVersion(3));
    CHECK_TRUE(waitFor([&] { return this->env->engine.version() == 3; }));
    this->env->registerServer(this->env->engine, "lm");
    std::this_thread::sleep_for(300ms);
    LONGS_EQUAL(2, this->env->engine.orders());
}

TEST(Weights, OlderVersionPublishedLaterIsNotOrdered)
{
    this->env->startGateway();
    this->env->store.put("op", "", "version/m", publishedVersion(4));
    CHECK_TRUE(waitFor([&] { return this->env->engine.version() == 4; }));
    this->env->registerServer(this->env->engine, "lm");
    this->env->store.put("op", "", "version/m", publishedVersion(3));
    std::this_thread::sleep_for(400ms);
    LONGS_EQUAL(4, this->env->engine.version());
    LONGS_EQUAL(1, this->env->engine.orders());
}

TEST(Weights, NoOrderIsSentUnderALeaseThatCannotBeRenewed)
{
    this->env->startGateway();
    this->env->store.put("op", "", "version/m", publishedVersion(2));
    CHECK_TRUE(waitFor([&] { return this->env->engine.version() == 2; }));
    this->env->registerServer(this->env->engine, "lm");
    std::this_thread::sleep_for(400ms);
    // The store refuses the renewal of the lease, and then version 3 is published.
    this->env->store.faults.refusesWrites = true;
    std::this_thread::sleep_for(800ms);
    this->env->store.put("op", "", "version/m", publishedVersion(3));
    std::this_thread::sleep_for(600ms);
    LONGS_EQUAL(2, this->env->engine.version());
    this->env->store.faults.refusesWrites = false;
    CHECK_TRUE(waitFor([&] { return this->env->engine.version() == 3; }));
}

// A gateway plans loads from its start on but reads the list of servers a moment later. The limit must not stay at the
// value for the few engines that were known at first.
TEST(Weights, ConcurrentLoadLimitGrowsWithEnginesDiscoveredLate)
{
    auto& gateway = this->env->startGateway();
    const auto loadsAtOnce = [&] {
        const auto weights = this->env->state(gateway, "weights");
        const auto* pool = weights.at("pools").as_object().if_contains("lm");
        return pool ? pool->at("at_once").to_number<int>() : 0;
    };
    CHECK_TRUE(waitFor([&] { return loadsAtOnce() == 2; }));
    for (int number = 0; number < 24; ++number)
        this->env->registerServer(this->env->addWorker("i-lm" + std::to_string(number)), "lm");
    CHECK_TRUE(waitFor([&] { return loadsAtOnce() == 5; }));
}

// The longest generations of a step run until the next version is published. The engines that serve the next step must
// have loaded the new weights by then.
TEST(Weights, EnginesLoadNewWeightsWhileGenerationsRunOnceNoneWaits)
{
    std::vector<WorkerStandin*> engines { &this->env->engine };
    for (const auto* name : { "i-lm2", "i-lm3", "i-lm4" }) {
        engines.push_back(&this->env->addWorker(name));
        this->env->registerServer(*engines.back(), "lm");
    }
    for (auto* engine : engines)
        engine->faults.eventTime = 1000ms;
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "i1", "i2", "i3", "i4" }).status);
    CHECK_TRUE(waitFor([&] {
        std::size_t started = 0;
        for (const auto* engine : engines)
            started += engine->seen().size();
        return started == 4;
    }));
    this->env->store.put("op", "", "version/m", publishedVersion(2));
    const auto areLoaded = [&] {
        return std::all_of(engines.begin(), engines.end(), [](const auto* engine) { return engine->version() == 2; });
    };
    CHECK_TRUE(waitFor(areLoaded, 4s));
    CHECK_TRUE(this->env->read(gateway, "j1").at("results").as_array().empty());
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 4));
}

// An engine that leaves says so in its report, before the first order.
TEST(Weights, AnEngineThatAnnouncesItsDepartureGetsNoOrder)
{
    this->env->engine.faults.announcesDeparture = true;
    auto& other = this->env->addWorker("i-lm-2");
    this->env->registerServer(other, "lm");
    this->env->startGateway();
    this->env->store.put("op", "", "version/m", publishedVersion(2));
    CHECK_TRUE(waitFor([&] { return other.version() == 2; }));
    std::this_thread::sleep_for(600ms);
    LONGS_EQUAL(0, this->env->engine.orders());
}
