#include <topaztack/policy/send_limit.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// Requests in flight together are refused together.
    constexpr Duration halvingInterval = 100ms;
    constexpr Duration limitRetention = 5s;
    constexpr double minLimit = 1.0 / 64;
    /// The limit of a workspace that shares a pool at hundreds of VMs with hundreds of others.
    constexpr double minSharedLimit = 1.0 / 16384;
    /// What is known of the other VMs is some seconds old, so a share is approached in steps.
    constexpr double minShareStep = 0.35;
    constexpr double maxShareStep = 1.7;
    /// Late answers alone don't take the limit below this: a server may be slow without being full.
    constexpr double minLimitWhenLate = 1.0 / 8;
    /// Growth per second while answers are early, for one workspace and as a fraction of the limit. Both are by time
    /// and not by answer, so that the limits of all VMs come to be in proportion to their weights.
    constexpr double growthPerWeight = 0.1;
    constexpr double growthFraction = 0.3;
    /// Answers within this part of the objective show servers with free slots; the limit then grows faster.
    constexpr double idleFraction = 0.25;
    constexpr double idleGrowthFraction = 2;
    /// Decline per second while answers are late, as a fraction of the limit.
    constexpr double declineFraction = 1;
    /// Answers that are further apart count as this far apart.
    constexpr double maxAnswerGapSeconds = 0.5;
    /// By which fraction the shortest time rises each second, so that it follows servers that become slower.
    constexpr double shortestTimeRise = 0.1;
    /// A server's answer is late from this part of the objective on: the rest is left for waiting at VMs, and the
    /// server's queue doesn't fill up.
    constexpr double lateFraction = 0.4;
    /// Answers that take longer than this many times the shortest show a queue at the server.
    constexpr double lateSlowdown = 2;

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    void recordFull(SendLimit& limit, std::uint32_t inFlight, bool isUsedUp, TimePoint now)
    {
        if (limit.halvedAt && isLimited(limit, now) && now - *limit.halvedAt < halvingInterval)
            return;
        // A workspace with a single request at once is not what fills the servers.
        const auto lowest = std::min(limit.limit, isUsedUp ? minLimit : 1);
        limit.limit = isLimited(limit, now) ? std::max(lowest, limit.limit / 2) : std::max(1.0, inFlight / 2.0);
        limit.halvedAt = now;
    }

} // namespace

bool isLimited(const SendLimit& limit, TimePoint now)
{
    return limit.congestedAt && now - *limit.congestedAt < limitRetention;
}

bool isIdle(const SendLimit& limit, TimePoint now)
{
    return limit.inFlight == 0 && !isLimited(limit, now) && now - limit.lastSentAt >= limitRetention;
}

TimePoint nextSendAt(const SendLimit& limit, Duration serviceTime, TimePoint now)
{
    if (!isLimited(limit, now))
        return now;
    if (limit.inFlight > 0 && limit.inFlight + 1 > limit.limit)
        return TimePoint::max();
    if (limit.limit >= 1)
        return now;
    const auto interval = std::chrono::duration<double>(serviceTime) / limit.limit;
    return std::max(now, limit.lastSentAt + std::chrono::duration_cast<Duration>(interval));
}

void recordSend(SendLimit& limit, TimePoint now)
{
    limit.lastSentAt = now;
    ++limit.inFlight;
}

void adjustToShare(SendLimit& limit, double ratio, TimePoint now)
{
    if (!isLimited(limit, now))
        limit.limit = std::max(1U, limit.inFlight);
    limit.limit = std::max(minSharedLimit, limit.limit * std::clamp(ratio, minShareStep, maxShareStep));
    limit.congestedAt = now;
}

void lift(SendLimit& limit) { limit.congestedAt.reset(); }

void recordSendResult(SendLimit& limit, const SendResult& result, TimePoint now)
{
    const auto inFlight = limit.inFlight;
    if (limit.inFlight > 0)
        --limit.inFlight;
    if (result.outcome == SendOutcome::Other)
        return;
    const auto elapsed = std::min(maxAnswerGapSeconds, toSeconds(now - limit.adjustedAt));
    limit.adjustedAt = now;
    if (result.outcome == SendOutcome::Full) {
        recordFull(limit, inFlight, result.isUsedUp, now);
        limit.congestedAt = now;
        return;
    }
    const auto took = toSeconds(result.took);
    const auto raised = limit.shortestSeconds * (1 + shortestTimeRise * elapsed);
    limit.shortestSeconds = limit.shortestSeconds == 0 ? took : std::min(raised, took);
    if (!isLimited(limit, now))
        return;
    limit.limit += elapsed * growthPerWeight * result.weight;
    if (took <= lateFraction * toSeconds(result.latencyObjective)) {
        const bool isIdle = took <= idleFraction * toSeconds(result.latencyObjective);
        if (limit.limit < inFlight + 1)
            limit.limit += elapsed * (isIdle ? idleGrowthFraction : growthFraction) * limit.limit;
        return;
    }
    if (took > lateSlowdown * limit.shortestSeconds)
        limit.congestedAt = now;
    if (!result.isUsedUp)
        return;
    const auto lowest = std::min(limit.limit, minLimitWhenLate);
    limit.limit = std::max(lowest, limit.limit * (1 - declineFraction * elapsed));
}

} // namespace topaztack
