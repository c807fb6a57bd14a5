#include "server_table.hpp"

#include <topaztack/base/log.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    /// A server that refuses is full or loading weights. It gets no requests for this time, doubled with each refusal
    /// in a row.
    constexpr Duration minRefusalPause = 60ms;
    constexpr std::uint32_t maxRefusalDoublings = 2;
    /// Engines generate a token nearly as fast with all slots taken as with one; the remainder spreads generations over
    /// the engines.
    constexpr double engineSlowdownWhenFull = 0.3;
    /// How long another VM's counts of its generations stay valid; a job owner writes new ones at least every 700 ms.
    constexpr Duration peerLoadLifetime = 1000ms;
    /// Weight of a new interval in the moving average.
    constexpr double smoothingFactor = 0.1;
    /// A server whose event interval is this many times the pool's median isn't preferred for its prompt cache.
    constexpr double maxPreferredSlowness = 1.7;
    /// How long choices reuse what was looked up about a pool's servers: counts of other VMs and idle connections.
    constexpr Duration snapshotLifetime = 50ms;

    /// Versions only increase while a server runs, and a record may be older than what was already seen at the server.
    void keepNewerVersions(const ServerRecord& known, ServerRecord& record)
    {
        for (auto& loaded : record.models)
            loaded.version = std::max(loaded.version, versionOf(known, loaded.model).value_or(WeightVersion(0)));
    }

    /// Whether a caller waits for the request, rather than a job or a scoring call.
    bool isOfCaller(const ServerRequirements& requirements)
    {
        return !requirements.isBackground && (requirements.model.value().empty() || requirements.hasCaller);
    }

} // namespace

ServerTable::ServerTable(GatewayContext& context, RequestQuota& quota, CrashRecords& crashes, SoftwareRecords& software,
    const PeerDirectory& peers)
    : context(context)
    , quota(quota)
    , crashes(crashes)
    , software(software)
    , peers(peers)
    , paceBegun(context.metrics.counter(
          "topaztack_server_paces_begun_total", "Servers whose load began to follow their answers"))
    , paceHalved(context.metrics.counter("topaztack_server_paces_halved_total",
          "Halvings of a server's window, since it refused, failed or answered late"))
    , paceHeldBack(context.metrics.counter(
          "topaztack_server_pace_held_total", "Choices in which a server's window left a request to another server"))
    , paceOverridden(context.metrics.counter("topaztack_server_pace_overridden_total",
          "Requests sent beyond a server's window, since no other server had room"))
    , slowDowns(context.metrics.counter("topaztack_server_slow_downs_total", "Servers found to have become slow"))
    , changeNotifier(context.loop())
{
}

void ServerTable::applyRecord(ServerRecord record)
{
    // Applied before the comparison, since the known record has been marked.
    applyDeparture(this->servers, record);
    this->recordSignOfLife(record);
    const auto* known = this->find(record.name);
    if (known && known->startedAt == record.startedAt)
        keepNewerVersions(*known, record);
    if (known && *known == record) {
        // Stored all the same, since it may have been absent for a while.
        putServer(this->servers, std::move(record));
        return;
    }
    const bool isNew = !known || known->startedAt != record.startedAt;
    const bool isRestart = known != nullptr;
    if (isNew)
        this->usageByServer[record.name] = ServerUsage { .outstanding = this->usageByServer[record.name].outstanding,
            .background = this->usageByServer[record.name].background,
            .callers = this->usageByServer[record.name].callers,
            .tokens = this->usageByServer[record.name].tokens };
    if (isNew || known->isLeaving != record.isLeaving)
        logEvent(LogLevel::Info, isNew ? "server-known" : "server-leaving",
            { { "server", record.name.value() }, { "pool", record.pool.value() },
                { "address", toText(record.endpoint) }, { "software", record.softwareVersion },
                { "leaving", record.isLeaving ? "1" : "0" }, { "source", "record" } });
    if (isNew)
        this->beginPace(record, isRestart ? "restarted" : "new", isRestart || this->startsForAll(record));
    putServer(this->servers, std::move(record));
}

