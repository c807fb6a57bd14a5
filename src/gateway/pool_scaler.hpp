#pragma once

#include "context.hpp"
#include "duty_lease.hpp"
#include "job_owner.hpp"
#include "notifier.hpp"
#include "peer_directory.hpp"
#include "server_reach.hpp"
#include "server_table.hpp"

#include <topaztack/policy/pool_scaling.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <set>

/// @file
/// Orders servers from the platform. Only the VM that holds the lease for calls to the platform does so; the others
/// answer its questions about their load.

namespace topaztack {

/// Path at which VMs ask each other what their callers take of each pool.
inline constexpr std::string_view poolUsagePath = "/pool-usage";

/// Table of what was ordered: a row for each pool, data centre and kind.
inline constexpr std::string_view serverOrdersTable = "server-orders";

class PoolScaler {
public:
    /// @param storeAnsweredAt when the store last answered about the servers.
    PoolScaler(GatewayContext& context, ServerTable& servers, JobOwner& jobs, const PeerDirectory& peers,
        const ServerReach& reach, DutyLease& lease, std::function<TimePoint()> storeAnsweredAt);

    void start();

    /// @brief Answers another VM that asks for this VM's load.
    HttpResponse answer() const;

    boost::json::value dump() const;

private:
    /// What a VM last said of its load.
    struct Report {
        std::map<PoolName, PoolUsage> usage;
        TimePoint receivedAt;
    };

    /// What was ordered of a group, as it is in the store.
    struct StoredOrder {
        RowVersion version;
        std::string text;
    };

    struct Call {
        bool isRunning { false };
        /// Calls without a usable answer in a row.
        unsigned failures { 0 };
        TimePoint notBefore;
    };

    struct Pool {
        PoolScalingState state;
        std::map<ServerGroup, StoredOrder> stored;
        ItemTimeEstimate itemTime;
        std::uint64_t listedItems { 0 };
        TimePoint itemsCountedAt;
        PoolObservation seen;
        ScalingDecision decision;
        Gauge* needed { nullptr };
        Gauge* present { nullptr };
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> step(FencingNumber fence);
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> askPeer(PeerRecord peer);
    void dropOldReports();
    PoolObservation observe(const PoolRecord& pool, Pool& known);
    void decide(const PoolRecord& record, Pool& pool, FencingNumber fence);
    void logDecision(const PoolRecord& record, const Pool& pool, ScalingReason before) const;
    boost::asio::awaitable<void> order(PoolName name, ServerGroup group, FencingNumber fence);
    boost::asio::awaitable<void> orderOnce(PoolName name, ServerGroup group, FencingNumber fence);
    boost::asio::awaitable<bool> save(PoolName name, ServerGroup group, FencingNumber fence);
    boost::asio::awaitable<void> saveUnordered(FencingNumber fence);
    boost::asio::awaitable<DutyResponse> send(PoolName name, ServerGroup group, FencingNumber fence);
    void applyAnswer(const PoolName& name, const ServerGroup& group, DutyResponse response);
    std::optional<TimePoint> reserveCall();
    std::chrono::milliseconds storeTime(TimePoint at) const;
    Pool& poolOf(const PoolName& name);

    GatewayContext& context;
    ServerTable& servers;
    JobOwner& jobs;
    const PeerDirectory& peers;
    const ServerReach& reach;
    DutyLease& lease;
    const std::function<TimePoint()> storeAnsweredAt;
    std::map<PoolName, Pool> pools;
    /// The calls of each group; they outlast a reading of the orders.
    std::map<std::pair<PoolName, ServerGroup>, Call> calls;
    std::map<VmName, Report> reports;
    /// The VM that was asked last; VMs are asked in turn.
    VmName lastAsked;
    /// The fencing number under which the orders were read from the store; empty if they are to be read.
    std::optional<FencingNumber> loadedFence;
    /// The store's steady clock when the orders were read, 0 if it doesn't state it, and this VM's clock then.
    std::chrono::milliseconds loadedStoreTime { 0 };
    TimePoint loadedAt;
    /// When the counts of groups of which nothing was ordered were last written.
    TimePoint unorderedSavedAt;
    /// The next call is made no earlier, so that calls stay within the rate that the platform takes.
    TimePoint nextCallAt;
    /// Calls without a usable answer in a row, over all groups.
    unsigned consecutiveFailures { 0 };
    Counter& orders;
    Counter& orderFailures;
};

} // namespace topaztack
