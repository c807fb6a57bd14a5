#include <topaztack/node/service_relay.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/node/caller_gate.hpp>
#include <topaztack/policy/request_state_machine.hpp>

namespace topaztack {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view servicesPrefix = "/v1/services/";
    constexpr std::string_view saidNotRun = "1";

    PoolName poolOf(const HttpRequest& request)
    {
        return PoolName(std::string(pathSegment(targetPath(request.target), 2)));
    }

    HttpRequest backendRequest(const CallInHand& call, const PoolName& pool)
    {
        HttpRequest http;
        http.method = call.request.method;
        http.target = call.request.target.substr(servicesPrefix.size() + pool.value().size());
        if (http.target.empty() || http.target.front() != '/')
            http.target.insert(http.target.begin(), '/');
        http.headers = endToEndHeaders(call.request.headers);
        setHeader(http.headers, requestIdHeader, call.id.value());
        const auto left = std::max<std::int64_t>(1, toMilliseconds(call.deadline - Clock::now()).count());
        setHeader(http.headers, deadlineHeader, std::to_string(left));
        http.body = call.request.body;
        return http;
    }

    bool saysNotRun(const PoolSettings& pool, const HttpResponse& response)
    {
        return pool.notRunSign == NotRunSign::Header && response.status == 503
            && findHeader(response.headers, notRunHeader) == saidNotRun;
    }

    /// Counts one request for as long as it lives.
    class CountHold {
    public:
        explicit CountHold(std::atomic<std::size_t>& count)
            : count(count)
        {
            this->count.fetch_add(1, std::memory_order_relaxed);
        }
        ~CountHold() { this->count.fetch_sub(1, std::memory_order_relaxed); }
        CountHold(const CountHold&) = delete;
        CountHold& operator=(const CountHold&) = delete;

    private:
        std::atomic<std::size_t>& count;
    };

    SlotRequest slotFor(const CallInHand& call, const PoolName& pool, const std::vector<BackendName>& failedAt)
    {
        SlotRequest slot;
        slot.pool = pool;
        slot.requestClass = RequestClass::Booking;
        slot.deadline = call.deadline;
        slot.avoid = failedAt;
        slot.mayUseAvoided = true;
        return slot;
    }

    void noteAnswer(SlotHold& hold, const CallResult<HttpResponse>& answered)
    {
        if (!answered) {
            const bool isUnreachable = answered.error().progress == AttemptProgress::NothingWritten;
            hold.note(isUnreachable ? HealthSignal::Unreachable : HealthSignal::Failed);
            return;
        }
        hold.note(HealthSignal::Answered);
        if (!findHeader(answered.value().headers, leavingHeader).empty())
            hold.noteLeaving();
    }

    /// Nobody keeps the outcome of a request for longer than its home does: asking again settles nothing.
    HttpResponse finalAnswer(HttpResponse response, Outcome outcome)
    {
        if (outcome == Outcome::Unknown)
            setHeader(response.headers, settlingHeader, "never");
        return withOutcome(std::move(response), outcome);
    }

} // namespace

ServiceRelay::ServiceRelay(NodeContext& context, BackendTable& backends, TicketDesk& tickets, ClaimDesk& claims,
    Forwarder& forwarder, RetryDesk& retries, CallerLimits& callerLimits, CrashMemory& crashes)
    : context(context)
    , backends(backends)
    , tickets(tickets)
    , claims(claims)
    , forwarder(forwarder)
    , retries(retries)
    , callerLimits(callerLimits)
    , crashes(crashes)
{
}

void ServiceRelay::addRoutes(HttpRouter& callers)
{
    callers.add("", "/v1/services/{}/**", [this](HttpExchange& exchange) { return this->handle(exchange); });
}

asio::awaitable<void> ServiceRelay::handle(HttpExchange& exchange)
{
    CallInHand call;
    call.id = this->context.newRequestId();
    call.caller = callerOf(exchange);
    call.request = exchange.request();
    const auto id = call.id;
    const auto accepted = this->context.document();
    if (accepted)
        replaceIdentity(accepted->document, call.request);
    const auto* pool = accepted ? findPool(accepted->document, poolOf(call.request)) : nullptr;
    const auto allowed = allowedTime(call.request, pool ? pool->deadline : std::chrono::seconds(1));
    HttpResponse response;
    if (allowed) {
        call.deadline = Clock::now() + allowed.value();
        response = co_await this->answer(std::move(call));
    } else {
        response = errorWithOutcome(allowed.error(), id, Outcome::NotRun);
    }
    setHeader(response.headers, requestIdHeader, id.value());
    co_await exchange.respond(std::move(response));
}

