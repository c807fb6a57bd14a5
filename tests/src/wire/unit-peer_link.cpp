#include "wire/run_awaitable.hpp"

#include <topaztack/wire/peer_link.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

using namespace topaztack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const PeerKey goodKey { "0123456789abcdef0123456789abcdef" };
const PeerKey otherKey { "fedcba9876543210fedcba9876543210" };

asio::awaitable<PeerAnswer> echo(PeerCall call)
{
    const auto* part = std::get_if<PartCall>(&call);
    if (!part)
        co_return makeError(ErrorKind::BadFrame, "not for me");
    if (part->part == "throw")
        throw std::runtime_error("broken");
    co_return PartAnswer { part->body };
}

/// A server and a client on threads of their own.
struct Link {
    explicit Link(const PeerKey& clientKey)
        : server(threads, { "127.0.0.1", 0 }, goodKey, echo, metrics)
        , client(threads.at(1), clientKey)
    {
        CHECK_TRUE(server.start().has_value());
        threads.start();
    }

    CallResult<PeerAnswer> call(PeerCall message)
    {
        const Endpoint endpoint { "127.0.0.1", server.port() };
        return test::runOn(threads.at(1), client.call(endpoint, std::move(message), Clock::now() + 20s));
    }

    std::uint64_t badFrames() { return metrics.counter("topaztack_peer_bad_frames_total", "").value(); }
    std::int64_t connections() { return metrics.gauge("topaztack_peer_connections", "").value(); }

    MetricsRegistry metrics;
    IoThreads threads { 2 };
    PeerServer server;
    PeerClient client;
};

template <typename Condition> bool waitFor(const Condition& condition)
{
    const auto end = Clock::now() + 20s;
    while (!condition() && Clock::now() < end)
        std::this_thread::sleep_for(5ms);
    return condition();
}

} // namespace

TEST_GROUP(PeerLink) {};

TEST(PeerLink, CallsAreAnsweredOverOneKeptConnection)
{
    Link link(goodKey);
    for (int round = 0; round < 5; ++round) {
        const auto answer = link.call(PartCall { "any", std::to_string(round) });
        CHECK_TRUE(answer.has_value());
        CHECK_EQUAL(std::to_string(round), std::get<PartAnswer>(answer.value()).body);
    }
    CHECK_EQUAL(1, link.connections());
    const std::string large(3 * 1024 * 1024, 'x');
    CHECK_TRUE(std::get<PartAnswer>(link.call(PartCall { "any", large }).value()).body == large);
}

TEST(PeerLink, ErrorsOfTheOtherVmAreValues)
{
    Link link(goodKey);
    CHECK_TRUE(std::get<Error>(link.call(StatusFetch {}).value()).kind == ErrorKind::BadFrame);
    CHECK_TRUE(std::get<Error>(link.call(PartCall { "throw", "" }).value()).kind == ErrorKind::Internal);
}

TEST(PeerLink, FramesByAnotherKeyAreDroppedAndCounted)
{
    Link link(otherKey);
    const auto answer = link.call(PartCall { "any", "a" });
    CHECK_FALSE(answer.has_value());
    CHECK_TRUE(answer.error().progress == AttemptProgress::Written);
    CHECK_TRUE(waitFor([&link] { return link.badFrames() == 1; }));
}

TEST(PeerLink, ACallerWithoutTheKeyIsRefusedBeforeItSendsAnything)
{
    Link link(PeerKey {});
    const auto answer = link.call(PartCall { "any", "a" });
    CHECK_FALSE(answer.has_value());
    CHECK_TRUE(answer.error().progress == AttemptProgress::NothingWritten);
    CHECK_TRUE(waitFor([&link] { return link.badFrames() == 1; }));
}

TEST(PeerLink, AVmThatIsNotThereIsProvedNotReached)
{
    Link link(goodKey);
    const auto answer
        = test::runOn(link.threads.at(1), link.client.call({ "127.0.0.1", 1 }, StatusFetch {}, Clock::now() + 20s));
    CHECK_TRUE(answer.error().error.kind == ErrorKind::PeerUnreachable);
    CHECK_TRUE(answer.error().progress == AttemptProgress::NothingWritten);
}

