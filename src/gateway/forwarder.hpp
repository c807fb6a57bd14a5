#pragma once

#include "call_carrier.hpp"
#include "context.hpp"
#include "request_queue.hpp"
#include "server_reach.hpp"
#include "server_table.hpp"
#include "suspect_gate.hpp"

#include <topaztack/wire/http_server.hpp>

#include <boost/asio/awaitable.hpp>

/// @file
/// Forwards a caller's request to a backend server of its route's pool and retries it at another one where that is
/// allowed.

namespace topaztack {

class Forwarder {
public:
    Forwarder(GatewayContext& context, ServerTable& servers, SuspectGate& suspects, ServerReach& reach,
        CallCarrier& carrier, RequestQueue& queue);

    boost::asio::awaitable<void> handle(
        HttpExchange& exchange, const CallerRequest& call, const Route& route, CallOrigin origin);

private:
    struct Forwarding;

    boost::asio::awaitable<HttpResponse> forward(HttpExchange& exchange, Forwarding& forwarding);
    boost::asio::awaitable<void> attempt(HttpExchange& exchange, Forwarding& forwarding, const ServerRecord& server);
    boost::asio::awaitable<std::optional<ServerRecord>> chooseServer(HttpExchange& exchange, Forwarding& forwarding);
    boost::asio::awaitable<HttpResponse> carry(HttpExchange& exchange, Forwarding& forwarding);
    HttpResponse failureResponse(const Forwarding& forwarding) const;

    GatewayContext& context;
    ServerTable& servers;
    SuspectGate& suspects;
    ServerReach& reach;
    CallCarrier& carrier;
    RequestQueue& queue;
    Counter& requests;
    Counter& retries;
    Counter& refused;
    Counter& failed;
    LatencyHistogram& latency;
};

} // namespace topaztack
