#include "wire/run_awaitable.hpp"

#include <topaztack/wire/http_client.hpp>
#include <topaztack/wire/io_threads.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <functional>
#include <set>
#include <thread>

using namespace topaztack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A backend server that handles one accepted connection after another by a script.
class ScriptedServer {
public:
    using Script = std::function<void(tcp::socket&)>;

    ScriptedServer(const std::string& address, std::vector<Script> scripts)
        : acceptor(loop, tcp::endpoint(asio::ip::make_address(address), 0))
        , thread([this, scripts = std::move(scripts)] {
            for (const auto& script : scripts) {
                auto socket = this->acceptor.accept();
                script(socket);
            }
        })
    {
    }

    ~ScriptedServer() { this->thread.join(); }

    Endpoint endpoint() const
    {
        const auto local = this->acceptor.local_endpoint();
        return { local.address().to_string(), local.port() };
    }

    static void readHead(tcp::socket& socket)
    {
        std::string head;
        asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n");
    }

    static void answerOnce(tcp::socket& socket)
    {
        readHead(socket);
        asio::write(socket, asio::buffer(std::string(wholeAnswer)));
    }

private:
    asio::io_context loop;
    tcp::acceptor acceptor;
    std::thread thread;
};

struct Caller {
    Caller() { threads.start(); }

    CallResult<HttpResponse> call(const Endpoint& endpoint)
    {
        return test::runOn(threads.at(0), client.call(endpoint, HttpRequest { "POST", "/x" }, Clock::now() + 20s));
    }

    IoThreads threads { 1 };
    HttpClient client { threads.at(0) };
};

} // namespace

TEST_GROUP(HttpClient) {};

TEST(HttpClient, AKeptConnectionThatTheServerClosedIsNotUsedAgain)
{
    ScriptedServer server("127.0.0.1", { ScriptedServer::answerOnce, ScriptedServer::answerOnce });
    Caller caller;
    CHECK_TRUE(caller.call(server.endpoint()).has_value());
    std::this_thread::sleep_for(50ms);
    CHECK_TRUE(caller.call(server.endpoint()).has_value());
}

TEST(HttpClient, AConnectionClosedUnderARequestIsNeverProofThatItDidNotRun)
{
    ScriptedServer server("127.0.0.1", { [](tcp::socket& socket) {
        ScriptedServer::answerOnce(socket);
        ScriptedServer::readHead(socket);
    } });
    Caller caller;
    CHECK_TRUE(caller.call(server.endpoint()).has_value());
    const auto second = caller.call(server.endpoint());
    CHECK_FALSE(second.has_value());
    CHECK_TRUE(second.error().progress == AttemptProgress::Written);
}

TEST(HttpClient, ARefusedConnectionIsProofThatItDidNotRun)
{
    Caller caller;
    const auto answer = caller.call({ "127.0.0.1", 1 });
    CHECK_TRUE(answer.error().progress == AttemptProgress::NothingWritten);
    CHECK_TRUE(answer.error().error.kind == ErrorKind::BackendUnreachable);
}

TEST(HttpClient, AnAnswerCutShortIsAnError)
{
    ScriptedServer server("127.0.0.1", { [](tcp::socket& socket) {
        ScriptedServer::readHead(socket);
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")));
    } });
    Caller caller;
    const auto answer = caller.call(server.endpoint());
    CHECK_FALSE(answer.has_value());
    CHECK_TRUE(answer.error().progress == AttemptProgress::Written);
}

namespace {

/// Sends a start, and then bytes until its caller closes the connection or 128 MiB are written.
class EndlessServer {
public:
    explicit EndlessServer(const std::string& start)
        : server("127.0.0.1", { [this, start](tcp::socket& socket) {
            ScriptedServer::readHead(socket);
            asio::write(socket, asio::buffer(start));
            const std::string piece(64 * 1024, 'x');
            boost::system::error_code problem;
            while (!problem && this->taken < 8 * maxTaken)
                this->taken += asio::write(socket, asio::buffer(piece), problem);
        } })
    {
    }

