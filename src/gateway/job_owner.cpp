#include "job_owner.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr Duration watchInterval = 100ms;
    constexpr std::chrono::milliseconds feedWait { 1000 };
    constexpr std::chrono::milliseconds feedPause { 100 };
    /// Time limit for a VM that a job is handed over to: it must write the job's head to show that it took the job.
    constexpr Duration handoverTimeout = 500ms;
    /// No job is handed over to a VM for this long after it failed to take one.
    constexpr Duration failedHandoverBackoff = 15s;
    /// Stopped runners are kept for this long, since later jobs may reuse their texts.
    constexpr Duration textRetention = 15s;
    /// Limit for the stopped runners that are kept: the last three jobs of three trainers.
    constexpr std::size_t maxStoppedRunners = 9;
    /// VMs other than the last owner wait up to this much longer before they remove an expired job.
    constexpr std::uint64_t removalSpreadMs = 300'000;
    constexpr Duration removalRetryInterval = 10s;
    /// Added to the retention of results, since the clocks of VMs may differ.
    constexpr std::chrono::milliseconds maxClockSkew { 10'000 };

    FollowOptions headRules()
    {
        FollowOptions rules;
        rules.table = jobHeadsTable;
        rules.parts = jobParts();
        rules.wait = feedWait;
        rules.pause = feedPause;
        return rules;
    }

} // namespace

JobOwner::JobOwner(GatewayContext& context, ServerTable& servers, JobStore& store, ItemDispatcher& dispatcher,
    const PeerDirectory& peers, const StoreWatch& storeWatch)
    : context(context)
    , servers(servers)
    , store(store)
    , dispatcher(dispatcher)
    , peers(peers)
    , storeWatch(storeWatch)
    , heads(context, headRules(),
          [this](const std::vector<StoreRow>& rows, bool isWhole) { this->applyRows(rows, isWhole); })
    , changeNotifier(context.loop())
    , starts(context.metrics.counter("topaztack_job_starts_total", "Jobs that this VM began or went on to run"))
    , takeovers(context.metrics.counter("topaztack_job_takeovers_total", "Jobs taken over from another VM"))
    , deadOwners(context.metrics.counter(
          "topaztack_job_owners_dead_total", "Jobs taken over from an owner that refused a connection"))
{
}

void JobOwner::start()
{
    this->heads.start();
    asio::co_spawn(this->context.loop(), this->watch(), asio::detached);
}

void JobOwner::observeHead(const JobId& id, const StoredHead& head)
{
    auto& known = this->jobs[id];
    if (head.version <= known.stored.version)
        return;
    known.stored = head;
    known.seenAt = Clock::now();
    const auto& owner = head.head.owner.name;
    if (!owner.value().empty() && owner != this->context.identity.name && !head.head.isEnded)
        this->servers.setPeerLoad(owner, head.head.inFlight);
    const auto runner = this->runners.find(id);
    if (runner != this->runners.end()) {
        runner->second->observeHead(head);
    } else if (head.head.owner == this->context.identity && isOpen(head.head) && this->beginClaim(id)) {
        // Another VM accepted the job and assigned it to this one.
        asio::co_spawn(this->context.loop(), this->runAssigned(id, head), asio::detached);
    }
    this->changeNotifier.notify();
}

void JobOwner::applyRows(const std::vector<StoreRow>& rows, bool)
{
    for (const auto& row : rows) {
        const JobId id(row.place.key);
        if (row.isRemoved) {
            this->jobs.erase(id);
            continue;
        }
        const auto head = toStoredHead(row);
        if (head)
            this->observeHead(id, head.value());
        else
            logEvent(LogLevel::Error, "job-head-invalid", { { "job", id.value() }, { "error", head.error().message } });
    }
}

const StoredHead* JobOwner::lastSeenHead(const JobId& id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second.stored;
}

std::shared_ptr<JobRunner> JobOwner::runnerOf(const JobId& id) const
{
    const auto found = this->runners.find(id);
    return found == this->runners.end() || found->second->isStopped() ? nullptr : found->second;
}

