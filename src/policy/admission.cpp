#include <topaztack/policy/admission.hpp>

#include <algorithm>
#include <cmath>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr double drainWindowSeconds = 1;
    /// Rates over less time than this are too uncertain to refuse anything.
    constexpr double minDrainSeconds = 0.1;
    constexpr double serviceTimeSmoothing = 0.1;
    constexpr int defaultObjectiveParts = 6;
    constexpr Duration demandRetention = 3s;
    /// VMs report less often the more of them there are; see maxReportInterval.
    constexpr Duration costRetention = 15s;
    constexpr double maxCostFactor = 1000;
    constexpr std::size_t maxPromises = 1024;
    /// Leaves room for the jitter.
    constexpr Duration maxPromise = maxRefusalRetryAfter / 2;

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    double decay(Duration elapsed) { return std::exp(-toSeconds(elapsed) / drainWindowSeconds); }

} // namespace

void recordDrained(DrainRate& drain, Duration work, TimePoint now)
{
    if (!drain.startedAt || toSeconds(now - drain.updatedAt) > 2 * drainWindowSeconds)
        drain = { 0, now, now };
    drain.work = drain.work * decay(now - drain.updatedAt) + toSeconds(work);
    drain.updatedAt = now;
}

double drainPerSecond(const DrainRate& drain, TimePoint now)
{
    if (!drain.startedAt || toSeconds(now - *drain.startedAt) < minDrainSeconds)
        return 0;
    const auto covered = drainWindowSeconds * (1 - decay(now - *drain.startedAt));
    return drain.work * decay(now - drain.updatedAt) / covered;
}

void recordServiceTime(ServiceTime& known, Duration measured)
{
    const auto seconds = toSeconds(measured);
    known.seconds = known.seconds == 0 ? seconds : known.seconds + serviceTimeSmoothing * (seconds - known.seconds);
}

Duration expectedServiceTime(const ServiceTime& known, Duration latencyObjective)
{
    return known.seconds == 0 ? latencyObjective / defaultObjectiveParts : toDuration(known.seconds);
}

namespace {

    const SendLimit* limitOf(const PoolQueue& pool, const WorkspaceName& workspace, TimePoint now)
    {
        const auto found = pool.limits.find(workspace);
        return found == pool.limits.end() || !isLimited(found->second, now) ? nullptr : &found->second;
    }

    /// The work per second that the workspace gets here; 0 if not known.
    double ownRate(const PoolQueue& pool, const WaitingRequest& request, TimePoint now)
    {
        const auto* limit = limitOf(pool, request.workspace, now);
        const auto share = drainPerSecond(pool.drain, now) * shareOf(pool.waiting, request.rank, request.workspace);
        if (!limit)
            return share;
        return share > 0 ? std::min(share, limit->limit) : limit->limit;
    }

    Duration expectedWait(const PoolQueue& pool, const WaitingRequest& arriving, TimePoint now)
    {
        Duration wait {};
        const auto rate = drainPerSecond(pool.drain, now);
        const auto ahead = workAhead(pool.waiting, arriving, [&](const WorkspaceName& workspace) {
            return nextSendAt(pool, workspace, arriving.work, now) <= now;
        });
        if (rate > 0)
            wait = toDuration(toSeconds(ahead) / rate);
        const auto* limit = limitOf(pool, arriving.workspace, now);
        if (!limit)
            return wait;
        const auto ownWork = waitingWork(pool.waiting, arriving.rank, arriving.workspace);
        auto ownWait = toDuration(toSeconds(ownWork) / limit->limit);
        const auto sendAt = nextSendAt(*limit, arriving.work, now);
        if (sendAt != TimePoint::max())
            ownWait += sendAt - now;
        return std::max(wait, ownWait);
    }

} // namespace

