#include "server_table.hpp"

#include <algorithm>

/// @file
/// Limits that servers state, and the versions of their software.

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// Longer than a caller waits for a stream.
    constexpr Duration softwareRetention = 15s;
    constexpr Duration softwareRecordInterval = 500ms;

} // namespace

asio::awaitable<bool> ServerTable::admit(const ServerRecord& server)
{
    const auto name = server.name;
    const auto startedAt = server.startedAt;
    if (!co_await this->quota.admit(server))
        co_return false;
    const auto* current = this->find(name);
    co_return current && current->startedAt == startedAt && !current->isLeaving;
}

asio::awaitable<void> ServerTable::charge(const ServerRecord& server) { return this->quota.charge(server); }

Duration ServerTable::timeUntilAdmission(const PoolName& pool)
{
    const auto now = Clock::now();
    std::optional<TimePoint> earliest;
    for (const auto& member : this->snapshotOf(pool, now).members) {
        const auto at = this->quota.availableAt(member.record->name);
        if (at > now && !member.record->isLeaving)
            earliest = std::min(earliest.value_or(at), at);
    }
    return earliest ? *earliest - now : Duration(0);
}

void ServerTable::recordSoftware(TimePoint now)
{
    if (now - this->softwareRecordedAt < softwareRecordInterval)
        return;
    this->softwareRecordedAt = now;
    for (const auto& [name, entry] : this->servers.entries)
        this->softwareSeen[entry.record.pool][entry.record.softwareVersion] = now;
    for (auto& [pool, seen] : this->softwareSeen)
        std::erase_if(seen, [now](const auto& each) { return now - each.second >= softwareRetention; });
}

std::optional<std::string> ServerTable::onlySoftware(const PoolName& pool) const
{
    const auto seen = this->softwareSeen.find(pool);
    const bool isWatched = this->watchedSince && Clock::now() - *this->watchedSince >= softwareRetention;
    if (!isWatched || seen == this->softwareSeen.end() || seen->second.size() != 1)
        return std::nullopt;
    return seen->second.begin()->first;
}

bool ServerTable::hasUsableServer(const PoolName& pool, const std::optional<std::string>& softwareVersion)
{
    const auto now = Clock::now();
    const auto& members = this->snapshotOf(pool, now).members;
    return std::any_of(members.begin(), members.end(), [&softwareVersion, now](const PoolMember& member) {
        const bool isFitting = !softwareVersion || member.record->softwareVersion == *softwareVersion;
        return isFitting && !member.record->isLeaving && !member.usage->endedAt && now >= member.usage->suspectedUntil
            && !member.usage->isSilent;
    });
}

} // namespace topaztack