void ServerTable::applyRows(const std::vector<StoreRow>& rows, bool isFullTable)
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
        this->applyRecord(std::move(record).value());
    }
    if (isFullTable)
        retainServers(this->servers, present, now);
    if (!this->watchedSince)
        this->watchedSince = now;
    this->software.update(this->servers);
    this->snapshots.clear();
    this->changeNotifier.notify();
}

void ServerTable::expire()
{
    const auto now = Clock::now();
    const auto& contact = this->context.store.contact();
    if (contact.regainedAt != this->storeRegainedAt) {
        this->storeRegainedAt = contact.regainedAt;
        noteStoreRecovery(this->servers, now);
    }
    const bool isStoreUnreachable = contact.lostSince.has_value();
    this->software.update(this->servers);
    this->recordPoolSizes(now);
    this->snapshots.clear();
    for (const auto& name : removeExpiredServers(this->servers, now, isStoreUnreachable))
        logEvent(LogLevel::Info, "server-expired", { { "server", name.value() } });
    std::erase_if(
        this->peerLoads, [now](const auto& reported) { return now - reported.second.reportedAt >= peerLoadLifetime; });
    std::erase_if(this->usageByServer, [this](const auto& usage) {
        return usage.second.outstanding == 0 && !this->servers.entries.contains(usage.first);
    });
}

const ServerRecord* ServerTable::find(const BackendName& name) const
{
    const auto found = this->servers.entries.find(name);
    return found == this->servers.entries.end() ? nullptr : &found->second.record;
}

ServerTable::PoolSnapshot& ServerTable::snapshotOf(const PoolName& pool, TimePoint now)
{
    const auto [place, isNew] = this->snapshots.try_emplace(pool);
    auto& snapshot = place->second;
    if (!isNew && now - snapshot.builtAt < snapshotLifetime)
        return snapshot;
    snapshot = PoolSnapshot {};
    snapshot.builtAt = now;
    const auto* configured = this->context.routes ? findPool(*this->context.routes, pool) : nullptr;
    if (configured && configured->engines)
        snapshot.memoryTokens = configured->engines->cacheTokens;
    std::vector<double> seconds;
    for (const auto& [name, entry] : this->servers.entries) {
        if (entry.record.pool != pool)
            continue;
        PoolMember member;
        member.record = &entry.record;
        member.usage = &this->usageByServer[name];
        member.peerOutstanding = this->countPeerOutstanding(name, now);
        member.idleConnections = this->context.httpClient.idleConnections(entry.record.endpoint);
        if (member.usage->intervalSeconds > 0)
            seconds.push_back(member.usage->intervalSeconds);
        snapshot.members.push_back(member);
    }
    if (!seconds.empty()) {
        const auto middle = seconds.begin() + static_cast<std::ptrdiff_t>(seconds.size() / 2);
        std::nth_element(seconds.begin(), middle, seconds.end());
        snapshot.medianIntervalSeconds = *middle;
        snapshot.shortestIntervalSeconds = *std::min_element(seconds.begin(), seconds.end());
    }
    if (this->isPaced())
        this->learnUsualTimes(snapshot);
    return snapshot;
}

bool ServerTable::canServe(const PoolMember& member, const ServerRequirements& requirements, TimePoint now) const
{
    const auto& server = *member.record;
    const auto& usage = *member.usage;
    if (server.isLeaving || usage.endedAt || now < this->quota.availableAt(server.name))
        return false;
    if (requirements.reserved.contains(server.name))
        return false;
    if (requirements.isWithinPace && this->isPaced() && isHeldByOverload(usage.pace, usage.outstanding, now))
        return false;
    if (!usage.refusingUntil.empty()) {
        const auto refusing = usage.refusingUntil.find(requirements.model);
        if (refusing != usage.refusingUntil.end() && now < refusing->second)
            return false;
    }
    if (requirements.softwareVersion && server.softwareVersion != *requirements.softwareVersion)
        return false;
    if (requirements.needsRecordedSoftware && !this->software.isRecorded(server.pool, server.softwareVersion))
        return false;
    if (requirements.model.value().empty())
        return true;
    // A generation can wait a little, so it avoids suspected servers. A plain request can't wait and takes one as a
    // last resort.
    if (now < usage.suspectedUntil || (usage.isSilent && usage.outstanding > 0))
        return false;
    const auto version = versionOf(server, requirements.model);
    if (!version || *version < requirements.oldestVersion)
        return false;
    return requirements.exactVersion.value() == 0 || *version == requirements.exactVersion;
}

