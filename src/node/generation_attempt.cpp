#include <topaztack/node/generation_attempt.hpp>

#include <topaztack/policy/event_stream.hpp>
#include <topaztack/wire/sse.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr std::string_view streamEnd = "[DONE]";
    constexpr std::string_view interruptedReason = "interrupted";
    constexpr auto cancelTimeout = 1s;
    constexpr auto importTimeout = 2s;

    Result<GenerationChunk> parseChunk(std::string_view data)
    {
        try {
            const auto value = json::parse(data);
            const auto& choice = value.at("choices").at(0);
            GenerationChunk chunk;
            chunk.text = json::value_to<std::string>(choice.at("text"));
            chunk.tokens = json::value_to<std::vector<std::uint32_t>>(choice.at("token_ids"));
            chunk.version = WeightVersion(value.at("weight_version").to_number<std::uint64_t>());
            if (choice.at("finish_reason").is_string())
                chunk.finishReason = json::value_to<std::string>(choice.at("finish_reason"));
            return chunk;
        } catch (const std::exception& problem) {
            return makeError(
                ErrorKind::BackendAnswerMalformed, std::string("engine's event not understood: ") + problem.what());
        }
    }

    HttpRequest jsonRequest(std::string target, const json::object& body)
    {
        HttpRequest http;
        http.method = "POST";
        http.target = std::move(target);
        http.headers.push_back({ "Content-Type", "application/json" });
        http.body = json::serialize(body);
        return http;
    }

    HttpRequest engineRequest(
        const GenerationRequest& request, const std::vector<std::uint32_t>& made, const std::string& cacheHandle)
    {
        json::object body { { "request_id", request.id.value() }, { "prompt", request.prompt },
            { "max_tokens", request.maxTokens - std::min<std::uint64_t>(request.maxTokens, made.size()) },
            { "stream", true } };
        if (!made.empty()) {
            json::object resume { { "token_ids", json::value_from(made) } };
            if (!cacheHandle.empty())
                resume["kv"] = cacheHandle;
            body["resume"] = std::move(resume);
        }
        auto http = jsonRequest("/v1/completions", body);
        const auto left = std::max<std::int64_t>(1, toMilliseconds(request.deadline - Clock::now()).count());
        http.headers.push_back({ std::string(deadlineHeader), std::to_string(left) });
        return http;
    }

    GenerationAttempt ended(AttemptEnd end, Error error) { return { end, std::move(error), false }; }

    GenerationAttempt ended(const CallFailure& failure)
    {
        if (failure.progress == AttemptProgress::NothingWritten)
            return ended(AttemptEnd::Unreachable, failure.error);
        if (failure.error.kind == ErrorKind::BackendTimeout)
            return ended(AttemptEnd::TimedOut, failure.error);
        return ended(AttemptEnd::Broken, failure.error);
    }

    GenerationAttempt cancelled()
    {
        return ended(AttemptEnd::Cancelled, makeError(ErrorKind::SlowCaller, "the generation is no longer wanted"));
    }

    bool isCancelled(const GenerationRequest& request) { return request.control && request.control->isCancelled; }

    void append(Generation& whole, const GenerationChunk& chunk)
    {
        appendChunk(whole.spans, chunk.version, static_cast<std::uint32_t>(chunk.tokens.size()));
        whole.text += chunk.text;
        whole.tokens.insert(whole.tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
        whole.finishReason = chunk.finishReason;
    }

    /// Reads the events of a stream that stands.
    class StreamReader {
    public:
        /// @param budget what the client may hold of all answers.
        StreamReader(HttpStream& stream, const GenerationRequest& request, const ChunkSink& sink, Generation& whole,
            std::shared_ptr<MemoryBudget> budget)
            : stream(stream)
            , request(request)
            , sink(sink)
            , whole(whole)
            , share(std::move(budget))
        {
        }

        asio::awaitable<GenerationAttempt> readAll()
        {
            while (!this->end) {
                auto piece = co_await this->stream.read(this->request.deadline);
                if (isCancelled(this->request))
                    co_return cancelled();
                if (!piece)
                    co_return ended(piece.error());
                if (piece.value().empty())
                    co_return ended(
                        AttemptEnd::Broken, makeError(ErrorKind::BackendBroke, "engine ended its stream early"));
                this->events.feed(piece.value());
                co_await this->takeEvents();
                const auto held = this->events.sinceLastEvent();
                if (!this->end && (held > maxEventSize || !this->share.resize(held)))
                    co_return ended(AttemptEnd::Broken,
                        makeError(ErrorKind::BackendAnswerMalformed, "engine sent bytes that make no event"));
            }
            co_return *this->end;
        }

    private:
        asio::awaitable<void> takeEvents()
        {
            while (!this->end) {
                const auto data = this->events.next();
                if (!data)
                    co_return;
                if (*data == streamEnd)
                    this->end = ended(AttemptEnd::Finished, {});
                else
                    co_await this->takeChunk(*data);
            }
        }

        asio::awaitable<void> takeChunk(std::string data)
        {
            auto chunk = parseChunk(data);
            if (!chunk) {
                this->end = ended(AttemptEnd::Broken, chunk.error());
                co_return;
            }
            const bool isInterrupted = chunk.value().finishReason == interruptedReason;
            if (isInterrupted)
                chunk.value().finishReason.clear();
            if (this->whole.tokens.size() + chunk.value().tokens.size() > this->request.maxTokens) {
                this->end = ended(AttemptEnd::Broken,
                    makeError(ErrorKind::BackendAnswerMalformed, "engine sent more tokens than it was asked for"));
                co_return;
            }
            append(this->whole, chunk.value());
            const bool isWorthPassing = !isInterrupted || !chunk.value().tokens.empty();
            if (this->sink && isWorthPassing) {
                const bool goesOn = co_await this->sink(chunk.value());
                if (!goesOn)
                    this->end = cancelled();
            }
            if (isInterrupted && !this->end)
                this->end = ended(
                    AttemptEnd::Interrupted, makeError(ErrorKind::BackendBroke, "a swap of weights ended the stream"));
        }

        HttpStream& stream;
        const GenerationRequest& request;
        const ChunkSink& sink;
        Generation& whole;
        SseReader events;
        BudgetShare share;
        std::optional<GenerationAttempt> end;
    };

    /// The handle of an imported KV cache at an engine; empty if the engine did not take it.
    asio::awaitable<std::string> importCache(NodeContext& context, Endpoint engine, std::string cache)
    {
        json::object body;
        body["kv"] = cache;
        auto answer = co_await context.clients().backends.call(
            std::move(engine), jsonRequest("/engine/kv/import", body), Clock::now() + importTimeout);
        if (!answer || answer.value().status != 200)
            co_return std::string {};
        boost::system::error_code problem;
        const auto value = json::parse(answer.value().body, problem);
        const auto* handle = !problem && value.is_object() ? value.as_object().if_contains("kv") : nullptr;
        co_return handle && handle->is_string() ? json::value_to<std::string>(*handle) : std::string {};
    }

} // namespace

