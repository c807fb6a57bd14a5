#pragma once

#include "context.hpp"
#include "server_table.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>

/// @file
/// One attempt to generate an item, or the rest of it, at one server.

namespace topaztack {

enum class AttemptOutcome : std::uint8_t {
    /// The text is complete.
    Whole,
    /// The generation broke off; the text so far is kept.
    Interrupted,
    /// The server sent an event that can't be a part of the text; the text so far is kept.
    Malformed,
    /// The text would be too long for a result.
    TooLong,
    /// The server is slow; the rest is to be generated at another one.
    Moved,
    /// The server answered that the item failed.
    Failed,
    /// The server answered that the item can never be done.
    NeverDone,
    /// The server did not begin to answer within its time limit.
    Crowded,
    /// The server doesn't take the item now.
    Refused,
    /// It was not sent: the limit that the server states is used up, or the server began to leave.
    NotAdmitted,
    /// Another server has the address now.
    Replaced,
    Cancelled,
};

std::string_view attemptOutcomeName(AttemptOutcome outcome);

/// @brief What an attempt works on. Everything that it refers to must outlive the attempt.
struct ItemAttempt {
    const JobSpec& job;
    const JobItem& item;
    /// Extended by each event.
    ItemProgress& text;
    /// Its `tokens` grow with the text.
    ServerRequirements& need;
    CallControl& control;
    /// Whether the item may be moved to another server now.
    /// @param isUrgent whether its server is very slow.
    std::function<bool(bool isUrgent)> mayMove;
    /// The tokens of the engine's memory that the item is expected to take.
    std::function<std::uint64_t()> expectedTokens;
};

/// @brief Generates an item at a server, from the last event of its text on. It is left to the caller to call
/// ServerTable::finish().
boost::asio::awaitable<AttemptOutcome> attemptItem(
    GatewayContext& context, ServerTable& servers, ItemAttempt attempt, const ServerRecord& server);

/// @brief Maps the outcome of an attempt to that of the request at its server.
ServerOutcome toServerOutcome(AttemptOutcome outcome);

} // namespace topaztack
