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
    /// In which a VM that is handed a job writes that it has it.
    constexpr Duration handoverTime = 500ms;
    /// A VM that did not take a job is handed none for this long.
    constexpr Duration distrustTime = 15s;
    /// Texts of ended jobs are kept for this long, and of this many jobs: the last three of three trainers.
    constexpr Duration textRetention = 15s;
    constexpr std::size_t keptRunners = 9;
    /// VMs other than the last owner remove a job within this time after it.
    constexpr std::uint64_t removalSpreadMs = 300'000;
    constexpr Duration removalRetry = 10s;
    /// Added to the time for which results are kept, for differences between the clocks of VMs.
    constexpr std::chrono::milliseconds clockSlack { 10'000 };

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

void JobOwner::noteHead(const JobId& id, const StoredHead& head)
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
        runner->second->noteHead(head);
    } else if (head.head.owner == this->context.identity && isOpen(head.head) && !known.isBeingClaimed
        && !this->context.isDraining) {
        // Another VM accepted the job for this one.
        known.isBeingClaimed = true;
        asio::co_spawn(this->context.loop(), this->takeOver(id, head, true), asio::detached);
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
            this->noteHead(id, head.value());
        else
            logEvent(LogLevel::Error, "job-head-refused", { { "job", id.value() }, { "error", head.error().message } });
    }
}

const StoredHead* JobOwner::seen(const JobId& id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second.stored;
}

std::shared_ptr<JobRunner> JobOwner::runnerOf(const JobId& id) const
{
    const auto found = this->runners.find(id);
    return found == this->runners.end() || found->second->isStopped() ? nullptr : found->second;
}

/// Texts of this trainer's other jobs here, for items that come again. Those that the VM before left go first.
void JobOwner::addTexts(RunnerStart& start) const
{
    const auto& job = start.job;
    const auto* route = this->context.routes ? matchRoute(*this->context.routes, job.host, job.path) : nullptr;
    const bool isSingleVersion = route && route->isSingleVersion;
    std::vector<std::shared_ptr<JobRunner>> others(this->ended.begin(), this->ended.end());
    for (const auto& [id, runner] : this->runners)
        others.push_back(runner);
    for (const auto& runner : others) {
        if (runner->spec().model != job.model)
            continue;
        for (const auto& item : job.items) {
            if (start.texts.contains(item.id))
                continue;
            auto text = runner->takeText(item.id, job.oldestVersion, isSingleVersion);
            if (text)
                start.texts.emplace(item.id, std::move(*text));
        }
    }
}

void JobOwner::adopt(RunnerStart start)
{
    const auto id = start.job.id;
    if (this->runnerOf(id))
        return;
    this->addTexts(start);
    auto runner = std::make_shared<JobRunner>(
        this->context, this->servers, this->store, this->dispatcher, this->storeWatch, std::move(start));
    this->runners[id] = runner;
    this->starts.add();
    runner->start();
}

void JobOwner::place(JobSpec job, const StoredHead& head)
{
    const auto id = job.id;
    if (head.head.owner == this->context.identity) {
        RunnerStart start;
        start.job = std::move(job);
        start.head = head;
        this->adopt(std::move(start));
    } else if (!this->context.isDraining) {
        asio::co_spawn(this->context.loop(), this->watchHandover(std::move(job), head), asio::detached);
    }
    this->noteHead(id, head);
}

/// The VM that is to run the job writes its head as soon as it has taken it.
asio::awaitable<void> JobOwner::watchHandover(JobSpec job, StoredHead head)
{
    const auto id = job.id;
    co_await pauseFor(handoverTime);
    if (this->jobs[id].stored.version != head.version)
        co_return;
    this->failedHandovers[head.head.owner.name] = Clock::now();
    logEvent(
        LogLevel::Info, "job-handover-failed", { { "job", id.value() }, { "owner", head.head.owner.name.value() } });
    const auto claimed = co_await this->claim(id);
    if (!claimed)
        co_return;
    RunnerStart start;
    start.job = std::move(job);
    start.head = *claimed;
    this->adopt(std::move(start));
}

