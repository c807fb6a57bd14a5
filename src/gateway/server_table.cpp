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
    /// For how long choices go by what was looked up of a pool's servers: reports of other VMs and kept connections.
    constexpr Duration viewLifetime = 50ms;
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
        this->uses[record.name]
            = Use { .outstanding = this->uses[record.name].outstanding, .tokens = this->uses[record.name].tokens };
    if (isNew || known->isLeaving != record.isLeaving)
        logEvent(LogLevel::Info, isNew ? "server-known" : "server-leaving",
            { { "server", record.name.value() }, { "pool", record.pool.value() },
                { "address", toText(record.endpoint) }, { "leaving", record.isLeaving ? "1" : "0" } });
    putServer(this->servers, std::move(record));
}

void ServerTable::applyRows(const std::vector<StoreRow>& rows, bool isWhole)
{
    const auto now = Clock::now();
    std::vector<BackendName> present;
    for (const auto& row : rows) {
        const BackendName name(row.place.key);
        if (row.isRemoved) {
            logEvent(LogLevel::Info, "server-gone", { { "server", name.value() } });
            markServerAbsent(this->servers, name, now);
            continue;
        }
        auto record = this->context.protocol.decodeServer(row.place.key, row.value);
        if (!record) {
            logEvent(LogLevel::Warning, "server-record-refused",
                { { "server", name.value() }, { "error", record.error().message } });
            markServerAbsent(this->servers, name, now);
            continue;
        }
        present.push_back(name);
        this->takeRecord(std::move(record).value());
    }
    if (isWhole)
        retainServers(this->servers, present, now);
    this->views.clear();
    this->changeNotifier.notify();
}

