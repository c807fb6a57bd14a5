#include "forwarder.hpp"

#include <topaztack/base/log.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// State of one request that is being forwarded.
struct Forwarder::Forwarding {
    const CallerRequest& call;
    const Route& route;
    CallOrigin origin;
    TimePoint startedAt;
    TimePoint deadline;
    ServerRequirements requirements;
    CallerIdentity identity;
    /// Servers to which the request was sent.
    std::uint64_t attempts { 0 };
    /// Servers that could not be reached: no byte of the request was written to them.
    std::uint64_t unreached { 0 };
    /// Whether a server may have run the request.
    bool mayHaveRun { false };
    /// Whether it was counted as begun by a server.
    bool isCounted { false };
    /// A server's response that is to be delivered to the caller.
    std::optional<HttpResponse> answer;
    std::optional<Error> problem;
    SuspectPass pass;
    /// Set if the request may wait for a server.
    std::optional<QueuedCall> queued;

    bool isRepeatable() const { return this->route.kind == RouteKind::Idempotent; }
    CarriedCall carriedCall() const
    {
        return { this->call.id, this->identity, this->requirements.pool, this->deadline, this->isRepeatable() };
    }
    QueuedCall queuedCall(HttpExchange& exchange, const RouteTable& table)
    {
        return { exchange, this->pass, this->requirements, this->route, this->call.id, this->call.workspace,
            rankOf(table, this->route, this->call.workspace), this->startedAt, this->deadline };
    }
    bool mayAttempt() const
    {
        return this->attempts < this->route.maxAttempts && this->unreached < maxUnreachedServers
            && (this->isRepeatable() || !this->mayHaveRun);
    }
};

Forwarder::Forwarder(GatewayContext& context, ServerTable& servers, SuspectGate& suspects, ServerReach& reach,
    CallCarrier& carrier, RequestQueue& queue, UsageCounter& usage)
    : context(context)
    , servers(servers)
    , suspects(suspects)
    , reach(reach)
    , carrier(carrier)
    , queue(queue)
    , usage(usage)
    , requests(context.metrics.counter("topaztack_requests_total", "Requests forwarded to pools"))
    , retries(context.metrics.counter("topaztack_request_repeats_total", "Attempts after a request's first one"))
    , refused(context.metrics.counter("topaztack_requests_refused_total", "Requests answered as not run"))
    , failed(context.metrics.counter("topaztack_requests_failed_total", "Requests that may have run without an answer"))
    , latency(context.metrics.latency("topaztack_request_seconds", "Time from a request's head to its answer"))
{
}

asio::awaitable<void> Forwarder::handle(
    HttpExchange& exchange, const CallerRequest& call, const Route& route, CallOrigin origin)
{
    this->requests.add();
    Forwarding forwarding {
        .call = call, .route = route, .origin = origin, .pass = SuspectPass(call, exchange.request())
    };
    forwarding.identity = identityOf(call);
    forwarding.startedAt = Clock::now();
    const auto timeLimit = std::min(call.timeLimit.value_or(route.timeout), route.timeout);
    forwarding.deadline = forwarding.startedAt + timeLimit;
    const auto* pool = choosePool(route, this->context.random.next());
    if (pool)
        forwarding.requirements.pool = *pool;
    if (this->queue.isUsed())
        forwarding.queued.emplace(forwarding.queuedCall(exchange, *this->context.routes));
    auto response = co_await this->forward(exchange, forwarding);
    co_await this->suspects.leave(forwarding.pass);
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
    const auto& pool = forwarding.requirements.pool;
    while (!this->isAbandoned && forwarding.mayAttempt() && Clock::now() < forwarding.deadline
        && !exchange.isCallerGone() && !this->reach.isCutOff(pool)) {
        const auto server = co_await this->chooseServer(exchange, forwarding);
        if (!server)
            break;
        if (forwarding.attempts > 0)
            this->retries.add();
        ++forwarding.attempts;
        forwarding.requirements.tried.insert(server->name);
        co_await this->attempt(exchange, forwarding, *server);
        if (forwarding.answer)
            co_return std::move(*forwarding.answer);
    }
    const bool mayBeSent = forwarding.isRepeatable() || !forwarding.mayHaveRun;
    if (this->reach.isCutOff(pool) && mayBeSent && forwarding.origin == CallOrigin::Caller && !exchange.isCallerGone())
        co_return co_await this->carry(exchange, forwarding);
    if (this->reach.isCutOff(pool) && !forwarding.problem)
        forwarding.problem = makeError(ErrorKind::BackendUnreachable, "this VM reaches no server of the pool");
    co_return this->failureResponse(forwarding);
}

/// Attempts at servers that this VM doesn't reach are not counted: another VM makes its own.
asio::awaitable<HttpResponse> Forwarder::carry(HttpExchange& exchange, Forwarding& forwarding)
{
    const auto carried = forwarding.carriedCall();
    auto result = co_await this->carrier.carry(exchange, carried);
    if (result.answer)
        co_return std::move(*result.answer);
    forwarding.mayHaveRun = forwarding.mayHaveRun || result.mayHaveRun;
    forwarding.problem = std::move(result.problem);
    co_return this->failureResponse(forwarding);
}

