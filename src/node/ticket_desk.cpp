#include <topaztack/node/ticket_desk.hpp>

#include <topaztack/base/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr std::uint64_t mostTicketsAtOnce = 1000;

    /// How many tickets a request asks for; 0 if it does not say so understandably.
    std::uint64_t ticketsWanted(std::string_view target)
    {
        const auto text = queryParameter(target, "n");
        if (text.empty())
            return 1;
        std::uint64_t count = 0;
        const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), count);
        const bool isWhole = problem == std::errc {} && end == text.data() + text.size();
        return isWhole && count <= mostTicketsAtOnce ? count : 0;
    }

    HttpResponse ticketsAnswer(const VmIdentity& home, std::uint64_t first, std::uint64_t count)
    {
        json::array tickets;
        for (std::uint64_t index = 0; index < count; ++index)
            tickets.emplace_back(toText(TicketId { home, first + index }));
        json::object body;
        body["ticket"] = tickets.front();
        if (count > 1)
            body["tickets"] = std::move(tickets);
        return withOutcome(jsonResponse(200, json::serialize(body)), Outcome::NotRun);
    }

    /// The answer to a request whose ticket neither runs nor was answered before.
    HttpResponse refusal(const TicketDecision& decision, const RequestId& id)
    {
        switch (decision.verdict) {
        case TicketVerdict::KeyReused:
            return errorWithOutcome(
                makeError(ErrorKind::KeyReused, "another request was sent with this key"), id, Outcome::NotRun);
        case TicketVerdict::BelowLowWaterMark:
            return errorWithOutcome(makeError(ErrorKind::RetentionOver, "ticket is too old and was never used",
                                        "send the request with a new ticket"),
                id, Outcome::NotRun);
        case TicketVerdict::ResponseStoreFull:
            return errorWithOutcome(makeError(ErrorKind::Overloaded, "no room to keep another answer"), id,
                Outcome::NotRun, std::chrono::ceil<std::chrono::milliseconds>(decision.retryAt - Clock::now()));
        case TicketVerdict::NeverIssued:
            return errorWithOutcome(makeError(ErrorKind::BadRequest, "this VM issued no such ticket",
                                        "ask for a ticket by POST /v1/tickets"),
                id, Outcome::NotRun);
        default:
            return unknownAnswer(
                makeError(ErrorKind::RetentionOver, "this ticket's answer is no longer kept"), id, Settling::Never);
        }
    }

    HttpResponse stillRunning(const RequestId& id)
    {
        return unknownAnswer(makeError(ErrorKind::StillRunning, "the first request with this key has no answer yet"),
            id, Settling::AskAgain);
    }

} // namespace

TicketDesk::TicketDesk(NodeContext& context)
    : context(context)
    , repeats(context.metrics.counter("topaztack_ticket_repeats_total", "Requests answered by an earlier one's answer"))
{
}

void TicketDesk::addRoutes(HttpRouter& callers)
{
    callers.add("POST", "/v1/tickets", [this](HttpExchange& exchange) { return this->handleIssue(exchange); });
}

asio::awaitable<void> TicketDesk::handleIssue(HttpExchange& exchange)
{
    const auto count = ticketsWanted(exchange.request().target);
    HttpResponse response;
    if (count == 0) {
        response = errorWithOutcome(
            makeError(ErrorKind::BadRequest, "n is not in 1..1000"), this->context.newRequestId(), Outcome::NotRun);
    } else if (this->context.isDraining) {
        response = errorWithOutcome(
            makeError(ErrorKind::ShuttingDown, "this VM is leaving"), this->context.newRequestId(), Outcome::NotRun);
    } else {
        std::uint64_t first = 0;
        {
            const std::lock_guard guard(this->lock);
            first = issueTickets(this->ledger, count);
        }
        response = ticketsAnswer(this->context.identity, first, count);
    }
    co_await exchange.respond(std::move(response));
}

