#pragma once

#include <topaztack/control/acceptance.hpp>
#include <topaztack/node/config_keeper.hpp>
#include <topaztack/wire/http_router.hpp>

/// @file
/// The operators' paths for configuration: accept, show, history, what became of an operation.

namespace topaztack {

class ConfigDesk {
public:
    ConfigDesk(NodeContext& context, ConfigKeeper& keeper);

    /// @brief Adds `/v1/config`, `/v1/config/versions/{n}`, `/v1/config/history` and
    /// `/v1/config/operations/{id}?base=N`.
    void addRoutes(HttpRouter& operators);

private:
    boost::asio::awaitable<void> handleAccept(HttpExchange& exchange);
    boost::asio::awaitable<void> handleShow(HttpExchange& exchange);
    boost::asio::awaitable<void> handleVersion(HttpExchange& exchange);
    boost::asio::awaitable<void> handleHistory(HttpExchange& exchange);
    boost::asio::awaitable<void> handleOperation(HttpExchange& exchange);

    boost::asio::awaitable<AcceptanceStep> carryOut(Acceptance acceptance, DocumentRow row);
    boost::asio::awaitable<CommitOutcome> commit(const DocumentRow& row);
    boost::asio::awaitable<ReadBack> readBack(ConfigVersion version);
    boost::asio::awaitable<HttpResponse> answerLost(ConfigVersion base);
    boost::asio::awaitable<Result<std::optional<DocumentRow>>> readDocument(ConfigVersion version);
    boost::asio::awaitable<Result<ConfigVersion>> readNewest();
    boost::asio::awaitable<HttpResponse> toAnswer(AcceptanceStep step, DocumentRow row);

    NodeContext& context;
    ConfigKeeper& keeper;
};

} // namespace topaztack
