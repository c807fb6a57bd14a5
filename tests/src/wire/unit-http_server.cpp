#include <topaztack/wire/http_server.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Begins a stream, and then answers with an error, as a handler that overlooks the stream would.
asio::awaitable<void> answerTwice(HttpExchange& exchange)
{
    HttpResponse head;
    co_await exchange.beginStream(std::move(head));
    const std::string event = "id: 1\ndata: a\n\n";
    co_await exchange.writeChunk(event);
    HttpResponse error;
    error.status = 500;
    error.body = "out of memory";
    co_await exchange.respond(std::move(error));
}

/// The bytes of the answer to a request, up to the end of the connection.
std::string rawAnswer(std::uint16_t port)
{
    asio::io_context loop;
    asio::ip::tcp::socket socket(loop);
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")));
    std::string bytes;
    boost::system::error_code problem;
    asio::read(socket, asio::dynamic_buffer(bytes), problem);
    return bytes;
}

} // namespace

TEST_GROUP(HttpServer) {};

// A second head within a chunked body, between two events of the caller's stream.
TEST(HttpServer, AnErrorAfterAStreamHasBegunIsNotWrittenIntoIt)
{
    IoThreads threads { 1 };
    MetricsRegistry metrics;
    HttpServer server(
        threads, { "127.0.0.1", 0 }, [] { return HttpServerLimits {}; }, answerTwice, metrics, "test");
    CHECK_TRUE(server.start().has_value());
    threads.start();
    const auto bytes = rawAnswer(server.port());
    threads.stop();
    CHECK_TRUE(bytes.find("data: a") != std::string::npos);
    CHECK_TRUE(bytes.find("out of memory") == std::string::npos);
    CHECK_FALSE(bytes.ends_with("0\r\n\r\n"));
}
