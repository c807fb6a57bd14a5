#include "request_queue.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    /// Some servers become available without a notification: a pause after a refusal ends, a limit of requests per
    /// second allows the next one.
    constexpr Duration recheckInterval = 10ms;
    constexpr Duration minRecheckInterval = 1ms;
    /// A suspected request may take longer to be given a server; others are not held up by it.
    constexpr Duration maxTurn = 5ms;
    /// Workspaces with series of their own.
    constexpr std::size_t maxNamedWorkspaces = 32;
    /// Refusals of a pool are logged at most this often.
    constexpr Duration refusalLogInterval = 100ms;

    Duration objectiveOf(const Route& route)
    {
        return route.latencyObjective > 0ms ? route.latencyObjective : route.timeout;
    }

    std::string toText(Duration duration) { return std::to_string(toMilliseconds(duration).count()); }

} // namespace

RequestQueue::RequestQueue(GatewayContext& context, ServerTable& servers, SuspectGate& suspects, ServerReach& reach,
    const PeerDirectory& peers)
    : context(context)
    , servers(servers)
    , suspects(suspects)
    , reach(reach)
    , exchange(
          context, peers, [this](const PoolName& pool) { return this->usesOf(pool); },
          [this](const PoolName& pool, const WorkspaceUses& totals) {
              for (const auto& [workspace, total] : totals)
                  applyTotalUse(this->poolOf(pool).state, workspace, total, Clock::now());
          })
    , queued(context.metrics.counter("topaztack_requests_queued_total", "Requests that waited for a server"))
    , length(context.metrics.gauge("topaztack_queue_length", "Requests that wait for a server"))
    , waits(context.metrics.latency("topaztack_queue_seconds", "Time for which requests waited for a server"))
{
}

RequestQueue::Pool& RequestQueue::poolOf(const PoolName& name)
{
    auto& pool = this->pools[name];
    if (!pool)
        pool = std::make_unique<Pool>(this->context.loop());
    return *pool;
}

/// What this VM knows of a pool that lacks room; empty if it doesn't.
WorkspaceUses RequestQueue::usesOf(const PoolName& name)
{
    WorkspaceUses uses;
    const auto now = Clock::now();
    auto& pool = this->poolOf(name);
    if (!lacksRoom(pool.state, now))
        return uses;
    for (const auto& [workspace, demand] : pool.state.demands) {
        auto& use = uses[workspace];
        use.rank = pool.ranks[workspace];
        use.demand = drainPerSecond(demand.arrived, now);
        use.served = drainPerSecond(demand.served, now);
    }
    return uses;
}

WaitingRequest RequestQueue::describe(const QueuedCall& call, Pool& pool) const
{
    WaitingRequest request;
    request.workspace = call.workspace;
    request.rank = call.rank;
    const auto objective = objectiveOf(call.route);
    const auto& serviceTime = pool.serviceTimes[call.route.name];
    request.work = expectedServiceTime(serviceTime, objective);
    request.latestStart = std::min(latestStart(serviceTime, objective, call.arrivedAt), call.deadline);
    return request;
}

asio::awaitable<SuspectGate::Entry> RequestQueue::enter(QueuedCall& call)
{
    auto& pool = this->poolOf(call.requirements.pool);
    const auto request = this->describe(call, pool);
    if (!call.isCounted)
        recordArrival(pool.state, call.workspace, request.work, Clock::now());
    call.isCounted = true;
    pool.ranks[call.workspace] = call.rank;
    if (call.refusals > 0 && Clock::now() >= request.latestStart)
        co_return this->refuseWaiter(call, request, WaiterState::Late);
    auto admission = decideAdmission(pool.state, request, true, Clock::now(), this->context.random);
    if (admission.verdict == AdmissionVerdict::Run) {
        auto entry = co_await this->suspects.enter(call.pass, call.requirements, request.latestStart);
        if (entry.server)
            this->recordSend(call, pool);
        if (entry.server || entry.refusal)
            co_return entry;
        admission = decideAdmission(pool.state, request, false, Clock::now(), this->context.random);
    }
    this->exchange.report(call.requirements.pool);
    if (admission.verdict == AdmissionVerdict::Refuse)
        co_return this->refuse(call, request, admission);
    if (admission.displaced) {
        const std::vector<std::uint64_t> displaced(1, *admission.displaced);
        removeRequest(pool.state.waiting, *admission.displaced);
        this->endWaiters(pool, displaced, WaiterState::Displaced);
    }
    auto entry = co_await this->wait(call, request);
    co_return entry;
}

