#include "gateway/fixture.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <future>
#include <thread>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view timeLimit = "10000";

/// A caller that keeps its connection unless the answer says that it closes.
HttpResponse callOnce(const RunningGateway& gateway, const std::string& id)
{
    boost::asio::io_context loop;
    HttpClient client { loop };
    HttpRequest request;
    request.method = "POST";
    request.target = "/u/1";
    request.headers = { { "Host", "a.example" }, { "Topaztack-Request-Id", id },
        { "Topaztack-Deadline-Ms", std::string(timeLimit) } };
    Pending<CallResult<HttpResponse>> pending(
        loop, client.call(gateway.callers, std::move(request), Clock::now() + callTimeout));
    loop.run();
    auto answered = pending.get();
    HttpResponse none;
    none.status = 0;
    return answered ? std::move(answered).value() : none;
}

/// The head of the answer to a request on a connection that was opened before.
std::string askOn(boost::asio::ip::tcp::socket& socket, const std::string& id)
{
    boost::asio::write(socket,
        boost::asio::buffer("POST /u/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\nTopaztack-Request-Id: " + id
            + "\r\nTopaztack-Deadline-Ms: " + std::string(timeLimit) + "\r\n\r\n"));
    boost::asio::streambuf buffer;
    boost::system::error_code problem;
    boost::asio::read_until(socket, buffer, "\r\n\r\n", problem);
    return { boost::asio::buffers_begin(buffer.data()), boost::asio::buffers_end(buffer.data()) };
}

} // namespace

/// A VM that the platform stops on purpose, 8 s before it kills it.
TEST_GROUP(Shutdown)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();
    std::thread stop;

    RunningGateway& startGateway()
    {
        auto configuration = boost::json::parse(TestEnvironment::configuration(2)).as_object();
        for (auto& route : configuration.at("routes").as_array())
            route.as_object()["timeoutMs"] = std::stoi(std::string(timeLimit));
        this->env->store.put("op", "", "config", boost::json::serialize(configuration));
        return this->env->startGateway();
    }

    std::future<HttpResponse> send(const RunningGateway& gateway, std::chrono::milliseconds work)
    {
        const auto before = this->env->booking.seen().size();
        this->env->booking.faults.plainTime = work;
        auto answer = std::async(
            std::launch::async, [&gateway, before] { return callOnce(gateway, "r" + std::to_string(before)); });
        CHECK_TRUE(waitFor([&] { return this->env->booking.seen().size() > before; }));
        return answer;
    }
};

// A VM told nobody to leave, went on taking requests on kept connections and cut them off 1.5 s before it was killed.
TEST(Shutdown, RequestsThatAVmTakesWhileItStopsAreAnswered)
{
    auto& gateway = this->startGateway();
    this->stop = std::thread([&gateway] { gateway.gateway->shutDown(); });
    std::this_thread::sleep_for(300ms);
    const auto early = callOnce(gateway, "early");
    std::this_thread::sleep_for(1800ms);
    auto endless = this->send(gateway, 9s);
    auto slow = this->send(gateway, 5000ms);
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket late(loop);
    late.connect({ boost::asio::ip::make_address(gateway.callers.address), gateway.callers.port });
    std::this_thread::sleep_for(600ms);
    const auto refused = askOn(late, "late");
    const auto slowAnswer = slow.get();
    const auto endlessAnswer = endless.get();
    this->stop.join();
    LONGS_EQUAL(200, slowAnswer.status);
    LONGS_EQUAL(200, early.status);
    STRCMP_EQUAL("close", std::string(findHeader(early.headers, "Connection")).c_str());
    // It was sent to a server and may have run.
    LONGS_EQUAL(502, endlessAnswer.status);
    // It could be cut off, so another VM has to take it.
    CHECK_TRUE(refused.starts_with("HTTP/1.1 503"));
    CHECK_TRUE(refused.find("Retry-After: 0.000") != std::string::npos);
}

// A trainer waits for results while the VM stops. Its call was cut off at the end of the process.
TEST(Shutdown, ACallForResultsThatComesLateIsAnswered)
{
    auto& gateway = this->startGateway();
    this->env->engine.faults.isSilent = true;
    LONGS_EQUAL(202, this->env->submit(gateway, "job", { "i1" }).status);
    LONGS_EQUAL(0, this->env->read(gateway, "job").at("results").as_array().size());
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket caller(loop);
    caller.connect({ boost::asio::ip::make_address(gateway.callers.address), gateway.callers.port });
    boost::asio::write(
        caller, boost::asio::buffer(std::string("GET /-/lots/job?after=0 HTTP/1.1\r\nHost: a.example\r\n")));
    const auto stopsAt = Clock::now();
    this->stop = std::thread([&gateway] { gateway.gateway->shutDown(); });
    std::this_thread::sleep_until(stopsAt + 7100ms);
    boost::asio::write(caller, boost::asio::buffer(std::string("Topaztack-Wait-Ms: 1000\r\n\r\n")));
    boost::asio::streambuf buffer;
    boost::system::error_code problem;
    boost::asio::read_until(caller, buffer, "\r\n\r\n", problem);
    this->stop.join();
    const std::string answer(boost::asio::buffers_begin(buffer.data()), boost::asio::buffers_end(buffer.data()));
    CHECK_TRUE(answer.starts_with("HTTP/1.1 200"));
}