    /// Sixteen times the longest answer that the tests allow: what the sockets hold comes on top.
    static constexpr std::size_t maxTaken = 16UL * 1024 * 1024;

    std::atomic<std::size_t> taken { 0 };
    ScriptedServer server;
};

} // namespace

// A server in trouble sends bytes that are no answer, in a head or a body, until its caller closes. Held whole, a few
// of them were more than the memory of a VM.
TEST(HttpClient, AnswersWithoutEndAreGivenUpAtTheLimit)
{
    static constexpr std::size_t maxAnswer = 1024 * 1024;
    static const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& start : { std::string("HTTP/1.1 200 OK\r\nX-A: "), std::string("HTTP/1.1 200 OK\r\n\r\n"),
             std::string("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n"), chunked + "ffffffffff\r\n",
             chunked + "1;", chunked + "2\r\nok\r\n1;", chunked + "0;", chunked + "0\r\nX-A: " }) {
        EndlessServer endless(start);
        IoThreads threads { 1 };
        threads.start();
        HttpClient client { threads.at(0), { .maxAnswer = maxAnswer } };
        const auto answer = test::runOn(
            threads.at(0), client.call(endless.server.endpoint(), HttpRequest { "POST", "/x" }, Clock::now() + 20s));
        CHECK_FALSE(answer.has_value());
        CHECK_TRUE(answer.error().progress == AttemptProgress::Written);
        CHECK_TEXT(endless.taken < EndlessServer::maxTaken, start.c_str());
    }
}

// The header of a chunk and a trailer had no limit: the client held whatever came until the end of the line.
TEST(HttpClient, StreamsWhoseChunksNeverBeginAreGivenUpAtTheLimit)
{
    static const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
    for (const std::string& start : { chunked + "1;", chunked + "0;", chunked + "0\r\nX-A: " }) {
        EndlessServer endless(start);
        Caller caller;
        const auto opened = test::runOn(caller.threads.at(0),
            caller.client.open(endless.server.endpoint(), HttpRequest { "POST", "/x" }, Clock::now() + 20s));
        auto& stream = *opened.value();
        STRCMP_EQUAL("ok", test::runOn(caller.threads.at(0), stream.read(Clock::now() + 20s)).value().c_str());
        CHECK_FALSE(test::runOn(caller.threads.at(0), stream.read(Clock::now() + 20s)).has_value());
        CHECK_TEXT(endless.taken < EndlessServer::maxTaken, start.c_str());
    }
}

namespace {

/// What a caller gets that is sent these bytes, before the connection is closed.
CallResult<HttpResponse> callAnsweredWith(const std::string& bytes)
{
    ScriptedServer server("127.0.0.1", { [&bytes](tcp::socket& socket) {
        ScriptedServer::readHead(socket);
        asio::write(socket, asio::buffer(bytes));
    } });
    Caller caller;
    return caller.call(server.endpoint());
}

/// The head that a caller gets that reads it first.
CallResult<HttpResponse> openAnsweredWith(const std::string& bytes)
{
    ScriptedServer server("127.0.0.1", { [&bytes](tcp::socket& socket) {
        ScriptedServer::readHead(socket);
        asio::write(socket, asio::buffer(bytes));
    } });
    Caller caller;
    auto opened = test::runOn(
        caller.threads.at(0), caller.client.open(server.endpoint(), HttpRequest { "POST", "/x" }, Clock::now() + 20s));
    if (!opened)
        return std::move(opened).error();
    return opened.value()->head();
}

/// @return the kinds of the errors that call() and open() give.
std::set<ErrorKind> checkIsNoAnswer(const std::string& bytes)
{
    const auto called = callAnsweredWith(bytes);
    CHECK_TEXT(!called, bytes.c_str());
    CHECK_TRUE(called.error().progress == AttemptProgress::Written);
    const auto opened = openAnsweredWith(bytes);
    CHECK_TEXT(!opened, bytes.c_str());
    CHECK_TRUE(opened.error().progress == AttemptProgress::Written);
    return { called.error().error.kind, opened.error().error.kind };
}

void checkIsMalformed(const std::string& bytes)
{
    CHECK_TRUE(checkIsNoAnswer(bytes) == std::set<ErrorKind> { ErrorKind::BackendAnswerMalformed });
}

} // namespace