/// Waits until the request is chosen and finds a server, or has to leave.
asio::awaitable<SuspectGate::Entry> RequestQueue::wait(QueuedCall& call, WaitingRequest request)
{
    auto& pool = this->poolOf(call.requirements.pool);
    const auto waiter = std::make_shared<Waiter>(this->context.loop());
    waiter->request = request;
    const auto number = enqueue(pool.state.waiting, request);
    pool.waiters[number] = waiter;
    call.exchange.onCallerGone([waiter] { waiter->end(WaiterState::CallerGone); });
    this->queued.add();
    this->length.add(1);
    logEvent(LogLevel::Debug, "request-queued",
        { { "id", call.id.value() }, { "workspace", call.workspace.value() },
            { "pool", call.requirements.pool.value() }, { "rank", std::to_string(call.rank) },
            { "waiting", std::to_string(pool.state.waiting.requests.size()) } });
    const auto since = Clock::now();
    if (!pool.isServed) {
        pool.isServed = true;
        asio::co_spawn(this->context.loop(), this->serve(call.requirements.pool), asio::detached);
    } else
        this->servers.changed().notify();
    SuspectGate::Entry entry;
    while (!entry.server && !entry.refusal) {
        if (waiter->state == WaiterState::Waiting)
            co_await waiter->signal.waitUntil(TimePoint::max());
        if (waiter->state == WaiterState::Waiting)
            continue;
        if (waiter->state != WaiterState::Chosen)
            break;
        entry = co_await this->suspects.enter(call.pass, call.requirements, request.latestStart);
        pool.hasFoundServer = entry.server.has_value();
        pool.turnEnded.notify();
        if (!entry.server && !entry.refusal && waiter->state == WaiterState::Chosen) {
            putBack(pool.state.waiting, { number, request });
            waiter->state = WaiterState::Waiting;
        }
    }
    call.exchange.onCallerGone({});
    removeRequest(pool.state.waiting, number);
    pool.waiters.erase(number);
    this->length.add(-1);
    const auto waited = Clock::now() - since;
    call.waited += waited;
    this->waits.record(waited);
    if (entry.server)
        this->recordSend(call, pool);
    if (!entry.server && !entry.refusal)
        entry = this->refuseWaiter(call, request, waiter->state);
    co_return entry;
}

/// Chooses the next request whenever a server may have room, until none waits.
asio::awaitable<void> RequestQueue::serve(PoolName name)
{
    auto& pool = this->poolOf(name);
    while (!pool.waiters.empty()) {
        const auto now = Clock::now();
        this->endWaiters(pool, dropLate(pool.state.waiting, now), WaiterState::Late);
        if (this->reach.isCutOff(name)) {
            std::vector<std::uint64_t> all;
            for (const auto& [number, request] : pool.state.waiting.requests)
                all.push_back(number);
            for (const auto number : all)
                removeRequest(pool.state.waiting, number);
            this->endWaiters(pool, all, WaiterState::CutOff);
        }
        auto wakeAt = now + recheckInterval;
        if (this->chooseNext(pool)) {
            co_await pool.turnEnded.waitUntil(now + maxTurn);
            if (pool.hasFoundServer)
                continue;
            wakeAt = std::min(wakeAt, nextLateAt(pool.state.waiting).value_or(wakeAt));
        } else
            wakeAt = std::min(wakeAt, nextEventAt(pool.state, now));
        co_await this->servers.changed().waitUntil(std::max(wakeAt, now + minRecheckInterval));
    }
    pool.isServed = false;
}

/// @return whether a request was told to ask for a server.
bool RequestQueue::chooseNext(Pool& pool)
{
    const auto now = Clock::now();
    const auto chosen = takeNext(pool.state.waiting,
        [&pool, now](const WaitingRequest& request) { return nextSendAt(pool.state, request, now) <= now; });
    if (!chosen)
        return false;
    pool.hasFoundServer = false;
    pool.waiters.at(chosen->number)->end(WaiterState::Chosen);
    return true;
}

void RequestQueue::endWaiters(Pool& pool, const std::vector<std::uint64_t>& numbers, WaiterState reason)
{
    for (const auto number : numbers) {
        const auto found = pool.waiters.find(number);
        if (found != pool.waiters.end())
            found->second->end(reason);
    }
}

void RequestQueue::recordSend(QueuedCall& call, Pool& pool)
{
    topaztack::recordSend(pool.state.limits[call.workspace], Clock::now());
}

