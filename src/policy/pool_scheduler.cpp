#include <topaztack/policy/pool_scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t reservedPart = 8;
    /// A request may spend this part of its time waiting: service times vary, and a late answer is work lost.
    constexpr double mostWaitingPart = 0.5;
    constexpr std::chrono::milliseconds shortestRetryAfter = 100ms;
    constexpr std::chrono::milliseconds longestRetryAfter = 60s;
    constexpr std::chrono::milliseconds unknownRetryAfter = 1s;

    std::vector<ServerIndex> avoidedIndexes(const PoolScheduler& pool, const AdmissionRequest& ask)
    {
        std::vector<ServerIndex> indexes;
        for (const auto& name : ask.avoid) {
            const auto found = pool.indexes.find(name);
            if (found != pool.indexes.end())
                indexes.push_back(found->second);
        }
        return indexes;
    }

    bool mayTakeSlot(const PoolScheduler& pool, RequestClass requestClass, TimePoint now)
    {
        return requestClass == RequestClass::Booking
            || pool.background + reservedSlots(pool, now) < pool.capacity + pool.borrowed || pool.background == 0;
    }

    std::optional<ServerIndex> findSlot(PoolScheduler& pool, const AdmissionRequest& ask, TimePoint now, Random& random)
    {
        if (!mayTakeSlot(pool, ask.request.requestClass, now))
            return std::nullopt;
        const auto avoided = avoidedIndexes(pool, ask);
        RouteQuery query { ask.blocks, avoided, ask.oldestVersion, ask.isRollout };
        auto server = chooseServer(pool.table, query, now, random);
        if (!server && ask.mayUseAvoided && !avoided.empty()) {
            query.avoid = {};
            server = chooseServer(pool.table, query, now, random);
        }
        return server;
    }

    void take(PoolScheduler& pool, ServerIndex index, const AdmissionRequest& ask)
    {
        ++pool.table.servers[index].inFlight;
        if (ask.request.requestClass != RequestClass::Booking)
            ++pool.background;
        for (const auto block : ask.blocks)
            recordStored(pool.table.prefixes, block, index);
    }

    /// Whether any backend server may take the request, now or once a slot is free.
    bool hasServer(const PoolScheduler& pool, const AdmissionRequest& ask, TimePoint now)
    {
        const auto avoided = ask.mayUseAvoided ? std::vector<ServerIndex> {} : avoidedIndexes(pool, ask);
        const RouteQuery query { {}, avoided, ask.oldestVersion, ask.isRollout };
        for (ServerIndex index = 0; index < pool.table.servers.size(); ++index) {
            const auto& server = pool.table.servers[index];
            if (isEligible(server, index, query) && now >= server.health.leavingUntil)
                return true;
        }
        return false;
    }

    std::chrono::milliseconds timeFor(double requests, double rate)
    {
        if (rate <= 0)
            return unknownRetryAfter;
        const std::chrono::milliseconds time(static_cast<std::int64_t>(std::ceil(1000 * requests / rate)));
        return std::clamp(time, shortestRetryAfter, longestRetryAfter);
    }

    bool isTooLate(const PoolScheduler& pool, const AdmissionRequest& ask, TimePoint now)
    {
        const auto rate = drainRate(pool);
        if (rate <= 0)
            return ask.request.deadline <= now;
        const auto ahead = static_cast<double>(countQueuedAhead(pool.queue, ask.request.requestClass) + 1);
        const std::chrono::duration<double> needed(ahead / rate / mostWaitingPart + pool.table.health.meanSeconds);
        return now + std::chrono::duration_cast<Duration>(needed) > ask.request.deadline;
    }

    /// Whether a waiting request would not be done by its deadline even if it started now.
    bool isHopeless(const PoolScheduler& pool, const QueuedRequest& request, TimePoint now)
    {
        const std::chrono::duration<double> mean(pool.table.health.meanSeconds);
        return request.deadline <= now + std::chrono::duration_cast<Duration>(mean);
    }

    Admission refused(AdmissionKind kind, std::chrono::milliseconds retryAfter)
    {
        return { kind, 0, retryAfter, std::nullopt };
    }

} // namespace

void replaceServers(PoolScheduler& pool, std::vector<ServerState> servers, std::uint64_t limit)
{
    std::unordered_map<BackendName, ServerIndex> indexes;
    pool.capacity = 0;
    pool.borrowed = 0;
    pool.table.health.ejected = 0;
    for (ServerIndex index = 0; index < servers.size(); ++index) {
        auto& fresh = servers[index];
        fresh.nameHash = stableHash(fresh.name.value());
        const auto known = pool.indexes.find(fresh.name);
        if (known != pool.indexes.end()) {
            const auto& old = pool.table.servers[known->second];
            fresh.inFlight = old.inFlight;
            fresh.report = old.report;
            fresh.borrowed = old.borrowed;
            fresh.reportsReady = old.reportsReady;
            fresh.health = old.health;
        }
        indexes[fresh.name] = index;
        pool.capacity += fresh.isDraining ? 0 : fresh.share.slots;
        pool.borrowed += fresh.borrowed;
        pool.table.health.ejected += fresh.health.isEjected ? 1 : 0;
    }
    if (indexes != pool.indexes)
        pool.table.prefixes = PrefixView {};
    pool.indexes = std::move(indexes);
    pool.table.servers = std::move(servers);
    pool.table.limit = limit;
    pool.table.health.servers = static_cast<std::uint32_t>(pool.table.servers.size());
}