TEST(HttpClient, StatusOutsideOfTheProtocolIsNoAnswer)
{
    for (const std::string status : { "000", "001", "099", "600", "999" })
        checkIsMalformed("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
    for (const unsigned status : { 200U, 299U, 404U, 599U })
        LONGS_EQUAL(status,
            callAnsweredWith("HTTP/1.1 " + std::to_string(status) + " Odd\r\nContent-Length: 2\r\n\r\nok")
                .value()
                .status);
}

// The interim answer was taken for the final one, which then stood where the connection's next answer was expected.
TEST(HttpClient, FinalAnswerIsTakenAfterInterimOnes)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const auto called = callAnsweredWith(interim + wholeAnswer);
    LONGS_EQUAL(200, called.value().status);
    STRCMP_EQUAL("ok", called.value().body.c_str());
    CHECK_TRUE(findHeader(called.value().headers, "Link").empty());
    LONGS_EQUAL(200, openAnsweredWith(interim + wholeAnswer).value().status);
}

TEST(HttpClient, InterimAnswersWithoutFinalOneAreNoAnswer)
{
    CHECK_FALSE(callAnsweredWith("HTTP/1.1 100 Continue\r\n\r\n").has_value());
    // Nothing asks the server to switch to another protocol.
    checkIsMalformed("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");
    std::string many;
    for (int interim = 0; interim < 100; ++interim)
        many += "HTTP/1.1 102 Processing\r\n\r\n";
    checkIsMalformed(many + wholeAnswer);
}

// A line that begins with a blank was added to the value of the field before it.
TEST(HttpClient, FieldNamesWithBlanksOrControlBytesAreNoAnswer)
{
    const std::string fields[] = { "X Y: z", "X\tY: z", "X : z", "X\t: z", " X: z", "\tX: z", ": z", "X\x01Y: z",
        "X\x7fY: z", "X\x0bY: z", std::string("X\0Y: z", 6), "X\rY: z", "X\nY: z", "\x80X: z", "no colon" };
    for (const auto& field : fields) {
        checkIsNoAnswer("HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok");
        checkIsNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n" + field + "\r\n\r\nok");
    }
    // The line that states the length of the body is no field.
    checkIsNoAnswer("HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\nok");
    checkIsNoAnswer("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length : 2\r\n\r\nok");
}

// A server that stops within its answer and closes must not look as if it had answered, wherever it stops.
TEST(HttpClient, NoBeginningOfAnAnswerIsAnAnswer)
{
    const std::string answers[] = { "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n5\r\nhello\r\n0\r\n\r\n" };
    for (const auto& whole : answers) {
        for (std::size_t size = 0; size < whole.size(); ++size)
            CHECK_FALSE(callAnsweredWith(whole.substr(0, size)).has_value());
        for (std::size_t size = 0; size < whole.find("\r\n\r\n") + 4; ++size)
            CHECK_FALSE(openAnsweredWith(whole.substr(0, size)).has_value());
        STRCMP_EQUAL("hello", callAnsweredWith(whole).value().body.c_str());
    }
}

TEST(HttpClient, SpeaksIpv6)
{
    ScriptedServer server("::1", { ScriptedServer::answerOnce });
    Caller caller;
    CHECK_TRUE(caller.call(server.endpoint()).has_value());
}

namespace {

HttpRequest requestTo(const std::string& host)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/x";
    request.headers.push_back({ "Host", host });
    return request;
}

