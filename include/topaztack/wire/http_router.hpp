#pragma once

#include <topaztack/wire/http_server.hpp>

#include <string>
#include <vector>

/// @file
/// Chooses a handler by method and path.

namespace topaztack {

/// @brief Paths and their handlers. Filled before the server starts, then only read.
class HttpRouter {
public:
    /// @brief Adds a handler.
    /// @param method exact method, or empty for any.
    /// @param pattern a path; `{}` stands for one segment, a last `**` for the rest.
    void add(std::string method, std::string pattern, HttpHandler handler);

    /// @brief Runs the handler of the first pattern that fits, or answers UnknownPath with the outcome not-run.
    boost::asio::awaitable<void> handle(HttpExchange& exchange) const;

private:
    struct Route {
        std::string method;
        std::string pattern;
        HttpHandler handler;
    };

    std::vector<Route> routes;
};

/// @brief Whether a path fits a pattern of HttpRouter.
bool fitsPattern(std::string_view pattern, std::string_view path);

/// @brief The segment of a path with that index; empty if there is none.
std::string_view pathSegment(std::string_view path, std::size_t index);

} // namespace topaztack
