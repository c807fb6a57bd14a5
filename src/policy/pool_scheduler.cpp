#include <topaztack/policy/pool_scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// One in this many slots is reserved for bookings.
    constexpr std::uint32_t reservedDivisor = 8;
    /// Limit of the expected waiting time, as a fraction of the time left to the deadline less the mean response time.
    /// Service times vary, and work on a request that misses its deadline is wasted.
    constexpr double maxWaitingFraction = 0.5;
    constexpr std::chrono::milliseconds minRetryAfter = 100ms;
    constexpr std::chrono::milliseconds maxRetryAfter = 60s;
    /// Used while the drain rate is not known, and if no backend server is eligible.
    constexpr std::chrono::milliseconds defaultRetryAfter = 1s;

    std::vector<ServerIndex> avoidedIndexes(const PoolScheduler& pool, const AdmissionRequest& incoming)
    {
        std::vector<ServerIndex> indexes;
        for (const auto& name : incoming.avoid) {
            const auto found = pool.indexes.find(name);
            if (found != pool.indexes.end())
                indexes.push_back(found->second);
        }
        return indexes;
    }

    /// Whether the reservation for bookings lets a request of this class take a slot. Bookings always may, others only
    /// outside the reserved slots; one of these may always run.
    bool mayTakeSlot(const PoolScheduler& pool, RequestClass requestClass, TimePoint now)
    {
        return requestClass == RequestClass::Booking
            || pool.backgroundInFlight + reservedSlots(pool, now) < pool.capacity + pool.borrowed
            || pool.backgroundInFlight == 0;
    }

    /// Chooses a backend server with a free slot, avoided ones only if allowed and no other is free.
    std::optional<ServerIndex> findSlot(
        PoolScheduler& pool, const AdmissionRequest& incoming, TimePoint now, Random& random)
    {
        if (!mayTakeSlot(pool, incoming.request.requestClass, now))
            return std::nullopt;
        const auto avoided = avoidedIndexes(pool, incoming);
        RouteQuery query { incoming.blocks, avoided, incoming.oldestVersion, incoming.isRollout };
        auto server = chooseServer(pool.table, query, now, random);
        if (!server && incoming.mayUseAvoided && !avoided.empty()) {
            query.avoid = {};
            server = chooseServer(pool.table, query, now, random);
        }
        return server;
    }

    /// Counts the request at the backend server, which will cache its prompt.
    void occupySlot(PoolScheduler& pool, ServerIndex index, const AdmissionRequest& incoming)
    {
        ++pool.table.servers[index].inFlight;
        if (incoming.request.requestClass != RequestClass::Booking)
            ++pool.backgroundInFlight;
        for (const auto block : incoming.blocks)
            recordStored(pool.table.prefixes, block, index);
    }

    /// Whether any backend server is eligible for the request, now or once a slot is free.
    bool hasEligibleServer(const PoolScheduler& pool, const AdmissionRequest& incoming, TimePoint now)
    {
        const auto avoided = incoming.mayUseAvoided ? std::vector<ServerIndex> {} : avoidedIndexes(pool, incoming);
        const RouteQuery query { {}, avoided, incoming.oldestVersion, incoming.isRollout };
        for (ServerIndex index = 0; index < pool.table.servers.size(); ++index) {
            const auto& server = pool.table.servers[index];
            if (isEligible(server, index, query) && now >= server.health.leavingUntil)
                return true;
        }
        return false;
    }

    /// The time in which the pool serves this many requests, within bounds.
    std::chrono::milliseconds retryAfterFor(double requests, double rate)
    {
        if (rate <= 0)
            return defaultRetryAfter;
        const std::chrono::milliseconds time(static_cast<std::int64_t>(std::ceil(1000 * requests / rate)));
        return std::clamp(time, minRetryAfter, maxRetryAfter);
    }

    /// Whether a new request would presumably miss its deadline, with those ahead of it in the queue.
    bool isExpectedTooLate(const PoolScheduler& pool, const AdmissionRequest& incoming, TimePoint now)
    {
        const auto rate = drainRate(pool);
        if (rate <= 0)
            return incoming.request.deadline <= now;
        const auto ahead = static_cast<double>(countQueuedAhead(pool.queue, incoming.request.requestClass) + 1);
        const std::chrono::duration<double> needed(ahead / rate / maxWaitingFraction + pool.table.health.meanSeconds);
        return now + std::chrono::duration_cast<Duration>(needed) > incoming.request.deadline;
    }

    /// Whether a waiting request would miss its deadline even if it started now.
    bool isTooLateToStart(const PoolScheduler& pool, const QueuedRequest& request, TimePoint now)
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
    return std::max<std::uint32_t>(1, pool.capacity / reservedDivisor);
}

double drainRate(const PoolScheduler& pool)
{
    return pool.table.health.meanSeconds > 0 ? (pool.capacity + pool.borrowed) / pool.table.health.meanSeconds : 0;
}

Admission admit(PoolScheduler& pool, AdmissionRequest incoming, TimePoint now, Random& random)
{
    const auto requestClass = incoming.request.requestClass;
    if (requestClass == RequestClass::Booking)
        pool.lastBookingAt = now;
    if (countQueuedAhead(pool.queue, requestClass) == 0) {
        const auto server = findSlot(pool, incoming, now, random);
        if (server) {
            occupySlot(pool, *server, incoming);
            return { AdmissionKind::Granted, *server, {}, std::nullopt };
        }
    }
    if (!hasEligibleServer(pool, incoming, now))
        return refused(AdmissionKind::NoServer, defaultRetryAfter);
    const auto ahead = static_cast<double>(countQueuedAhead(pool.queue, requestClass));
    if (isExpectedTooLate(pool, incoming, now))
        return refused(AdmissionKind::TooLate, retryAfterFor(ahead, drainRate(pool)));
    Admission admission { AdmissionKind::Queued, 0, {}, std::nullopt };
    if (pool.queue.size >= pool.queueLimit) {
        const auto displaced = evictLessUrgent(pool.queue, requestClass);
        if (!displaced)
            return refused(AdmissionKind::QueueFull, retryAfterFor(ahead, drainRate(pool)));
        pool.waiting.erase(displaced->id);
        admission.displaced = displaced->id;
        admission.retryAfter = retryAfterFor(static_cast<double>(pool.queue.size), drainRate(pool));
    }
    const auto id = incoming.request.id;
    pushRequest(pool.queue, incoming.request);
    pool.waiting.emplace(id, std::move(incoming));
    return admission;
}

void release(PoolScheduler& pool, const BackendName& server, RequestClass requestClass, const AttemptReport& report,
    TimePoint now, Random& random)
{
    if (requestClass != RequestClass::Booking && pool.backgroundInFlight > 0)
        --pool.backgroundInFlight;
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
    std::vector<WaitResult> results;
    while (pool.queue.size > 0) {
        std::optional<ServerIndex> server;
        const auto next = popRequest(pool.queue, [&](const QueuedRequest& request) {
            if (isTooLateToStart(pool, request, now))
                return true;
            return findSlot(pool, pool.waiting.at(request.id), now, random).has_value();
        });
        if (!next)
            break;
        const bool isTooLate = isTooLateToStart(pool, *next, now);
        if (!isTooLate)
            server = findSlot(pool, pool.waiting.at(next->id), now, random);
        if (server)
            occupySlot(pool, *server, pool.waiting.at(next->id));
        pool.waiting.erase(next->id);
        results.push_back({ next->id, isTooLate ? std::nullopt : server });
    }
    return results;
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
