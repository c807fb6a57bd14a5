#include "server_table.hpp"

#include <topaztack/base/log.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

/// @file
/// The load of servers that started or recovered, and the speed of servers by kind of work. Nothing of it is used
/// unless the setting `server_pace` is on.

namespace topaztack {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    /// A server that started longer ago is new to this VM alone.
    constexpr std::chrono::milliseconds recentStart { 10'000 };
    /// The order of the VMs at a server changes this often.
    constexpr std::chrono::milliseconds orderPeriod { 60'000 };
    /// A server that is known as slow gets a plain request after this many went elsewhere, so that a recovery is
    /// noticed.
    constexpr std::uint32_t choicesPerProbe = 40;
    constexpr std::uint32_t maxPaceLinesPerSecond = 20;

    Duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    std::string toFixed(double value)
    {
        constexpr double thousand = 1000;
        auto text = std::to_string(std::round(value * thousand) / thousand);
        text.resize(text.size() - 3);
        return text;
    }

    std::string_view phaseName(PacePhase phase)
    {
        switch (phase) {
        case PacePhase::Unlimited:
            return "unlimited";
        case PacePhase::SlowStart:
            return "slow-start";
        case PacePhase::Gradient:
            break;
        }
        return "gradient";
    }

    double medianOf(std::vector<double>& values)
    {
        if (values.empty())
            return 0;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

} // namespace

/// The kind of work whose time an engine's or a plain server's pace is compared with.
WorkKind ServerTable::pacedKind(const ServerRecord& server) const
{
    const auto* pool = this->context.routes ? findPool(*this->context.routes, server.pool) : nullptr;
    const bool isEngine = pool ? pool->engines.has_value() : !server.models.empty();
    return isEngine ? WorkKind::FirstEvent : WorkKind::Request;
}

bool ServerTable::startsForAll(const ServerRecord& server) const
{
    const auto age = unixTime() - server.startedAt;
    return server.startedAt.count() > 0 ? age < recentStart : this->watchedSince.has_value();
}

void ServerTable::beginPace(const ServerRecord& server, std::string_view reason, bool isSharedStart)
{
    if (!this->isPaced())
        return;
    auto& usage = this->usageByServer[server.name];
    const auto now = Clock::now();
    const auto key = server.name.value() + "/" + std::to_string(server.startedAt.count()) + "/"
        + std::to_string(unixTime() / orderPeriod);
    const auto vms = this->peers.known().size() + 1;
    begin(usage.pace,
        { server.slots, static_cast<std::uint32_t>(server.slots) + maxQueuedPerServer, vms,
            paceRank(key, this->context.settings.name.value()), this->usualTime(server, this->pacedKind(server), now),
            isSharedStart },
        now);
    this->paceBegun.add();
    this->logPace(server, "begun", reason);
}

void ServerTable::logPace(const ServerRecord& server, std::string_view phase, std::string_view cause)
{
    const auto now = Clock::now();
    if (now - this->paceLogSecond >= 1s) {
        this->paceLogSecond = now;
        this->paceLines = 0;
    }
    if (++this->paceLines > maxPaceLinesPerSecond)
        return;
    const auto& usage = this->usageByServer[server.name];
    const auto& pace = usage.pace;
    logEvent(LogLevel::Info, "server-pace",
        { { "server", server.name.value() }, { "pool", server.pool.value() }, { "phase", std::string(phase) },
            { "cause", std::string(cause) }, { "window", toFixed(pace.window) },
            { "outstanding", std::to_string(usage.outstanding) },
            { "vms", std::to_string(this->peers.known().size() + 1) },
            { "enters_in_ms", std::to_string(std::max<std::int64_t>(0, toMilliseconds(pace.entersAt - now).count())) },
            { "expected_ms", std::to_string(toMilliseconds(pace.expected).count()) },
            { "took_ms", std::to_string(toMilliseconds(pace.lastTook).count()) } });
}

void ServerTable::recordPaceChange(const ServerRecord& server, PaceChange change, std::string_view cause)
{
    if (change == PaceChange::None)
        return;
    if (change == PaceChange::Halved)
        this->paceHalved.add();
    this->logPace(server, change == PaceChange::Halved ? "halved" : "lifted", cause);
}

void ServerTable::learnUsualTimes(PoolSnapshot& snapshot) const
{
    std::vector<double> seconds;
    for (std::size_t kind = 0; kind < workKinds; ++kind) {
        seconds.clear();
        for (const auto& member : snapshot.members) {
            if (member.usage->speed[kind].samples > 0)
                seconds.push_back(member.usage->speed[kind].seconds);
        }
        snapshot.usualSeconds[kind] = medianOf(seconds);
    }
}

/// The usual time at the server's pool; 0 if not known.
Duration ServerTable::usualTime(const ServerRecord& server, WorkKind kind, TimePoint now)
{
    return toDuration(this->snapshotOf(server.pool, now).usualSeconds[indexOf(kind)]);
}

/// Slowness that the oldest request of each kind in flight shows.
double ServerTable::overdueSlownessOf(
    const ServerUsage& usage, const std::array<double, workKinds>& usualSeconds, TimePoint now)
{
    double slowness = 1;
    std::array<bool, workKinds> isSeen {};
    for (const auto& [sentAt, request] : usage.sent) {
        const auto kind = indexOf(request.kind);
        if (isSeen[kind])
            continue;
        isSeen[kind] = true;
        slowness = std::max(slowness, overdueSlowness(usage.speed[kind], usualSeconds[kind], now - sentAt));
    }
    return slowness;
}

double ServerTable::slownessOf(
    const PoolMember& member, const ServerRequirements& requirements, const PoolSnapshot& snapshot, TimePoint now) const
{
    const auto& usage = *member.usage;
    const bool isGeneration = !requirements.model.value().empty();
    const auto of = [&](WorkKind kind) {
        return slowness(usage.speed[indexOf(kind)], snapshot.usualSeconds[indexOf(kind)], now, kind);
    };
    const auto has = [&usage](WorkKind kind) { return usage.speed[indexOf(kind)].samples > 0; };
    if (isGeneration)
        return of(has(WorkKind::EventInterval) ? WorkKind::EventInterval : WorkKind::FirstEvent);
    const bool isBackground = requirements.isBackground && has(WorkKind::BackgroundRequest);
    const auto learned = of(isBackground ? WorkKind::BackgroundRequest : WorkKind::Request);
    const bool isProbeDue = usage.passedOver >= choicesPerProbe && usage.sent.empty();
    return std::max(
        isProbeDue ? std::min(1.0, learned) : learned, overdueSlownessOf(usage, snapshot.usualSeconds, now));
}

void ServerTable::learnSpeed(const ServerRecord& server, ServerUsage& usage, const SentRequest& request, Duration took)
{
    const auto now = Clock::now();
    const auto& usual = this->snapshotOf(server.pool, now).usualSeconds;
    const bool isOverdue = overdueSlownessOf(usage, usual, now) > 1;
    auto& estimate = usage.speed[indexOf(request.kind)];
    const auto before = estimate.seconds;
    if (!recordSample(estimate, took, request.concurrency, server.slots, isOverdue, now))
        return;
    this->slowDowns.add();
    logEvent(LogLevel::Info, "server-slow",
        { { "server", server.name.value() }, { "pool", server.pool.value() },
            { "kind", std::to_string(indexOf(request.kind)) }, { "before_ms", toFixed(before * 1000) },
            { "now_ms", toFixed(estimate.seconds * 1000) }, { "overdue", isOverdue ? "1" : "0" } });
}

void ServerTable::recordSend(const ServerRecord& server, const ServerRequirements& requirements, TimePoint sentAt)
{
    const auto usage = this->usageByServer.find(server.name);
    if (!this->isPaced() || usage == this->usageByServer.end())
        return;
    const auto kind = requirements.isBackground ? WorkKind::BackgroundRequest : WorkKind::Request;
    usage->second.sent.emplace(sentAt, SentRequest { kind, usage->second.outstanding });
}

Duration ServerTable::timeUntilPaceOpens(const PoolName& pool)
{
    if (!this->isPaced())
        return 0ms;
    const auto now = Clock::now();
    std::optional<TimePoint> earliest;
    for (const auto& member : this->snapshotOf(pool, now).members) {
        const auto& usage = *member.usage;
        if (member.record->isLeaving || usage.endedAt)
            continue;
        const auto at = nextSendAt(usage.pace, usage.outstanding, now);
        if (at > now)
            earliest = std::min(earliest.value_or(at), at);
    }
    return earliest ? *earliest - now : Duration(0);
}

void ServerTable::recordFirstEvent(const ServerRecord& server, Duration took)
{
    const auto usage = this->usageByServer.find(server.name);
    if (!this->isPaced() || usage == this->usageByServer.end())
        return;
    const auto now = Clock::now();
    const auto expected = this->usualTime(server, WorkKind::FirstEvent, now);
    this->learnSpeed(server, usage->second, { WorkKind::FirstEvent, usage->second.outstanding }, took);
    const auto change = topaztack::recordAnswer(usage->second.pace, now, took, expected, usage->second.outstanding);
    this->recordPaceChange(server, change, "answer");
}

/// Called by finish() before the request is no longer counted.
void ServerTable::recordPacedEnd(const ServerRecord& server, ServerOutcome outcome, std::optional<TimePoint> sentAt)
{
    const auto found = this->usageByServer.find(server.name);
    if (found == this->usageByServer.end())
        return;
    auto& usage = found->second;
    const auto now = Clock::now();
    auto sent = sentAt ? usage.sent.find(*sentAt) : usage.sent.end();
    // One that is not listed was sent to a process that has ended since.
    const bool isOutdated = sentAt && sent == usage.sent.end();
    SentRequest request { WorkKind::Request, usage.outstanding };
    if (sent != usage.sent.end()) {
        request = sent->second;
        usage.sent.erase(sent);
    }
    if (isOutdated)
        return;
    switch (outcome) {
    case ServerOutcome::Answered: {
        // Generations are judged by their first events.
        if (!sentAt)
            return;
        const auto expected = this->usualTime(server, request.kind, now);
        this->learnSpeed(server, usage, request, now - *sentAt);
        // Scoring calls take their own time, and the window's intervals follow callers' requests.
        if (request.kind == WorkKind::Request)
            this->recordPaceChange(server,
                topaztack::recordAnswer(usage.pace, now, now - *sentAt, expected, request.concurrency), "answer");
        return;
    }
    case ServerOutcome::Refused:
        this->recordPaceChange(server, recordRefusal(usage.pace, now, request.concurrency), "refusal");
        return;
    case ServerOutcome::Failed:
        this->recordPaceChange(server, recordFailure(usage.pace, now), "failure");
        return;
    case ServerOutcome::Replaced:
    case ServerOutcome::Cancelled:
        return;
    }
}

/// Called by acquire() with an index into `candidates`.
void ServerTable::recordPacedChoice(std::size_t chosen, TimePoint now)
{
    for (const auto* candidate : this->candidates)
        ++candidate->usage->passedOver;
    this->candidates[chosen]->usage->passedOver = 0;
    topaztack::recordSend(this->candidates[chosen]->usage->pace, now);
    if (this->loads[chosen].paceShortfall > 0) {
        this->paceOverridden.add();
        return;
    }
    bool isHeldBack = false;
    for (std::size_t index = 0; index < this->candidates.size(); ++index) {
        if (this->loads[index].paceShortfall == 0)
            continue;
        isHeldBack = true;
        recordPassedOver(this->candidates[index]->usage->pace);
    }
    if (isHeldBack)
        this->paceHeldBack.add();
}

json::object ServerTable::dumpPace(const ServerRecord& server, const ServerUsage& usage) const
{
    static constexpr std::array<std::string_view, workKinds> names { "request_ms", "background_ms", "event_ms",
        "first_event_ms" };
    const auto now = Clock::now();
    json::object dump { { "phase", phaseName(usage.pace.phase) }, { "window", window(usage.pace, now) },
        { "failures", usage.pace.consecutiveFailures }, { "in_flight", usage.sent.size() },
        { "confidence", confidence(usage.speed[indexOf(this->pacedKind(server))], now) } };
    for (std::size_t kind = 0; kind < workKinds; ++kind) {
        if (usage.speed[kind].samples > 0)
            dump[names[kind]] = usage.speed[kind].seconds * 1000;
    }
    return dump;
}

} // namespace topaztack
