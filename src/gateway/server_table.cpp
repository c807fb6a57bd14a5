#include "server_table.hpp"

#include <topaztack/base/log.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    /// A server that refuses is full or loads weights: it is left alone for a while, longer each time in a row.
    constexpr Duration shortestRefusalPause = 60ms;
    constexpr std::uint32_t mostRefusalDoublings = 2;
    /// Engines make each token nearly as fast with full slots as with one; the rest spreads generations.
    constexpr double engineSlowdownWhenFull = 0.3;
    /// How long another VM's count of its generations holds; an owner writes one every 700 ms or more often.
    constexpr Duration reportLifetime = 1000ms;
    constexpr double meanGain = 0.1;
    /// A server whose events take this many times as long as usual gets no group for its prompt cache alone.
    constexpr double slowFactor = 1.7;
    /// Requests that one VM gives to a server of a plain service beyond its slots: they wait there.
    constexpr std::uint32_t queuedPerServer = 4;

    /// Versions of one incarnation only rise; a record may be older than what was seen at the server.
    void keepNewest(const ServerRecord& known, ServerRecord& record)
    {
        for (auto& loaded : record.models)
            loaded.version = std::max(loaded.version, versionOf(known, loaded.model).value_or(WeightVersion(0)));
    }

} // namespace

ServerTable::ServerTable(GatewayContext& context)
    : context(context)
    , changeNotifier(context.loop())
{
}

void ServerTable::takeRecord(ServerRecord record)
{
    const auto* known = this->find(record.name);
    if (known && known->startedAt == record.startedAt)
        keepNewest(*known, record);
    if (known && *known == record) {
        // It may have been missing for a while.
        putServer(this->servers, std::move(record));
        return;
    }
    const bool isNew = !known || known->startedAt != record.startedAt;
    if (isNew)
        this->uses[record.name] = Use { .outstanding = this->uses[record.name].outstanding };
    if (isNew || known->isLeaving != record.isLeaving)
        logEvent(LogLevel::Info, isNew ? "server-known" : "server-leaving",
            { { "server", record.name.value() }, { "pool", record.pool.value() },
                { "address", toText(record.endpoint) }, { "leaving", record.isLeaving ? "1" : "0" } });
    putServer(this->servers, std::move(record));
}

void ServerTable::takeRows(const std::vector<StoreRow>& rows, bool isWhole)
{
    const auto now = Clock::now();
    std::vector<BackendName> present;
    for (const auto& row : rows) {
        const BackendName name(row.place.key);
        if (row.isRemoved) {
            logEvent(LogLevel::Info, "server-gone", { { "server", name.value() } });
            removeServer(this->servers, name, now);
            continue;
        }
        auto record = this->context.protocol.decodeServer(row.place.key, row.value);
        if (!record) {
            logEvent(LogLevel::Warning, "server-record-refused",
                { { "server", name.value() }, { "error", record.error().message } });
            removeServer(this->servers, name, now);
            continue;
        }
        present.push_back(name);
        this->takeRecord(std::move(record).value());
    }
    if (isWhole)
        keepServers(this->servers, present, now);
    this->changeNotifier.notify();
}

void ServerTable::expire()
{
    const auto now = Clock::now();
    const auto& contact = this->context.store.contact();
    if (contact.regainedAt != this->lastReturn) {
        this->lastReturn = contact.regainedAt;
        noteStoreReturn(this->servers, now);
    }
    const bool isAway = contact.lostSince.has_value();
    for (const auto& name : expireServers(this->servers, now, isAway))
        logEvent(LogLevel::Info, "server-expired", { { "server", name.value() } });
    std::erase_if(this->others, [now](const auto& other) { return now - other.second.saidAt >= reportLifetime; });
    std::erase_if(this->uses,
        [this](const auto& use) { return use.second.outstanding == 0 && !this->servers.entries.contains(use.first); });
}

const ServerRecord* ServerTable::find(const BackendName& name) const
{
    const auto found = this->servers.entries.find(name);
    return found == this->servers.entries.end() ? nullptr : &found->second.record;
}