/// Chooses a server that may take the request now.
asio::awaitable<std::optional<ServerRecord>> Forwarder::chooseServer(HttpExchange& exchange, Forwarding& forwarding)
{
    auto& requirements = forwarding.requirements;
    while (!exchange.isCallerGone()) {
        SuspectGate::Entry entry;
        if (forwarding.queued)
            entry = co_await this->queue.enter(*forwarding.queued);
        else
            entry = co_await this->suspects.enter(
                forwarding.pass, requirements, forwarding.startedAt + forwarding.route.latencyObjective);
        if (entry.refusal)
            forwarding.problem = std::move(entry.refusal);
        if (!entry.server)
            break;
        const bool isAdmitted = co_await this->servers.admit(*entry.server);
        if (isAdmitted && !exchange.isCallerGone())
            co_return std::move(entry.server);
        if (forwarding.queued)
            this->queue.cancel(*forwarding.queued);
        this->servers.finish(*entry.server, ServerOutcome::Cancelled, requirements);
        this->suspects.release(forwarding.pass);
    }
    co_return std::nullopt;
}

HttpResponse Forwarder::failureResponse(const Forwarding& forwarding) const
{
    (forwarding.mayHaveRun ? this->failed : this->refused).add();
    return topaztack::failureResponse(this->servers, forwarding.requirements.pool, forwarding.mayHaveRun,
        forwarding.problem, forwarding.call.id, forwarding.pass.retryAfter);
}

/// Counts a request once, with the first server that ran it or may have.
void Forwarder::recordUse(Forwarding& forwarding, ServiceCallOutcome outcome, TimePoint sentAt)
{
    if (forwarding.isCounted)
        return;
    if (outcome == ServiceCallOutcome::Answered)
        this->usage.recordAnswer(forwarding.call.workspace, forwarding.requirements.pool, sentAt, Clock::now());
    else if (outcome == ServiceCallOutcome::Unknown)
        this->usage.recordBegin(forwarding.call.workspace, sentAt);
    forwarding.isCounted = outcome == ServiceCallOutcome::Answered || outcome == ServiceCallOutcome::Unknown;
}

asio::awaitable<void> Forwarder::attempt(HttpExchange& exchange, Forwarding& forwarding, const ServerRecord& server)
{
    const auto now = Clock::now();
    auto end = forwarding.deadline;
    if (forwarding.isRepeatable() && forwarding.attempts < forwarding.route.maxAttempts)
        end = std::min<TimePoint>(end, now + repeatableAttemptTime(forwarding.route));
    const auto timeLeft = std::max(1ms, toMilliseconds(forwarding.deadline - now));
    auto request = this->context.protocol.encodeServiceRequest(
        exchange.request(), server, timeLeft, std::nullopt, forwarding.identity);
    Attempt attempt;
    this->open.push_back(attempt);
    auto& control = attempt.control;
    exchange.onCallerGone([&control] { control.cancel(); });
    auto result = co_await callService(this->context, this->servers, std::move(request), forwarding.call.id, server,
        end, control, forwarding.requirements);
    exchange.onCallerGone({});
    if (forwarding.queued)
        this->queue.recordResult(*forwarding.queued, result, Clock::now() - now);
    // A request that a server had no room for waits for another one, within the same limit.
    if (forwarding.queued && result.outcome == ServiceCallOutcome::Refused)
        --forwarding.attempts;
    this->recordUse(forwarding, result.outcome, now);
    if (result.outcome == ServiceCallOutcome::NotReached) {
        --forwarding.attempts;
        ++forwarding.unreached;
    }
    if (result.outcome == ServiceCallOutcome::Answered)
        this->suspects.recordRun(forwarding.pass);
    else if (!control.isCancelled() && result.problem->kind == ErrorKind::BackendBroke)
        co_await this->suspects.recordBreak(forwarding.pass, server);
    this->suspects.release(forwarding.pass);
    if (!result.response && !control.isCancelled())
        co_await this->reach.checkAfter(
            forwarding.requirements.pool, now, result.outcome != ServiceCallOutcome::NotReached);
    const bool mayHaveRun
        = result.outcome == ServiceCallOutcome::Unknown || result.outcome == ServiceCallOutcome::Answered;
    forwarding.mayHaveRun = forwarding.mayHaveRun || mayHaveRun;
    if (result.outcome == ServiceCallOutcome::Unknown && !control.isCancelled())
        logBrokenAttempt(forwarding.call.id, forwarding.pass.content, server, this->servers, result.problem);
    if (!result.response) {
        forwarding.problem = std::move(result.problem);
        if (this->isAbandoned)
            forwarding.problem = makeError(ErrorKind::ShuttingDown, "this VM stopped before the server answered");
        co_return;
    }
    auto& response = *result.response;
    if (isServerError(response.status) && forwarding.mayAttempt()) {
        forwarding.problem
            = makeError(ErrorKind::BackendBroke, server.name.value() + " answered " + std::to_string(response.status));
        co_return;
    }
    std::erase_if(response.headers, [](const HttpHeader& header) { return isConnectionHeader(header.name); });
    forwarding.answer = std::move(response);
}

void Forwarder::abandonAll()
{
    this->isAbandoned = true;
    for (auto& attempt : this->open)
        attempt.control.cancel();
}

} // namespace topaztack
