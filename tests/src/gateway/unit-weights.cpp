#include "gateway/fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

std::string namedVersion(std::uint64_t version) { return R"({"model":"m","version":)" + std::to_string(version) + "}"; }

} // namespace

TEST_GROUP(Weights) { std::unique_ptr<World> world = std::make_unique<World>(); };

TEST(Weights, EachNamedVersionIsOrderedOnceByOneGateway)
{
    this->world->startGateway("vm-1", 1);
    this->world->startGateway("vm-2", 2);
    this->world->store.put("op", "", "version/m", namedVersion(2));
    CHECK_TRUE(waitFor([&] { return this->world->engine.version() == 2; }));
    this->world->list(this->world->engine, "lm");
    this->world->store.put("op", "", "version/m", namedVersion(3));
    CHECK_TRUE(waitFor([&] { return this->world->engine.version() == 3; }));
    this->world->list(this->world->engine, "lm");
    std::this_thread::sleep_for(300ms);
    LONGS_EQUAL(2, this->world->engine.orders());
}

TEST(Weights, AnOlderVersionThatIsNamedLateIsNotOrdered)
{
    this->world->startGateway();
    this->world->store.put("op", "", "version/m", namedVersion(4));
    CHECK_TRUE(waitFor([&] { return this->world->engine.version() == 4; }));
    this->world->list(this->world->engine, "lm");
    this->world->store.put("op", "", "version/m", namedVersion(3));
    std::this_thread::sleep_for(400ms);
    LONGS_EQUAL(4, this->world->engine.version());
    LONGS_EQUAL(1, this->world->engine.orders());
}

TEST(Weights, WithTheStoreAwayNoOrderIsGivenOnAnOldLease)
{
    this->world->startGateway();
    this->world->store.put("op", "", "version/m", namedVersion(2));
    CHECK_TRUE(waitFor([&] { return this->world->engine.version() == 2; }));
    this->world->list(this->world->engine, "lm");
    std::this_thread::sleep_for(400ms);
    // The gateway learns of version 3 and then loses the store before it has ordered every engine.
    this->world->store.faults.refusesWrites = true;
    std::this_thread::sleep_for(800ms);
    this->world->store.put("op", "", "version/m", namedVersion(3));
    std::this_thread::sleep_for(600ms);
    LONGS_EQUAL(2, this->world->engine.version());
    this->world->store.faults.refusesWrites = false;
    CHECK_TRUE(waitFor([&] { return this->world->engine.version() == 3; }));
}