void RequestQueue::recordResult(QueuedCall& call, const ServiceCallResult& result, Duration took)
{
    auto& pool = this->poolOf(call.requirements.pool);
    const auto now = Clock::now();
    auto outcome = SendOutcome::Other;
    if (result.outcome == ServiceCallOutcome::Refused) {
        outcome = SendOutcome::Full;
        ++call.refusals;
    } else if (result.response && !isServerError(result.response->status)) {
        // An error that is returned fast shows neither room nor the time of a request.
        outcome = SendOutcome::Answered;
        recordServiceTime(pool.serviceTimes[call.route.name], took);
    }
    topaztack::recordResult(pool.state, this->describe(call, pool), outcome, took, objectiveOf(call.route), now);
}

void RequestQueue::cancel(const QueuedCall& call)
{
    auto& pool = this->poolOf(call.requirements.pool);
    topaztack::recordResult(
        pool.state, this->describe(call, pool), SendOutcome::Other, {}, objectiveOf(call.route), Clock::now());
}

SuspectGate::Entry RequestQueue::refuse(
    QueuedCall& call, const WaitingRequest& request, const AdmissionDecision& admission)
{
    auto& pool = this->poolOf(call.requirements.pool);
    // A server's limit of requests per second may allow the next one only later.
    call.pass.retryAfter
        = std::max(admission.retryAfter, toMilliseconds(this->servers.timeUntilAdmission(call.requirements.pool)));
    this->refusalsOf(call.workspace).add();
    SuspectGate::Entry entry;
    entry.refusal = makeError(ErrorKind::NoBackendServer,
        "pool `" + call.requirements.pool.value() + "` has no server that is free within the route's objective");
    const auto now = Clock::now();
    if (now - pool.refusalLoggedAt < refusalLogInterval) {
        ++pool.refusalsNotLogged;
        return entry;
    }
    pool.refusalLoggedAt = now;
    logEvent(LogLevel::Info, "request-refused",
        { { "id", call.id.value() }, { "workspace", call.workspace.value() },
            { "pool", call.requirements.pool.value() }, { "expected_wait_ms", toText(admission.expectedWait) },
            { "waited_ms", toText(call.waited) }, { "service_ms", toText(request.work) },
            { "share", std::to_string(admission.share) }, { "full", std::to_string(call.refusals) },
            { "waiting", std::to_string(pool.state.waiting.requests.size()) },
            { "retry_after_ms", std::to_string(call.pass.retryAfter->count()) },
            { "not_logged", std::to_string(std::exchange(pool.refusalsNotLogged, 0)) } });
    return entry;
}

SuspectGate::Entry RequestQueue::refuseWaiter(QueuedCall& call, const WaitingRequest& request, WaiterState reason)
{
    // Nobody is told, or another VM is to carry the request.
    if (reason == WaiterState::CallerGone || reason == WaiterState::CutOff)
        return {};
    auto& pool = this->poolOf(call.requirements.pool);
    AdmissionDecision admission;
    admission.share = shareOf(pool.state.waiting, request.rank, request.workspace);
    admission.retryAfter = retryAfter(pool.state, request, Clock::now(), this->context.random);
    return this->refuse(call, request, admission);
}

Counter& RequestQueue::refusalsOf(const WorkspaceName& workspace)
{
    const auto known = this->refusalCounters.find(workspace);
    if (known != this->refusalCounters.end())
        return *known->second;
    const bool isNamed = this->refusalCounters.size() < maxNamedWorkspaces;
    auto& counter = this->context.metrics.counter("topaztack_queue_refusals_total",
        "Requests refused since no server was free within the objective, by workspace; `other` for those beyond 32",
        "workspace=\"" + (isNamed ? workspace.value() : "other") + "\"");
    if (isNamed)
        this->refusalCounters[workspace] = &counter;
    return counter;
}

void RequestQueue::expire()
{
    const auto now = Clock::now();
    for (const auto& each : this->pools) {
        auto& pool = *each.second;
        topaztack::expire(pool.state, now);
        std::erase_if(pool.ranks, [&pool](const auto& known) { return !pool.state.demands.contains(known.first); });
    }
    this->exchange.expire();
}

json::value RequestQueue::dump() const
{
    const auto now = Clock::now();
    json::array list;
    for (const auto& [name, pool] : this->pools) {
        json::object limits;
        for (const auto& [workspace, limit] : pool->state.limits) {
            if (isLimited(limit, now))
                limits[workspace.value()] = limit.limit;
        }
        json::object waiting;
        for (const auto& [number, request] : pool->state.waiting.requests) {
            auto& count = waiting[request.workspace.value()];
            count = (count.is_int64() ? count.as_int64() : 0) + 1;
        }
        list.push_back(json::object { { "pool", name.value() }, { "waiting", std::move(waiting) },
            { "limits", std::move(limits) }, { "drained_per_s", drainPerSecond(pool->state.drain, now) } });
    }
    return list;
}

} // namespace topaztack
