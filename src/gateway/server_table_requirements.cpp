#include "server_table.hpp"

#include <algorithm>

/// @file
/// What a request requires of a server: its limit and its software version.

namespace topaztack {

namespace asio = boost::asio;

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
