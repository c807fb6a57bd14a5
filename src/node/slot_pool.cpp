#include <topaztack/node/slot_pool.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    /// VMs that take requests: members that are alive, or those of the settings while membership has not started.
    std::vector<SlotHolder> slotHolders(const NodeContext& context)
    {
        std::vector<SlotHolder> holders { { context.identity.name, context.settings.dataCentre, false } };
        const auto view = context.members.load();
        if (view && !view->members.empty()) {
            for (const auto& member : view->members) {
                const bool takesRequests = member.state == MemberState::Alive || member.state == MemberState::Suspect;
                if (takesRequests && member.identity.name != context.identity.name)
                    holders.push_back({ member.identity.name, member.dataCentre, false });
            }
            return holders;
        }
        for (const auto& peer : context.settings.peerList)
            holders.push_back({ peer.name, peer.dataCentre, false });
        return holders;
    }

    void markGuests(std::vector<SlotHolder>& holders, const Document& document, const PoolName& pool)
    {
        for (auto& holder : holders) {
            holder.hasNoLocalBackend
                = std::none_of(document.backends.begin(), document.backends.end(), [&](const BackendSettings& backend) {
                      return backend.pool == pool && backend.dataCentre == holder.dataCentre;
                  });
        }
    }

    void takeVersion(ServerState& state, const WeightView& view)
    {
        const auto found = view.engines.find(state.name);
        if (found == view.engines.end())
            return;
        state.takesRollouts = found->second.version.has_value() && !found->second.isSwapping;
        state.version = found->second.version;
    }

    /// A VM that hashing gives no slots uses one backend server all the same, its own data centre's if it can.
    void keepOneUsable(std::vector<ServerState>& states)
    {
        const bool hasSlots
            = std::any_of(states.begin(), states.end(), [](const ServerState& state) { return state.share.slots > 0; });
        if (hasSlots || states.empty())
            return;
        const auto local
            = std::find_if(states.begin(), states.end(), [](const ServerState& state) { return state.isLocal; });
        (local == states.end() ? states.front() : *local).share.slots = 1;
    }

    json::object serverJson(const ServerState& server, TimePoint now)
    {
        return { { "in_flight", server.inFlight }, { "share", server.share.slots }, { "borrowed", server.borrowed },
            { "free", freeSlots(server, now) }, { "ejected", server.health.isEjected },
            { "leaving", now < server.health.leavingUntil }, { "draining", server.isDraining },
            { "takes_rollouts", server.takesRollouts && server.reportsReady } };
    }

} // namespace

SlotPool::SlotPool(NodeContext& context, PoolName name)
    : context(context)
    , name(std::move(name))
    , random(systemSeed())
    , granted(context.metrics.counter(
          "topaztack_slots_granted_total", "Slots given", "pool=\"" + this->name.value() + "\""))
    , refused(context.metrics.counter(
          "topaztack_slots_refused_total", "Requests refused a slot", "pool=\"" + this->name.value() + "\""))
    , waiting(context.metrics.gauge(
          "topaztack_slots_waiting", "Requests that wait for a slot", "pool=\"" + this->name.value() + "\""))
{
}

std::uint64_t slotHoldersDigest(const NodeContext& context)
{
    std::uint64_t digest = 0;
    for (const auto& holder : slotHolders(context))
        digest += stableHash(holder.name.value(), stableHash(holder.dataCentre.value()));
    return digest;
}

