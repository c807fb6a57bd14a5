#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/node/request_path.hpp>
#include <topaztack/wire/messages.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>

/// @file
/// Sends a request on to the VM that issued its ticket.

namespace topaztack {

/// @brief One call to another VM (PeerClient::call of the calling thread).
using PeerCaller = std::function<boost::asio::awaitable<CallResult<PeerAnswer>>(Endpoint, PeerCall, TimePoint)>;

class Forwarder {
public:
    Forwarder(NodeContext& context, PeerCaller caller);

    /// @brief Settles a request at the home of its ticket, which is another VM or incarnation.
    /// @return the home's answer, or `unknown` with whether asking again can settle it.
    boost::asio::awaitable<HttpResponse> forward(TicketId ticket, CallInHand call);

private:
    NodeContext& context;
    PeerCaller caller;
    Counter& forwarded;
    Counter& unreachable;
};

/// @brief The answer for a ticket whose incarnation has ended.
HttpResponse incarnationGone(const RequestId& id);

} // namespace topaztack
