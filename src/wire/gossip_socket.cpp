#include "frame_link.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace topaztack {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t longestDatagram = 8UL * 1024;
    constexpr std::size_t codeSize = 32;
    constexpr std::string_view codePurpose = "gossip";

} // namespace

struct GossipSocket::State : std::enable_shared_from_this<GossipSocket::State> {
    State(asio::io_context& loop, Endpoint endpoint, PeerKey key, GossipHandler handler, MetricsRegistry& metrics)
        : socket(loop)
        , endpoint(std::move(endpoint))
        , key(std::move(key))
        , handler(std::move(handler))
        , received(metrics.counter("topaztack_gossip_received_total", "Membership datagrams received"))
        , sent(metrics.counter("topaztack_gossip_sent_total", "Membership datagrams sent"))
        , receivedBytes(metrics.counter("topaztack_gossip_received_bytes_total", "Bytes of datagrams received"))
        , sentBytes(metrics.counter("topaztack_gossip_sent_bytes_total", "Bytes of datagrams sent"))
        , dropped(
              metrics.counter("topaztack_gossip_dropped_total", "Datagrams not authentic, not understood or unsent"))
    {
    }

    asio::awaitable<void> receive()
    {
        const auto self = this->shared_from_this();
        std::array<char, longestDatagram + 1> buffer {};
        while (this->socket.is_open()) {
            udp::endpoint from;
            const auto [problem, size] = co_await this->socket.async_receive_from(asio::buffer(buffer), from, asTuple);
            if (problem == asio::error::operation_aborted || !this->socket.is_open())
                break;
            if (problem)
                continue;
            this->receivedBytes.add(size);
            this->take({ buffer.data(), size }, { from.address().to_string(), from.port() });
        }
    }

    void take(std::string_view bytes, Endpoint from)
    {
        const auto payload = this->authentic(bytes);
        if (payload.empty()) {
            this->dropped.add();
            return;
        }
        auto datagram = decodeGossip(payload);
        if (!datagram) {
            this->dropped.add();
            return;
        }
        this->received.add();
        this->handler(std::move(datagram).value(), std::move(from));
    }

    /// The payload of a datagram; empty if it is too long or its code is wrong.
    std::string_view authentic(std::string_view bytes) const
    {
        if (bytes.size() > longestDatagram)
            return {};
        if (this->key.secret.empty())
            return bytes;
        if (bytes.size() <= codeSize)
            return {};
        const auto payload = bytes.substr(0, bytes.size() - codeSize);
        const auto code = bytes.substr(payload.size());
        return areEqualCodes(code, hmacSha256(this->key.secret, { codePurpose, payload })) ? payload
                                                                                           : std::string_view {};
    }

    void send(const Endpoint& to, const GossipDatagram& datagram)
    {
        auto bytes = encode(datagram);
        if (!this->key.secret.empty())
            bytes += hmacSha256(this->key.secret, { codePurpose, bytes });
        boost::system::error_code problem;
        const auto address = asio::ip::make_address(to.address, problem);
        if (!problem && bytes.size() <= longestDatagram)
            this->socket.send_to(asio::buffer(bytes), udp::endpoint(address, to.port), 0, problem);
        if (problem || bytes.size() > longestDatagram) {
            this->dropped.add();
            return;
        }
        this->sent.add();
        this->sentBytes.add(bytes.size());
    }

    udp::socket socket;
    Endpoint endpoint;
    PeerKey key;
    GossipHandler handler;
    Counter& received;
    Counter& sent;
    Counter& receivedBytes;
    Counter& sentBytes;
    Counter& dropped;
};

GossipSocket::GossipSocket(
    asio::io_context& loop, Endpoint endpoint, PeerKey key, GossipHandler handler, MetricsRegistry& metrics)
    : state(std::make_shared<State>(loop, std::move(endpoint), std::move(key), std::move(handler), metrics))
{
}

GossipSocket::~GossipSocket() = default;

Result<void> GossipSocket::start()
{
    boost::system::error_code problem;
    auto& socket = this->state->socket;
    const udp::endpoint address(
        asio::ip::make_address(this->state->endpoint.address, problem), this->state->endpoint.port);
    if (!problem)
        socket.open(address.protocol(), problem);
    if (!problem)
        socket.bind(address, problem);
    if (!problem)
        socket.non_blocking(true, problem);
    if (problem)
        return makeError(ErrorKind::BadSettings,
            "can't take datagrams at " + toText(this->state->endpoint) + ": " + problem.message(),
            "free the port or change `peers` in the settings");
    asio::co_spawn(socket.get_executor(), this->state->receive(), asio::detached);
    return boost::outcome_v2::success();
}

void GossipSocket::send(const Endpoint& to, const GossipDatagram& datagram) { this->state->send(to, datagram); }

void GossipSocket::stop()
{
    boost::system::error_code ignored;
    this->state->socket.close(ignored);
}

} // namespace topaztack