TEST(PeerLink, ARecordedConnectionCanNotBeReplayed)
{
    Link link(goodKey);
    asio::io_context loop;
    // A relay in the middle records what a genuine caller sends.
    tcp::acceptor relay(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    test::Pending pending(link.threads.at(1),
        link.client.call(
            { "127.0.0.1", relay.local_endpoint().port() }, PartCall { "any", "once" }, Clock::now() + 20s));
    tcp::socket caller = relay.accept();
    tcp::socket server(loop);
    const tcp::endpoint target(asio::ip::make_address("127.0.0.1"), link.server.port());
    server.connect(target);
    std::string recorded(20, '\0');
    asio::read(caller, asio::buffer(recorded));
    asio::write(server, asio::buffer(recorded));
    std::string greeting(20, '\0');
    asio::read(server, asio::buffer(greeting));
    asio::write(caller, asio::buffer(greeting));
    std::string frame(4096, '\0');
    frame.resize(caller.read_some(asio::buffer(frame)));
    asio::write(server, asio::buffer(frame));
    std::string answer(4096, '\0');
    answer.resize(server.read_some(asio::buffer(answer)));
    asio::write(caller, asio::buffer(answer));
    CHECK_TRUE(pending.get().has_value());
    // The same frame again, on the same connection and on a new one.
    boost::system::error_code problem;
    asio::write(server, asio::buffer(frame), problem);
    CHECK_EQUAL(0, server.read_some(asio::buffer(answer.data(), answer.size()), problem));
    tcp::socket fresh(loop);
    fresh.connect(target);
    asio::write(fresh, asio::buffer(recorded + frame));
    asio::read(fresh, asio::buffer(greeting));
    CHECK_EQUAL(0, fresh.read_some(asio::buffer(answer.data(), answer.size()), problem));
    CHECK_TRUE(waitFor([&link] { return link.badFrames() == 2; }));
}

TEST(PeerLink, AFrameThatClaimsTooMuchEndsItsConnection)
{
    Link link(goodKey);
    asio::io_context loop;
    tcp::socket socket(loop);
    socket.connect({ asio::ip::make_address("127.0.0.1"), link.server.port() });
    std::string bytes = "TPZK" + std::string(16, 'n') + std::string("\xff\xff\xff\xff", 4);
    asio::write(socket, asio::buffer(bytes));
    boost::system::error_code problem;
    asio::read(socket, asio::buffer(bytes, 20), problem);
    CHECK_EQUAL(0, socket.read_some(asio::buffer(bytes), problem));
    CHECK_TRUE(waitFor([&link] { return link.badFrames() == 1 && link.connections() == 0; }));
}

TEST(PeerLink, StoppingClosesKeptConnectionsAndTheNextCallSaysNothingWasWritten)
{
    Link link(goodKey);
    CHECK_TRUE(link.call(PartCall { "any", "a" }).has_value());
    link.server.stop();
    CHECK_TRUE(waitFor([&link] { return link.connections() == 0; }));
    const auto answer = link.call(PartCall { "any", "b" });
    CHECK_TRUE(answer.error().progress == AttemptProgress::NothingWritten);
}

TEST(PeerLink, DatagramsArriveIfTheirCodeIsRight)
{
    MetricsRegistry metrics;
    IoThreads threads(1);
    std::atomic<int> got { 0 };
    const auto count
        = [&got](const GossipDatagram& datagram, const Endpoint&) { got += datagram.nonce == 7 ? 1 : 100; };
    asio::io_context probe;
    const auto freePort = [&probe] {
        asio::ip::udp::socket socket(probe, { asio::ip::make_address("127.0.0.1"), 0 });
        return socket.local_endpoint().port();
    };
    const Endpoint first { "127.0.0.1", freePort() };
    const Endpoint second { "127.0.0.1", freePort() };
    const Endpoint third { "127.0.0.1", freePort() };
    GossipSocket receiver(threads.at(0), first, goodKey, count, metrics);
    GossipSocket sender(threads.at(0), second, goodKey, count, metrics);
    GossipSocket stranger(threads.at(0), third, otherKey, count, metrics);
    CHECK_TRUE(receiver.start() && sender.start() && stranger.start());
    stranger.send(first, GossipDatagram { .nonce = 8 });
    sender.send(first, GossipDatagram { .nonce = 7 });
    threads.start();
    CHECK_TRUE(waitFor([&got] { return got.load() == 1; }));
    CHECK_TRUE(waitFor([&metrics] { return metrics.counter("topaztack_gossip_dropped_total", "").value() == 1; }));
    CHECK_EQUAL(1, got.load());
}