void ServerTable::expire()
{
    const auto now = Clock::now();
    const auto& contact = this->context.store.contact();
    if (contact.regainedAt != this->lastReturn) {
        this->lastReturn = contact.regainedAt;
        noteStoreRecovery(this->servers, now);
    }
    const bool isAway = contact.lostSince.has_value();
    this->views.clear();
    for (const auto& name : removeExpiredServers(this->servers, now, isAway))
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

ServerTable::PoolView& ServerTable::viewOf(const PoolName& pool, TimePoint now)
{
    const auto [place, isNew] = this->views.try_emplace(pool);
    auto& view = place->second;
    if (!isNew && now - view.builtAt < viewLifetime)
        return view;
    view = PoolView {};
    view.builtAt = now;
    const auto* configured = this->context.routes ? findPool(*this->context.routes, pool) : nullptr;
    if (configured && configured->engines)
        view.memoryTokens = configured->engines->cacheTokens;
    std::vector<double> seconds;
    for (const auto& [name, entry] : this->servers.entries) {
        if (entry.record.pool != pool)
            continue;
        Member member;
        member.record = &entry.record;
        member.use = &this->uses[name];
        member.ofOthers = this->countOfOthers(name, now);
        member.idleConnections = this->context.httpClient.idleConnections(entry.record.endpoint);
        if (member.use->unitSeconds > 0)
            seconds.push_back(member.use->unitSeconds);
        view.members.push_back(member);
    }
    if (!seconds.empty()) {
        const auto middle = seconds.begin() + static_cast<std::ptrdiff_t>(seconds.size() / 2);
        std::nth_element(seconds.begin(), middle, seconds.end());
        view.usualUnitSeconds = *middle;
        view.leastUnitSeconds = *std::min_element(seconds.begin(), seconds.end());
    }
    return view;
}

bool ServerTable::canServe(const Member& member, const ServerRequirements& need, TimePoint now) const
{
    const auto& server = *member.record;
    const auto& use = *member.use;
    if (server.isLeaving)
        return false;
    if (!use.refusingUntil.empty()) {
        const auto refusing = use.refusingUntil.find(need.model);
        if (refusing != use.refusingUntil.end() && now < refusing->second)
            return false;
    }
    if (need.model.value().empty())
        return true;
    // A generation can wait a little; a plain request can't, and takes a suspected server as a last resort.
    if (now < use.suspectedUntil)
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

void ServerTable::setPeerLoad(const VmName& vm, std::map<BackendName, std::uint32_t> counts)
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

ServerLoad ServerTable::loadOf(
    const Member& member, const ServerRequirements& need, const PoolView& view, TimePoint now) const
{
    const auto& server = *member.record;
    const auto& use = *member.use;
    const bool isGeneration = !need.model.value().empty();
    ServerLoad load;
    load.allowance = static_cast<std::uint32_t>(server.slots) + (isGeneration ? 0 : queuedPerServer);
    // A generation is long against the way to another data centre.
    load.isLocal = isGeneration || server.dataCentre == this->context.settings.dataCentre;
    load.wasTried = !need.tried.empty() && need.tried.contains(server.name);
    load.hasConnection = member.idleConnections > 0;
    load.outstanding = use.outstanding;
    if (isGeneration) {
        load.outstanding += member.ofOthers;
        // What other VMs' generations take is not told; on average each takes what a slot has.
        load.capacityTokens = view.memoryTokens;
        load.reservedTokens
            = use.tokens + member.ofOthers * view.memoryTokens / std::max<std::uint64_t>(1, server.slots);
        load.requestTokens = need.tokens;
        load.slowdownAtFullLoad = engineSlowdownWhenFull;
    }
    load.isSuspected = now < use.suspectedUntil;
    if (view.usualUnitSeconds > 0 && use.unitSeconds > 0)
        load.slowness = use.unitSeconds / view.usualUnitSeconds;
    return load;
}

/// Fills `candidates` and `loads`.
void ServerTable::gatherCandidates(PoolView& view, const ServerRequirements& need, TimePoint now)
{
    this->candidates.clear();
    this->loads.clear();
    std::optional<WeightVersion> newest;
    for (auto& member : view.members) {
        if (!this->canServe(member, need, now))
            continue;
        this->candidates.push_back(&member);
        newest = std::max(newest, versionOf(*member.record, need.model));
    }
    for (const auto* member : this->candidates) {
        this->loads.push_back(this->loadOf(*member, need, view, now));
        this->loads.back().hasOlderWeights = versionOf(*member->record, need.model) < newest;
    }
}

std::optional<ServerRecord> ServerTable::acquire(const ServerRequirements& need)
{
    const auto now = Clock::now();
    this->gatherCandidates(this->viewOf(need.pool, now), need, now);
    auto chosen = chooseServer(this->loads, this->context.random);
    if (!need.preferred.value().empty()) {
        for (std::size_t index = 0; index < this->candidates.size(); ++index) {
            const auto& load = this->loads[index];
            const bool isPreferred = this->candidates[index]->record->name == need.preferred && !load.isSuspected
                && !load.wasTried && !load.hasOlderWeights && load.slowness < slowFactor && hasCapacity(load);
            if (isPreferred)
                chosen = index;
        }
    }
    if (!chosen)
        return std::nullopt;
    auto& member = *this->candidates[*chosen];
    ++member.use->outstanding;
    member.use->tokens += need.tokens;
    if (member.idleConnections > 0)
        --member.idleConnections;
    return *member.record;
}

std::optional<Duration> ServerTable::medianEventInterval(const PoolName& pool)
{
    const auto seconds = this->viewOf(pool, Clock::now()).usualUnitSeconds;
    if (seconds == 0)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

EngineCount ServerTable::countEngines(const PoolName& pool, const ModelName& model, WeightVersion oldest)
{
    EngineCount count;
    for (const auto& member : this->viewOf(pool, Clock::now()).members) {
        const auto& server = *member.record;
        const bool hasVersion = versionOf(server, model) >= oldest;
        ++count.known;
        count.withVersion += hasVersion ? 1 : 0;
        count.withFreeSlot += hasVersion && member.use->outstanding + member.ofOthers < server.slots ? 1 : 0;
    }
    return count;
}

bool ServerTable::isWorthMoving(
    const ServerRecord& server, const ServerRequirements& need, const std::function<bool(bool isUrgent)>& mayMove)
{
    const auto now = Clock::now();
    auto& view = this->viewOf(server.pool, now);
    const auto use = this->uses.find(server.name);
    if (use == this->uses.end() || view.usualUnitSeconds == 0)
        return false;
    const auto slowness = use->second.unitSeconds / view.usualUnitSeconds;
    const auto fastest = view.leastUnitSeconds / view.usualUnitSeconds;
    if (!couldGainByMoving(slowness, fastest) || !mayMove(isUrgentToMove(slowness)))
        return false;
    this->gatherCandidates(view, need, now);
    return topaztack::isWorthMoving(slowness, this->loads);
}

void ServerTable::recordEventInterval(const BackendName& name, Duration unitTime)
{
    auto& use = this->uses[name];
    const auto seconds = std::chrono::duration<double>(unitTime).count();
    use.unitSeconds = use.unitSeconds == 0 ? seconds : use.unitSeconds + meanGain * (seconds - use.unitSeconds);
}

void ServerTable::updateTokenReservation(const BackendName& name, ServerRequirements& need, std::uint64_t tokens)
{
    auto& use = this->uses[name];
    use.tokens = use.tokens - std::min(use.tokens, need.tokens) + tokens;
    need.tokens = tokens;
}

void ServerTable::finish(const ServerRecord& server, ServerOutcome outcome, const ServerRequirements& need)
{
    const auto now = Clock::now();
    auto& use = this->uses[server.name];
    if (use.outstanding > 0)
        --use.outstanding;
    use.tokens -= std::min(use.tokens, need.tokens);
    switch (outcome) {
    case ServerOutcome::Answered:
        use.failuresInRow = 0;
        use.refusalsInRow = 0;
        break;
    case ServerOutcome::Refused: {
        // Requests that were under way together are refused together.
        auto& until = use.refusingUntil[need.model];
        if (now >= until)
            until = now + shortestRefusalPause * (1U << std::min(use.refusalsInRow++, mostRefusalDoublings));
        break;
    }
    case ServerOutcome::Replaced:
        logEvent(LogLevel::Info, "server-replaced", { { "server", server.name.value() } });
        this->servers.entries.erase(server.name);
        this->views.clear();
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

void ServerTable::recordVersion(const BackendName& name, const ModelName& model, WeightVersion version)
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
