#include "job_runner.hpp"

#include "item_run.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/policy/crash_evidence.hpp>
#include <topaztack/policy/event_stream.hpp>
#include <topaztack/samples/item_order.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    /// No item is started if the last write that took effect was sent longer ago than this: the job may have been ended
    /// or taken over since. While no VM reaches the store neither can have happened, so items are still started.
    constexpr Duration ownershipTimeout = 2500ms;
    /// How long generations continue after their job has ended. The trainer's next job, which may reuse them, comes
    /// within this time.
    constexpr Duration endedJobGracePeriod = 2500ms;
    /// How long no server of a software version may be usable before the texts that it began are given up.
    constexpr Duration maxSoftwareAbsence = 500ms;
    /// Limit for the computed age, since the clocks of VMs may differ. No job that a trainer still waits for is older.
    constexpr std::chrono::milliseconds maxJobAge { 60'000 };

    /// How long ago a job was accepted.
    Duration ageOf(const JobHead& head)
    {
        return std::clamp<std::chrono::milliseconds>(
            unixTime() - head.acceptedAt, std::chrono::milliseconds(0), maxJobAge);
    }

} // namespace

JobRunner::JobRunner(GatewayContext& context, ServerTable& servers, JobStore& store, ItemDispatcher& dispatcher,
    const StoreWatch& storeWatch, InitialJobState initial)
    : context(context)
    , servers(servers)
    , store(store)
    , dispatcher(dispatcher)
    , storeWatch(storeWatch)
    , job(std::move(initial.job))
    , head(initial.head)
    , carriedGroupCount(initial.carriedGroups.size())
    , listingNotifier(context.loop())
    , textObjects(initial.head.head.textObjects)
    , nextTextObject(this->textObjects)
    , removedTextObjects(std::max<std::uint64_t>(1, this->textObjects) - 1)
    , lastWriteSentAt(Clock::now())
    , startedAt(Clock::now())
    , acceptedAt(this->startedAt - ageOf(this->head.head))
    , attempts(context.metrics.counter("topaztack_item_attempts_total", "Generations begun or resumed at a server"))
    , scoringTime(context.metrics.latency("topaztack_scoring_seconds", "Time that a scoring call took"))
    , scoreDelay(context.metrics.latency("topaztack_score_delay_seconds", "Time from a complete text to its score"))
{
    this->initializeItems(initial);
}

JobRunner::~JobRunner() = default;

void JobRunner::initializeItems(const InitialJobState& initial)
{
    std::set<ItemId> done;
    for (const auto& result : initial.listed)
        done.insert(result.id);
    std::vector<SchedulableItem> known;
    for (const auto& item : this->job.items)
        known.push_back({ item.group, item.expectedTokens,
            initial.texts.contains(item.id) || initial.carriedGroups.contains(item.group) });
    for (const auto& place : orderItems(known, this->job.wantedGroups)) {
        const auto& item = this->job.items[place.item];
        if (done.contains(item.id))
            continue;
        this->items.push_back(std::make_unique<ItemRun>());
        auto& run = *this->items.back();
        run.item = &item;
        run.isSpare = place.isSpare;
        const auto text = initial.texts.find(item.id);
        // An earlier release, which had no limit, may have saved a longer text.
        if (text == initial.texts.end() || jsonSize(text->second) > maxStoredTextBytes)
            continue;
        run.text = text->second;
        if (run.text.isComplete)
            this->completeText(run, "text of an earlier job");
    }
    if (initial.isHandedOver)
        this->lastWriteSentAt -= jobHeartbeatInterval;
}

void JobRunner::start()
{
    const auto reused = std::count_if(
        this->items.begin(), this->items.end(), [](const auto& item) { return item->text.lastEvent.has_value(); });
    logEvent(LogLevel::Info, "job-started",
        { { "job", this->job.id.value() }, { "model", this->job.model.value() },
            { "step", std::to_string(this->job.step.value()) },
            { "oldest_version", std::to_string(this->job.oldestVersion.value()) },
            { "wanted_groups", std::to_string(this->job.wantedGroups) },
            { "items", std::to_string(this->items.size()) }, { "listed", std::to_string(this->head.head.listed) },
            { "reused", std::to_string(reused) }, { "carried_groups", std::to_string(this->carriedGroupCount) } });
    this->dispatcher.add(this->weak_from_this());
    asio::co_spawn(this->context.loop(), this->listResults(), asio::detached);
    asio::co_spawn(this->context.loop(), this->saveTextsPeriodically(), asio::detached);
}

void JobRunner::cancelAttempts()
{
    for (const auto& item : this->items) {
        if (item->control)
            item->control->cancel();
    }
}

asio::awaitable<void> JobRunner::cancelAttemptsLater()
{
    const auto self = this->shared_from_this();
    co_await pauseFor(endedJobGracePeriod);
    this->cancelAttempts();
}