asio::awaitable<HttpResponse> ServiceRelay::answer(CallInHand call)
{
    const std::string key(findHeader(call.request.headers, keyHeader));
    if (key.empty())
        co_return co_await this->relay(std::move(call));
    const auto ticket = parseTicketId(key);
    if (ticket)
        co_return co_await this->settleTicket(*ticket, std::move(call));
    co_return co_await this->settleOwnKey(IdempotencyKey(key), std::move(call));
}

asio::awaitable<HttpResponse> ServiceRelay::settleOwnKey(IdempotencyKey key, CallInHand call)
{
    const auto pool = poolOf(call.request);
    const auto accepted = this->context.document();
    if (!accepted)
        co_return unknownAnswer(makeError(ErrorKind::NotReady, "no document is in force"), call.id, Settling::AskAgain);
    if (!findPool(accepted->document, pool))
        co_return co_await this->relay(std::move(call));
    const auto binding = co_await this->claims.bind(pool, key, call.deadline);
    if (binding.verdict == ClaimVerdict::Open)
        co_return unknownAnswer(makeError(ErrorKind::PlatformAmbiguous, "the table service has not answered in time"),
            call.id, Settling::AskAgain);
    if (binding.verdict == ClaimVerdict::StoreUnavailable)
        co_return co_await this->answerStoreOut(claimRowKey(pool, key), std::move(call));
    co_return co_await this->settleTicket(binding.ticket, std::move(call));
}

/// An earlier request with the key may have run at another VM: `not-run` needs the word of all of them.
asio::awaitable<HttpResponse> ServiceRelay::answerStoreOut(RowKey row, CallInHand call)
{
    TicketId ticket;
    const auto knowledge = co_await this->claims.askPeers(std::move(row), ticket, call.deadline);
    if (knowledge == KeyKnowledge::Seen)
        co_return co_await this->settleTicket(std::move(ticket), std::move(call));
    const auto error = makeError(ErrorKind::PlatformUnreachable, "the table service is out: the key can't be claimed");
    if (knowledge == KeyKnowledge::NeverSeen)
        co_return errorWithOutcome(error, call.id, Outcome::NotRun);
    co_return unknownAnswer(makeError(ErrorKind::PlatformUnreachable,
                                "the table service is out, and a VM that may have taken this key can't be asked",
                                "ask again with the same key; for a new request use a ticket (POST /v1/tickets)"),
        call.id, Settling::AskAgain);
}

/// A keyed request is refused only by its ticket's home: an earlier one with the same key may have run.
asio::awaitable<HttpResponse> ServiceRelay::settleTicket(TicketId ticket, CallInHand call)
{
    if (ticket.home == this->context.identity)
        co_return co_await this->tickets.runOnce(
            ticket.counter, std::move(call), [this](CallInHand mine) { return this->relay(std::move(mine)); });
    co_return co_await this->forwarder.forward(std::move(ticket), std::move(call));
}

asio::awaitable<HttpResponse> ServiceRelay::handleForwarded(ForwardedCall forwarded)
{
    const CountHold hold(this->forwardedCount);
    co_return co_await this->settleForwarded(std::move(forwarded));
}

asio::awaitable<HttpResponse> ServiceRelay::settleForwarded(ForwardedCall forwarded)
{
    const auto ticket = parseTicketId(findHeader(forwarded.request.headers, ticketHeader));
    if (!ticket || ticket->home != this->context.identity)
        co_return incarnationGone(forwarded.id);
    CallInHand call;
    call.id = forwarded.id;
    call.caller = CallerName(std::string(findHeader(forwarded.request.headers, callerHeader)));
    call.deadline = Clock::now() + forwarded.remaining;
    call.request = std::move(forwarded.request);
    co_return co_await this->settleTicket(*ticket, std::move(call));
}

