#pragma once

#include "context.hpp"
#include "duty_lease.hpp"
#include "job_owner.hpp"
#include "server_table.hpp"

#include <topaztack/samples/load_concurrency.hpp>
#include <topaztack/samples/load_plan.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <map>

/// @file
/// Orders engines to load the weights that trainers published. Only the VM that holds the order lease does so.

namespace topaztack {

class WeightLoader {
public:
    WeightLoader(GatewayContext& context, ServerTable& servers, JobOwner& jobs, DutyLease& lease);

    void start();

    boost::json::value dump() const;

private:
    /// What is known about one engine's orders, ahead of its record in the store.
    struct Engine {
        std::chrono::milliseconds startedAt { 0 };
        /// Orders that it has accepted since its start; empty until it was asked.
        std::optional<std::uint64_t> orders;
        /// Model whose weights it is loading.
        std::optional<ModelName> loading;
        /// Until when its load is expected to take a share of the weight store's throughput.
        TimePoint expectedLoadEnd;
        /// Loads that were running when its own began, itself included.
        std::size_t concurrentLoads { 0 };
        /// Round of the pool's pace in which its load began.
        std::size_t round { 0 };
        /// After a failure no order is sent before this time.
        TimePoint retryAt;
        unsigned failures { 0 };
    };

    boost::asio::awaitable<void> plan();
    void planPool(const PoolRecord& pool);
    void removeGoneEngines();
    std::size_t countLoadingEngines() const;
    std::map<ModelName, ModelDemand> publishedModels() const;
    boost::asio::awaitable<void> load(ServerRecord server, PlannedLoad load);
    boost::asio::awaitable<OrderResponse> sendOrder(ServerRecord server, PlannedLoad load);
    boost::asio::awaitable<bool> waitUntilLoaded(ServerRecord server, PlannedLoad load);
    boost::asio::awaitable<bool> queryEngine(ServerRecord server);
    Engine& engineOf(const ServerRecord& server);

    GatewayContext& context;
    ServerTable& servers;
    JobOwner& jobs;
    DutyLease& lease;
    std::map<BackendName, Engine> engines;
    std::map<PoolName, LoadConcurrency> paces;
    Counter& orders;
    Counter& orderFailures;
    LatencyHistogram& loadTime;
};

} // namespace topaztack
