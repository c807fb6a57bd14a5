#include <topaztack/node/completion_relay.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/node/service_relay.hpp>
#include <topaztack/wire/sse.hpp>

#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr std::string_view streamEnd = "[DONE]";
    constexpr std::uint64_t mostTokens = 1'000'000;

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

    json::array spansJson(const VersionSpans& spans)
    {
        json::array list;
        for (const auto& span : spans)
            list.push_back({ { "version", span.version.value() }, { "from", span.from }, { "to", span.to } });
        return list;
    }

    json::object generationJson(const GenerationRequest& request, const Generation& generation)
    {
        return {
            { "id", request.id.value() },
            { "object", "text_completion" },
            { "model", request.pool.value() },
            { "choices",
                json::array { json::object { { "index", 0 }, { "text", generation.text },
                    { "token_ids", json::value_from(generation.tokens) },
                    { "finish_reason", generation.finishReason } } } },
            { "usage", { { "completion_tokens", generation.tokens.size() } } },
            { "weight_versions", spansJson(generation.spans) },
        };
    }

    std::string chunkData(const GenerationRequest& request, const GenerationChunk& chunk)
    {
        const auto finish = chunk.finishReason.empty() ? json::value(nullptr) : json::value(chunk.finishReason);
        const json::object event {
            { "id", request.id.value() },
            { "choices",
                json::array { json::object { { "index", 0 }, { "text", chunk.text },
                    { "token_ids", json::value_from(chunk.tokens) }, { "finish_reason", finish } } } },
            { "weight_version", chunk.version.value() },
        };
        return json::serialize(event);
    }

    /// The event that ends a stream: the spans, or the error; always the outcome.
    std::string lastEventData(const GenerationRequest& request, const GenerationResult& result)
    {
        json::object event { { "id", request.id.value() } };
        if (result) {
            event["weight_versions"] = spansJson(result.value().spans);
            event["outcome"] = outcomeName(Outcome::Ran);
            return json::serialize(event);
        }
        const auto& error = result.error().error;
        event["error"] = { { "kind", kindName(error.kind) }, { "id", request.id.value() }, { "message", error.message },
            { "remedy", error.remedy } };
        event["outcome"] = outcomeName(result.error().outcome);
        return json::serialize(event);
    }

    HttpRequest engineRequest(const GenerationRequest& request)
    {
        HttpRequest http;
        http.method = "POST";
        http.target = "/v1/completions";
        http.headers.push_back({ "Content-Type", "application/json" });
        http.body = json::serialize(json::object { { "request_id", request.id.value() }, { "prompt", request.prompt },
            { "max_tokens", request.maxTokens }, { "stream", true } });
        return http;
    }

    Result<GenerationRequest> parseRequest(const HttpRequest& http)
    {
        try {
            const auto value = json::parse(http.body);
            GenerationRequest request;
            request.pool = PoolName(json::value_to<std::string>(value.at("model")));
            request.prompt = json::value_to<std::string>(value.at("prompt"));
            const auto* maxTokens = value.as_object().if_contains("max_tokens");
            if (maxTokens)
                request.maxTokens = maxTokens->to_number<std::uint64_t>();
            if (request.maxTokens == 0 || request.maxTokens > mostTokens)
                return makeError(ErrorKind::BadRequest, "max_tokens is not in 1..1000000");
            return request;
        } catch (const std::exception& problem) {
            return makeError(ErrorKind::BadRequest, std::string("body not understood: ") + problem.what(),
                "send JSON with model, prompt and max_tokens");
        }
    }

    bool wantsStream(const HttpRequest& http)
    {
        boost::system::error_code problem;
        const auto value = json::parse(http.body, problem);
        if (problem || !value.is_object())
            return false;
        const auto* stream = value.as_object().if_contains("stream");
        return stream && stream->is_bool() && stream->as_bool();
    }

    GenerationFailure failed(const CallFailure& failure)
    {
        const bool isProvedNotRun = failure.progress == AttemptProgress::NothingWritten;
        return { failure.error, isProvedNotRun ? Outcome::NotRun : Outcome::Unknown, {} };
    }

} // namespace

CompletionRelay::CompletionRelay(NodeContext& context, BackendTable& backends)
    : context(context)
    , backends(backends)
{
}

void CompletionRelay::addRoutes(HttpRouter& callers)
{
    callers.add("POST", "/v1/completions", [this](HttpExchange& exchange) { return this->handle(exchange); });
}

