#pragma once

#include "context.hpp"
#include "server_table.hpp"

#include <topaztack/wire/http_server.hpp>

#include <boost/asio/awaitable.hpp>

/// @file
/// Forwards a caller's request to a backend server of its route's pool and retries it at another one where that is
/// allowed.

namespace topaztack {

class Forwarder {
public:
    Forwarder(GatewayContext& context, ServerTable& servers);

    boost::asio::awaitable<void> handle(HttpExchange& exchange, const CallerRequest& call, const Route& route);

private:
    struct Forwarding;

    boost::asio::awaitable<HttpResponse> forward(HttpExchange& exchange, Forwarding& forwarding);
    boost::asio::awaitable<void> attempt(HttpExchange& exchange, Forwarding& forwarding, const ServerRecord& server);
    HttpResponse failureResponse(const Forwarding& forwarding) const;

    GatewayContext& context;
    ServerTable& servers;
    Counter& requests;
    Counter& retries;
    Counter& refused;
    Counter& failed;
    LatencyHistogram& latency;
};

} // namespace topaztack
