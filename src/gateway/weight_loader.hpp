#pragma once

#include "context.hpp"
#include "job_owner.hpp"
#include "order_lease.hpp"
#include "server_table.hpp"

#include <topaztack/samples/load_concurrency.hpp>
#include <topaztack/samples/load_plan.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <map>

/// @file
/// Orders engines to load the weights that trainers named, from the one VM that holds the order lease.

namespace topaztack {

class WeightLoader {
public:
    WeightLoader(GatewayContext& context, ServerTable& servers, JobOwner& jobs, OrderLease& lease);

    void start();

    boost::json::value dump() const;

private:
    /// What is known of one engine's orders, ahead of its record.
    struct Engine {
        std::chrono::milliseconds startedAt { 0 };
        /// Orders that it has accepted since its start; nothing until it was asked.
        std::optional<std::uint64_t> orders;
        std::optional<ModelName> loading;
        /// Until when its load takes a part of the weight store's speed.
        TimePoint busyUntil;
        /// Loads that ran when its own began, it included.
        std::size_t beside { 0 };
        /// The round of the pace in which it began.
        std::size_t round { 0 };
        TimePoint notBefore;
        unsigned failures { 0 };
    };

    boost::asio::awaitable<void> plan();
    void planPool(const PoolRecord& pool);
    void forgetEngines();
    std::size_t countLoading() const;
    std::map<ModelName, ModelDemand> namedModels() const;
    boost::asio::awaitable<void> load(ServerRecord server, PlannedLoad load);
    boost::asio::awaitable<OrderResponse> give(ServerRecord server, PlannedLoad load);
    boost::asio::awaitable<bool> waitUntilLoaded(ServerRecord server, PlannedLoad load);
    boost::asio::awaitable<bool> ask(ServerRecord server);
    Engine& engineOf(const ServerRecord& server);

    GatewayContext& context;
    ServerTable& servers;
    JobOwner& jobs;
    OrderLease& lease;
    std::map<BackendName, Engine> engines;
    std::map<PoolName, LoadConcurrency> paces;
    Counter& orders;
    Counter& orderFailures;
    LatencyHistogram& loadTime;
};

} // namespace topaztack
