#pragma once

#include <topaztack/node/completion_relay.hpp>

/// @file
/// One attempt of a generation at one engine.

namespace topaztack {

/// @brief How an attempt ended.
enum class AttemptEnd : std::uint8_t {
    Finished,
    /// A swap of weights ended it; another engine, or the same one later, can go on.
    Interrupted,
    /// Nothing was written to the engine.
    Unreachable,
    /// The engine answered that it can't generate now.
    Refused,
    /// The engine or the link broke off.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// Whoever asked for it wants no more.
    Cancelled,
};

struct GenerationAttempt {
    AttemptEnd end { AttemptEnd::Broken };
    Error error;
    bool isLeaving { false };
};

/// @brief Goes on with `whole` at one engine: what is in it is not made again.
/// @param whole what was made so far, with the text of this call only; tokens and spans of the attempt are added.
boost::asio::awaitable<GenerationAttempt> attemptGeneration(
    NodeContext& context, Endpoint engine, const GenerationRequest& request, const ChunkSink& sink, Generation& whole);

/// @brief Tells an engine to give a generation up; an engine that can't be reached is left alone.
boost::asio::awaitable<void> cancelAtEngine(NodeContext& context, Endpoint engine, RequestId id);

} // namespace topaztack