void JobRunner::stop(RunnerStopReason reason)
{
    if (this->stopReason)
        return;
    this->stopReason = reason;
    this->stopTime = Clock::now();
    const auto unfinished = std::count_if(
        this->items.begin(), this->items.end(), [](const auto& item) { return item->phase != ItemPhase::Finished; });
    static constexpr std::array<std::string_view, 4> names { "complete", "ended", "lost", "released" };
    logEvent(LogLevel::Info, "job-stopped",
        { { "job", this->job.id.value() }, { "reason", std::string(names.at(static_cast<std::size_t>(reason))) },
            { "listed", std::to_string(this->head.head.listed) }, { "unfinished", std::to_string(unfinished) },
            { "took_ms", std::to_string(toMilliseconds(this->stopTime - this->startedAt).count()) } });
    if (reason == RunnerStopReason::Ended)
        asio::co_spawn(this->context.loop(), this->cancelAttemptsLater(), asio::detached);
    else
        this->cancelAttempts();
    this->listingNotifier.notify();
    this->servers.changed().notify();
}

std::optional<ItemProgress> JobRunner::takeText(const ItemId& id, WeightVersion oldest, bool isSingleVersion)
{
    const auto found
        = std::find_if(this->items.begin(), this->items.end(), [&id](const auto& run) { return run->item->id == id; });
    if (found == this->items.end())
        return std::nullopt;
    auto& run = **found;
    // A job that is still running keeps its unfinished items.
    if (!this->stopReason && run.phase != ItemPhase::Finished)
        return std::nullopt;
    const bool isUsable = run.state == ItemState::Completed && run.text.lastEvent
        && satisfiesVersionRequirement(run.text, oldest, isSingleVersion);
    if (!isUsable)
        return std::nullopt;
    if (run.control)
        run.control->cancel();
    return run.text;
}

void JobRunner::observeHead(const StoredHead& stored)
{
    if (this->stopReason || stored.version <= this->head.version)
        return;
    if (stored.head.isEnded)
        this->stop(RunnerStopReason::Ended);
    else if (stored.head.owner != this->context.identity)
        this->stop(RunnerStopReason::Lost);
}

void JobRunner::release()
{
    this->isReleasing = true;
    this->listingNotifier.notify();
}

void JobRunner::updateRoutes()
{
    if (!this->context.routes || this->routeTable == this->context.routes)
        return;
    this->routeTable = this->context.routes;
    this->route = matchRoute(*this->routeTable, this->job.host, this->job.path);
    for (const auto& item : this->items) {
        item->route = matchRoute(*this->routeTable, this->job.host, item->item->path);
        if (const auto& scoring = item->item->scoring)
            item->scoringRoute = matchRoute(*this->routeTable, scoring->host, targetPath(scoring->path));
    }
}

/// Aborts items whose route was removed or whose retention has passed. A configuration older than the one that accepted
/// the job may lack its routes, so nothing is aborted then. The retention is counted from this VM's start of the job,
/// which is later than its submission.
void JobRunner::abortExpiredItems()
{
    if (!this->routeTable || this->routeTable->version < this->head.head.configuration || this->isReleasing)
        return;
    const auto age = Clock::now() - this->startedAt;
    for (const auto& each : this->items) {
        auto& item = *each;
        const bool isExpired = item.route && item.route->retention > 0ms && age >= item.route->retention;
        if (isExpired && item.control)
            item.control->cancel();
        const bool isRouteless = item.phase == ItemPhase::Waiting && !item.route;
        const bool isPending = item.phase == ItemPhase::Waiting || item.phase == ItemPhase::Unscored;
        if (isRouteless || (isPending && isExpired))
            this->finish(
                item, ItemState::Aborted, isExpired ? "not finished within its retention" : "its route was removed");
    }
}

std::size_t JobRunner::countWaiting() const
{
    return static_cast<std::size_t>(std::count_if(this->items.begin(), this->items.end(),
        [](const auto& item) { return item->phase == ItemPhase::Waiting && !item->isSpare; }));
}

bool JobRunner::mayStart() const
{
    const bool hasRecentWrite = Clock::now() - this->lastWriteSentAt < ownershipTimeout;
    return !this->isReleasing && (hasRecentWrite || this->storeWatch.isUnreachableForAll());
}

ServerRequirements JobRunner::needOf(const ItemRun& item) const
{
    ServerRequirements need;
    const auto* pool = choosePool(*item.route, stableHash(item.item->id.value()));
    if (pool)
        need.pool = *pool;
    need.tried = item.tried;
    need.model = this->job.model;
    need.tokens = this->dispatcher.expectedTokens(this->job.model, *item.item, item.text);
    need.oldestVersion = this->job.oldestVersion;
    if (item.route->isSingleVersion && !item.text.versions.empty())
        need.exactVersion = item.text.versions.front();
    if (item.text.lastEvent)
        need.softwareVersion = item.text.softwareVersion;
    const auto preferred = this->groupServers.find(item.item->group);
    if (preferred != this->groupServers.end())
        need.preferred = preferred->second;
    return need;
}

