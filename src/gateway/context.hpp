#pragma once

#include <topaztack/base/metrics.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/control/settings.hpp>
#include <topaztack/gateway/protocol.hpp>
#include <topaztack/wire/http_client.hpp>
#include <topaztack/wire/io_threads.hpp>
#include <topaztack/wire/store_client.hpp>

#include <map>

/// @file
/// What all parts of a gateway share. A gateway has one event loop; nothing here is locked.

namespace topaztack {

struct GatewayContext {
    GatewayContext(VmSettings settings, VmIdentity identity, const GatewayProtocol& protocol);

    const VmSettings settings;
    const VmIdentity identity;
    const GatewayProtocol& protocol;
    MetricsRegistry metrics;
    IoThreads threads;
    Random random;
    HttpClient httpClient;
    HttpClient storeLink;
    StoreClient store;
    /// nullptr before the first configuration.
    RouteTablePtr routes;
    std::map<ModelName, WeightVersion> publishedVersions;
    bool isDraining { false };

    boost::asio::io_context& loop() { return this->threads.at(0); }
};

} // namespace topaztack