void onLoadReport(PoolScheduler& pool, const BackendName& server, const LoadReport& report)
{
    const auto found = pool.indexes.find(server);
    if (found == pool.indexes.end())
        return;
    auto& state = pool.table.servers[found->second];
    const bool isShortOfSlots = pool.queue.size > 0 || state.inFlight >= state.share.slots + state.borrowed;
    state.report = report;
    pool.borrowed -= state.borrowed;
    const bool hasBookings = reservedSlots(pool, report.at) > 0;
    state.borrowed
        = hasBookings ? 0 : borrowSlots(state.share, state.borrowed, pool.table.limit, report, isShortOfSlots);
    pool.borrowed += state.borrowed;
}

std::uint32_t reservedSlots(const PoolScheduler& pool, TimePoint now)
{
    if (pool.capacity < 2 || pool.lastBookingAt == TimePoint {} || now - pool.lastBookingAt > bookingReservationTime)
        return 0;
    return std::max<std::uint32_t>(1, pool.capacity / reservedPart);
}

double drainRate(const PoolScheduler& pool)
{
    return pool.table.health.meanSeconds > 0 ? (pool.capacity + pool.borrowed) / pool.table.health.meanSeconds : 0;
}

Admission admit(PoolScheduler& pool, AdmissionRequest ask, TimePoint now, Random& random)
{
    const auto requestClass = ask.request.requestClass;
    if (requestClass == RequestClass::Booking)
        pool.lastBookingAt = now;
    if (countQueuedAhead(pool.queue, requestClass) == 0) {
        const auto server = findSlot(pool, ask, now, random);
        if (server) {
            take(pool, *server, ask);
            return { AdmissionKind::Granted, *server, {}, std::nullopt };
        }
    }
    if (!hasServer(pool, ask, now))
        return refused(AdmissionKind::NoServer, unknownRetryAfter);
    const auto ahead = static_cast<double>(countQueuedAhead(pool.queue, requestClass));
    if (isTooLate(pool, ask, now))
        return refused(AdmissionKind::TooLate, timeFor(ahead, drainRate(pool)));
    Admission admission { AdmissionKind::Queued, 0, {}, std::nullopt };
    if (pool.queue.size >= pool.queueLimit) {
        const auto displaced = evictLessUrgent(pool.queue, requestClass);
        if (!displaced)
            return refused(AdmissionKind::QueueFull, timeFor(ahead, drainRate(pool)));
        pool.waiting.erase(displaced->id);
        admission.displaced = displaced->id;
        admission.retryAfter = timeFor(static_cast<double>(pool.queue.size), drainRate(pool));
    }
    const auto id = ask.request.id;
    pushRequest(pool.queue, ask.request);
    pool.waiting.emplace(id, std::move(ask));
    return admission;
}

void release(PoolScheduler& pool, const BackendName& server, RequestClass requestClass, const AttemptReport& report,
    TimePoint now, Random& random)
{
    if (requestClass != RequestClass::Booking && pool.background > 0)
        --pool.background;
    const auto found = pool.indexes.find(server);
    if (found == pool.indexes.end())
        return;
    auto& state = pool.table.servers[found->second];
    if (state.inFlight > 0)
        --state.inFlight;
    if (report.healthSignal)
        recordHealthSignal(state.health, pool.table.health, *report.healthSignal, report.took, now, random);
}

std::vector<WaitResult> dispatchWaiting(PoolScheduler& pool, TimePoint now, Random& random)
{
    std::vector<WaitResult> grants;
    while (pool.queue.size > 0) {
        std::optional<ServerIndex> server;
        const auto next = popRequest(pool.queue, [&](const QueuedRequest& request) {
            if (isHopeless(pool, request, now))
                return true;
            return findSlot(pool, pool.waiting.at(request.id), now, random).has_value();
        });
        if (!next)
            break;
        const bool isOver = isHopeless(pool, *next, now);
        if (!isOver)
            server = findSlot(pool, pool.waiting.at(next->id), now, random);
        if (server)
            take(pool, *server, pool.waiting.at(next->id));
        pool.waiting.erase(next->id);
        grants.push_back({ next->id, isOver ? std::nullopt : server });
    }
    return grants;
}

bool cancelWaiting(PoolScheduler& pool, std::uint64_t id)
{
    const auto found = pool.waiting.find(id);
    if (found == pool.waiting.end())
        return false;
    const auto& request = found->second.request;
    removeRequest(pool.queue, request.requestClass, request.trainer, id);
    pool.waiting.erase(found);
    return true;
}

} // namespace topaztack
