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
    if (!isRefused || !isCurrent || known->second.isBeingClaimed || this->context.isDraining)
        co_return;
    logEvent(LogLevel::Info, "job-owner-dead",
        { { "job", id.value() }, { "owner", head.head.owner.name.value() },
            { "error", answered.error().error.message } });
    const auto claimed = co_await this->claim(id);
    if (!claimed)
        co_return;
    this->deadOwners.add();
    co_await this->takeOver(id, *claimed, false);
}

/// Writes this VM into a job's head as its owner.
/// @return the written head; nothing if it was not written.
asio::awaitable<std::optional<StoredHead>> JobOwner::claim(JobId id)
{
    const auto before = this->jobs[id].stored;
    const auto unchangedTime = Clock::now() - this->jobs[id].seenAt;
    this->jobs[id].isBeingClaimed = true;
    auto newHead = before.head;
    newHead.owner = this->context.identity;
    ++newHead.writes;
    std::vector<ItemResult> noResults;
    const auto write = co_await this->store.write(id, before.version, newHead, newHead.listed, std::move(noResults));
    auto& known = this->jobs[id];
    if (write.outcome == JobWriteOutcome::Written) {
        this->takeovers.add();
        logEvent(LogLevel::Info, "job-taken-over",
            { { "job", id.value() }, { "from", before.head.owner.name.value() },
                { "silent_ms", std::to_string(toMilliseconds(unchangedTime).count()) } });
        known.stored = *write.current;
        known.seenAt = Clock::now();
        co_return write.current;
    }
    known.isBeingClaimed = false;
    if (write.current)
        this->observeHead(id, *write.current);
    co_return std::nullopt;
}

asio::awaitable<void> JobOwner::claimAndRun(JobId id)
{
    const auto claimed = co_await this->claim(id);
    if (claimed)
        co_await this->takeOver(id, *claimed, false);
}

} // namespace topaztack
