#pragma once

#include <topaztack/base/metrics.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/control/settings.hpp>
#include <topaztack/gateway/protocol.hpp>
#include <topaztack/policy/drain.hpp>
#include <topaztack/policy/true_time.hpp>
#include <topaztack/wire/http_client.hpp>
#include <topaztack/wire/io_threads.hpp>
#include <topaztack/wire/store_client.hpp>

#include <map>

/// @file
/// State shared by the components of a gateway. They all run on one event loop, so nothing here is locked.

namespace topaztack {

struct GatewayContext {
    GatewayContext(VmSettings settings, VmIdentity identity, const GatewayProtocol& protocol);

    const VmSettings settings;
    const VmIdentity identity;
    const GatewayProtocol& protocol;
    MetricsRegistry metrics;
    IoThreads threads;
    Random random;
    /// For calls to backend servers and other VMs.
    HttpClient httpClient;
    HttpClient storeHttpClient;
    StoreClient store;
    /// Followed only if use is reported.
    StoreClock storeClock;
    TrueTime trueTime;
    /// nullptr until the first configuration has been read.
    RouteTablePtr routes;
    /// The newest version that was published for each model.
    std::map<ModelName, WeightVersion> publishedVersions;
    bool isDraining { false };
    /// Set while draining.
    std::optional<DrainSchedule> drain;

    /// @brief The difference between this VM's time of day and the store's clock; empty if the latter isn't known.
    std::optional<std::chrono::milliseconds> clockOffset() const;

    boost::asio::io_context& loop() { return this->threads.at(0); }
};

} // namespace topaztack
