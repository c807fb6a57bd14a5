#include <topaztack/node/completion_relay.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/node/generation_attempt.hpp>
#include <topaztack/node/request_path.hpp>
#include <topaztack/policy/prefix.hpp>
#include <topaztack/policy/request_state_machine.hpp>
#include <topaztack/wire/sse.hpp>

#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr std::string_view streamEnd = "[DONE]";
    constexpr std::uint64_t mostTokens = 1'000'000;

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

    SlotRequest slotFor(const GenerationRequest& request, const std::vector<BackendName>& failedAt)
    {
        SlotRequest slot;
        slot.pool = request.pool;
        slot.requestClass = request.requestClass;
        slot.trainer = request.trainer;
        slot.deadline = request.deadline;
        slot.blocks = prefixBlocks(request.prompt);
        slot.avoid = request.avoid;
        slot.avoid.insert(slot.avoid.end(), failedAt.begin(), failedAt.end());
        slot.mayUseAvoided = request.avoid.empty();
        slot.oldestVersion = request.oldestVersion;
        slot.isRollout = true;
        return slot;
    }

    RequestEvent eventOf(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::Finished:
            return RequestEvent::Answered;
        case AttemptEnd::Unreachable:
            return RequestEvent::NothingWritten;
        default:
            return RequestEvent::ResponseLost;
        }
    }

    void noteEnd(SlotHold& hold, const GenerationAttempt& attempt)
    {
        if (attempt.isLeaving)
            hold.noteLeaving();
        if (attempt.end == AttemptEnd::Finished)
            hold.note(HealthSignal::Answered);
        else if (attempt.end == AttemptEnd::Unreachable)
            hold.note(HealthSignal::Unreachable);
        else if (attempt.end == AttemptEnd::Broken || attempt.end == AttemptEnd::Refused)
            hold.note(HealthSignal::Failed);
    }

    /// A stream may break off after its last token: nothing is missing then.
    bool isWhole(AttemptEnd end, Generation& whole, std::uint64_t maxTokens)
    {
        if (end == AttemptEnd::Finished || end == AttemptEnd::Cancelled)
            return end == AttemptEnd::Finished;
        if (whole.finishReason.empty() && !whole.tokens.empty() && whole.tokens.size() >= maxTokens)
            whole.finishReason = "length";
        return !whole.finishReason.empty();
    }

    GenerationFailure failure(Error error, Outcome outcome, Generation partial)
    {
        GenerationFailure made;
        made.error = std::move(error);
        made.outcome = outcome;
        made.partial = std::move(partial);
        return made;
    }

    std::shared_ptr<GenerationControl> cancelWithCaller(HttpExchange& exchange)
    {
        auto control = std::make_shared<GenerationControl>();
        exchange.onCallerGone([control] {
            control->isCancelled = true;
            if (control->cancel)
                control->cancel();
        });
        return control;
    }

} // namespace

CompletionRelay::CompletionRelay(
    NodeContext& context, BackendTable& backends, RetryDesk& retries, CallerLimits& callerLimits)
    : context(context)
    , backends(backends)
    , retries(retries)
    , callerLimits(callerLimits)
    , resumes(context.metrics.counter("topaztack_generations_resumed_total", "Generations gone on with elsewhere"))
{
}

void CompletionRelay::addRoutes(HttpRouter& callers)
{
    callers.add("POST", "/v1/completions", [this](HttpExchange& exchange) { return this->handle(exchange); });
}

