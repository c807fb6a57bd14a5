#include "server_table.hpp"

#include <algorithm>

/// @file
/// Counts of requests and servers of a pool, for the decision on how many servers to order.

namespace topaztack {

using namespace std::chrono_literals;

namespace {

    constexpr Duration unservedPeriod = 5s;
    /// Requests at one server that failed in a row before it counts as failing for longer than a passing disturbance.
    constexpr std::uint32_t minFailuresOfSuspect = 3;
    /// Time between two events relative to the pool's median, from which a server counts as slow.
    constexpr double minSlowness = 1.7;

} // namespace

void ServerTable::recordUnserved(const PoolName& pool)
{
    const auto now = Clock::now();
    auto& recent = this->unserved[pool];
    std::erase_if(recent, [now](const auto& second) { return now - second.startedAt >= unservedPeriod; });
    if (recent.empty() || now - recent.back().startedAt >= 1s)
        recent.push_back({ now, 0 });
    ++recent.back().count;
}

PoolUsage ServerTable::usageOf(const PoolName& pool) const
{
    const auto now = Clock::now();
    PoolUsage result;
    for (const auto& [name, usage] : this->usageByServer) {
        const auto* server = this->find(name);
        if (!server || server->pool != pool)
            continue;
        result.running += usage.callers;
        if (usage.tokens > 0)
            result.generations += usage.outstanding;
        result.tokens += usage.tokens;
    }
    const auto recent = this->unserved.find(pool);
    if (recent != this->unserved.end()) {
        for (const auto& second : recent->second) {
            if (now - second.startedAt < unservedPeriod)
                result.refusedPerSecond += static_cast<double>(second.count);
        }
        result.refusedPerSecond /= std::chrono::duration<double>(unservedPeriod).count();
    }
    const auto seconds = this->answerSeconds.find(pool);
    if (seconds != this->answerSeconds.end())
        result.answerTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds->second));
    return result;
}

std::map<ServerGroup, ServerGroupCount> ServerTable::countGroups(const PoolName& pool)
{
    const auto now = Clock::now();
    std::map<ServerGroup, ServerGroupCount> groups;
    const auto& snapshot = this->snapshotOf(pool, now);
    for (const auto& member : snapshot.members) {
        const auto& server = *member.record;
        const auto& usage = *member.usage;
        auto& count = groups[{ server.dataCentre, server.isReclaimable }];
        const bool isFailing = usage.endedAt || usage.isSilent
            || (now < usage.suspectedUntil && usage.consecutiveFailures >= minFailuresOfSuspect);
        const bool hasWeights = server.models.empty()
            || std::any_of(server.models.begin(), server.models.end(),
                [](const auto& loaded) { return loaded.version.value() > 0; });
        if (server.isLeaving) {
            ++count.leaving;
            count.reclaimed += server.leavesIn ? 1 : 0;
        } else if (isFailing) {
            ++count.suspected;
        } else if (!hasWeights) {
            ++count.starting;
        } else if (snapshot.medianIntervalSeconds > 0
            && usage.intervalSeconds > minSlowness * snapshot.medianIntervalSeconds) {
            ++count.slow;
        } else {
            ++count.usable;
        }
    }
    return groups;
}

} // namespace topaztack