TicketId TicketDesk::issue()
{
    const std::lock_guard guard(this->lock);
    return { this->context.identity, issueTickets(this->ledger, 1) };
}

TicketLimits TicketDesk::limits() const
{
    TicketLimits limits;
    const auto accepted = this->context.document();
    if (accepted)
        limits.retention = accepted->document.limits.retention;
    return limits;
}

TicketDecision TicketDesk::claim(std::uint64_t counter, const CallInHand& call, std::shared_ptr<Waiter>& waiter)
{
    const auto digest = digestOf(call.request.method, call.request.target, call.request.body);
    const auto bounds = this->limits();
    const std::lock_guard guard(this->lock);
    auto decision = claimTicket(this->ledger, bounds, counter, digest, Clock::now());
    if (decision.verdict == TicketVerdict::Running) {
        waiter = std::make_shared<Waiter>(Waiter { asio::steady_timer(this->context.threads.at(IoThreads::here())) });
        this->waiting[counter].push_back(waiter);
    }
    return decision;
}

asio::awaitable<HttpResponse> TicketDesk::runOnce(std::uint64_t counter, CallInHand call, TicketWork work)
{
    const auto id = call.id;
    while (true) {
        std::shared_ptr<Waiter> waiter;
        const auto decision = this->claim(counter, call, waiter);
        if (decision.verdict == TicketVerdict::Finished) {
            this->repeats.add();
            co_return fromKept(*decision.cachedResponse);
        }
        if (decision.verdict == TicketVerdict::Dispatch)
            break;
        if (decision.verdict != TicketVerdict::Running)
            co_return refusal(decision, id);
        if (Clock::now() >= call.deadline)
            co_return stillRunning(id);
        co_await this->waitFor(std::move(waiter), call.deadline);
    }
    auto response = unknownAnswer(makeError(ErrorKind::Internal, "request broke off"), id, Settling::Never);
    try {
        response = co_await work(std::move(call));
    } catch (const std::exception& problem) {
        logEvent(LogLevel::Error, "request-broke-off", { { "request", id.value() }, { "error", problem.what() } });
    }
    this->settle(counter, response);
    co_return response;
}

asio::awaitable<void> TicketDesk::waitFor(std::shared_ptr<Waiter> waiter, TimePoint deadline)
{
    waiter->timer.expires_at(deadline);
    if (!waiter->isWoken)
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void TicketDesk::settle(std::uint64_t counter, const HttpResponse& response)
{
    const auto kept = toKept(response);
    const auto bounds = this->limits();
    std::vector<std::shared_ptr<Waiter>> waiters;
    {
        const std::lock_guard guard(this->lock);
        if (statedOutcome(response) == Outcome::NotRun)
            releaseTicket(this->ledger, counter);
        else
            finishTicket(this->ledger, bounds, counter, kept, Clock::now());
        const auto found = this->waiting.find(counter);
        if (found != this->waiting.end()) {
            waiters = std::move(found->second);
            this->waiting.erase(found);
        }
    }
    this->wake(waiters);
}

void TicketDesk::wake(const std::vector<std::shared_ptr<Waiter>>& waiters)
{
    for (const auto& waiter : waiters) {
        asio::post(waiter->timer.get_executor(), [waiter] {
            waiter->isWoken = true;
            waiter->timer.cancel();
        });
    }
}

void TicketDesk::expire()
{
    const std::lock_guard guard(this->lock);
    expireTickets(this->ledger, Clock::now());
}

std::size_t TicketDesk::kept() const
{
    const std::lock_guard guard(this->lock);
    return this->ledger.entries.size();
}

json::value TicketDesk::dump() const
{
    const std::lock_guard guard(this->lock);
    return json::object { { "issued", this->ledger.issued }, { "low_water_mark", lowWaterMark(this->ledger) },
        { "kept", this->ledger.entries.size() }, { "bytes", this->ledger.bytes },
        { "waited_for", this->waiting.size() } };
}

} // namespace topaztack
