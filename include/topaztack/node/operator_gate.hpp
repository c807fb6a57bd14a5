#pragma once

#include <topaztack/control/operator_tokens.hpp>
#include <topaztack/node/context.hpp>
#include <topaztack/wire/http_router.hpp>

/// @file
/// The filter before the operators' paths: token, role, audit line.

namespace topaztack {

class OperatorGate {
public:
    explicit OperatorGate(NodeContext& context);

    /// @brief Reads the token file of the settings.
    /// @return BadSettings if it can't be used.
    Result<void> start();

    /// @brief Lets a request through to its path, or answers NotAuthorised.
    boost::asio::awaitable<void> handle(HttpExchange& exchange, const HttpRouter& routes);

private:
    std::optional<OperatorIdentity> identify(const HttpRequest& request) const;
    void audit(const HttpExchange& exchange, const std::string& name, bool isAllowed) const;

    NodeContext& context;
    std::vector<OperatorToken> tokens;
    Counter& refused;
};

} // namespace topaztack