asio::awaitable<HttpResponse> ServiceRelay::relay(CallInHand call)
{
    auto accepted = this->context.document();
    if (!accepted)
        co_return errorWithOutcome(makeError(ErrorKind::NotReady, "no document is in force"), call.id, Outcome::NotRun);
    auto poolName = poolOf(call.request);
    const auto* pool = findPool(accepted->document, poolName);
    if (!pool || pool->kind != PoolKind::Service)
        co_return errorWithOutcome(
            makeError(ErrorKind::UnknownPool, "no service pool `" + poolName.value() + "`"), call.id, Outcome::NotRun);
    if (this->context.isDraining && !mayTakeRequest(this->context.drain, Clock::now(), call.deadline))
        co_return errorWithOutcome(makeError(ErrorKind::ShuttingDown, "this VM ends before the request's time limit"),
            call.id, Outcome::NotRun);
    const auto hold = this->callerLimits.enter(call.caller);
    if (!hold)
        co_return errorWithOutcome(
            makeError(ErrorKind::CallerLimit, "caller has too many requests in hand"), call.id, Outcome::NotRun);
    co_return co_await this->attemptAll(std::move(call), std::move(accepted), std::move(poolName));
}

asio::awaitable<HttpResponse> ServiceRelay::attemptAll(CallInHand call, AcceptedDocumentPtr accepted, PoolName poolName)
{
    const auto& pool = *findPool(accepted->document, poolName);
    RequestStateMachine machine(isReadOnly(call.request.method) || !pool.nonIdempotent);
    std::vector<BackendName> failedAt;
    this->retries.earn();
    while (true) {
        if (this->crashes.isHeld(call)) {
            machine.process(RequestEvent::GivenUp);
            co_return finalAnswer(errorWithOutcome(makeError(ErrorKind::RequestHeld,
                                                       "the request crashed the backend servers that ran it"),
                                      call.id, machine.outcome()),
                machine.outcome());
        }
        auto chosen = co_await this->backends.acquire(slotFor(call, poolName, failedAt));
        if (!chosen) {
            machine.process(RequestEvent::GivenUp);
            co_return errorWithOutcome(chosen.error().error, call.id, machine.outcome(), chosen.error().retryAfter);
        }
        failedAt.push_back(chosen.value().backend.name);
        auto attempted = co_await this->attempt(call, pool, chosen.value(), machine);
        if (machine.outcome() == Outcome::Ran)
            co_return std::move(attempted.response);
        RetryContext facts;
        facts.attempts = static_cast<std::uint32_t>(failedAt.size());
        facts.isSafe = machine.mayAttempt();
        facts.wasFree = attempted.wasFree;
        facts.remaining = call.deadline - Clock::now();
        if (!co_await this->retries.waitForRetry(facts)) {
            machine.process(RequestEvent::GivenUp);
            co_return finalAnswer(std::move(attempted.response), machine.outcome());
        }
    }
}

asio::awaitable<ServiceRelay::Attempt> ServiceRelay::attempt(
    const CallInHand& call, const PoolSettings& pool, ChosenBackend& chosen, RequestStateMachine& machine)
{
    machine.process(RequestEvent::AttemptStarted);
    auto answered = co_await this->context.clients().backends.call(
        chosen.backend.endpoint, backendRequest(call, pool.name), call.deadline);
    Attempt attempt;
    noteAnswer(chosen.hold, answered);
    if (answered && !saysNotRun(pool, answered.value())) {
        machine.process(RequestEvent::Answered);
        this->crashes.recordRun(call);
        attempt.response = std::move(answered).value();
        attempt.response.headers = endToEndHeaders(attempt.response.headers);
        attempt.response = withOutcome(std::move(attempt.response), Outcome::Ran);
        co_return attempt;
    }
    if (answered) {
        machine.process(RequestEvent::ReportedNotRun);
        attempt.response
            = errorWithOutcome(makeError(ErrorKind::Overloaded, "backend server said that it did not run the request"),
                call.id, Outcome::NotRun);
        co_return attempt;
    }
    const auto& failure = answered.error();
    attempt.wasFree = failure.progress == AttemptProgress::NothingWritten;
    machine.process(attempt.wasFree ? RequestEvent::NothingWritten : RequestEvent::ResponseLost);
    attempt.response = errorWithOutcome(failure.error, call.id, machine.outcome());
    if (failure.error.kind == ErrorKind::BackendBroke)
        co_await this->crashes.recordBreak(call, chosen.backend.name, chosen.backend.endpoint);
    logEvent(LogLevel::Warning, "attempt-failed",
        { { "request", call.id.value() }, { "backend", chosen.backend.name.value() },
            { "error", failure.error.message }, { "may_repeat", machine.mayAttempt() ? "yes" : "no" } });
    co_return attempt;
}

} // namespace topaztack