bool ServerTable::canServe(const ServerRecord& server, const ServerNeed& need, TimePoint now) const
{
    if (server.pool != need.pool || server.isLeaving)
        return false;
    const auto use = this->uses.find(server.name);
    if (use != this->uses.end()) {
        const auto refusing = use->second.refusingUntil.find(need.model);
        if (refusing != use->second.refusingUntil.end() && now < refusing->second)
            return false;
    }
    if (need.model.value().empty())
        return true;
    // A generation can wait a little; a plain request can't, and takes a suspected server as a last resort.
    if (use != this->uses.end() && now < use->second.suspectedUntil)
        return false;
    const auto version = versionOf(server, need.model);
    if (!version || *version < need.oldestVersion)
        return false;
    return need.exactVersion.value() == 0 || *version == need.exactVersion;
}

std::map<BackendName, std::uint32_t> ServerTable::inFlight(const PoolName& pool) const
{
    std::map<BackendName, std::uint32_t> counts;
    for (const auto& [name, use] : this->uses) {
        const auto* server = this->find(name);
        if (use.outstanding > 0 && server && server->pool == pool)
            counts[name] = use.outstanding;
    }
    return counts;
}

void ServerTable::noteOtherVm(const VmName& vm, std::map<BackendName, std::uint32_t> counts)
{
    this->others[vm] = { std::move(counts), Clock::now() };
    this->changeNotifier.notify();
}

std::uint32_t ServerTable::countOfOthers(const BackendName& name, TimePoint now) const
{
    std::uint32_t count = 0;
    for (const auto& [vm, other] : this->others) {
        const auto found = other.counts.find(name);
        if (found != other.counts.end() && now - other.saidAt < reportLifetime)
            count += found->second;
    }
    return count;
}

/// The median over the pool's servers, so that one slow server does not pass for usual.
double ServerTable::usualUnitSeconds(const PoolName& pool) const
{
    std::vector<double> seconds;
    for (const auto& [name, entry] : this->servers.entries) {
        const auto use = this->uses.find(name);
        if (entry.record.pool == pool && use != this->uses.end() && use->second.unitSeconds > 0)
            seconds.push_back(use->second.unitSeconds);
    }
    if (seconds.empty())
        return 0;
    const auto middle = seconds.begin() + static_cast<std::ptrdiff_t>(seconds.size() / 2);
    std::nth_element(seconds.begin(), middle, seconds.end());
    return *middle;
}

ServerLoad ServerTable::loadOf(
    const ServerRecord& server, const ServerNeed& need, double poolSeconds, TimePoint now) const
{
    const bool isGeneration = !need.model.value().empty();
    ServerLoad load;
    load.allowance = static_cast<std::uint32_t>(server.slots) + (isGeneration ? 0 : queuedPerServer);
    // A generation is long against the way to another data centre.
    load.isLocal = isGeneration || server.dataCentre == this->context.settings.dataCentre;
    load.wasTried = need.tried.contains(server.name);
    load.hasConnection = this->context.backends.hasIdle(server.endpoint);
    if (isGeneration) {
        load.outstanding = this->countOfOthers(server.name, now);
        load.slowdownWhenFull = engineSlowdownWhenFull;
    }
    const auto found = this->uses.find(server.name);
    if (found == this->uses.end())
        return load;
    const auto& use = found->second;
    load.outstanding += use.outstanding;
    load.isSuspected = now < use.suspectedUntil;
    if (poolSeconds > 0 && use.unitSeconds > 0)
        load.slowness = use.unitSeconds / poolSeconds;
    return load;
}

std::vector<const ServerRecord*> ServerTable::candidatesFor(const ServerNeed& need, TimePoint now) const
{
    std::vector<const ServerRecord*> candidates;
    for (const auto& [name, entry] : this->servers.entries) {
        if (this->canServe(entry.record, need, now))
            candidates.push_back(&entry.record);
    }
    return candidates;
}

