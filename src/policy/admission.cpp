#include <topaztack/policy/admission.hpp>

#include <algorithm>
#include <cmath>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr double drainWindowSeconds = 1;
    /// Rates over less time than this are too uncertain to refuse anything.
    constexpr double minDrainSeconds = 0.1;
    /// Servers that fill up become slower faster than an average over many answers shows, and requests that start too
    /// late are lost work.
    constexpr double risingServiceTimeSmoothing = 0.5;
    constexpr double fallingServiceTimeSmoothing = 0.1;
    constexpr int defaultObjectiveParts = 6;
    constexpr Duration demandRetention = 3s;
    /// VMs report less often the more of them there are; see maxReportInterval.
    constexpr Duration costRetention = 15s;
    constexpr double maxCostFactor = 1000;
    constexpr Duration lackRetention = 5s;
    /// What servers did is less than what they can do if the limits were too low.
    constexpr double capacityHeadroom = 1.2;
    constexpr double minServed = 1e-6;
    constexpr double shareTolerance = 1.1;
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
    const auto smoothing = seconds > known.seconds ? risingServiceTimeSmoothing : fallingServiceTimeSmoothing;
    const auto deviation = known.seconds == 0 ? 0 : std::abs(seconds - known.seconds);
    known.deviationSeconds += fallingServiceTimeSmoothing * (deviation - known.deviationSeconds);
    known.seconds = known.seconds == 0 ? seconds : known.seconds + smoothing * (seconds - known.seconds);
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
        const auto ahead = workAhead(pool.waiting, arriving,
            [&pool, now](const WaitingRequest& request) { return nextSendAt(pool, request, now) <= now; });
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

TimePoint latestStart(const ServiceTime& known, Duration latencyObjective, TimePoint arrivedAt)
{
    return arrivedAt + latencyObjective - expectedServiceTime(known, latencyObjective)
        - toDuration(known.deviationSeconds);
}

AdmissionDecision decideAdmission(
    PoolQueue& pool, const WaitingRequest& arriving, bool hasServer, TimePoint now, Random& random)
{
    AdmissionDecision admission;
    admission.share = shareOf(pool.waiting, arriving.rank, arriving.workspace);
    const bool maySend = nextSendAt(pool, arriving, now) <= now;
    if (hasServer && pool.waiting.requests.empty() && maySend)
        return admission;
    pool.lackedRoomAt = now;
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
    if (pool.limits.contains(refused.workspace))
        pool.refused.insert(refused.workspace);
    Duration wait {};
    if (rate > 0) {
        if (pool.promisedUntil.size() >= maxPromises)
            expire(pool, now);
        auto& promised = pool.promisedUntil[refused.workspace];
        const auto servedAt = now + expectedWait(pool, refused, now);
        promised
            = std::min(now + maxPromise, std::max(promised, servedAt) + toDuration(toSeconds(refused.work) / rate));
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

double fairLevel(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const auto level = capacity / static_cast<double>(demands.size() - index);
        if (demands[index] >= level)
            return level;
        capacity -= demands[index];
    }
    return demands.empty() ? capacity : demands.back() + capacity;
}

void setLevels(std::map<WorkspaceName, TotalUse>& workspaces)
{
    std::map<std::uint64_t, std::vector<double>> demands;
    double capacity = 0;
    for (const auto& [workspace, total] : workspaces) {
        demands[total.rank].push_back(total.demand);
        capacity += capacityHeadroom * total.served;
    }
    std::map<std::uint64_t, double> levels;
    for (const auto& [rank, each] : demands) {
        const auto level = fairLevel(each, capacity);
        levels[rank] = level;
        for (const auto demand : each)
            capacity -= std::min(demand, level);
        capacity = std::max(0.0, capacity);
    }
    for (auto& [workspace, total] : workspaces)
        total.level = std::max(minServed, levels.at(total.rank));
}

void applyTotalUse(PoolQueue& pool, const WorkspaceName& workspace, const TotalUse& total, TimePoint now)
{
    const auto found = pool.demands.find(workspace);
    if (found == pool.demands.end())
        return;
    found->second.heardAt = now;
    const auto own = drainPerSecond(found->second.arrived, now);
    if (own > 0)
        pool.waiting.costFactors[workspace] = std::clamp(total.demand / own, 1.0, maxCostFactor);
    const auto limit = pool.limits.find(workspace);
    if (total.demand > shareTolerance * total.level) {
        if (total.served > total.level || limit != pool.limits.end())
            adjustToShare(pool.limits[workspace], total.level / std::max(total.served, minServed), now);
    } else if (limit != pool.limits.end())
        lift(limit->second);
}

void recordResult(PoolQueue& pool, const WaitingRequest& request, SendOutcome outcome, Duration took,
    Duration latencyObjective, TimePoint now)
{
    SendResult result { outcome, took, latencyObjective };
    result.isUsedUp = waitingWork(pool.waiting, request.rank, request.workspace) > Duration {}
        || pool.refused.contains(request.workspace);
    result.weight = weightOf(pool, request.workspace);
    pool.refused.erase(request.workspace);
    recordSendResult(pool.limits[request.workspace], result, now);
    if (outcome != SendOutcome::Answered)
        return;
    recordDrained(pool.drain, request.work, now);
    recordDrained(pool.demands[request.workspace].served, request.work, now);
}

double weightOf(const PoolQueue& pool, const WorkspaceName& workspace)
{
    const auto factor = pool.waiting.costFactors.find(workspace);
    return factor == pool.waiting.costFactors.end() ? 1 : 1 / factor->second;
}

bool lacksRoom(const PoolQueue& pool, TimePoint now)
{
    if (pool.lackedRoomAt && now - *pool.lackedRoomAt < lackRetention)
        return true;
    return std::any_of(
        pool.limits.begin(), pool.limits.end(), [now](const auto& each) { return isLimited(each.second, now); });
}

TimePoint nextSendAt(const PoolQueue& pool, const WaitingRequest& request, TimePoint now)
{
    const auto limit = pool.limits.find(request.workspace);
    return limit == pool.limits.end() ? now : nextSendAt(limit->second, request.work, now);
}

TimePoint nextEventAt(const PoolQueue& pool, TimePoint now)
{
    auto first = nextLateAt(pool.waiting).value_or(TimePoint::max());
    for (const auto& request : firstRequests(pool.waiting))
        first = std::min(first, nextSendAt(pool, request, now));
    return first;
}

void expire(PoolQueue& pool, TimePoint now)
{
    std::erase_if(pool.promisedUntil, [now](const auto& each) { return each.second <= now; });
    std::erase_if(pool.limits, [now](const auto& each) { return isIdle(each.second, now); });
    std::erase_if(pool.refused, [&pool](const auto& each) { return !pool.limits.contains(each); });
    std::erase_if(
        pool.demands, [now](const auto& each) { return now - each.second.arrived.updatedAt > demandRetention; });
    std::erase_if(pool.waiting.costFactors, [&pool, now](const auto& each) {
        const auto demand = pool.demands.find(each.first);
        return demand == pool.demands.end() || now - demand->second.heardAt > costRetention;
    });
}

} // namespace topaztack