asio::awaitable<GenerationResult> CompletionRelay::generate(GenerationRequest request, ChunkSink sink)
{
    Generation whole;
    whole.tokens = request.tokensBefore;
    whole.spans = request.spansBefore;
    const auto accepted = this->context.document();
    if (!accepted)
        co_return failure(makeError(ErrorKind::NotReady, "no document is in force"), Outcome::NotRun, std::move(whole));
    RequestStateMachine machine(true);
    std::vector<BackendName> failedAt;
    std::uint32_t fruitless = 0;
    this->retries.earn();
    while (true) {
        auto chosen = co_await this->backends.acquire(slotFor(request, failedAt));
        if (!chosen) {
            machine.process(RequestEvent::GivenUp);
            auto refused = failure(std::move(chosen.error().error), machine.outcome(), std::move(whole));
            refused.retryAfter = chosen.error().retryAfter;
            co_return refused;
        }
        const auto madeBefore = whole.tokens.size();
        whole.backend = chosen.value().backend.name;
        machine.process(RequestEvent::AttemptStarted);
        const auto attempt
            = co_await attemptGeneration(this->context, chosen.value().backend.endpoint, request, sink, whole);
        noteEnd(chosen.value().hold, attempt);
        machine.process(eventOf(attempt.end));
        if (isWhole(attempt.end, whole, request.maxTokens))
            co_return whole;
        failedAt.push_back(whole.backend);
        const bool hasMade = whole.tokens.size() > madeBefore;
        fruitless = hasMade ? 0 : fruitless + 1;
        const bool goesOn = co_await this->mayGoOn(request, attempt.end, hasMade, fruitless);
        if (!goesOn) {
            machine.process(RequestEvent::GivenUp);
            co_return failure(attempt.error, machine.outcome(), std::move(whole));
        }
        logEvent(LogLevel::Info, "generation-resumed",
            { { "request", request.id.value() }, { "from", whole.backend.value() },
                { "tokens", std::to_string(whole.tokens.size()) } });
    }
}

/// Going on after tokens were made repeats none of them, so it is not charged to the retry budget.
asio::awaitable<bool> CompletionRelay::mayGoOn(
    const GenerationRequest& request, AttemptEnd end, bool hasMade, std::uint32_t fruitless)
{
    const bool isWanted = end != AttemptEnd::Cancelled && end != AttemptEnd::TimedOut
        && !(request.control && request.control->isCancelled);
    RetryContext facts;
    facts.attempts = fruitless + 1;
    facts.isSafe = isWanted;
    facts.wasFree = hasMade || end != AttemptEnd::Broken;
    facts.remaining = request.deadline - Clock::now();
    const bool goesOn = co_await this->retries.waitForRetry(facts);
    if (goesOn)
        this->resumes.add();
    co_return goesOn && !(request.control && request.control->isCancelled);
}

asio::awaitable<void> CompletionRelay::handle(HttpExchange& exchange)
{
    const auto id = this->context.newRequestId();
    auto request = this->admit(exchange, id);
    if (!request) {
        co_await exchange.respond(errorWithOutcome(request.error(), id, Outcome::NotRun));
        co_return;
    }
    const auto hold = this->callerLimits.enter(request.value().caller);
    if (!hold) {
        co_await exchange.respond(errorWithOutcome(
            makeError(ErrorKind::CallerLimit, "caller has too many requests in hand"), id, Outcome::NotRun));
        co_return;
    }
    request.value().control = cancelWithCaller(exchange);
    if (wantsStream(exchange.request()))
        co_await this->answerStreamed(exchange, std::move(request).value());
    else
        co_await this->answerWhole(exchange, std::move(request).value());
}

Result<GenerationRequest> CompletionRelay::admit(const HttpExchange& exchange, const RequestId& id) const
{
    const auto accepted = this->context.document();
    if (!accepted)
        return makeError(ErrorKind::NotReady, "no document is in force");
    if (this->context.isDraining)
        return makeError(ErrorKind::ShuttingDown, "this VM is leaving");
    BOOST_OUTCOME_TRY(auto request, parseRequest(exchange.request()));
    const auto* pool = findPool(accepted->document, request.pool);
    if (!pool || pool->kind != PoolKind::Engine)
        return makeError(ErrorKind::UnknownPool, "no engine pool `" + request.pool.value() + "`");
    BOOST_OUTCOME_TRY(const auto allowed, allowedTime(exchange.request(), pool->deadline));
    request.id = id;
    request.caller = callerOf(exchange);
    request.deadline = Clock::now() + allowed;
    return request;
}

asio::awaitable<void> CompletionRelay::answerWhole(HttpExchange& exchange, GenerationRequest request)
{
    const auto result = co_await this->generate(request, {});
    if (!result) {
        co_await exchange.respond(
            errorWithOutcome(result.error().error, request.id, result.error().outcome, result.error().retryAfter));
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
        co_await exchange.respond(
            errorWithOutcome(result.error().error, request.id, result.error().outcome, result.error().retryAfter));
        co_return;
    }
    auto text = sseEvent(lastEventData(request, result));
    if (result)
        text += sseEvent(streamEnd);
    co_await exchange.writeChunk(text);
    co_await exchange.endStream();
}

} // namespace topaztack
