#pragma once

#include "context.hpp"
#include "peer_directory.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

/// @file
/// Passes calls about jobs on to a VM that reaches the store, while this VM does not.

namespace topaztack {

/// @brief What became of a call that was passed on.
struct PassedCall {
    /// Nothing if no VM could answer.
    std::optional<HttpResponse> answer;
    /// A VM that gave no answer may have carried it out.
    bool mayHaveRun { false };
};

class PeerRelay {
public:
    PeerRelay(GatewayContext& context, const PeerDirectory& peers);

    /// @brief Asks a few VMs in turn. An answer that says "not run" is no answer: another VM may reach the store.
    boost::asio::awaitable<PassedCall> relayCall(const HttpRequest& request, const CallerRequest& call);

private:
    GatewayContext& context;
    const PeerDirectory& peers;
    Counter& passed;
    Counter& failed;
};

} // namespace topaztack
