#pragma once

#include <topaztack/control/swim.hpp>
#include <topaztack/node/config_keeper.hpp>
#include <topaztack/node/context.hpp>
#include <topaztack/wire/peer_link.hpp>

#include <boost/json/value.hpp>

/// @file
/// Carries out membership's decisions on the UDP socket, publishes the view, and tells the configuration which VM has
/// a newer document. All of it runs on thread 0.

namespace topaztack {

class MemberAgent {
public:
    MemberAgent(NodeContext& context, ConfigKeeper& config, const PeerKey& key);

    /// @return ErrorKind::BadSettings if the UDP address can't be bound.
    Result<void> start();

    /// @brief Tells the others that this VM leaves, for a graceful shutdown.
    boost::asio::awaitable<void> leave();

    void stop() { this->socket.stop(); }

    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> readVmList();
    void receive(const GossipDatagram& datagram, const Endpoint& from);
    void carryOut(const SwimActions& actions);
    void hearDocuments(const GossipDatagram& datagram);
    void publish();

    NodeContext& context;
    ConfigKeeper& config;
    Random random;
    SwimState state;
    bool isViewStale { true };
    TimePoint publishedAt;
    Gauge& alive;
    GossipSocket socket;
};

} // namespace topaztack