std::vector<ServerLoad> ServerTable::loadsOf(
    const std::vector<const ServerRecord*>& candidates, const ServerNeed& need, TimePoint now) const
{
    const auto usual = this->usualUnitSeconds(need.pool);
    std::optional<WeightVersion> newest;
    for (const auto* server : candidates)
        newest = std::max(newest, versionOf(*server, need.model));
    std::vector<ServerLoad> loads;
    for (const auto* server : candidates) {
        loads.push_back(this->loadOf(*server, need, usual, now));
        loads.back().isBehind = versionOf(*server, need.model) < newest;
    }
    return loads;
}

std::optional<ServerRecord> ServerTable::acquire(const ServerNeed& need)
{
    const auto now = Clock::now();
    const auto candidates = this->candidatesFor(need, now);
    const auto loads = this->loadsOf(candidates, need, now);
    auto chosen = chooseServer(loads, this->context.random);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& load = loads[index];
        const bool isPreferred = candidates[index]->name == need.preferred && !load.isSuspected && !load.wasTried
            && !load.isBehind && load.slowness < slowFactor && load.outstanding < load.allowance;
        if (isPreferred)
            chosen = index;
    }
    if (!chosen)
        return std::nullopt;
    ++this->uses[candidates[*chosen]->name].outstanding;
    return *candidates[*chosen];
}

bool ServerTable::isWorthMoving(const ServerRecord& server, const ServerNeed& need, bool isAnyWaiting) const
{
    const auto use = this->uses.find(server.name);
    const auto usual = this->usualUnitSeconds(server.pool);
    if (use == this->uses.end() || usual == 0)
        return false;
    const auto slowness = use->second.unitSeconds / usual;
    if (isAnyWaiting && !isUrgentToMove(slowness))
        return false;
    const auto now = Clock::now();
    return topaztack::isWorthMoving(slowness, this->loadsOf(this->candidatesFor(need, now), need, now));
}

void ServerTable::noteUnit(const BackendName& name, Duration unitTime)
{
    auto& use = this->uses[name];
    const auto seconds = std::chrono::duration<double>(unitTime).count();
    use.unitSeconds = use.unitSeconds == 0 ? seconds : use.unitSeconds + meanGain * (seconds - use.unitSeconds);
}

void ServerTable::finish(const ServerRecord& server, ServerOutcome outcome, const ModelName& model)
{
    const auto now = Clock::now();
    auto& use = this->uses[server.name];
    if (use.outstanding > 0)
        --use.outstanding;
    switch (outcome) {
    case ServerOutcome::Answered:
        use.failuresInRow = 0;
        use.refusalsInRow = 0;
        break;
    case ServerOutcome::Refused: {
        // Requests that were under way together are refused together.
        auto& until = use.refusingUntil[model];
        if (now >= until)
            until = now + shortestRefusalPause * (1U << std::min(use.refusalsInRow++, mostRefusalDoublings));
        break;
    }
    case ServerOutcome::Replaced:
        logEvent(LogLevel::Info, "server-replaced", { { "server", server.name.value() } });
        this->servers.entries.erase(server.name);
        break;
    case ServerOutcome::Failed:
        ++use.failuresInRow;
        use.suspectedUntil = now + suspicionTime(use.failuresInRow);
        break;
    case ServerOutcome::Cancelled:
        break;
    }
    this->changeNotifier.notify();
}

void ServerTable::noteVersion(const BackendName& name, const ModelName& model, WeightVersion version)
{
    const auto found = this->servers.entries.find(name);
    if (found == this->servers.entries.end())
        return;
    for (auto& loaded : found->second.record.models) {
        if (loaded.model == model)
            loaded.version = std::max(loaded.version, version);
    }
    this->uses[name].refusingUntil.erase(model);
    this->changeNotifier.notify();
}

json::value ServerTable::dump() const
{
    json::array list;
    for (const auto& [name, entry] : this->servers.entries) {
        const auto use = this->uses.find(name);
        json::object versions;
        for (const auto& loaded : entry.record.models)
            versions[loaded.model.value()] = loaded.version.value();
        list.push_back(json::object { { "server", name.value() }, { "pool", entry.record.pool.value() },
            { "address", toText(entry.record.endpoint) }, { "leaving", entry.record.isLeaving },
            { "outstanding", use == this->uses.end() ? 0 : use->second.outstanding },
            { "versions", std::move(versions) } });
    }
    return list;
}

} // namespace topaztack