std::uint32_t ServerTable::outstanding(const BackendName& name) const
{
    const auto usage = this->usageByServer.find(name);
    return usage == this->usageByServer.end() ? 0 : usage->second.outstanding;
}

std::map<BackendName, std::uint32_t> ServerTable::inFlight(const PoolName& pool) const
{
    std::map<BackendName, std::uint32_t> counts;
    for (const auto& [name, usage] : this->usageByServer) {
        const auto* server = this->find(name);
        if (!server)
            continue;
        const auto count = server->pool == pool ? usage.outstanding : usage.background;
        if (count > 0)
            counts[name] = count;
    }
    return counts;
}

void ServerTable::setPeerLoad(const VmName& vm, std::map<BackendName, std::uint32_t> counts)
{
    this->peerLoads[vm] = { std::move(counts), Clock::now() };
    this->changeNotifier.notify();
}

std::uint32_t ServerTable::countPeerOutstanding(const BackendName& name, TimePoint now) const
{
    std::uint32_t count = 0;
    for (const auto& [vm, reported] : this->peerLoads) {
        const auto found = reported.counts.find(name);
        if (found != reported.counts.end() && now - reported.reportedAt < peerLoadLifetime)
            count += found->second;
    }
    return count;
}

ServerLoad ServerTable::loadOf(
    const PoolMember& member, const ServerRequirements& requirements, const PoolSnapshot& snapshot, TimePoint now) const
{
    const auto& server = *member.record;
    const auto& usage = *member.usage;
    const bool isGeneration = !requirements.model.value().empty();
    ServerLoad load;
    const bool mayQueue = !isGeneration || requirements.hasCaller;
    load.allowance = static_cast<std::uint32_t>(server.slots) + (mayQueue ? maxQueuedPerServer : 0);
    // A generation takes long compared with the round trip to another data centre.
    load.isLocal = isGeneration || server.dataCentre == this->context.settings.dataCentre;
    load.wasTried = !requirements.tried.empty() && requirements.tried.contains(server.name);
    load.hasConnection = member.idleConnections > 0;
    load.outstanding = usage.outstanding;
    if (requirements.isBackground) {
        load.outstanding += member.peerOutstanding;
        load.allowance = backgroundAllowance(server.slots, usage.background + member.peerOutstanding, load.outstanding);
    }
    if (isGeneration) {
        load.outstanding += member.peerOutstanding;
        // Other VMs don't report the tokens of their generations; on average each takes one slot's share of the KV
        // cache.
        load.capacityTokens = snapshot.memoryTokens;
        load.reservedTokens
            = usage.tokens + member.peerOutstanding * snapshot.memoryTokens / std::max<std::uint64_t>(1, server.slots);
        load.requestTokens = requirements.tokens;
        load.slowdownAtFullLoad = engineSlowdownWhenFull;
    }
    load.isSuspected = now < usage.suspectedUntil || usage.isSilent || usage.isAtRisk;
    if (snapshot.medianIntervalSeconds > 0 && usage.intervalSeconds > 0)
        load.slowness = usage.intervalSeconds / snapshot.medianIntervalSeconds;
    if (this->isPaced()) {
        load.slowness = this->slownessOf(member, requirements, snapshot, now);
        load.paceShortfall = shortfall(usage.pace, usage.outstanding, now);
    }
    return load;
}

/// Fills `candidates` and `loads` for one request.
void ServerTable::gatherCandidates(PoolSnapshot& snapshot, const ServerRequirements& requirements, TimePoint now)
{
    this->candidates.clear();
    this->loads.clear();
    std::optional<WeightVersion> newest;
    for (auto& member : snapshot.members) {
        if (!this->canServe(member, requirements, now))
            continue;
        this->candidates.push_back(&member);
        newest = std::max(newest, versionOf(*member.record, requirements.model));
    }
    for (const auto* member : this->candidates) {
        this->loads.push_back(this->loadOf(*member, requirements, snapshot, now));
        this->loads.back().hasOlderWeights = versionOf(*member->record, requirements.model) < newest;
    }
}