/// Adds texts of this trainer's other jobs on this VM for items that are submitted again, and the groups of its earlier
/// steps that come again. Jobs of other workspaces share nothing. Texts that the previous owner saved take precedence.
void JobOwner::addEarlierWork(InitialJobState& initial) const
{
    const auto& job = initial.job;
    const auto* route = this->context.routes ? matchRoute(*this->context.routes, job.host, job.path) : nullptr;
    const bool isSingleVersion = route && route->isSingleVersion;
    std::vector<std::shared_ptr<JobRunner>> others(this->stoppedRunners.begin(), this->stoppedRunners.end());
    for (const auto& [id, runner] : this->runners)
        others.push_back(runner);
    std::set<GroupId> earlierGroups;
    for (const auto& runner : others) {
        if (runner->spec().model != job.model || runner->spec().workspace != job.workspace)
            continue;
        const bool isEarlier = runner->spec().step < job.step;
        for (const auto& item : runner->spec().items) {
            if (isEarlier)
                earlierGroups.insert(item.group);
        }
        for (const auto& item : job.items) {
            if (initial.texts.contains(item.id))
                continue;
            auto text = runner->takeText(item.id, job.oldestVersion, isSingleVersion);
            if (text)
                initial.texts.emplace(item.id, std::move(*text));
        }
    }
    for (const auto& item : job.items) {
        if (earlierGroups.contains(item.group))
            initial.carriedGroups.insert(item.group);
    }
}

void JobOwner::startRunner(InitialJobState initial)
{
    const auto id = initial.job.id;
    if (this->runnerOf(id))
        return;
    this->addEarlierWork(initial);
    auto runner = std::make_shared<JobRunner>(
        this->context, this->servers, this->store, this->dispatcher, this->storeWatch, std::move(initial));
    this->runners[id] = runner;
    this->starts.add();
    runner->start();
}

void JobOwner::runOrHandOver(JobSpec job, const StoredHead& head)
{
    const auto id = job.id;
    if (head.head.owner == this->context.identity) {
        InitialJobState initial;
        initial.job = std::move(job);
        initial.head = head;
        this->startRunner(std::move(initial));
    } else if (!this->context.isDraining) {
        asio::co_spawn(this->context.loop(), this->watchHandover(std::move(job), head), asio::detached);
    }
    this->observeHead(id, head);
}

/// Claims the job if its head has not changed within the timeout: the assigned owner writes the head as soon as it has
/// taken the job.
asio::awaitable<void> JobOwner::watchHandover(JobSpec job, StoredHead head)
{
    const auto id = job.id;
    co_await pauseFor(handoverTimeout);
    const auto known = this->jobs.find(id);
    if (known == this->jobs.end() || known->second.stored.version != head.version)
        co_return;
    this->failedHandovers[head.head.owner.name] = Clock::now();
    logEvent(
        LogLevel::Info, "job-handover-failed", { { "job", id.value() }, { "owner", head.head.owner.name.value() } });
    if (this->beginClaim(id))
        co_await this->claimAndRun(id, std::move(job));
}

asio::awaitable<void> JobOwner::watch()
{
    while (true) {
        const auto now = Clock::now();
        this->dropStoppedRunners();
        for (auto& [id, known] : this->jobs) {
            if (this->isClaimable(id, known, now) && this->beginClaim(id)) {
                asio::co_spawn(this->context.loop(), this->claimAndRun(id, std::nullopt), asio::detached);
            } else if (!this->context.isDraining && this->isOwnerSuspected(id, known, now)) {
                known.probedVersion = known.stored.version;
                asio::co_spawn(this->context.loop(), this->probeOwner(id, known.stored), asio::detached);
            } else if (!known.isBeingRemoved && this->isExpired(id, known)) {
                known.isBeingRemoved = true;
                asio::co_spawn(this->context.loop(), this->removeExpired(id), asio::detached);
            }
        }
        co_await pauseFor(watchInterval);
    }
}

void JobOwner::dropStoppedRunners()
{
    for (auto entry = this->runners.begin(); entry != this->runners.end();) {
        if (!entry->second->isStopped()) {
            ++entry;
            continue;
        }
        // The change feed may be behind the runner's own writes.
        auto& known = this->jobs[entry->first];
        if (entry->second->stored().version > known.stored.version)
            known.stored = entry->second->stored();
        this->stoppedRunners.push_front(entry->second);
        entry = this->runners.erase(entry);
    }
    const auto now = Clock::now();
    std::erase_if(
        this->failedHandovers, [now](const auto& failed) { return now - failed.second >= failedHandoverBackoff; });
    const auto oldest = now - textRetention;
    std::erase_if(this->stoppedRunners, [oldest](const auto& runner) { return runner->stoppedAt() < oldest; });
    while (this->stoppedRunners.size() > maxStoppedRunners)
        this->stoppedRunners.pop_back();
}

