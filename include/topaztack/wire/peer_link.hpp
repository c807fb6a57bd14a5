#pragma once

#include <topaztack/base/metrics.hpp>
#include <topaztack/wire/http.hpp>
#include <topaztack/wire/io_threads.hpp>
#include <topaztack/wire/messages.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

/// @file
/// Links between VMs: calls over TCP (TLS if keys are set) and datagrams over UDP. Frames are bounded and carry an
/// HMAC-SHA256 by the peers' key; a frame that doesn't verify is dropped and counted.

namespace topaztack {

class TlsContext;

/// @brief The key that all VMs share; empty if frames are not authenticated.
struct PeerKey {
    std::string secret;
};

/// @brief Reads the peers' key; no file gives the empty key.
/// @return BadSettings if the file can't be read or its key is too short.
Result<PeerKey> readPeerKey(const std::string& file);

/// @brief Calls to other VMs from one thread.
class PeerClient {
public:
    PeerClient(boost::asio::io_context& loop, PeerKey key, TlsContext* tls = nullptr);
    ~PeerClient();

    /// @return PeerUnreachable with the progress made; an Error that the peer answered is a value.
    boost::asio::awaitable<CallResult<PeerAnswer>> call(Endpoint endpoint, PeerCall call, TimePoint deadline);

private:
    struct State;
    std::shared_ptr<State> state;
};

using PeerHandler = std::function<boost::asio::awaitable<PeerAnswer>(PeerCall)>;

class PeerServer {
public:
    PeerServer(IoThreads& threads, const Endpoint& endpoint, PeerKey key, PeerHandler handler, MetricsRegistry& metrics,
        TlsContext* tls = nullptr);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    /// @return ErrorKind::BadSettings if the address can't be bound.
    Result<void> start();

    /// @brief Stops accepting and closes all connections; may be called on any thread.
    void stop();

    /// @brief The bound port, of use when the settings say port 0.
    std::uint16_t port() const;

    /// What its connections share; defined in the source file.
    struct State;

private:
    std::shared_ptr<State> state;
};

using GossipHandler = std::function<void(GossipDatagram, Endpoint from)>;

/// @brief The UDP socket of membership, on one thread.
class GossipSocket {
public:
    GossipSocket(
        boost::asio::io_context& loop, Endpoint endpoint, PeerKey key, GossipHandler handler, MetricsRegistry& metrics);
    ~GossipSocket();

    /// @return ErrorKind::BadSettings if the address can't be bound.
    Result<void> start();

    /// @brief Sends one datagram; losses are silent.
    void send(const Endpoint& to, const GossipDatagram& datagram);

    void stop();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace topaztack