std::optional<ServerRecord> ServerTable::acquire(const ServerRequirements& requirements)
{
    const auto now = Clock::now();
    this->gatherCandidates(this->snapshotOf(requirements.pool, now), requirements, now);
    const bool isPlain = requirements.model.value().empty();
    auto chosen = this->isPaced() && isPlain ? chooseNearlyBest(this->loads, this->context.random)
                                             : chooseServer(this->loads, this->context.random);
    if (!requirements.preferred.value().empty()) {
        for (std::size_t index = 0; index < this->candidates.size(); ++index) {
            const auto& load = this->loads[index];
            const bool isPreferred = this->candidates[index]->record->name == requirements.preferred
                && !load.isSuspected && !load.wasTried && !load.hasOlderWeights && load.slowness < maxPreferredSlowness
                && load.paceShortfall == 0 && hasCapacity(load);
            if (isPreferred)
                chosen = index;
        }
    }
    if (!chosen)
        return std::nullopt;
    if (this->isPaced())
        this->recordPacedChoice(*chosen, now);
    auto& member = *this->candidates[*chosen];
    if (member.usage->outstanding == 0)
        member.usage->heardAt = now;
    ++member.usage->outstanding;
    member.usage->background += requirements.isBackground ? 1 : 0;
    member.usage->callers += isOfCaller(requirements) ? 1 : 0;
    member.usage->tokens += requirements.tokens;
    if (member.idleConnections > 0)
        --member.idleConnections;
    return *member.record;
}

