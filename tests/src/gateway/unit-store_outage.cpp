#include "gateway/job_pages.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

/// Longer than the time for which a VM starts items after sending the last write that was answered.
constexpr auto silenceBeyondStartLimit = 2600ms;

/// Longer than the time for which a VM starts items without an answer from the store, shorter than the time limit of an
/// event.
constexpr auto outageBeforeBreak = 3s;

} // namespace

TEST_GROUP(StoreOutage)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();

    void startThreeGateways()
    {
        for (std::uint64_t number = 1; number <= 3; ++number)
            this->env->startGateway("vm-" + std::to_string(number), number);
        CHECK_TRUE(waitFor([&] { return this->env->state(*this->env->gateways[0], "peers").as_object().size() == 2; }));
    }
};

// The store is unreachable for ten seconds in the middle of a step, and an engine crashes meanwhile. No VM can take the
// job over, so pausing it gains nothing; if it continues, the step is complete when the store is back.
TEST(StoreOutage, InterruptedItemIsResumedWhileTheStoreIsUnreachableForAllVms)
{
    this->startThreeGateways();
    this->env->engine.faults.eventTime = 1000ms;
    this->env->engine.faults.breakAfter = 4;
    LONGS_EQUAL(202, this->env->submit(*this->env->gateways[0], "j1", { "a" }).status);
    CHECK_TRUE(waitFor([&] { return this->env->engine.seen().size() == 1; }));
    this->env->store.faults.isDown = true;
    std::this_thread::sleep_for(outageBeforeBreak);
    CHECK_TRUE(waitFor([&] { return this->env->engine.seen().size() >= 2; }, 5s));
    this->env->engine.faults.breakAfter = 0;
    this->env->store.faults.isDown = false;
    CHECK_TRUE(this->env->waitForResults(*this->env->gateways[1], "j1", 1));
}

// A VM that is busy or far from the store learns late that a write was done. The trainer may have ended the job right
// after the write; if the limit were counted from the answer, items would start more than three seconds after that end.
TEST(StoreOutage, ItemStartLimitIsCountedFromWhenTheLastWriteWasSent)
{
    WorkerOptions options;
    options.events = 100;
    auto& engine = this->env->addWorker("i-long", options);
    engine.faults.eventTime = 100ms;
    this->env->registerServer(this->env->engine, "none");
    this->env->registerServer(engine, "lm");
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "a" }).status);
    CHECK_TRUE(waitFor([&] { return engine.seen().size() == 1; }));
    this->env->store.faults.answerDelay = 800ms;
    const auto writes = [this] { return parseJobHead(this->env->store.rowsOf("job-heads").at("j1")).value().writes; };
    const auto before = writes();
    CHECK_TRUE(waitFor([&] { return writes() > before; }));
    this->env->store.faults.isDown = true;
    std::this_thread::sleep_for(silenceBeyondStartLimit);
    engine.faults.breakAfter = 1;
    std::this_thread::sleep_for(1s);
    LONGS_EQUAL(1, engine.seen().size());
    this->env->store.faults.isDown = false;
    engine.faults.breakAfter = 0;
    CHECK_TRUE(waitFor([&] { return engine.seen().size() == 2; }));
}

// A data centre is cut off while the store is away: most of the VMs that are asked don't answer. An item that breaks
// off is still resumed before its step is late.
TEST(StoreOutage, SilentVmsDoNotDelayTheConfirmationOfAnOutage)
{
    boost::asio::io_context loop;
    std::vector<boost::asio::ip::tcp::acceptor> silent;
    for (int vm = 0; vm < 4; ++vm) {
        // Connections are established by the kernel, and nothing is read from them.
        silent.emplace_back(loop, boost::asio::ip::tcp::endpoint { boost::asio::ip::make_address("127.0.0.1"), 0 });
        const auto name = "silent-" + std::to_string(vm);
        this->env->store.put("gateways", "", name,
            boost::json::serialize(
                boost::json::object { { "vm", name }, { "incarnation", 90 + vm }, { "data_centre", "z2" },
                    { "address", "127.0.0.1:" + std::to_string(silent.back().local_endpoint().port()) },
                    { "processor", 0.1 }, { "written_ms", unixTime().count() } }));
    }
    for (std::uint64_t number = 1; number <= 3; ++number)
        this->env->startGateway("vm-" + std::to_string(number), number);
    CHECK_TRUE(waitFor([&] { return this->env->state(*this->env->gateways[0], "peers").as_object().size() == 6; }));
    // The generation breaks off after 2.8 s, later than items are started without a confirmation.
    this->env->engine.faults.eventTime = 700ms;
    this->env->engine.faults.breakAfter = 4;
    LONGS_EQUAL(202, this->env->submit(*this->env->gateways[0], "j1", { "a" }).status);
    CHECK_TRUE(waitFor([&] { return this->env->engine.seen().size() == 1; }));
    this->env->store.faults.isDown = true;
    CHECK_TRUE(waitFor([&] { return this->env->engine.seen().size() >= 2; }, 3600ms));
    this->env->engine.faults.breakAfter = 0;
    this->env->store.faults.isDown = false;
    CHECK_TRUE(this->env->waitForResults(*this->env->gateways[1], "j1", 1));
}
