#pragma once

#include <topaztack/node/backend_table.hpp>
#include <topaztack/node/caller_limits.hpp>
#include <topaztack/node/retry_desk.hpp>
#include <topaztack/policy/outcome.hpp>
#include <topaztack/samples/version_span.hpp>
#include <topaztack/wire/http_router.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// @file
/// The request path of model engines: `POST /v1/completions`, whole or streamed.

namespace topaztack {

/// @brief Lets another part end a generation; used on the generation's own thread.
struct GenerationControl {
    bool isCancelled { false };
    /// Set while the generation runs; ends it at once.
    std::function<void()> cancel;
};

/// @brief What to generate.
struct GenerationRequest {
    RequestId id;
    PoolName pool;
    RequestClass requestClass { RequestClass::Rollout };
    std::string prompt;
    /// Tokens of the whole answer at most, `tokensBefore` included.
    std::uint64_t maxTokens { 16 };
    TimePoint deadline;
    /// For whom; empty for a caller's own completion. Trainers share a pool by weight.
    TrainerName trainer;
    CallerName caller;
    /// Tokens made before, to go on from; their spans are in `spansBefore`.
    std::vector<std::uint32_t> tokensBefore;
    VersionSpans spansBefore;
    /// Engines whose version is known to be older are passed over.
    WeightVersion oldestVersion;
    /// Engines not to use, such as the one that runs the other copy of a hedge.
    std::vector<BackendName> avoid;
    /// Handle of an exported KV cache to import first; empty for none.
    std::string keyValueCache;
    std::shared_ptr<GenerationControl> control;
};

/// @brief One event of an engine's stream, read: its text, tokens, and the version that the engine reports for them.
struct GenerationChunk {
    std::string text;
    std::vector<std::uint32_t> tokens;
    WeightVersion version;
    std::string finishReason;
};

/// @brief A generation that came to its end. Tokens and spans include those made before; the text does not.
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
    /// What had been made, with its spans: another engine can go on from it.
    Generation partial;
    /// When asking again is worth while, if the request was refused.
    std::chrono::milliseconds retryAfter { 1000 };
};

using GenerationResult
    = boost::outcome_v2::basic_result<Generation, GenerationFailure, boost::outcome_v2::policy::terminate>;

/// @brief Called for each chunk in order; false stops the generation.
using ChunkSink = std::function<boost::asio::awaitable<bool>(const GenerationChunk&)>;

enum class AttemptEnd : std::uint8_t;

class CompletionRelay {
public:
    CompletionRelay(NodeContext& context, BackendTable& backends, RetryDesk& retries, CallerLimits& callerLimits);

    void addRoutes(HttpRouter& callers);

    /// @brief Generates at an engine of the pool; a stream that breaks off or is interrupted goes on at another one
    /// without repeated or missing tokens.
    /// @param sink may be empty.
    boost::asio::awaitable<GenerationResult> generate(GenerationRequest request, ChunkSink sink);

private:
    Result<GenerationRequest> admit(const HttpExchange& exchange, const RequestId& id) const;
    boost::asio::awaitable<bool> mayGoOn(
        const GenerationRequest& request, AttemptEnd end, bool hasMade, std::uint32_t fruitless);
    boost::asio::awaitable<void> handle(HttpExchange& exchange);
    boost::asio::awaitable<void> answerWhole(HttpExchange& exchange, GenerationRequest request);
    boost::asio::awaitable<void> answerStreamed(HttpExchange& exchange, GenerationRequest request);

    NodeContext& context;
    BackendTable& backends;
    RetryDesk& retries;
    CallerLimits& callerLimits;
    Counter& resumes;
};

} // namespace topaztack
