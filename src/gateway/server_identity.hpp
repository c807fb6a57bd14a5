#pragma once

#include "context.hpp"
#include "notifier.hpp"

#include <topaztack/control/server_registry.hpp>
#include <topaztack/policy/crash_evidence.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>

/// @file
/// Asks servers which process they are. A server may start again under its name, with other software, and this VM's
/// list of servers may be seconds old.

namespace topaztack {

enum class IdentityCheck : std::uint8_t {
    /// The process of the record runs there, or nothing states the start of either.
    Same,
    /// Another process has the name or the address.
    Other,
    /// The server did not answer.
    Unknown,
};

class ServerIdentity {
public:
    explicit ServerIdentity(GatewayContext& context);

    /// @brief Compares the start that the server reports with that of its record. The server is asked at or after the
    /// call, so that `Same` also holds for all that it did before the call. Calls within a short time share a question.
    boost::asio::awaitable<IdentityCheck> check(ServerRecord server);

private:
    struct State {
        explicit State(boost::asio::io_context& loop)
            : answered(loop)
        {
        }

        /// When the last question that was answered, or given up, was sent.
        TimePoint askedAt;
        IdentityCheck result { IdentityCheck::Unknown };
        bool isAsking { false };
        Notifier answered;
    };

    std::shared_ptr<State> stateOf(const ServerRecord& server);
    boost::asio::awaitable<IdentityCheck> ask(ServerRecord server);

    GatewayContext& context;
    std::map<ServerStart, std::shared_ptr<State>> states;
    Counter& questions;
    Counter& others;
};

} // namespace topaztack
