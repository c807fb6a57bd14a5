#pragma once

#include "peer_directory.hpp"
#include "server_table.hpp"

#include <topaztack/policy/pool_reach.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <memory>

/// @file
/// Finds out whether this VM reaches the backend servers of a pool, and which other VMs do if it doesn't.

namespace topaztack {

/// Path at which VMs ask each other whether they reach a pool's servers; `?pool=NAME` follows.
inline constexpr std::string_view serverReachPath = "/server-reach";

class ServerReach {
public:
    ServerReach(GatewayContext& context, ServerTable& servers, const PeerDirectory& peers);

    /// @brief Whether no server of the pool can be reached from here. While that is so, connections are tried again and
    /// again, so that a link that heals is used at once.
    bool isCutOff(const PoolName& pool) const;

    /// @brief Tries connections after a request went unanswered, if need be.
    /// @param sentAt when the request was sent.
    /// @param wasReached whether the server took its connection.
    boost::asio::awaitable<void> checkAfter(PoolName pool, TimePoint sentAt, bool wasReached);

    /// @brief VMs that say that they reach the pool's servers, in random order. Waits for the first one if others are
    /// being asked.
    boost::asio::awaitable<std::vector<PeerRecord>> carriers(PoolName pool);

    /// @brief Drops a VM that did not answer a request that it was to carry.
    void dropCarrier(const PoolName& pool, const VmName& vm);

    /// @brief Answers another VM.
    boost::asio::awaitable<HttpResponse> answer(HttpRequest request);

    boost::json::value dump() const;

private:
    struct State {
        explicit State(boost::asio::io_context& loop)
            : changed(loop)
        {
        }

        PoolReach reach;
        bool isChecking { false };
        bool isAsking { false };
        TimePoint askedAt;
        std::vector<PeerRecord> carriers;
        Notifier changed;
    };
    struct Probes;

    State& stateOf(const PoolName& pool);
    boost::asio::awaitable<void> check(PoolName pool, std::size_t maxServers);
    boost::asio::awaitable<void> probe(Endpoint server, std::shared_ptr<Probes> probes);
    boost::asio::awaitable<void> watch(PoolName pool);
    void startAsking(const PoolName& pool);
    boost::asio::awaitable<void> askPeers(PoolName pool);
    boost::asio::awaitable<void> askPeer(PeerRecord peer, PoolName pool, std::shared_ptr<Probes> answers);

    GatewayContext& context;
    ServerTable& servers;
    const PeerDirectory& peers;
    std::map<PoolName, std::unique_ptr<State>> states;
    Counter& cuts;
};

} // namespace topaztack
