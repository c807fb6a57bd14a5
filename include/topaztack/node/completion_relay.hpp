#pragma once

#include <topaztack/node/backend_table.hpp>
#include <topaztack/policy/outcome.hpp>
#include <topaztack/samples/version_span.hpp>
#include <topaztack/wire/http_router.hpp>

#include <functional>
#include <string>
#include <vector>

/// @file
/// The request path of model engines: `POST /v1/completions`, whole or streamed.

namespace topaztack {

/// @brief What to generate.
struct GenerationRequest {
    RequestId id;
    PoolName pool;
    RequestClass requestClass { RequestClass::Rollout };
    std::string prompt;
    std::uint64_t maxTokens { 16 };
    TimePoint deadline;
};

/// @brief One event of an engine's stream, read: its text, tokens, and the version that the engine reports for them.
struct GenerationChunk {
    std::string text;
    std::vector<std::uint32_t> tokens;
    WeightVersion version;
    std::string finishReason;
};

/// @brief A generation that came to its end.
struct Generation {
    std::string text;
    std::vector<std::uint32_t> tokens;
    VersionSpans spans;
    std::string finishReason;
    BackendName backend;
};

/// @brief Why a generation has no whole answer.
struct GenerationFailure {
    Error error;
    Outcome outcome { Outcome::Unknown };
};

using GenerationResult
    = boost::outcome_v2::basic_result<Generation, GenerationFailure, boost::outcome_v2::policy::terminate>;

/// @brief Called for each chunk in order; false stops the generation.
using ChunkSink = std::function<boost::asio::awaitable<bool>(const GenerationChunk&)>;

class CompletionRelay {
public:
    CompletionRelay(NodeContext& context, BackendTable& backends);

    void addRoutes(HttpRouter& callers);

    /// @brief Generates at one engine of the pool.
    /// @param sink may be empty.
    boost::asio::awaitable<GenerationResult> generate(GenerationRequest request, ChunkSink sink);

private:
    boost::asio::awaitable<void> handle(HttpExchange& exchange);
    boost::asio::awaitable<void> answerWhole(HttpExchange& exchange, GenerationRequest request);
    boost::asio::awaitable<void> answerStreamed(HttpExchange& exchange, GenerationRequest request);

    NodeContext& context;
    BackendTable& backends;
};

} // namespace topaztack
