#pragma once

#include "context.hpp"
#include "peer_directory.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

/// @file
/// Relays calls about jobs to a VM that reaches the store while this VM doesn't.

namespace topaztack {

/// @brief Result of relaying a call.
struct RelayResult {
    /// Empty if no VM could answer.
    std::optional<HttpResponse> answer;
    /// A VM that gave no answer may have carried the call out.
    bool mayHaveRun { false };
};

class PeerRelay {
public:
    PeerRelay(GatewayContext& context, const PeerDirectory& peers);

    /// @brief Tries a few VMs in turn. After a "not run" response it tries the next one, which may reach the store.
    boost::asio::awaitable<RelayResult> relayCall(const HttpRequest& request, const CallerRequest& call);

private:
    GatewayContext& context;
    const PeerDirectory& peers;
    Counter& relayedCalls;
    Counter& failedCalls;
};

} // namespace topaztack
