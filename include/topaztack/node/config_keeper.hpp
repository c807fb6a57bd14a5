#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/wire/http_router.hpp>

#include <boost/json/value.hpp>

/// @file
/// Keeps the newest accepted document in force on this VM and accepts new ones for operators.

namespace topaztack {

class ConfigKeeper {
public:
    explicit ConfigKeeper(NodeContext& context);

    /// @brief Adds `/v1/config` and `/v1/config/status` to the operators' paths.
    void addRoutes(HttpRouter& operators);

    /// @brief Takes the static document of the settings, then polls the platform.
    void start();

    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<void> handleAccept(HttpExchange& exchange);
    boost::asio::awaitable<void> handleShow(HttpExchange& exchange);
    boost::asio::awaitable<void> handleStatus(HttpExchange& exchange);
    void takeStaticDocument();
    void take(ConfigVersion version, std::string_view text);

    NodeContext& context;
    Gauge& versionInForce;
};

} // namespace topaztack