std::uint64_t JobRunner::rank() const
{
    return this->route && this->context.routes ? rankOf(*this->context.routes, *this->route, this->job.workspace) : 0;
}

void JobRunner::addRunningTokens(RunningTokens& running) const
{
    for (const auto& item : this->items) {
        if (item->phase != ItemPhase::Running || !item->route)
            continue;
        const auto need = this->needOf(*item);
        running[{ need.pool, this->job.workspace }] += need.tokens;
    }
}

PoolName JobRunner::pool() const
{
    const auto* pool = this->route ? choosePool(*this->route, 0) : nullptr;
    return pool ? *pool : PoolName();
}

TimePoint JobRunner::dueAt() const
{
    return this->acceptedAt + Duration(this->route ? this->route->jobTarget : std::chrono::milliseconds(0));
}

std::vector<ItemRun*> JobRunner::startableItems()
{
    std::vector<ItemRun*> startable;
    this->updateRoutes();
    this->abortExpiredItems();
    if (!this->mayStart())
        return startable;
    this->restartItemsWithoutSoftware();
    const auto now = Clock::now();
    for (const auto& item : this->items) {
        if (item->phase == ItemPhase::Waiting && item->route && now >= item->retryAt)
            startable.push_back(item.get());
    }
    return startable;
}

bool JobRunner::startItem(ItemRun& item, const ServerRequirements& need)
{
    auto server = this->servers.acquire(need);
    if (!server) {
        if (need.exactVersion.value() != 0)
            this->restart(item, "no server has its version");
        return false;
    }
    this->groupServers[item.item->group] = server->name;
    item.phase = ItemPhase::Running;
    item.server = server->name;
    item.isServerSilent = false;
    ++item.attempts;
    this->attempts.add();
    asio::co_spawn(this->context.loop(), this->run(item, std::move(*server), need), asio::detached);
    return true;
}

/// Restarts the items whose text was begun by a software version of which no server has been usable for a while, though
/// one of another version is. A server that is merely full or suspected for a moment is waited for.
void JobRunner::restartItemsWithoutSoftware()
{
    const auto now = Clock::now();
    std::map<SoftwareKey, bool> isMissing;
    for (const auto& item : this->items) {
        if (item->phase != ItemPhase::Waiting || !item->route || !item->text.lastEvent)
            continue;
        const auto* pool = choosePool(*item->route, stableHash(item->item->id.value()));
        if (!pool)
            continue;
        const SoftwareKey key { *pool, item->text.softwareVersion };
        const auto [place, isNew] = isMissing.try_emplace(key);
        if (isNew)
            place->second = !this->servers.hasUsableServer(key.first, key.second)
                && this->servers.hasUsableServer(key.first, std::nullopt);
        if (!place->second)
            continue;
        const auto since = this->softwareMissingSince.try_emplace(key, now).first->second;
        if (now - since >= maxSoftwareAbsence)
            this->restart(*item, "no server runs the software that began it");
    }
    std::erase_if(this->softwareMissingSince, [&isMissing](const auto& missing) {
        const auto found = isMissing.find(missing.first);
        return found == isMissing.end() || !found->second;
    });
}

void JobRunner::leaveServers(const std::set<BackendName>& silent)
{
    for (const auto& item : this->items) {
        const bool isThere = item->phase == ItemPhase::Running && item->control && silent.contains(item->server);
        if (!isThere)
            continue;
        item->isServerSilent = true;
        item->control->cancel();
    }
}

void JobRunner::restart(ItemRun& item, std::string_view reason)
{
    logEvent(LogLevel::Info, "item-restarted",
        { { "job", this->job.id.value() }, { "item", item.item->id.value() }, { "reason", std::string(reason) } });
    item.text = ItemProgress {};
}

void JobRunner::finish(ItemRun& item, ItemState state, std::string_view reason)
{
    item.phase = ItemPhase::Finished;
    item.state = state;
    std::erase(this->unscored, &item);
    this->finished.push_back(&item);
    logEvent(state == ItemState::Completed ? LogLevel::Debug : LogLevel::Warning, "item-finished",
        { { "job", this->job.id.value() }, { "item", item.item->id.value() },
            { "state", state == ItemState::Completed ? "completed" : "aborted" }, { "reason", std::string(reason) },
            { "attempts", std::to_string(item.attempts) },
            { "events", std::to_string(item.text.lastEvent.value_or(0)) },
            { "expected_tokens", std::to_string(item.item->expectedTokens) } });
    this->listingNotifier.notify();
}

