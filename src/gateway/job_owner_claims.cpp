#include "job_owner.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/policy/job_placement.hpp>

#include <algorithm>

/// @file
/// Choice of the VM that runs a new job, and takeover of jobs whose owner has failed.

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// Another VM takes a job over if its head has not changed for this long. An owner writes it at least every 700 ms.
    constexpr Duration ownerTimeout = 2200ms;
    /// An owner is probed if its head has not changed for this long. An owner writes it at least every 700 ms.
    constexpr Duration ownerSuspicionTime = 1000ms;
    /// Time limit of a probe. A process that is gone refuses connections at once; a VM that is cut off doesn't answer.
    constexpr Duration probeTimeout = 250ms;
    /// Upper bounds of the delays before a probe, a claim after the owner timeout and a claim of a released job. VMs
    /// act one after the other, in an order that differs from job to job.
    constexpr Duration probeSpread = 200ms;
    constexpr Duration claimSpread = 400ms;
    constexpr Duration releaseSpread = 60ms;
    constexpr std::int64_t claimDelaySteps = 100;
    /// The VM that ran a trainer's last job is preferred for the next one for this long.
    constexpr Duration ownerPreferenceTime = 15s;

} // namespace

std::map<VmName, std::uint64_t> JobOwner::countOpenItems() const
{
    std::map<VmName, std::uint64_t> items;
    for (const auto& [id, known] : this->jobs) {
        const auto& head = known.stored.head;
        if (isOpen(head))
            items[head.owner.name] += head.total - head.listed;
    }
    return items;
}

/// The VM that ran the trainer's last job; empty if no job is known or the last one's head has not changed for
/// `ownerPreferenceTime`.
VmName JobOwner::lastOwner(const ModelName& model) const
{
    const KnownJob* latest = nullptr;
    for (const auto& [id, known] : this->jobs) {
        const auto& head = known.stored.head;
        if (head.model == model && (!latest || head.acceptedAt > latest->stored.head.acceptedAt))
            latest = &known;
    }
    if (!latest || Clock::now() - latest->seenAt >= ownerPreferenceTime)
        return {};
    return latest->stored.head.owner.name;
}

VmIdentity JobOwner::preferredOwner(const ModelName& model, std::uint64_t items) const
{
    const auto openItems = this->countOpenItems();
    const auto last = this->lastOwner(model);
    std::vector<VmIdentity> vms;
    std::vector<PlacementCandidate> candidates;
    const auto addCandidate = [&](const VmIdentity& vm, double processor) {
        const auto found = openItems.find(vm.name);
        vms.push_back(vm);
        candidates.push_back({ processor, found == openItems.end() ? 0 : found->second, vm.name == last,
            stableHash(vm.name.value(), vm.incarnation.value()) });
    };
    if (!this->context.isDraining)
        addCandidate(this->context.identity, this->context.settings.gateway.processor());
    for (const auto& [name, peer] : this->peers.known()) {
        if (!this->failedHandovers.contains(name))
            addCandidate(peer.vm, peer.processor);
    }
    const auto chosen = placeJob(candidates, items);
    auto owner = chosen ? vms[*chosen] : VmIdentity {};
    const auto ownerItems = chosen ? candidates[*chosen].openItems : 0;
    logEvent(LogLevel::Info, "job-placed",
        { { "model", model.value() }, { "items", std::to_string(items) }, { "owner", owner.name.value() },
            { "owner_items", std::to_string(ownerItems) }, { "last_owner", last.value() },
            { "candidates", std::to_string(candidates.size()) } });
    return owner;
}

/// How long this VM waits before it claims a job. VMs that have room and run jobs tend to go first, then those that
/// have room and the most cores; within each class the order depends on the job.
Duration JobOwner::claimDelay(const JobId& id, Duration spread) const
{
    const auto openItems = this->countOpenItems();
    const auto found = openItems.find(this->context.identity.name);
    PlacementCandidate self;
    self.processor = this->context.settings.gateway.processor();
    self.openItems = found == openItems.end() ? 0 : found->second;
    double strongest = self.processor;
    for (const auto& [name, peer] : this->peers.known())
        strongest = std::max(strongest, peer.processor);
    const bool hasCapacity = hasCapacityFor(self, 0);
    Duration baseDelay = spread / 2;
    if (hasCapacity && self.openItems > 0)
        baseDelay = Duration(0);
    else if (hasCapacity && self.processor >= strongest)
        baseDelay = spread / 4;
    const auto rank = stableHash(id.value(), this->context.identity.incarnation.value());
    return baseDelay + spread * static_cast<std::int64_t>(rank % claimDelaySteps) / (2 * claimDelaySteps);
}

/// How long a head has not changed. Only time during which changes would have been seen counts.
Duration JobOwner::timeUnchanged(const KnownJob& known, TimePoint now) const
{
    const auto fresh = this->heads.freshSince();
    return fresh ? now - std::max(*fresh, known.seenAt) : Duration(0);
}

