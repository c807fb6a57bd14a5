#pragma once

#include "context.hpp"
#include "notifier.hpp"
#include "peer_directory.hpp"

#include <topaztack/policy/outage_evidence.hpp>
#include <topaztack/wire/http.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string_view>

/// @file
/// Determines whether the store is unreachable for all VMs or only for this one: other VMs are asked while it doesn't
/// respond here.

namespace topaztack {

/// Path at which VMs ask each other whether they reach the store.
inline constexpr std::string_view storeContactPath = "/store-contact";

class StoreWatch {
public:
    StoreWatch(GatewayContext& context, const PeerDirectory& peers);

    void start();

    /// @brief Whether the store is unreachable from here and every VM that answered lately, at least two, reported the
    /// same. While that is so, no VM can have taken over this VM's jobs, and no trainer can have ended them.
    bool isUnreachableForAll() const;

    /// @brief This VM's response when another one asks.
    HttpResponse answer() const;

private:
    boost::asio::awaitable<void> run();
    /// Queries whose answers are still awaited, and what the others brought.
    struct PendingRound {
        PendingRound(boost::asio::io_context& loop, std::size_t unanswered)
            : unanswered(unanswered)
            , changed(loop)
        {
        }

        OutageRound round;
        std::size_t unanswered;
        Notifier changed;
    };

    boost::asio::awaitable<void> askPeer(PeerRecord peer, std::shared_ptr<PendingRound> pending);
    boost::asio::awaitable<void> askPeers();
    void applyRound(const OutageRound& round);

    GatewayContext& context;
    const PeerDirectory& peers;
    OutageEvidence evidence;
};

} // namespace topaztack