void JobRunner::handleAttemptOutcome(ItemRun& item, const ServerRecord& server, AttemptOutcome attemptOutcome)
{
    item.phase = ItemPhase::Waiting;
    switch (attemptOutcome) {
    case AttemptOutcome::Whole:
        item.text.isComplete = true;
        this->dispatcher.recordLength(this->job.model, item.text.lastEvent.value_or(0), item.item->expectedTokens);
        if (item.route && item.route->isSingleVersion && item.text.versions.size() > 1)
            this->restart(item, "weights changed during the generation");
        else
            this->completeText(item, "whole");
        break;
    case AttemptOutcome::NeverDone:
        this->finish(item, ItemState::Aborted, "the server answered that it can never be done");
        break;
    case AttemptOutcome::Failed:
        ++item.failures;
        item.tried.insert(server.name);
        if (item.route && item.failures >= item.route->maxAttempts)
            this->finish(item, ItemState::Aborted, "failed at every attempt");
        break;
    case AttemptOutcome::Malformed:
        item.tried.insert(server.name);
        item.refusedServers.insert(server.name);
        item.retryAt = Clock::now() + pauseAfterRefusedEvents(++item.refusedEvents);
        break;
    case AttemptOutcome::TooLong:
        item.tried.insert(server.name);
        item.retryAt = Clock::now() + pauseAfterRefusedEvents(++item.longTexts);
        this->restart(item, "its text would be too long to be stored");
        break;
    case AttemptOutcome::Interrupted:
    case AttemptOutcome::Moved:
    case AttemptOutcome::Crowded:
        item.tried.insert(server.name);
        break;
    case AttemptOutcome::NotAdmitted:
        --item.attempts;
        break;
    case AttemptOutcome::Refused:
    case AttemptOutcome::Replaced:
    case AttemptOutcome::Cancelled:
        break;
    }
}

asio::awaitable<void> JobRunner::run(ItemRun& item, ServerRecord server, ServerRequirements need)
{
    const auto self = this->shared_from_this();
    CallControl control;
    item.control = &control;
    const auto sentAt = Clock::now();
    const auto lastEventBefore = item.text.lastEvent;
    need.tried.insert(server.name);
    ItemAttempt attempt { this->job, *item.item, item.text, need, control,
        [this](bool isUrgent) { return this->mayStart() && (isUrgent || this->countWaiting() == 0); },
        [this, &item] { return this->dispatcher.expectedTokens(this->job.model, *item.item, item.text); } };
    auto attemptOutcome = co_await attemptItem(this->context, this->servers, std::move(attempt), server);
    item.control = nullptr;
    const bool isUnheard
        = attemptOutcome == AttemptOutcome::Crowded && !this->servers.wasHeardSince(server.name, sentAt);
    if (isUnheard)
        this->servers.markSilent(server);
    if (isUnheard || (attemptOutcome == AttemptOutcome::Cancelled && item.isServerSilent))
        attemptOutcome = AttemptOutcome::Interrupted;
    logEvent(LogLevel::Debug, "item-attempted",
        { { "job", this->job.id.value() }, { "item", item.item->id.value() }, { "server", server.name.value() },
            { "software", server.softwareVersion }, { "attempt", std::to_string(item.attempts) },
            { "end", std::string(attemptOutcomeName(attemptOutcome)) },
            { "took_ms", std::to_string(toMilliseconds(Clock::now() - sentAt).count()) },
            { "last_event", std::to_string(item.text.lastEvent.value_or(0)) } });
    const bool hasBegun = item.text.lastEvent != lastEventBefore;
    if (hasBegun) {
        item.serverEnds = 0;
        item.refusedEvents = 0;
        item.refusedServers.clear();
    } else if (attemptOutcome == AttemptOutcome::Interrupted && co_await this->servers.hasEnded(server)) {
        item.retryAt = Clock::now() + pauseAfterEnds(++item.serverEnds);
    }
    this->handleAttemptOutcome(item, server, attemptOutcome);
    // What happens at several servers is caused by the item.
    const bool isItemsFault = (attemptOutcome == AttemptOutcome::Malformed && item.refusedServers.size() > 1)
        || (attemptOutcome == AttemptOutcome::TooLong && item.longTexts > 1);
    this->servers.finish(server, isItemsFault ? ServerOutcome::Cancelled : toServerOutcome(attemptOutcome), need);
}

json::value JobRunner::dump() const
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    for (const auto& item : this->items) {
        running += item->phase == ItemPhase::Running ? 1 : 0;
        waiting += item->phase == ItemPhase::Waiting ? 1 : 0;
    }
    return json::object { { "job", this->job.id.value() }, { "step", this->job.step.value() },
        { "listed", this->head.head.listed }, { "total", this->head.head.total }, { "running", running },
        { "waiting", waiting }, { "unscored", this->unscored.size() } };
}

} // namespace topaztack
