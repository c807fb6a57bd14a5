#include "gateway/job_pages.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

/// Longer than a VM starts items without having heard the store, shorter than an event's time limit.
constexpr auto outageBeforeBreak = 3s;

} // namespace

TEST_GROUP(StoreOutage)
{
    std::unique_ptr<World> world = std::make_unique<World>();

    void startThree()
    {
        for (std::uint64_t number = 1; number <= 3; ++number)
            this->world->startGateway("vm-" + std::to_string(number), number);
        CHECK_TRUE(
            waitFor([&] { return this->world->state(*this->world->gateways[0], "peers").as_object().size() == 2; }));
    }
};

// Pattern: the store is away for ten seconds in the middle of a step, and an engine crashes meanwhile. No VM can take
// the job over, so waiting gains nobody anything; a step that goes on is whole when the store is back.
TEST(StoreOutage, WhileTheStoreIsAwayForAllAnItemThatBrokeOffIsResumed)
{
    this->startThree();
    this->world->engine.faults.eventTime = 1000ms;
    this->world->engine.faults.breakAfter = 4;
    LONGS_EQUAL(202, this->world->submit(*this->world->gateways[0], "j1", { "a" }).status);
    CHECK_TRUE(waitFor([&] { return this->world->engine.seen().size() == 1; }));
    this->world->store.faults.isDown = true;
    std::this_thread::sleep_for(outageBeforeBreak);
    CHECK_TRUE(waitFor([&] { return this->world->engine.seen().size() >= 2; }, 5s));
    this->world->engine.faults.breakAfter = 0;
    this->world->store.faults.isDown = false;
    CHECK_TRUE(this->world->waitForResults(*this->world->gateways[1], "j1", 1));
}