std::vector<ServerState> SlotPool::statesFor(const Document& document, const PoolSettings& settings) const
{
    auto holders = slotHolders(this->context);
    markGuests(holders, document, this->name);
    const auto self = holders.front();
    const auto weights = this->context.weights.load();
    std::vector<const BackendSettings*> backends;
    for (const auto& backend : document.backends) {
        if (backend.pool == this->name)
            backends.push_back(&backend);
    }
    std::sort(backends.begin(), backends.end(),
        [](const BackendSettings* left, const BackendSettings* right) { return left->name < right->name; });
    std::vector<SharedBackend> shared;
    shared.reserve(backends.size());
    for (const auto* backend : backends)
        shared.push_back({ backend->name, backend->dataCentre });
    const auto shares = slotShares(shared, settings.inFlightPerBackend, self, holders);
    std::vector<ServerState> states;
    for (std::size_t index = 0; index < backends.size(); ++index) {
        const auto& backend = *backends[index];
        ServerState state;
        state.name = backend.name;
        state.dataCentre = backend.dataCentre;
        state.isLocal = backend.dataCentre == this->context.settings.dataCentre;
        state.isDraining = backend.draining;
        state.share = shares[index];
        if (weights)
            takeVersion(state, *weights);
        states.push_back(std::move(state));
    }
    keepOneUsable(states);
    std::erase_if(states, [](const ServerState& state) { return state.share.slots == 0; });
    return states;
}

void SlotPool::refresh(const Document& document)
{
    const auto* settings = findPool(document, this->name);
    auto states = settings ? this->statesFor(document, *settings) : std::vector<ServerState> {};
    const std::lock_guard guard(this->lock);
    this->scheduler.queueLimit = settings ? settings->queueLimit : 0;
    replaceServers(this->scheduler, std::move(states), settings ? settings->inFlightPerBackend : 0);
    this->pumpLocked();
}

asio::awaitable<SlotAnswer> SlotPool::acquire(AdmissionRequest ask)
{
    const auto deadline = ask.request.deadline;
    WaiterPtr waiter;
    auto answer = this->decide(std::move(ask), waiter);
    if (!waiter)
        co_return answer;
    waiter->timer.expires_at(deadline);
    while (!waiter->isSettled) {
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (waiter->isSettled)
            break;
        this->tick();
        waiter->timer.expires_at(TimePoint::max());
    }
    if (waiter->server)
        co_return *waiter->server;
    co_return this->refusal(waiter->kind, waiter->retryAfter);
}

/// Sets `waiter` if the request has to wait.
SlotAnswer SlotPool::decide(AdmissionRequest ask, WaiterPtr& waiter)
{
    const std::lock_guard guard(this->lock);
    const auto id = this->nextId++;
    ask.request.id = id;
    ask.request.arrived = Clock::now();
    const auto admission = admit(this->scheduler, std::move(ask), Clock::now(), this->random);
    if (admission.displaced)
        this->settle(*admission.displaced, std::nullopt, ErrorKind::Overloaded, admission.retryAfter);
    switch (admission.kind) {
    case AdmissionKind::Granted:
        this->granted.add();
        return this->scheduler.table.servers[admission.server].name;
    case AdmissionKind::Queued:
        waiter = std::make_shared<Waiter>(this->context.threads.at(IoThreads::here()));
        this->waiters[id] = waiter;
        this->waiting.add(1);
        return BackendName {};
    case AdmissionKind::NoServer:
        return this->refusal(ErrorKind::NoBackendServer, admission.retryAfter);
    case AdmissionKind::TooLate:
        return this->refusal(ErrorKind::Overloaded, admission.retryAfter);
    case AdmissionKind::QueueFull:
        break;
    }
    return this->refusal(ErrorKind::QueueFull, admission.retryAfter);
}

NoSlot SlotPool::refusal(ErrorKind kind, std::chrono::milliseconds retryAfter) const
{
    this->refused.add();
    const auto pool = "pool `" + this->name.value() + "`";
    switch (kind) {
    case ErrorKind::NoBackendServer:
        return { makeError(kind, pool + " has no backend server that may take the request"), retryAfter };
    case ErrorKind::QueueFull:
        return { makeError(kind, "the queue of " + pool + " is full"), retryAfter };
    case ErrorKind::DeadlineTooShort:
        return { makeError(kind, "no slot of " + pool + " came free in time"), retryAfter };
    default:
        return { makeError(kind, pool + " would not be done with the request by its deadline"), retryAfter };
    }
}

