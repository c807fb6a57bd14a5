#include <topaztack/policy/server_health.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t failuresToEject = 3;
    /// A backend server is not judged slow before this many responses.
    constexpr std::uint32_t minResponsesToJudge = 20;
    /// A backend server is slow if its mean time is more than this multiple of the pool's.
    constexpr double slowThreshold = 4;
    /// Weight of a new sample in a moving average.
    constexpr double smoothingFactor = 0.1;
    constexpr Duration minEjectionTime = 1s;
    constexpr Duration maxEjectionTime = 30s;
    constexpr std::uint32_t maxDoublings = 5;

    /// Updates the moving averages of the backend server and of the pool.
    void updateMeans(ServerHealth& health, PoolHealth& pool, double seconds)
    {
        health.meanSeconds += health.responses == 0 ? seconds : smoothingFactor * (seconds - health.meanSeconds);
        health.responses = std::min(health.responses + 1, minResponsesToJudge);
        const auto poolFactor = smoothingFactor / std::max<std::uint32_t>(1, pool.servers);
        pool.meanSeconds
            = pool.meanSeconds == 0 ? seconds : pool.meanSeconds + poolFactor * (seconds - pool.meanSeconds);
    }

    bool isSlow(const ServerHealth& health, const PoolHealth& pool)
    {
        return health.responses >= minResponsesToJudge && pool.meanSeconds > 0
            && health.meanSeconds > slowThreshold * pool.meanSeconds;
    }

    /// Ejects the backend server, each time for longer, unless too many of the pool are ejected already.
    void eject(ServerHealth& health, PoolHealth& pool, TimePoint now, Random& random)
    {
        if (!health.isEjected && pool.ejected >= maxEjected(pool.servers))
            return;
        if (!health.isEjected)
            ++pool.ejected;
        health.isEjected = true;
        const auto doublings = std::min(health.ejections, maxDoublings);
        const auto ejectionTime = std::min<Duration>(maxEjectionTime, minEjectionTime * (1 << doublings));
        const auto jitter = Duration(random.below(static_cast<std::uint64_t>(ejectionTime.count() / 4)));
        health.ejectedUntil = now + ejectionTime + jitter;
        ++health.ejections;
        health.responses = 0;
        health.consecutiveFailures = 0;
    }

    void readmit(ServerHealth& health, PoolHealth& pool)
    {
        health.isEjected = false;
        --pool.ejected;
    }

} // namespace

std::uint32_t maxEjected(std::uint32_t servers)
{
    if (servers < 2)
        return 0;
    return std::max<std::uint32_t>(1, servers / 3);
}

void recordHealthSignal(ServerHealth& health, PoolHealth& pool, HealthSignal signal, std::chrono::microseconds took,
    TimePoint now, Random& random)
{
    const bool isProbe = health.isEjected && now >= health.ejectedUntil;
    if (signal == HealthSignal::Answered) {
        health.consecutiveFailures = 0;
        updateMeans(health, pool, std::chrono::duration<double>(took).count());
        if (isProbe)
            readmit(health, pool);
        else if (!health.isEjected && isSlow(health, pool))
            eject(health, pool, now, random);
        else if (!health.isEjected && health.responses >= minResponsesToJudge)
            health.ejections = 0;
        return;
    }
    ++health.consecutiveFailures;
    if (isProbe || signal == HealthSignal::Unreachable || health.consecutiveFailures >= failuresToEject)
        eject(health, pool, now, random);
}

void markLeaving(ServerHealth& health, TimePoint now) { health.leavingUntil = now + leavingTimeout; }

std::uint32_t limitByHealth(const ServerHealth& health, std::uint32_t allowance, TimePoint now)
{
    if (now < health.leavingUntil)
        return 0;
    if (!health.isEjected)
        return allowance;
    return now < health.ejectedUntil ? 0 : std::min<std::uint32_t>(1, allowance);
}

} // namespace topaztack
