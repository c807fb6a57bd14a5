#include "gateway/stream_client.hpp"
#include "standins/raw_worker.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

/// A head with the fields of a sound answer to the request.
std::string headOf(const std::string& statusLine, const std::string& id, const std::string& fields)
{
    return statusLine + "\r\nTopaztack-Request-Id: " + id + "\r\nTopaztack-Server-Stamp: stamp\r\n" + fields + "\r\n";
}

} // namespace

/// Servers in trouble whose answers are no HTTP, or whose answers are not whole. No caller may get them.
TEST_GROUP(BrokenAnswers)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();
    std::vector<std::unique_ptr<RawWorker>> servers;

    /// A gateway whose plain servers and engines all answer like this.
    RunningGateway& startGateway(std::function<RawAnswer(const std::string& id)> answer)
    {
        for (const std::string pool : { "app", "lm" }) {
            this->servers.push_back(std::make_unique<RawWorker>(this->env->threads, "i-" + pool + "-raw", answer));
            this->env->store.put("servers", "", this->servers.back()->name, this->servers.back()->record(pool));
        }
        this->env->store.remove("servers", "", this->env->booking.name);
        this->env->store.remove("servers", "", this->env->engine.name);
        return this->env->startGateway();
    }

    /// Checks that callers of each kind of route get a failure of the gateway instead of the server's answer.
    /// @param name beginning of the requests' ids.
    void checkNotPassedOn(const RunningGateway& gateway, const std::string& name)
    {
        for (const std::string path : { "/b/1", "/u/1", "/s/1", "/o/1" }) {
            const bool isStream = path == "/s/1" || path == "/o/1";
            // A server that has failed gets nothing for a moment; until then requests are refused.
            const bool isAnswered = waitFor([&] {
                const auto answer
                    = isStream ? this->stream(gateway, name + path, path) : this->env->book(gateway, name + path, path);
                CHECK_TRUE(findHeader(answer.headers, "Topaztack-Server-Stamp").empty());
                CHECK_TRUE(answer.status == 502 || answer.status == 503);
                return answer.status == 502;
            });
            CHECK_TRUE(isAnswered);
        }
    }

    static HttpResponse stream(const RunningGateway& gateway, const std::string& id, const std::string& path)
    {
        auto received = openStream(gateway, { .id = id, .path = path });
        return { received.status, std::move(received.headers), std::move(received.body) };
    }
};

// The status of an answer was passed on whatever it was.
TEST(BrokenAnswers, StatusOutsideOfTheProtocolIsNotPassedOn)
{
    auto& gateway = this->startGateway([](const std::string& id) {
        return RawAnswer { headOf("HTTP/1.1 " + id.substr(0, 3) + " Odd", id, "Content-Length: 2\r\n") + "ok" };
    });
    for (const std::string status : { "000", "600" })
        this->checkNotPassedOn(gateway, status);
}

// A line that begins with a blank was passed on as a part of the field before it.
TEST(BrokenAnswers, OddFieldNamesAreNotPassedOn)
{
    auto& gateway = this->startGateway([](const std::string& id) {
        const std::string odd = id.starts_with("blank") ? " Content-Length: 1" : "X\x01Y: z";
        return RawAnswer { headOf("HTTP/1.1 200 OK", id, "Content-Length: 2\r\nA: b\r\n" + odd + "\r\n") + "ok" };
    });
    for (const std::string name : { "blank", "control" })
        this->checkNotPassedOn(gateway, name);
}

// An interim answer was passed on as the answer itself.
TEST(BrokenAnswers, FinalAnswerIsPassedOnAfterAnInterimOne)
{
    auto& gateway = this->startGateway([](const std::string& id) {
        return RawAnswer { "HTTP/1.1 100 Continue\r\n\r\n" + headOf("HTTP/1.1 200 OK", id, "Content-Length: 2\r\n")
            + "ok" };
    });
    for (int request = 0; request < 2; ++request) {
        const auto answer = this->env->book(gateway, "r" + std::to_string(request), "/u/1");
        LONGS_EQUAL(200, answer.status);
        STRCMP_EQUAL("ok", answer.body.c_str());
    }
}
