#include "server_table.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/policy/crash_evidence.hpp>

#include <algorithm>

/// @file
/// Servers whose process ended, and what a pool can do without.

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// A process that is gone refuses connections at once; a server behind a partition doesn't answer.
    constexpr Duration probeTimeout = 150ms;
    /// A server that crashed may have taken another one with it.
    constexpr std::size_t maxOthersProbed = 3;
    /// What a server wrote before it ended may be read this much later.
    constexpr Duration recordDelay = 1s;
    /// A server that crashed is back within this time, and counts as part of its pool until then.
    constexpr Duration poolSizeRetention = 30s;

} // namespace

asio::awaitable<bool> ServerTable::hasEnded(ServerRecord server)
{
    const auto usage = this->usageByServer.find(server.name);
    const auto* known = this->find(server.name);
    const bool isCurrent = known && known->startedAt == server.startedAt;
    if (isCurrent && usage != this->usageByServer.end() && usage->second.endedAt)
        co_return true;
    const auto probed = co_await this->context.httpClient.probe(
        server.endpoint, Clock::now() + probeTimeout, ProbeMode::AnyConnection);
    if (probed != ProbeResult::Refused)
        co_return false;
    const bool isLinkSound = co_await this->reachesAnotherServer(server.name);
    if (!isLinkSound)
        co_return false;
    // A server that announced its departure ends without anybody's fault.
    known = this->find(server.name);
    if (known && known->isLeaving)
        co_return false;
    this->markEnded({ server.name, server.startedAt });
    co_return true;
}

/// Whether any other server takes a connection: a VM whose links are gone may see all of them refused. True if there is
/// no other server.
asio::awaitable<bool> ServerTable::reachesAnotherServer(BackendName except)
{
    std::vector<Endpoint> others;
    for (const auto& [name, entry] : this->servers.entries) {
        const auto usage = this->usageByServer.find(name);
        const bool isKnownEnded = usage != this->usageByServer.end() && usage->second.endedAt;
        if (name != except && !entry.record.isLeaving && !isKnownEnded)
            others.push_back(entry.record.endpoint);
    }
    this->keepRandom(others, maxOthersProbed);
    for (const auto& other : others) {
        const auto probed
            = co_await this->context.httpClient.probe(other, Clock::now() + probeTimeout, ProbeMode::NewConnection);
        if (probed == ProbeResult::Listening)
            co_return true;
    }
    co_return others.empty();
}

void ServerTable::markEnded(const ServerStart& server)
{
    const auto* known = this->find(server.name);
    if (!known || known->startedAt != server.startedAt)
        return;
    auto& usage = this->usageByServer[server.name];
    if (usage.endedAt)
        return;
    usage.endedAt = Clock::now();
    logEvent(LogLevel::Info, "server-ended",
        { { "server", server.name.value() }, { "pool", known->pool.value() }, { "address", toText(known->endpoint) },
            { "outstanding", std::to_string(usage.outstanding) } });
}

/// A record that is written anew shows that the server lives, whatever was concluded from refused connections.
void ServerTable::recordSignOfLife(const ServerRecord& server)
{
    const auto usage = this->usageByServer.find(server.name);
    const auto* known = this->find(server.name);
    const bool isSameStart = known && known->startedAt == server.startedAt;
    if (usage == this->usageByServer.end() || !usage->second.endedAt || !isSameStart
        || Clock::now() - *usage->second.endedAt < recordDelay)
        return;
    usage->second.endedAt.reset();
    logEvent(LogLevel::Info, "server-alive-again", { { "server", server.name.value() } });
    this->crashes.withdrawEnd({ server.name, server.startedAt });
    this->beginPace(server, "alive-again", true);
}

void ServerTable::recordPoolSizes(TimePoint now)
{
    std::map<PoolName, std::size_t> sizes;
    for (const auto& [name, entry] : this->servers.entries)
        ++sizes[entry.record.pool];
    for (const auto& [pool, size] : sizes) {
        auto& largest = this->largestPools[pool];
        if (size >= largest.first || now - largest.second >= poolSizeRetention)
            largest = { size, now };
    }
    std::erase_if(
        this->largestPools, [now](const auto& each) { return now - each.second.second >= poolSizeRetention; });
}

bool ServerTable::canSpareServer(const PoolName& pool)
{
    const auto now = Clock::now();
    const auto& members = this->snapshotOf(pool, now).members;
    const auto usable = std::count_if(members.begin(), members.end(), [now](const PoolMember& member) {
        return !member.record->isLeaving && !member.usage->endedAt && now >= member.usage->suspectedUntil;
    });
    const auto largest = this->largestPools.find(pool);
    return topaztack::canSpareServer(static_cast<std::size_t>(usable),
        std::max(members.size(), largest == this->largestPools.end() ? 0 : largest->second.first));
}

std::vector<Endpoint> ServerTable::someEndpoints(const PoolName& pool, std::size_t maxCount)
{
    std::vector<Endpoint> endpoints;
    for (const auto& member : this->snapshotOf(pool, Clock::now()).members) {
        if (!member.record->isLeaving && !member.usage->endedAt)
            endpoints.push_back(member.record->endpoint);
    }
    this->keepRandom(endpoints, maxCount);
    return endpoints;
}

/// Drops all but some endpoints, chosen at random.
void ServerTable::keepRandom(std::vector<Endpoint>& endpoints, std::size_t maxCount)
{
    const auto count = std::min(maxCount, endpoints.size());
    for (std::size_t index = 0; index < count; ++index)
        std::swap(endpoints[index], endpoints[index + this->context.random.below(endpoints.size() - index)]);
    endpoints.resize(count);
}

bool ServerTable::hasAnsweredSince(const PoolName& pool, TimePoint time)
{
    const auto& members = this->snapshotOf(pool, Clock::now()).members;
    return std::any_of(
        members.begin(), members.end(), [time](const PoolMember& member) { return member.usage->answeredAt > time; });
}

void ServerTable::setRisk(const BackendName& name, bool isAtRisk)
{
    const auto usage = this->usageByServer.find(name);
    if (usage != this->usageByServer.end())
        usage->second.isAtRisk = isAtRisk;
}

} // namespace topaztack
