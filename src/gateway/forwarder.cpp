#include "forwarder.hpp"

#include "error_responses.hpp"

#include <topaztack/base/log.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// Time after which a caller that was refused for want of a free server may come again.
    constexpr std::chrono::milliseconds refusalRetryAfter { 100 };
    /// An attempt that may be repeated is given this many latency objectives before another server is tried.
    constexpr int objectivesPerAttempt = 2;
    constexpr std::chrono::milliseconds shortestAttempt { 50 };
    /// Servers that could not be reached don't count as attempts; this many of them are enough.
    constexpr std::uint64_t mostUnreached = 4;

    constexpr unsigned lowestServerError = 500;

    bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

} // namespace

/// One request on its way.
struct Forwarder::Forwarding {
    const CallerRequest& call;
    const Route& route;
    TimePoint startedAt;
    TimePoint deadline;
    ServerRequirements need;
    /// Servers that the request was sent to.
    std::uint64_t attempts { 0 };
    /// Servers to which no byte of it was written.
    std::uint64_t unreached { 0 };
    /// Whether a server may have run it.
    bool mayHaveRun { false };
    /// A whole answer of a server, to be delivered as it is.
    std::optional<HttpResponse> answer;
    std::optional<Error> problem;

    bool isRepeatable() const { return this->route.kind == RouteKind::Idempotent; }
    bool mayTry() const
    {
        return this->attempts < this->route.maxAttempts && this->unreached < mostUnreached
            && (this->isRepeatable() || !this->mayHaveRun);
    }
};

Forwarder::Forwarder(GatewayContext& context, ServerTable& servers)
    : context(context)
    , servers(servers)
    , requests(context.metrics.counter("topaztack_requests_total", "Requests forwarded to pools"))
    , repeats(context.metrics.counter("topaztack_request_repeats_total", "Attempts after a request's first one"))
    , refused(context.metrics.counter("topaztack_requests_refused_total", "Requests answered as not run"))
    , failed(context.metrics.counter("topaztack_requests_failed_total", "Requests that may have run without an answer"))
    , latency(context.metrics.latency("topaztack_request_seconds", "Time from a request's head to its answer"))
{
}

asio::awaitable<void> Forwarder::handle(HttpExchange& exchange, const CallerRequest& call, const Route& route)
{
    this->requests.add();
    Forwarding forwarding { .call = call, .route = route };
    forwarding.startedAt = Clock::now();
    const auto timeLimit = std::min(call.timeLimit.value_or(route.timeout), route.timeout);
    forwarding.deadline = forwarding.startedAt + timeLimit;
    const auto* pool = choosePool(route, this->context.random.next());
    if (pool)
        forwarding.need.pool = *pool;
    auto response = co_await this->forward(exchange, forwarding);
    const auto took = Clock::now() - forwarding.startedAt;
    this->latency.record(took);
    const auto status = response.status;
    const bool isDelivered = co_await exchange.respond(std::move(response));
    logEvent(isSuccess(status) ? LogLevel::Debug : LogLevel::Info, "request-answered",
        { { "id", call.id.value() }, { "route", route.name.value() }, { "status", std::to_string(status) },
            { "attempts", std::to_string(forwarding.attempts) }, { "unreached", std::to_string(forwarding.unreached) },
            { "took_ms", std::to_string(toMilliseconds(took).count()) },
            { "error", forwarding.problem ? forwarding.problem->message : "" },
            { "delivered", isDelivered ? "1" : "0" } });
}

asio::awaitable<HttpResponse> Forwarder::forward(HttpExchange& exchange, Forwarding& forwarding)
{
    while (forwarding.mayTry() && Clock::now() < forwarding.deadline && !exchange.isCallerGone()) {
        const auto server = this->servers.acquire(forwarding.need);
        if (!server)
            break;
        if (forwarding.attempts > 0)
            this->repeats.add();
        ++forwarding.attempts;
        forwarding.need.tried.insert(server->name);
        co_await this->attempt(exchange, forwarding, *server);
        if (forwarding.answer)
            co_return std::move(*forwarding.answer);
    }
    co_return this->giveUp(forwarding);
}

HttpResponse Forwarder::giveUp(const Forwarding& forwarding) const
{
    if (!forwarding.mayHaveRun) {
        this->refused.add();
        const auto error = forwarding.problem.value_or(
            makeError(ErrorKind::NoBackendServer, "pool `" + forwarding.need.pool.value() + "` has no free server"));
        return notRunResponse(error, forwarding.call.id, refusalRetryAfter);
    }
    this->failed.add();
    return mayHaveRunResponse(
        forwarding.problem.value_or(makeError(ErrorKind::BackendTimeout, "no answer in time")), forwarding.call.id);
}

asio::awaitable<void> Forwarder::attempt(HttpExchange& exchange, Forwarding& forwarding, const ServerRecord& server)
{
    const auto now = Clock::now();
    auto end = forwarding.deadline;
    if (forwarding.isRepeatable() && forwarding.attempts < forwarding.route.maxAttempts)
        end = std::min<TimePoint>(
            end, now + std::max(shortestAttempt, objectivesPerAttempt * forwarding.route.latencyObjective));
    const auto left = std::max(1ms, toMilliseconds(forwarding.deadline - now));
    auto request = this->context.protocol.encodeServiceRequest(exchange.request(), server, left);
    CallControl control;
    exchange.onCallerGone([&control] { control.cancel(); });
    CallOptions options;
    options.control = &control;
    options.accepts = [this, &forwarding](const HttpResponse& response) {
        const auto answer = this->context.protocol.decodeAnswer(response);
        return answer.request.value().empty() || answer.request == forwarding.call.id;
    };
    auto called = co_await this->context.httpClient.call(server.endpoint, std::move(request), end, std::move(options));
    exchange.onCallerGone({});
    if (!called) {
        if (called.error().progress == AttemptProgress::NothingWritten) {
            --forwarding.attempts;
            ++forwarding.unreached;
        } else {
            forwarding.mayHaveRun = true;
        }
        forwarding.problem = called.error().error;
        this->servers.finish(server, control.isCancelled() ? ServerOutcome::Cancelled : ServerOutcome::Failed);
        co_return;
    }
    auto& response = called.value();
    const auto answer = this->context.protocol.decodeAnswer(response);
    if (answer.isOtherServer || answer.saysNotRun) {
        this->servers.finish(server, answer.isOtherServer ? ServerOutcome::Replaced : ServerOutcome::Refused);
        forwarding.problem = makeError(
            ErrorKind::Overloaded, server.name.value() + " refused with " + std::to_string(response.status));
        co_return;
    }
    forwarding.mayHaveRun = true;
    const bool isEncoded = !findHeader(response.headers, "Content-Encoding").empty();
    const bool isWhole = answer.hasServerStamp && !isEncoded;
    const bool isFailure = response.status >= lowestServerError;
    this->servers.finish(server, isWhole && !isFailure ? ServerOutcome::Answered : ServerOutcome::Failed);
    if (!isWhole) {
        forwarding.problem
            = makeError(ErrorKind::BackendAnswerMalformed, server.name.value() + " answered without its mark");
        co_return;
    }
    if (isFailure && forwarding.mayTry()) {
        forwarding.problem
            = makeError(ErrorKind::BackendBroke, server.name.value() + " answered " + std::to_string(response.status));
        co_return;
    }
    std::erase_if(response.headers, [](const HttpHeader& header) { return isConnectionHeader(header.name); });
    forwarding.answer = std::move(response);
}

} // namespace topaztack