asio::awaitable<GenerationResult> CompletionRelay::generate(GenerationRequest request, ChunkSink sink)
{
    const auto accepted = this->context.document();
    if (!accepted)
        co_return GenerationFailure { makeError(ErrorKind::NotReady, "no document is in force"), Outcome::NotRun, {} };
    SlotRequest slot;
    slot.pool = request.pool;
    slot.deadline = request.deadline;
    auto chosen = co_await this->backends.acquire(std::move(slot));
    if (!chosen)
        co_return GenerationFailure { chosen.error().error, Outcome::NotRun, {} };
    auto opened = co_await this->context.clients().backends.open(
        chosen.value().backend.endpoint, engineRequest(request), request.deadline);
    if (!opened)
        co_return failed(opened.error());
    const auto stream = std::move(opened).value();
    Generation generation;
    generation.backend = chosen.value().backend.name;
    SseReader events;
    while (true) {
        auto piece = co_await stream->read(request.deadline);
        if (!piece)
            co_return failed(piece.error());
        if (piece.value().empty())
            co_return GenerationFailure { makeError(ErrorKind::BackendBroke, "engine ended its stream early"),
                Outcome::Unknown };
        events.feed(piece.value());
        while (auto data = events.next()) {
            if (*data == streamEnd)
                co_return generation;
            auto chunk = parseChunk(*data);
            if (!chunk)
                co_return GenerationFailure { chunk.error(), Outcome::Unknown, {} };
            appendChunk(
                generation.spans, chunk.value().version, static_cast<std::uint32_t>(chunk.value().tokens.size()));
            generation.text += chunk.value().text;
            generation.tokens.insert(generation.tokens.end(), chunk.value().tokens.begin(), chunk.value().tokens.end());
            if (!chunk.value().finishReason.empty())
                generation.finishReason = chunk.value().finishReason;
            if (!sink)
                continue;
            const bool goesOn = co_await sink(chunk.value());
            if (!goesOn)
                co_return GenerationFailure { makeError(ErrorKind::SlowCaller, "caller is gone"), Outcome::Unknown,
                    {} };
        }
    }
}

asio::awaitable<void> CompletionRelay::handle(HttpExchange& exchange)
{
    const auto id = this->context.newRequestId();
    auto request = parseRequest(exchange.request());
    const auto accepted = this->context.document();
    const auto* pool = request && accepted ? findPool(accepted->document, request.value().pool) : nullptr;
    if (!request) {
        co_await exchange.respond(errorWithOutcome(request.error(), id, Outcome::NotRun));
    } else if (!pool || pool->kind != PoolKind::Engine) {
        co_await exchange.respond(
            errorWithOutcome(makeError(ErrorKind::UnknownPool, "no engine pool `" + request.value().pool.value() + "`"),
                id, Outcome::NotRun));
    } else {
        request.value().id = id;
        request.value().deadline = Clock::now() + pool->deadline;
        if (wantsStream(exchange.request()))
            co_await this->answerStreamed(exchange, std::move(request).value());
        else
            co_await this->answerWhole(exchange, std::move(request).value());
    }
}

asio::awaitable<void> CompletionRelay::answerWhole(HttpExchange& exchange, GenerationRequest request)
{
    const auto result = co_await this->generate(request, {});
    if (!result) {
        co_await exchange.respond(errorWithOutcome(result.error().error, request.id, result.error().outcome));
        co_return;
    }
    co_await exchange.respond(
        withOutcome(jsonResponse(200, json::serialize(generationJson(request, result.value()))), Outcome::Ran));
}

asio::awaitable<void> CompletionRelay::answerStreamed(HttpExchange& exchange, GenerationRequest request)
{
    bool hasBegun = false;
    const auto relayChunk = [&exchange, &hasBegun, &request](const GenerationChunk& chunk) -> asio::awaitable<bool> {
        if (!hasBegun) {
            hasBegun = true;
            HttpResponse head;
            head.headers.push_back({ "Content-Type", "text/event-stream" });
            const bool isTaken = co_await exchange.beginStream(withOutcome(std::move(head), Outcome::Ran));
            if (!isTaken)
                co_return false;
        }
        const auto text = sseEvent(chunkData(request, chunk));
        const bool isTaken = co_await exchange.writeChunk(text);
        co_return isTaken;
    };
    const auto result = co_await this->generate(request, relayChunk);
    if (!result && !hasBegun) {
        co_await exchange.respond(errorWithOutcome(result.error().error, request.id, result.error().outcome));
        co_return;
    }
    auto text = sseEvent(lastEventData(request, result));
    if (result)
        text += sseEvent(streamEnd);
    co_await exchange.writeChunk(text);
    co_await exchange.endStream();
}

} // namespace topaztack
