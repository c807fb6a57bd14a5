#pragma once

#include "context.hpp"
#include "peer_directory.hpp"

#include <topaztack/policy/admission.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>

/// @file
/// Tells the VM that keeps a pool what each workspace asks this VM for while the pool lacks room, and learns what all
/// VMs together know, so that no workspace gets a larger share by sending to many VMs.

namespace topaztack {

/// Path at which VMs tell each other what workspaces use.
inline constexpr std::string_view workspaceUsePath = "/workspace-use";

using WorkspaceUses = std::map<WorkspaceName, TotalUse>;

class UsageExchange {
public:
    /// @brief What this VM knows of a pool that lacks room; empty if it doesn't lack room.
    using ReadOwn = std::function<WorkspaceUses(const PoolName& pool)>;
    using Apply = std::function<void(const PoolName& pool, const WorkspaceUses& totals)>;

    UsageExchange(GatewayContext& context, const PeerDirectory& peers, ReadOwn readOwn, Apply apply);

    /// @brief Begins to report on a pool that lacks room, until it has room again.
    void report(const PoolName& pool);

    /// @brief Answers another VM as the one that keeps the pool.
    HttpResponse answer(const HttpRequest& request);

    void expire();

private:
    struct Report {
        WorkspaceUses uses;
        TimePoint receivedAt;
    };

    struct Totals {
        WorkspaceUses uses;
        std::chrono::milliseconds interval { 0 };
    };

    boost::asio::awaitable<void> run(PoolName pool);
    boost::asio::awaitable<std::optional<Totals>> ask(PeerRecord keeper, PoolName pool, WorkspaceUses own);
    Totals decide(const PoolName& pool, const VmName& vm, const WorkspaceUses& uses, TimePoint now);

    GatewayContext& context;
    const PeerDirectory& peers;
    const ReadOwn readOwn;
    const Apply apply;
    std::set<PoolName> reporting;
    std::map<VmName, TimePoint> silentKeepers;
    /// Reports of other VMs on the pools that this VM keeps.
    std::map<PoolName, std::map<VmName, Report>> reports;
    Counter& sentBytes;
};

} // namespace topaztack
