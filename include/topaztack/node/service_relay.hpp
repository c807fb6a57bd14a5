#pragma once

#include <topaztack/node/backend_table.hpp>
#include <topaztack/node/ticket_desk.hpp>
#include <topaztack/wire/http_router.hpp>

/// @file
/// The request path of plain services: `/v1/services/{pool}/{path}`.

namespace topaztack {

class ServiceRelay {
public:
    ServiceRelay(NodeContext& context, BackendTable& backends, TicketDesk& tickets);

    void addRoutes(HttpRouter& callers);

private:
    boost::asio::awaitable<void> handle(HttpExchange& exchange);
    boost::asio::awaitable<HttpResponse> relay(const HttpRequest& request, RequestId id);
    boost::asio::awaitable<HttpResponse> relayOnce(const HttpRequest& request, RequestId id, TicketId ticket);

    NodeContext& context;
    BackendTable& backends;
    TicketDesk& tickets;
};

/// @brief Adds the outcome header to an answer.
HttpResponse withOutcome(HttpResponse response, Outcome outcome);

/// @brief The answer for an error, with its outcome and, where asking again is the remedy, `Retry-After`.
HttpResponse errorWithOutcome(const Error& error, const RequestId& id, Outcome outcome);

} // namespace topaztack