std::string readWholeHead(tcp::socket& socket)
{
    std::string head;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n");
    return head;
}

} // namespace

TEST(HttpClient, TheRequestsOwnHostIsSent)
{
    std::string head;
    ScriptedServer server("127.0.0.1", { [&head](tcp::socket& socket) {
        head = readWholeHead(socket);
        asio::write(socket, asio::buffer(std::string(wholeAnswer)));
    } });
    Caller caller;
    CHECK_TRUE(test::runOn(
        caller.threads.at(0), caller.client.call(server.endpoint(), requestTo("booking.example"), Clock::now() + 20s))
                   .has_value());
    CHECK_TRUE(head.find("Host: booking.example\r\n") != std::string::npos);
}

TEST(HttpClient, AnAnswerToAnotherRequestIsNotTakenAndItsConnectionIsClosed)
{
    ScriptedServer server("127.0.0.1", { ScriptedServer::answerOnce, ScriptedServer::answerOnce });
    Caller caller;
    CallOptions options;
    options.accepts = [](const HttpResponse&) { return false; };
    const auto first = test::runOn(caller.threads.at(0),
        caller.client.call(server.endpoint(), requestTo("a"), Clock::now() + 20s, std::move(options)));
    CHECK_TRUE(first.error().error.kind == ErrorKind::BackendAnswerMalformed);
    CHECK_TRUE(first.error().progress == AttemptProgress::Written);
    CHECK_TRUE(caller.call(server.endpoint()).has_value());
}

TEST(HttpClient, ACancelledCallEndsAtOnceAndClosesItsConnection)
{
    bool wasClosed = false;
    ScriptedServer server("127.0.0.1", { [&wasClosed](tcp::socket& socket) {
        ScriptedServer::readHead(socket);
        char byte = 0;
        boost::system::error_code problem;
        socket.read_some(asio::buffer(&byte, 1), problem);
        wasClosed = static_cast<bool>(problem);
    } });
    {
        Caller caller;
        CallControl control;
        CallOptions options;
        options.control = &control;
        test::Pending<CallResult<HttpResponse>> pending(caller.threads.at(0),
            caller.client.call(server.endpoint(), requestTo("a"), Clock::now() + 20s, std::move(options)));
        std::this_thread::sleep_for(50ms);
        asio::post(caller.threads.at(0), [&control] { control.cancel(); });
        CHECK_FALSE(pending.get().has_value());
    }
}

TEST(HttpClient, AConnectionIsKeptNoLongerThanTheServerStates)
{
    // The margin is longer than the stated second: the connection is not used again, though it is still open.
    ScriptedServer server("127.0.0.1",
        { [&](tcp::socket& socket) {
             ScriptedServer::readHead(socket);
             asio::write(socket,
                 asio::buffer(std::string("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                                          "Content-Length: 2\r\n\r\nok")));
         },
            ScriptedServer::answerOnce });
    Caller caller;
    CHECK_TRUE(caller.call(server.endpoint()).has_value());
    CHECK_TRUE(caller.call(server.endpoint()).has_value());
}

// Pattern: a partition holds an order up, and the caller gives it up; after the partition it must not arrive.
TEST(HttpClient, ACallThatIsGivenUpResetsItsConnection)
{
    boost::system::error_code problem;
    ScriptedServer server("127.0.0.1", { [&problem](tcp::socket& socket) {
        ScriptedServer::readHead(socket);
        char byte = 0;
        socket.read_some(asio::buffer(&byte, 1), problem);
    } });
    Caller caller;
    const auto answer = test::runOn(
        caller.threads.at(0), caller.client.call(server.endpoint(), requestTo("a"), Clock::now() + 100ms));
    CHECK_TRUE(answer.error().error.kind == ErrorKind::BackendTimeout);
    std::this_thread::sleep_for(50ms);
    CHECK_TRUE(problem == asio::error::connection_reset);
}
