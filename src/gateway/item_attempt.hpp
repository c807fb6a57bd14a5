#pragma once

#include "context.hpp"
#include "server_table.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>

/// @file
/// One attempt to generate an item, or the rest of it, at one server.

namespace topaztack {

enum class AttemptEnd : std::uint8_t {
    /// The text is whole.
    Whole,
    /// It broke off; the text so far stays.
    Interrupted,
    /// The server is slow; the rest is to be generated elsewhere.
    Moved,
    /// The server answered that the item failed.
    Failed,
    /// The server answered that the item can never be done.
    NeverDone,
    /// The server had not begun after a while.
    Crowded,
    /// The server doesn't take it now.
    Refused,
    /// Another server has the address.
    Replaced,
    Cancelled,
};

std::string_view attemptEndName(AttemptEnd end);

/// @brief What an attempt works on. All of it must outlive the attempt.
struct ItemAttempt {
    const JobSpec& job;
    const JobItem& item;
    /// Grows event by event.
    ItemProgress& text;
    /// Its memory grows with the text.
    ServerRequirements& need;
    CallControl& control;
    /// Whether it could be started elsewhere at once.
    /// @param isUrgent its server is very slow.
    std::function<bool(bool isUrgent)> mayMove;
    /// Tokens of the engine's memory that it is expected to take.
    std::function<std::uint64_t()> expectedTokens;
};

/// @brief Generates from the last event of the text on. Does not tell the servers' table that the attempt has ended.
boost::asio::awaitable<AttemptEnd> attemptItem(
    GatewayContext& context, ServerTable& servers, ItemAttempt attempt, const ServerRecord& server);

/// @brief What an attempt's end says of its server.
ServerOutcome outcomeOf(AttemptEnd end);

} // namespace topaztack
