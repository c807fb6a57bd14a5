#include <topaztack/policy/server_health.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t failuresToEject = 3;
    constexpr std::uint32_t answersToJudge = 20;
    constexpr double slowFactor = 4;
    constexpr double meanGain = 0.1;
    constexpr Duration shortestEjection = 1s;
    constexpr Duration longestEjection = 30s;
    constexpr std::uint32_t mostDoublings = 5;

    void learn(ServerHealth& health, PoolHealth& pool, double seconds)
    {
        health.meanSeconds += health.answers == 0 ? seconds : meanGain * (seconds - health.meanSeconds);
        health.answers = std::min(health.answers + 1, answersToJudge);
        const auto gain = meanGain / std::max<std::uint32_t>(1, pool.servers);
        pool.meanSeconds = pool.meanSeconds == 0 ? seconds : pool.meanSeconds + gain * (seconds - pool.meanSeconds);
    }

    bool isSlow(const ServerHealth& health, const PoolHealth& pool)
    {
        return health.answers >= answersToJudge && pool.meanSeconds > 0
            && health.meanSeconds > slowFactor * pool.meanSeconds;
    }

    void eject(ServerHealth& health, PoolHealth& pool, TimePoint now, Random& random)
    {
        if (!health.isEjected && pool.ejected >= maxEjected(pool.servers))
            return;
        if (!health.isEjected)
            ++pool.ejected;
        health.isEjected = true;
        const auto doublings = std::min(health.ejections, mostDoublings);
        const auto time = std::min<Duration>(longestEjection, shortestEjection * (1 << doublings));
        const auto jitter = Duration(random.below(static_cast<std::uint64_t>(time.count() / 4)));
        health.ejectedUntil = now + time + jitter;
        ++health.ejections;
        health.answers = 0;
        health.failuresInRow = 0;
    }

    void takeBack(ServerHealth& health, PoolHealth& pool)
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

void recordHealthSignal(ServerHealth& health, PoolHealth& pool, HealthSignal sign, std::chrono::microseconds took,
    TimePoint now, Random& random)
{
    const bool isProbe = health.isEjected && now >= health.ejectedUntil;
    if (sign == HealthSignal::Answered) {
        health.failuresInRow = 0;
        learn(health, pool, std::chrono::duration<double>(took).count());
        if (isProbe)
            takeBack(health, pool);
        else if (!health.isEjected && isSlow(health, pool))
            eject(health, pool, now, random);
        else if (!health.isEjected && health.answers >= answersToJudge)
            health.ejections = 0;
        return;
    }
    ++health.failuresInRow;
    if (isProbe || sign == HealthSignal::Unreachable || health.failuresInRow >= failuresToEject)
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
