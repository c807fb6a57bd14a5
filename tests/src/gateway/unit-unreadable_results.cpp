#include "gateway/job_pages.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

/// Results are stored and returned as JSON, which has to be UTF-8. Bytes of another kind that a server had sent were
/// stored as they were. Neither the row nor any page with it could be read again, so that an accepted job was lost.
TEST_GROUP(UnreadableResults)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();

    /// Checks that a gateway returns all results of a job, each with its whole text.
    void checkAllReadable(const RunningGateway& gateway, const std::string& job, std::size_t count)
    {
        CHECK_TRUE(this->env->waitForResults(gateway, job, count));
        const auto page = this->env->read(gateway, job);
        for (std::size_t index = 0; index < count; ++index) {
            STRCMP_EQUAL("completed", stateAt(page, index).c_str());
            CHECK_TRUE(outputAt(page, index) == this->env->engine.textOf(idAt(page, index)));
        }
    }
};

TEST(UnreadableResults, TextOfAnEngineThatSendsNoUtf8IsGeneratedAgainFromTheEventOn)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    this->env->engine.faults.eventsToSpoil = 3;
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(12)).status);
    this->checkAllReadable(second, "j1", 12);
    this->checkAllReadable(first, "j1", 12);
}

// The job's head holds the path. Other VMs could neither return the job's results nor end it.
TEST(UnreadableResults, AJobAtAPathThatIsNoUtf8IsReadAndEndedAtAnotherVm)
{
    auto& first = this->env->startGateway("vm-1", 1);
    auto& second = this->env->startGateway("vm-2", 2);
    const auto submitted = this->env->call(first.callers, "POST", "/j/\xff\xe9", { { "Topaztack-Request-Id", "j1" } },
        TestEnvironment::jobBody(itemIds(3)));
    LONGS_EQUAL(202, submitted.status);
    this->checkAllReadable(second, "j1", 3);
    LONGS_EQUAL(200, this->env->call(second.callers, "DELETE", "/-/lots/j1").status);
}

// The next owner reads the results that are listed and the texts that were saved.
TEST(UnreadableResults, AJobIsTakenOverAfterAnEngineSentNoUtf8)
{
    auto& first = this->env->startGateway("vm-1", 1);
    this->env->engine.faults.slowItem = "i0";
    this->env->engine.faults.eventsToSpoil = 4;
    LONGS_EQUAL(202, this->env->submit(first, "j1", itemIds(8)).status);
    CHECK_TRUE(waitFor([&] { return this->env->store.rowsOf("job-results").size() == 7; }));
    auto& second = this->env->startGateway("vm-2", 2);
    first.gateway->shutDown();
    this->checkAllReadable(second, "j1", 8);
}

// Without pauses such an item was sent again as fast as servers answered, and made all of them suspected.
TEST(UnreadableResults, AnItemWhoseEventsAreNeverUtf8KeepsNoServerFromOthers)
{
    auto& other = this->env->addWorker("i-lm-2");
    this->env->registerServer(other, "lm");
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.spoiledItem = "i0";
    other.faults.spoiledItem = "i0";
    this->env->engine.faults.eventTime = 20ms;
    other.faults.eventTime = 20ms;
    const auto startedAt = Clock::now();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(40)).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 39));
    // The route's `runTargetMs`.
    CHECK_TRUE(Clock::now() - startedAt < 7500ms);
    std::this_thread::sleep_for(2s);
    std::size_t attempts = 0;
    for (const auto* worker : { &this->env->engine, &other }) {
        for (const auto& request : worker->seen())
            attempts += request.id == "i0" ? 1 : 0;
    }
    CHECK_TRUE(attempts >= 3 && attempts <= 12);
}

TEST(UnreadableResults, AScoreThatIsNoUtf8IsAskedForAgain)
{
    auto& gateway = this->env->startGateway();
    this->env->booking.faults.stampsToSpoil = 2;
    LONGS_EQUAL(202, this->env->submitScored(gateway, "j1", itemIds(3)).status);
    this->checkAllReadable(gateway, "j1", 3);
    const auto page = this->env->read(gateway, "j1");
    for (const auto& result : page.at("results").as_array())
        CHECK_TRUE(result.at("score") == "stamp");
    LONGS_EQUAL(5, this->env->booking.seen().size());
    LONGS_EQUAL(3, this->env->engine.seen().size());
}
