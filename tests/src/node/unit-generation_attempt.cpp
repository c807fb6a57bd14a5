#include "standins/raw_worker.hpp"
#include "wire/run_awaitable.hpp"

#include <topaztack/node/generation_attempt.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

VmSettings settings()
{
    VmSettings settings;
    settings.threads = 1;
    return settings;
}

constexpr std::string_view streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

} // namespace

TEST_GROUP(GenerationAttempt)
{
    NodeContext context { settings(), VmIdentity { VmName("vm-1"), Incarnation(1) } };

    void setup() override { this->context.threads.start(); }
    void teardown() override { this->context.threads.stop(); }

    /// A generation of five tokens at an engine that repeats this without end.
    GenerationAttempt attempt(const std::string& repeated, std::size_t& taken)
    {
        test::RawWorker engine(this->context.threads, "engine", [&repeated](const std::string&) {
            return test::RawAnswer { std::string(streamHead), repeated };
        });
        GenerationRequest request;
        request.maxTokens = 5;
        request.deadline = Clock::now() + 2s;
        Generation whole;
        auto attempted = test::runOn(
            this->context.threads.at(0), attemptGeneration(this->context, engine.endpoint(), request, {}, whole));
        taken = engine.repeatedBytes();
        return attempted;
    }
};

// An engine in trouble sends without end what is no event, or events beyond what was asked for. All of it was held
// until the deadline.
TEST(GenerationAttempt, StreamsWithoutEndAreGivenUp)
{
    static constexpr std::size_t maxTaken = 16UL * 1024 * 1024;
    const std::string chunk
        = R"(data: {"weight_version":1,"choices":[{"text":"a","token_ids":[7],"finish_reason":null}]})"
          "\n\n";
    for (const auto& repeated :
        { std::string(64 * 1024, 'x'), ": a comment\n\n" + std::string(64 * 1024, ' '), chunk }) {
        std::size_t taken = 0;
        const auto attempted = this->attempt(repeated, taken);
        CHECK_TRUE(attempted.end == AttemptEnd::Broken);
        CHECK_TRUE(taken < maxTaken);
    }
}