asio::awaitable<GenerationAttempt> attemptGeneration(
    NodeContext& context, Endpoint engine, const GenerationRequest& request, const ChunkSink& sink, Generation& whole)
{
    std::string cacheHandle;
    if (!request.keyValueCache.empty())
        cacheHandle = co_await importCache(context, engine, request.keyValueCache);
    if (isCancelled(request))
        co_return cancelled();
    auto opened = co_await context.clients().backends.open(
        engine, engineRequest(request, whole.tokens, cacheHandle), request.deadline);
    if (!opened)
        co_return ended(opened.error());
    const auto stream = std::move(opened).value();
    if (stream->head().status != 200)
        co_return ended(AttemptEnd::Refused,
            makeError(ErrorKind::BackendBroke, "engine answered status " + std::to_string(stream->head().status)));
    if (isCancelled(request))
        co_return cancelled();
    if (request.control)
        request.control->cancel = [raw = stream.get()] { raw->cancel(); };
    StreamReader reader(*stream, request, sink, whole, context.clients().backends.answerBudget());
    auto attempt = co_await reader.readAll();
    if (request.control)
        request.control->cancel = nullptr;
    attempt.isLeaving = !findHeader(stream->head().headers, leavingHeader).empty();
    const bool isLeftRunning = attempt.end == AttemptEnd::Cancelled || attempt.end == AttemptEnd::TimedOut;
    if (isLeftRunning)
        asio::co_spawn(
            context.threads.at(IoThreads::here()), cancelAtEngine(context, engine, request.id), asio::detached);
    co_return attempt;
}

asio::awaitable<void> cancelAtEngine(NodeContext& context, Endpoint engine, RequestId id)
{
    json::object body;
    body["request_id"] = id.value();
    co_await context.clients().backends.call(
        std::move(engine), jsonRequest("/engine/cancel", body), Clock::now() + cancelTimeout);
}

} // namespace topaztack
