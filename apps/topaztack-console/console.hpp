#pragma once

#include "pages.hpp"

#include <topaztack/wire/http_client.hpp>
#include <topaztack/wire/http_router.hpp>

#include <vector>

/// @file
/// The console's HTTP handlers. The console is stateless: the document is kept in the form and the operator token in a
/// cookie.

namespace topaztack::console {

class Console {
public:
    Console(boost::asio::io_context& loop, std::vector<Endpoint> nodes);

    void addRoutes(HttpRouter& routes);

private:
    boost::asio::awaitable<void> showStatus(HttpExchange& exchange);
    boost::asio::awaitable<void> showVms(HttpExchange& exchange);
    boost::asio::awaitable<void> showTrainers(HttpExchange& exchange);
    boost::asio::awaitable<void> showForm(HttpExchange& exchange);
    boost::asio::awaitable<void> review(HttpExchange& exchange);
    boost::asio::awaitable<void> accept(HttpExchange& exchange);
    boost::asio::awaitable<void> showLogin(HttpExchange& exchange);
    boost::asio::awaitable<void> login(HttpExchange& exchange);

    /// Calls the nodes in order, with the operator token, until one can be reached. Another node is tried only if no
    /// byte of the request was written.
    boost::asio::awaitable<CallResult<HttpResponse>> callFirstReachable(HttpRequest request, std::string token);
    /// Gets `target` from a node and parses the response as JSON; an error status is returned as the error of the node.
    boost::asio::awaitable<Result<boost::json::value>> fetchJson(std::string target, std::string token);
    boost::asio::awaitable<HttpResponse> submitReview(Review review, std::string token, std::string csrfToken);

    HttpClient client;
    std::vector<Endpoint> nodes;
};

} // namespace topaztack::console