bool JobOwner::isClaimable(const JobId& id, const KnownJob& known, TimePoint now) const
{
    const auto& head = known.stored.head;
    if (known.isBeingClaimed || !isOpen(head) || this->runnerOf(id))
        return false;
    if (head.owner.name == this->context.identity.name)
        return true;
    if (head.owner.name.value().empty())
        return now - known.seenAt >= this->claimDelay(id, releaseSpread);
    const auto unchangedTime = this->timeUnchanged(known, now);
    return unchangedTime >= ownerTimeout && unchangedTime >= ownerTimeout + this->claimDelay(id, claimSpread);
}

bool JobOwner::isOwnerSuspected(const JobId& id, const KnownJob& known, TimePoint now) const
{
    const auto& head = known.stored.head;
    if (known.isBeingClaimed || !isOpen(head) || head.owner.name.value().empty() || this->runnerOf(id))
        return false;
    return known.probedVersion != known.stored.version && this->timeUnchanged(known, now) >= ownerSuspicionTime;
}

/// Takes a job over at once if its owner refuses connections, since its process is gone then.
asio::awaitable<void> JobOwner::probeOwner(JobId id, StoredHead head)
{
    co_await pauseFor(this->claimDelay(id, probeSpread));
    const auto peer = this->peers.known().find(head.head.owner.name);
    if (peer == this->peers.known().end())
        co_return;
    HttpRequest request;
    request.method = "GET";
    request.target = std::string(storeContactPath);
    const auto probeStartedAt = Clock::now();
    const auto answered = co_await this->context.httpClient.call(
        peer->second.endpoint, std::move(request), probeStartedAt + probeTimeout);
    if (!answered)
        logEvent(LogLevel::Debug, "job-owner-not-answering",
            { { "job", id.value() }, { "owner", head.head.owner.name.value() },
                { "error", answered.error().error.message } });
    const bool isRefused = !answered && answered.error().progress == AttemptProgress::NothingWritten
        && Clock::now() - probeStartedAt < probeTimeout;
    const auto known = this->jobs.find(id);
    const bool isCurrent = known != this->jobs.end() && known->second.stored.version == head.version;
    if (!isRefused || !isCurrent || !this->beginClaim(id))
        co_return;
    logEvent(LogLevel::Info, "job-owner-dead",
        { { "job", id.value() }, { "owner", head.head.owner.name.value() },
            { "error", answered.error().error.message } });
    const bool isClaimed = co_await this->claimAndRun(id, std::nullopt);
    if (isClaimed)
        this->deadOwners.add();
}

/// Marks a known job as being claimed; claimAndRun() or runAssigned() must follow.
/// @return false if it is being claimed already, or this VM is leaving.
bool JobOwner::beginClaim(const JobId& id)
{
    const auto known = this->jobs.find(id);
    if (known == this->jobs.end() || known->second.isBeingClaimed || this->context.isDraining)
        return false;
    known->second.isBeingClaimed = true;
    return true;
}

void JobOwner::endClaim(const JobId& id)
{
    const auto known = this->jobs.find(id);
    if (known != this->jobs.end())
        known->second.isBeingClaimed = false;
}

/// Writes this VM into a job's head as its owner.
asio::awaitable<JobWriteResult> JobOwner::claim(JobId id)
{
    JobWriteResult write;
    const auto known = this->jobs.find(id);
    if (known == this->jobs.end())
        co_return write;
    const auto before = known->second.stored;
    const auto unchangedTime = Clock::now() - known->second.seenAt;
    auto newHead = before.head;
    newHead.owner = this->context.identity;
    ++newHead.writes;
    std::vector<ItemResult> noResults;
    write = co_await this->store.write(id, before.version, newHead, newHead.listed, std::move(noResults));
    if (write.outcome != JobWriteOutcome::Written)
        co_return write;
    this->takeovers.add();
    logEvent(LogLevel::Info, "job-taken-over",
        { { "job", id.value() }, { "from", before.head.owner.name.value() },
            { "silent_ms", std::to_string(toMilliseconds(unchangedTime).count()) } });
    auto& claimed = this->jobs[id];
    claimed.stored = *write.current;
    claimed.seenAt = Clock::now();
    co_return write;
}

/// Claims a job and starts its runner. Here and in runAssigned() the mark that beginClaim() set is removed on every
/// return: a job that kept it would never be claimed by this VM again.
/// @param job the submission, if it is at hand; otherwise it is read from the store.
/// @return whether the job was claimed.
asio::awaitable<bool> JobOwner::claimAndRun(JobId id, std::optional<JobSpec> job)
{
    const auto write = co_await this->claim(id);
    const bool isClaimed = write.outcome == JobWriteOutcome::Written;
    if (isClaimed && job) {
        InitialJobState initial;
        initial.job = std::move(*job);
        initial.head = *write.current;
        this->startRunner(std::move(initial));
    } else if (isClaimed) {
        co_await this->takeOver(id, *write.current, false);
    }
    this->endClaim(id);
    if (!isClaimed && write.current)
        this->observeHead(id, *write.current);
    co_return isClaimed;
}

/// Runs a job that another VM accepted and assigned to this one.
asio::awaitable<void> JobOwner::runAssigned(JobId id, StoredHead head)
{
    co_await this->takeOver(id, std::move(head), true);
    this->endClaim(id);
}

} // namespace topaztack