std::optional<Duration> ServerTable::medianEventInterval(const PoolName& pool)
{
    const auto seconds = this->snapshotOf(pool, Clock::now()).medianIntervalSeconds;
    if (seconds == 0)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

EngineCount ServerTable::countEngines(const PoolName& pool, const ModelName& model, WeightVersion oldest)
{
    EngineCount count;
    for (const auto& member : this->snapshotOf(pool, Clock::now()).members) {
        const auto& server = *member.record;
        const bool hasVersion = versionOf(server, model) >= oldest;
        ++count.known;
        count.withVersion += hasVersion ? 1 : 0;
        count.withFreeSlot += hasVersion && member.usage->outstanding + member.peerOutstanding < server.slots ? 1 : 0;
    }
    return count;
}

Duration ServerTable::eventInterval(const BackendName& name) const
{
    const auto usage = this->usageByServer.find(name);
    const auto seconds = usage == this->usageByServer.end() ? 0 : usage->second.intervalSeconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool ServerTable::isWorthMoving(const ServerRecord& server, const ServerRequirements& requirements,
    const std::function<bool(bool isUrgent)>& mayMove)
{
    const auto now = Clock::now();
    auto& snapshot = this->snapshotOf(server.pool, now);
    const auto usage = this->usageByServer.find(server.name);
    if (usage == this->usageByServer.end() || snapshot.medianIntervalSeconds == 0)
        return false;
    auto slowness = usage->second.intervalSeconds / snapshot.medianIntervalSeconds;
    if (this->isPaced())
        slowness = topaztack::slowness(usage->second.speed[indexOf(WorkKind::EventInterval)],
            snapshot.usualSeconds[indexOf(WorkKind::EventInterval)], now, WorkKind::EventInterval);
    const auto fastest = snapshot.shortestIntervalSeconds / snapshot.medianIntervalSeconds;
    if (!couldGainByMoving(slowness, fastest) || !mayMove(isUrgentToMove(slowness)))
        return false;
    this->gatherCandidates(snapshot, requirements, now);
    return topaztack::isWorthMoving(slowness, this->loads);
}

void ServerTable::recordEventInterval(const BackendName& name, Duration interval)
{
    auto& usage = this->usageByServer[name];
    const auto seconds = std::chrono::duration<double>(interval).count();
    usage.intervalSeconds = usage.intervalSeconds == 0
        ? seconds
        : usage.intervalSeconds + smoothingFactor * (seconds - usage.intervalSeconds);
    const auto* server = this->isPaced() ? this->find(name) : nullptr;
    if (server)
        this->learnSpeed(*server, usage, { WorkKind::EventInterval, 0 }, interval);
}

void ServerTable::updateTokenReservation(
    const BackendName& name, ServerRequirements& requirements, std::uint64_t tokens)
{
    auto& usage = this->usageByServer[name];
    usage.tokens = usage.tokens - std::min(usage.tokens, requirements.tokens) + tokens;
    requirements.tokens = tokens;
}

void ServerTable::finish(const ServerRecord& server, ServerOutcome outcome, const ServerRequirements& requirements,
    std::optional<TimePoint> sentAt)
{
    const auto now = Clock::now();
    if (this->isPaced())
        this->recordPacedEnd(server, outcome, sentAt);
    auto& usage = this->usageByServer[server.name];
    if (usage.outstanding > 0)
        --usage.outstanding;
    if (requirements.isBackground && usage.background > 0)
        --usage.background;
    if (isOfCaller(requirements) && usage.callers > 0)
        --usage.callers;
    usage.tokens -= std::min(usage.tokens, requirements.tokens);
    switch (outcome) {
    case ServerOutcome::Answered:
        usage.consecutiveFailures = 0;
        usage.consecutiveRefusals = 0;
        break;
    case ServerOutcome::Refused: {
        // Requests that are in flight together are refused together and count as one refusal.
        auto& until = usage.refusingUntil[requirements.model];
        if (now >= until)
            until = now + minRefusalPause * (1U << std::min(usage.consecutiveRefusals++, maxRefusalDoublings));
        break;
    }
    case ServerOutcome::Replaced:
        logEvent(LogLevel::Info, "server-replaced", { { "server", server.name.value() } });
        this->servers.entries.erase(server.name);
        this->snapshots.clear();
        break;
    case ServerOutcome::Failed:
        ++usage.consecutiveFailures;
        usage.suspectedUntil = now + suspicionTime(usage.consecutiveFailures);
        break;
    case ServerOutcome::Cancelled:
        break;
    }
    this->changeNotifier.notify();
}

void ServerTable::recordAnswer(const ServerRecord& server, const ServerResponseHead& answer, TimePoint sentAt)
{
    // An answer from another server at the same address says nothing about the one that was meant.
    if (answer.isOtherServer)
        return;
    this->recordActivity(server.name);
    this->quota.recordAnswer(server, answer, sentAt);
    const auto seconds = std::chrono::duration<double>(Clock::now() - sentAt).count();
    const auto [average, isFirst] = this->answerSeconds.try_emplace(server.pool, seconds);
    average->second += smoothingFactor * (seconds - average->second);
    if (!answer.isLeaving || !noteDeparture(this->servers, server.name, server.startedAt, Clock::now()))
        return;
    logEvent(LogLevel::Info, "server-leaving",
        { { "server", server.name.value() }, { "pool", server.pool.value() }, { "address", toText(server.endpoint) },
            { "leaving", "1" }, { "source", "answer" } });
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
    this->usageByServer[name].refusingUntil.erase(model);
    this->changeNotifier.notify();
}

json::value ServerTable::dump() const
{
    json::array list;
    for (const auto& [name, entry] : this->servers.entries) {
        const auto usage = this->usageByServer.find(name);
        json::object versions;
        for (const auto& loaded : entry.record.models)
            versions[loaded.model.value()] = loaded.version.value();
        json::object server { { "server", name.value() }, { "pool", entry.record.pool.value() },
            { "address", toText(entry.record.endpoint) }, { "leaving", entry.record.isLeaving },
            { "outstanding", usage == this->usageByServer.end() ? 0 : usage->second.outstanding },
            { "versions", std::move(versions) } };
        if (this->isPaced() && usage != this->usageByServer.end())
            server["pace"] = this->dumpPace(entry.record, usage->second);
        list.push_back(std::move(server));
    }
    return list;
}

} // namespace topaztack