void SlotPool::giveBack(const BackendName& server, RequestClass requestClass, const AttemptReport& report)
{
    const std::lock_guard guard(this->lock);
    release(this->scheduler, server, requestClass, report, Clock::now(), this->random);
    this->pumpLocked();
}

void SlotPool::tick()
{
    const std::lock_guard guard(this->lock);
    this->pumpLocked();
}

void SlotPool::pumpLocked()
{
    for (const auto& grant : dispatchWaiting(this->scheduler, Clock::now(), this->random)) {
        std::optional<BackendName> server;
        if (grant.server) {
            server = this->scheduler.table.servers[*grant.server].name;
            this->granted.add();
        }
        this->settle(grant.id, std::move(server), ErrorKind::DeadlineTooShort, std::chrono::seconds(1));
    }
}

void SlotPool::settle(
    std::uint64_t id, std::optional<BackendName> server, ErrorKind kind, std::chrono::milliseconds retryAfter)
{
    const auto found = this->waiters.find(id);
    if (found == this->waiters.end())
        return;
    const auto waiter = found->second;
    this->waiters.erase(found);
    this->waiting.add(-1);
    asio::post(waiter->timer.get_executor(), [waiter, server = std::move(server), kind, retryAfter] {
        waiter->isSettled = true;
        waiter->server = server;
        waiter->kind = kind;
        waiter->retryAfter = retryAfter;
        waiter->timer.cancel();
    });
}

ServerState* SlotPool::find(const BackendName& server)
{
    const auto found = this->scheduler.indexes.find(server);
    return found == this->scheduler.indexes.end() ? nullptr : &this->scheduler.table.servers[found->second];
}

void SlotPool::noteReport(const BackendName& server, const LoadReport& report, bool takesRollouts)
{
    const std::lock_guard guard(this->lock);
    auto* state = this->find(server);
    if (!state)
        return;
    onLoadReport(this->scheduler, server, report);
    state->reportsReady = takesRollouts;
    this->pumpLocked();
}

void SlotPool::noteSign(const BackendName& server, HealthSignal healthSignal, std::chrono::microseconds took)
{
    const std::lock_guard guard(this->lock);
    auto* state = this->find(server);
    if (state)
        recordHealthSignal(state->health, this->scheduler.table.health, healthSignal, took, Clock::now(), this->random);
}

void SlotPool::noteLeaving(const BackendName& server)
{
    const std::lock_guard guard(this->lock);
    auto* state = this->find(server);
    if (state)
        markLeaving(state->health, Clock::now());
}

void SlotPool::noteCacheEvents(
    const BackendName& server, const std::vector<std::uint64_t>& stored, const std::vector<std::uint64_t>& evicted)
{
    const std::lock_guard guard(this->lock);
    const auto found = this->scheduler.indexes.find(server);
    if (found == this->scheduler.indexes.end())
        return;
    for (const auto block : stored)
        recordStored(this->scheduler.table.prefixes, block, found->second);
    for (const auto block : evicted)
        recordEvicted(this->scheduler.table.prefixes, block, found->second);
}

std::vector<BackendName> SlotPool::servers() const
{
    const std::lock_guard guard(this->lock);
    std::vector<BackendName> names;
    for (const auto& server : this->scheduler.table.servers)
        names.push_back(server.name);
    return names;
}

json::value SlotPool::dump() const
{
    const std::lock_guard guard(this->lock);
    const auto now = Clock::now();
    json::object servers;
    for (const auto& server : this->scheduler.table.servers)
        servers[server.name.value()] = serverJson(server, now);
    json::object pool;
    pool["waiting"] = this->scheduler.queue.size;
    pool["capacity"] = this->scheduler.capacity;
    pool["reserved_for_bookings"] = reservedSlots(this->scheduler, now);
    pool["mean_seconds"] = this->scheduler.table.health.meanSeconds;
    pool["servers"] = std::move(servers);
    return pool;
}

} // namespace topaztack
