#pragma once

#include "call_carrier.hpp"
#include "context.hpp"
#include "request_queue.hpp"
#include "server_reach.hpp"
#include "server_table.hpp"
#include "service_call.hpp"
#include "suspect_gate.hpp"
#include "usage_counter.hpp"

#include <topaztack/wire/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/intrusive/list.hpp>

/// @file
/// Forwards a caller's request to a backend server of its route's pool and retries it at another one where that is
/// allowed.

namespace topaztack {

class Forwarder {
public:
    Forwarder(GatewayContext& context, ServerTable& servers, SuspectGate& suspects, ServerReach& reach,
        CallCarrier& carrier, RequestQueue& queue, UsageCounter& usage);

    boost::asio::awaitable<void> handle(
        HttpExchange& exchange, const CallerRequest& call, const Route& route, CallOrigin origin);

    /// @brief Ends all attempts and makes no others: requests that were sent are answered as possibly run.
    void abandonAll();

private:
    struct Forwarding;

    /// One attempt at a server; listed while it lives.
    struct Attempt : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        CallControl control;
    };
    using OpenAttempts = boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<false>>;

    boost::asio::awaitable<HttpResponse> forward(HttpExchange& exchange, Forwarding& forwarding);
    boost::asio::awaitable<void> attempt(HttpExchange& exchange, Forwarding& forwarding, const ServerRecord& server);
    boost::asio::awaitable<std::optional<ServerRecord>> chooseServer(HttpExchange& exchange, Forwarding& forwarding);
    boost::asio::awaitable<HttpResponse> carry(HttpExchange& exchange, Forwarding& forwarding);
    void recordUse(Forwarding& forwarding, ServiceCallOutcome outcome, TimePoint sentAt);
    HttpResponse failureResponse(const Forwarding& forwarding) const;

    GatewayContext& context;
    ServerTable& servers;
    SuspectGate& suspects;
    ServerReach& reach;
    CallCarrier& carrier;
    RequestQueue& queue;
    UsageCounter& usage;
    OpenAttempts open;
    bool isAbandoned { false };
    Counter& requests;
    Counter& retries;
    Counter& refused;
    Counter& failed;
    LatencyHistogram& latency;
};

} // namespace topaztack
