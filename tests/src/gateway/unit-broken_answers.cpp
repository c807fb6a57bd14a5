#include "gateway/stream_client.hpp"
#include "standins/raw_worker.hpp"

#include <CppUTest/TestHarness.h>

#include <future>
#include <map>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t smallestVmMemory = 160'000'000;

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

    void addServer(const std::string& pool, const std::function<RawAnswer(const std::string& id)>& answer)
    {
        const auto name = "i-raw-" + std::to_string(this->servers.size());
        this->servers.push_back(std::make_unique<RawWorker>(this->env->threads, name, answer));
        this->env->store.put("servers", "", name, this->servers.back()->record(pool));
    }

    /// A gateway whose plain servers and engines all answer like this.
    /// @param count servers of each pool.
    RunningGateway& startGateway(const std::function<RawAnswer(const std::string& id)>& answer, int count = 1)
    {
        for (int server = 0; server < count; ++server) {
            this->addServer("app", answer);
            this->addServer("lm", answer);
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

    /// Sends requests at once, checks that no answer looks complete, and counts the bytes taken of the endless ones.
    std::size_t bytesTaken(const RunningGateway& gateway, const std::string& path, int requests)
    {
        std::vector<std::future<ReceivedStream>> calls;
        for (int request = 0; request < requests; ++request) {
            const auto id = path + std::to_string(request);
            calls.push_back(std::async(
                std::launch::async, [&gateway, id, path] { return openStream(gateway, { .id = id, .path = path }); }));
        }
        for (auto& call : calls) {
            const auto answer = call.get();
            CHECK_TRUE(answer.status >= 500 || !answer.isComplete);
        }
        std::size_t bytes = 0;
        for (const auto& server : this->servers)
            bytes += server->repeatedBytes();
        return bytes;
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

// A server stops in the middle of its head and closes the connection; a client may take such a head for a whole one,
// without a length and thus with an empty body.
TEST(BrokenAnswers, HeadThatIsCutShortIsNotPassedOn)
{
    auto& gateway = this->startGateway([](const std::string& id) {
        const auto head = headOf("HTTP/1.1 200 OK", id, "Content-Length: 2\r\n");
        // What is left out at the end of the head, by the request's name.
        static const std::map<std::string, std::size_t> missing { { "half", 1 }, { "line", 2 }, { "size", 5 } };
        const auto found = missing.find(id.substr(0, 4));
        const auto left = found == missing.end() ? 0 : found->second;
        return RawAnswer { head.substr(0, head.size() - left), "", true };
    });
    for (const std::string name : { "body", "half", "line", "size" })
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

// Servers send bodies without end to all requests that they are given at once. Each answer had a limit, but together
// they were more than the memory of a VM.
TEST(BrokenAnswers, ManyBodiesWithoutEndFitIntoTheMemoryOfASmallVm)
{
    auto& gateway = this->startGateway(
        [](const std::string& id) {
            return RawAnswer { headOf("HTTP/1.1 200 OK", id, ""), std::string(64 * 1024, 'x') };
        },
        3);
    CHECK_TRUE(this->bytesTaken(gateway, "/u/1", 24) < smallestVmMemory);
}

TEST(BrokenAnswers, ManyStreamsOfBytesThatMakeNoEventFitIntoTheMemoryOfASmallVm)
{
    auto& gateway = this->startGateway(
        [](const std::string& id) {
            return RawAnswer { headOf("HTTP/1.1 200 OK", id, "Content-Type: text/event-stream\r\n"),
                std::string(64 * 1024, 'x') };
        },
        24);
    CHECK_TRUE(this->bytesTaken(gateway, "/o/1", 200) < smallestVmMemory);
}
