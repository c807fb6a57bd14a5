#pragma once

#include "pages.hpp"

#include <topaztack/wire/http_client.hpp>
#include <topaztack/wire/http_router.hpp>

#include <vector>

/// @file
/// The console's paths. It holds nothing: the document stays in the form, the token in the operator's cookie.

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

    /// Calls the first node that can be reached, with the operator's token.
    boost::asio::awaitable<CallResult<HttpResponse>> callNode(HttpRequest request, std::string token);
    /// The answer's JSON, or a page that says what went wrong.
    boost::asio::awaitable<Result<boost::json::value>> fetch(std::string target, std::string token);
    boost::asio::awaitable<HttpResponse> acceptReview(Review review, std::string token, std::string antiForgery);

    HttpClient client;
    std::vector<Endpoint> nodes;
};

} // namespace topaztack::console
