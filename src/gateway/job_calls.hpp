#pragma once

#include "caller_access.hpp"
#include "context.hpp"
#include "job_service.hpp"
#include "peer_relay.hpp"
#include "store_watch.hpp"

#include <topaztack/wire/http_server.hpp>

#include <boost/asio/awaitable.hpp>

/// @file
/// Answers calls about jobs, or passes them on to another VM while the store doesn't answer this one.

namespace topaztack {

class JobCalls {
public:
    JobCalls(GatewayContext& context, JobService& service, PeerRelay& relay, const StoreWatch& storeWatch,
        CallerAccess& access);

    /// @brief Answers a caller. While the store doesn't answer this VM, the call is passed on to other VMs at once.
    /// @param route the route of a submission; nullptr for other calls.
    boost::asio::awaitable<HttpResponse> answer(HttpExchange& exchange, CallerRequest call, const Route* route);

    /// @brief Answers a call that another VM passed on; it is not passed on again.
    boost::asio::awaitable<void> handlePeer(HttpExchange& exchange);

private:
    boost::asio::awaitable<HttpResponse> answerLocally(
        HttpExchange& exchange, const CallerRequest& call, const Route* route);
    bool isStoreAway() const;

    GatewayContext& context;
    JobService& service;
    PeerRelay& relay;
    const StoreWatch& storeWatch;
    CallerAccess& access;
};

} // namespace topaztack
