#include <topaztack/control/server_registry.hpp>

#include <algorithm>
#include <set>

namespace topaztack {

std::optional<WeightVersion> versionOf(const ServerRecord& server, const ModelName& model)
{
    for (const auto& loaded : server.models) {
        if (loaded.model == model)
            return loaded.version;
    }
    return std::nullopt;
}

void noteStoreRecovery(ServerRegistry& registry, TimePoint now) { registry.graceUntil = now + outageGracePeriod; }

bool noteDeparture(
    ServerRegistry& registry, const BackendName& name, std::chrono::milliseconds startedAt, TimePoint now)
{
    const auto [place, isNew] = registry.departures.try_emplace(name);
    auto& departure = place->second;
    const bool isKnown = !isNew && departure.startedAt >= startedAt;
    departure.startedAt = std::max(departure.startedAt, startedAt);
    departure.announcedAt = now;
    const auto entry = registry.entries.find(name);
    if (entry != registry.entries.end())
        applyDeparture(registry, entry->second.record);
    return !isKnown;
}

void applyDeparture(const ServerRegistry& registry, ServerRecord& record)
{
    const auto departure = registry.departures.find(record.name);
    if (departure != registry.departures.end() && record.startedAt <= departure->second.startedAt)
        record.isLeaving = true;
}

void putServer(ServerRegistry& registry, ServerRecord record)
{
    applyDeparture(registry, record);
    auto& entry = registry.entries[record.name];
    entry.record = std::move(record);
    entry.removeAt.reset();
}

void markServerAbsent(ServerRegistry& registry, const BackendName& name, TimePoint now)
{
    const auto found = registry.entries.find(name);
    if (found == registry.entries.end())
        return;
    const bool mayHaveExpiredInOutage = now < registry.graceUntil && !found->second.record.isLeaving;
    if (!mayHaveExpiredInOutage)
        registry.entries.erase(found);
    else if (!found->second.removeAt)
        found->second.removeAt = registry.graceUntil;
}

void retainServers(ServerRegistry& registry, const std::vector<BackendName>& present, TimePoint now)
{
    const std::set<BackendName> listed(present.begin(), present.end());
    std::vector<BackendName> missing;
    for (const auto& [name, entry] : registry.entries) {
        if (!listed.contains(name))
            missing.push_back(name);
    }
    for (const auto& name : missing)
        markServerAbsent(registry, name, now);
}

std::vector<BackendName> removeExpiredServers(ServerRegistry& registry, TimePoint now, bool isStoreUnavailable)
{
    std::erase_if(registry.departures, [&registry, now](const auto& departure) {
        return now - departure.second.announcedAt >= departureRetention && !registry.entries.contains(departure.first);
    });
    std::vector<BackendName> expired;
    if (isStoreUnavailable)
        return expired;
    for (const auto& [name, entry] : registry.entries) {
        if (entry.removeAt && now >= *entry.removeAt)
            expired.push_back(name);
    }
    for (const auto& name : expired)
        registry.entries.erase(name);
    return expired;
}

} // namespace topaztack