asio::awaitable<void> JobOwner::takeOver(JobId id, StoredHead head, bool isHandedOver)
{
    auto submission = co_await this->store.readSubmission(id, head.head);
    Result<std::vector<ItemResult>> listed = std::vector<ItemResult> {};
    if (submission && head.head.listed > 0)
        listed = co_await this->store.readAllResults(id, 0);
    const auto texts = co_await this->store.readTexts(id, head.head.workspace, head.head.textObjects);
    if (!texts)
        logEvent(LogLevel::Warning, "texts-not-read", { { "job", id.value() }, { "error", texts.error().message } });
    if (!submission || !listed) {
        const auto& error = submission ? listed.error() : submission.error();
        logEvent(LogLevel::Warning, "job-not-read", { { "job", id.value() }, { "error", error.message } });
        co_return;
    }
    auto job = this->context.protocol.decodeSubmission(submission.value(), {});
    if (!job) {
        logEvent(LogLevel::Error, "job-refused", { { "job", id.value() }, { "error", job.error().message } });
        co_return;
    }
    InitialJobState initial;
    initial.job = std::move(job).value();
    initial.head = head;
    initial.listed = std::move(listed).value();
    if (texts)
        initial.texts = texts.value();
    initial.isHandedOver = isHandedOver;
    this->startRunner(std::move(initial));
}

/// Whether this VM should remove a job by now because its retention has passed. The last owner removes it first. The
/// other VMs follow one after the other, in case that VM is gone.
bool JobOwner::isExpired(const JobId& id, const KnownJob& known) const
{
    const auto& head = known.stored.head;
    if (isOpen(head))
        return false;
    const bool isOwn = head.owner.name == this->context.identity.name;
    const auto rank = stableHash(id.value(), this->context.identity.incarnation.value());
    const auto removalDelay = std::chrono::milliseconds(isOwn ? 0 : 1 + rank % removalSpreadMs);
    return unixTime() - head.acceptedAt > this->context.settings.gateway.resultRetention + maxClockSkew + removalDelay;
}

asio::awaitable<void> JobOwner::removeExpired(JobId id)
{
    const auto removed = co_await this->store.remove(id, this->jobs[id].stored);
    if (removed) {
        this->jobs.erase(id);
        co_return;
    }
    logEvent(LogLevel::Info, "job-not-removed", { { "job", id.value() }, { "error", removed.error().message } });
    co_await pauseFor(removalRetryInterval);
    const auto known = this->jobs.find(id);
    if (known != this->jobs.end())
        known->second.isBeingRemoved = false;
}

asio::awaitable<void> JobOwner::releaseAll(TimePoint deadline)
{
    for (const auto& [id, runner] : this->runners)
        runner->release();
    while (!this->runners.empty() && Clock::now() < deadline) {
        co_await pauseFor(20ms);
        this->dropStoppedRunners();
    }
}

bool JobOwner::needsEnginesOf(const ModelName& model) const
{
    return std::any_of(this->jobs.begin(), this->jobs.end(), [this, &model](const auto& entry) {
        const auto& head = entry.second.stored.head;
        if (head.model != model || !isOpen(head))
            return false;
        // A generation that must come from a single version is lost when its engine loads new weights.
        const auto* route = this->context.routes ? matchRoute(*this->context.routes, head.host, head.path) : nullptr;
        return head.waiting > 0 || (route && route->isSingleVersion);
    });
}

/// The facts that decide whether this VM claims an open job.
json::object JobOwner::dumpOpen(const JobId& id, const KnownJob& known, TimePoint now) const
{
    const auto& owner = known.stored.head.owner.name;
    return { { "job", id.value() }, { "owner", owner.value() }, { "row_version", known.stored.version.value() },
        { "unchanged_ms", toMilliseconds(this->timeUnchanged(known, now)).count() },
        { "being_claimed", known.isBeingClaimed }, { "probed", known.probedVersion == known.stored.version },
        { "running", this->runnerOf(id) != nullptr }, { "claimable", this->isClaimable(id, known, now) } };
}

json::value JobOwner::dump() const
{
    json::array list;
    for (const auto& [id, runner] : this->runners)
        list.push_back(runner->dump());
    json::array open;
    const auto now = Clock::now();
    for (const auto& [id, known] : this->jobs) {
        if (isOpen(known.stored.head))
            open.push_back(this->dumpOpen(id, known, now));
    }
    return json::object { { "known", this->jobs.size() }, { "open", std::move(open) }, { "running", std::move(list) } };
}

} // namespace topaztack