Admission decideAdmission(
    PoolQueue& pool, const WaitingRequest& arriving, bool hasServer, TimePoint now, Random& random)
{
    Admission admission;
    admission.share = shareOf(pool.waiting, arriving.rank, arriving.workspace);
    const bool maySend = nextSendAt(pool, arriving.workspace, arriving.work, now) <= now;
    if (hasServer && pool.waiting.requests.empty() && maySend)
        return admission;
    admission.expectedWait = expectedWait(pool, arriving, now);
    admission.verdict = AdmissionVerdict::Wait;
    if (now + admission.expectedWait >= arriving.latestStart) {
        admission.verdict = AdmissionVerdict::Refuse;
        admission.retryAfter = retryAfter(pool, arriving, now, random);
    } else if (pool.waiting.requests.size() >= maxQueueLength)
        admission.displaced = leastEntitled(pool.waiting);
    return admission;
}

std::chrono::milliseconds retryAfter(PoolQueue& pool, const WaitingRequest& refused, TimePoint now, Random& random)
{
    const auto rate = ownRate(pool, refused, now);
    Duration wait {};
    if (rate > 0) {
        if (pool.promisedUntil.size() >= maxPromises)
            expire(pool, now);
        auto& promised = pool.promisedUntil[refused.workspace];
        const auto servedAt = now + expectedWait(pool, refused, now);
        promised = std::min(now + maxPromise, std::max(promised, servedAt) + toDuration(toSeconds(refused.work) / rate));
        wait = promised - now;
    }
    const auto base = std::max(minRefusalRetryAfter, toMilliseconds(wait));
    const auto jitter = std::chrono::milliseconds(random.below(static_cast<std::uint64_t>(base.count()) + 1));
    return std::min(maxRefusalRetryAfter, base + jitter);
}

void recordArrival(PoolQueue& pool, const WorkspaceName& workspace, Duration work, TimePoint now)
{
    recordDrained(pool.demands[workspace].arrived, work, now);
}

void applyTotalDemand(PoolQueue& pool, const WorkspaceName& workspace, double perSecond, TimePoint now)
{
    const auto found = pool.demands.find(workspace);
    if (found == pool.demands.end())
        return;
    const auto own = drainPerSecond(found->second.arrived, now);
    found->second.everywhere = perSecond;
    found->second.heardAt = now;
    if (own > 0)
        pool.waiting.costFactors[workspace] = std::clamp(perSecond / own, 1.0, maxCostFactor);
}

double weightOf(const PoolQueue& pool, const WorkspaceName& workspace)
{
    const auto factor = pool.waiting.costFactors.find(workspace);
    return factor == pool.waiting.costFactors.end() ? 1 : 1 / factor->second;
}

bool isLimited(const PoolQueue& pool, TimePoint now)
{
    return std::any_of(
        pool.limits.begin(), pool.limits.end(), [now](const auto& each) { return isLimited(each.second, now); });
}

TimePoint nextSendAt(const PoolQueue& pool, const WorkspaceName& workspace, Duration serviceTime, TimePoint now)
{
    const auto limit = pool.limits.find(workspace);
    return limit == pool.limits.end() ? now : nextSendAt(limit->second, serviceTime, now);
}

TimePoint nextEventAt(const PoolQueue& pool, Duration serviceTime, TimePoint now)
{
    auto first = nextLateAt(pool.waiting).value_or(TimePoint::max());
    for (const auto& workspace : waitingWorkspaces(pool.waiting))
        first = std::min(first, nextSendAt(pool, workspace, serviceTime, now));
    return first;
}

void expire(PoolQueue& pool, TimePoint now)
{
    std::erase_if(pool.promisedUntil, [now](const auto& each) { return each.second <= now; });
    std::erase_if(pool.limits, [now](const auto& each) { return isIdle(each.second, now); });
    std::erase_if(
        pool.demands, [now](const auto& each) { return now - each.second.arrived.updatedAt > demandRetention; });
    std::erase_if(pool.waiting.costFactors, [&pool, now](const auto& each) {
        const auto demand = pool.demands.find(each.first);
        return demand == pool.demands.end() || now - demand->second.heardAt > costRetention;
    });
}

} // namespace topaztack
