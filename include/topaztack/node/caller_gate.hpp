#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/wire/http_router.hpp>

/// @file
/// The filter before the callers' paths of a node: the key of a workspace, if the document has workspaces.

namespace topaztack {

/// Names the caller's workspace to backend servers.
inline constexpr std::string_view workspaceHeader = "Topaztack-Workspace";

class CallerGate {
public:
    explicit CallerGate(NodeContext& context);

    /// @brief Lets a request through to its path, or answers CallerNotIdentified.
    boost::asio::awaitable<void> handle(HttpExchange& exchange, const HttpRouter& routes);

private:
    NodeContext& context;
    Counter& refused;
};

/// @brief Replaces what identifies the caller by the name of its workspace, if the document has workspaces.
void replaceIdentity(const Document& document, HttpRequest& request);

} // namespace topaztack
