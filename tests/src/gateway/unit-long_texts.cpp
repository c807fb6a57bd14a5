#include "gateway/job_pages.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxPageBytes = 1'000'000;

} // namespace

/// The store refuses a transaction of more than a megabyte. A write that was too large was repeated for ever, and none
/// of the job's results was listed any more.
TEST_GROUP(LongTexts)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();

    /// An engine in place of the usual one.
    WorkerStandin& replaceEngine(WorkerOptions options)
    {
        auto& engine = this->env->addWorker("i-lm-2", std::move(options));
        this->env->store.remove("servers", "", this->env->engine.name);
        this->env->registerServer(engine, "lm");
        return engine;
    }

    /// Reads all results page by page, as a trainer does.
    std::vector<boost::json::object> readAll(const RunningGateway& gateway, const std::string& job, std::size_t count)
    {
        std::vector<boost::json::object> results;
        const bool isWhole = waitFor([&] {
            const auto answer = this->env->call(
                gateway.callers, "GET", "/-/lots/" + job + "?after=" + std::to_string(results.size()));
            CHECK_TRUE(answer.status == 200 && answer.body.size() <= maxPageBytes);
            const auto page = boost::json::parse(answer.body);
            for (const auto& result : page.at("results").as_array())
                results.push_back(result.as_object());
            return results.size() >= count;
        });
        CHECK_TRUE(isWhole);
        return results;
    }
};

// A control character is one byte of a text and six of JSON; only the former were counted.
TEST(LongTexts, TextsThatAreMuchLongerAsJsonAreListedAndRead)
{
    WorkerOptions options;
    options.padding = std::string(4000, '\x01') + std::string(4000, '"');
    auto& engine = this->replaceEngine(options);
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(24)).status);
    for (const auto& result : this->readAll(gateway, "j1", 24)) {
        const auto id = boost::json::value_to<std::string>(result.at("id"));
        CHECK_TRUE(result.at("state") == "completed" && result.at("output").as_string() == engine.textOf(id));
    }
}

// An engine in trouble sends events without end, each of them sound. The text grew until the store could not take it,
// or the memory was used up.
TEST(LongTexts, AGenerationWithoutEndIsBegunAnewAtAnotherServer)
{
    // A sound text takes all but 4 KB of the limit. The events of both engines are the same, since an item may be moved
    // from the first to the second at any of them.
    WorkerOptions options;
    options.padding = std::string(40'000, 'x');
    options.events = 13;
    auto& endless = this->replaceEngine(options);
    endless.faults.isEndless = true;
    auto& sound = this->env->addWorker("i-lm-3", options);
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", itemIds(6)).status);
    CHECK_TRUE(waitFor([&] { return endless.seen().size() >= 6; }));
    this->env->registerServer(sound, "lm");
    for (const auto& result : this->readAll(gateway, "j1", 6)) {
        const auto id = boost::json::value_to<std::string>(result.at("id"));
        CHECK_TRUE(result.at("state") == "completed" && result.at("output").as_string() == sound.textOf(id));
    }
}