asio::awaitable<void> JobOwner::watch()
{
    while (true) {
        const auto now = Clock::now();
        this->dropStoppedRunners();
        for (auto& [id, known] : this->jobs) {
            if (!this->context.isDraining && this->isClaimable(id, known, now)) {
                known.isBeingClaimed = true;
                asio::co_spawn(this->context.loop(), this->claimAndRun(id), asio::detached);
            } else if (!this->context.isDraining && this->isDoubtful(id, known, now)) {
                known.askedAt = known.stored.version;
                asio::co_spawn(this->context.loop(), this->askOwner(id, known.stored), asio::detached);
            } else if (!known.isBeingRemoved && this->isForgettable(id, known)) {
                known.isBeingRemoved = true;
                asio::co_spawn(this->context.loop(), this->forget(id), asio::detached);
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
        // The feed may be behind what the runner wrote.
        auto& known = this->jobs[entry->first];
        if (entry->second->stored().version > known.stored.version)
            known.stored = entry->second->stored();
        this->ended.push_front(entry->second);
        entry = this->runners.erase(entry);
    }
    const auto now = Clock::now();
    std::erase_if(this->failedHandovers, [now](const auto& failed) { return now - failed.second >= distrustTime; });
    const auto oldest = now - textRetention;
    std::erase_if(this->ended, [oldest](const auto& runner) { return runner->stoppedAt() < oldest; });
    while (this->ended.size() > keptRunners)
        this->ended.pop_back();
}

asio::awaitable<void> JobOwner::takeOver(JobId id, StoredHead head, bool isHandedOver)
{
    auto submission = co_await this->store.readSubmission(id, head.head);
    Result<std::vector<ItemResult>> listed = std::vector<ItemResult> {};
    if (submission && head.head.listed > 0)
        listed = co_await this->store.readAllResults(id, 0);
    const auto texts = co_await this->store.readTexts(id, head.head.textObjects);
    if (!texts)
        logEvent(LogLevel::Warning, "texts-not-read", { { "job", id.value() }, { "error", texts.error().message } });
    this->jobs[id].isBeingClaimed = false;
    if (!submission || !listed) {
        const auto& error = submission ? listed.error() : submission.error();
        logEvent(LogLevel::Warning, "job-not-read", { { "job", id.value() }, { "error", error.message } });
        co_return;
    }
    auto job = this->context.protocol.decodeSubmission(submission.value());
    if (!job) {
        logEvent(LogLevel::Error, "job-refused", { { "job", id.value() }, { "error", job.error().message } });
        co_return;
    }
    RunnerStart start;
    start.job = std::move(job).value();
    start.head = head;
    start.listed = std::move(listed).value();
    if (texts)
        start.texts = texts.value();
    start.isHandedOver = isHandedOver;
    this->adopt(std::move(start));
}

/// The last owner removes a job; the others follow one after the other, should it be gone.
bool JobOwner::isForgettable(const JobId& id, const Known& known) const
{
    const auto& head = known.stored.head;
    if (isOpen(head))
        return false;
    const bool isOwn = head.owner.name == this->context.identity.name;
    const auto rank = stableHash(id.value(), this->context.identity.incarnation.value());
    const auto turn = std::chrono::milliseconds(isOwn ? 0 : 1 + rank % removalSpreadMs);
    return unixTime() - head.acceptedAt > this->context.settings.gateway.resultRetention + clockSlack + turn;
}

asio::awaitable<void> JobOwner::forget(JobId id)
{
    const auto removed = co_await this->store.remove(id, this->jobs[id].stored);
    if (removed) {
        this->jobs.erase(id);
        co_return;
    }
    logEvent(LogLevel::Info, "job-not-removed", { { "job", id.value() }, { "error", removed.error().message } });
    co_await pauseFor(removalRetry);
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
        // A generation that must come from one version does not outlast a load.
        const auto* route = this->context.routes ? matchRoute(*this->context.routes, head.host, head.path) : nullptr;
        return head.waiting > 0 || (route && route->isSingleVersion);
    });
}

json::value JobOwner::dump() const
{
    json::array list;
    for (const auto& [id, runner] : this->runners)
        list.push_back(runner->dump());
    return json::object { { "known", this->jobs.size() }, { "running", std::move(list) } };
}

} // namespace topaztack
