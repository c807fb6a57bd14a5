#include "job_owner.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/policy/job_placement.hpp>

#include <algorithm>

/// @file
/// Which VM is given a job, and when another takes it.

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// An owner writes its head every 700 ms or more often; after this silence another VM takes the job.
    constexpr Duration ownerSilence = 2200ms;
    /// After this silence its owner is asked; it writes its head every 700 ms or more often.
    constexpr Duration doubtfulSilence = 1000ms;
    /// A process that is gone refuses a connection at once; a VM that is cut off doesn't answer at all.
    constexpr Duration refusalTime = 250ms;
    constexpr Duration askSpread = 200ms;
    /// VMs claim a job one after the other, in an order drawn for each job.
    constexpr Duration claimSpread = 400ms;
    constexpr Duration releaseSpread = 60ms;
    constexpr std::int64_t claimSteps = 100;
    /// A VM that ran a trainer's last job is preferred for this long.
    constexpr Duration longestPreference = 15s;

} // namespace

std::map<VmName, std::uint64_t> JobOwner::openItems() const
{
    std::map<VmName, std::uint64_t> items;
    for (const auto& [id, known] : this->jobs) {
        const auto& head = known.stored.head;
        if (isOpen(head))
            items[head.owner.name] += head.total - head.listed;
    }
    return items;
}

/// The VM that ran the trainer's last job; empty if there is none of late.
VmName JobOwner::lastOwner(const ModelName& model) const
{
    const Known* latest = nullptr;
    for (const auto& [id, known] : this->jobs) {
        const auto& head = known.stored.head;
        if (head.model == model && (!latest || head.acceptedAt > latest->stored.head.acceptedAt))
            latest = &known;
    }
    if (!latest || Clock::now() - latest->seenAt >= longestPreference)
        return {};
    return latest->stored.head.owner.name;
}

VmIdentity JobOwner::preferredOwner(const ModelName& model, std::uint64_t items) const
{
    const auto open = this->openItems();
    const auto last = this->lastOwner(model);
    std::vector<VmIdentity> vms;
    std::vector<PlacementCandidate> candidates;
    const auto add = [&](const VmIdentity& vm, double processor) {
        const auto found = open.find(vm.name);
        vms.push_back(vm);
        candidates.push_back({ processor, found == open.end() ? 0 : found->second, vm.name == last,
            stableHash(vm.name.value(), vm.incarnation.value()) });
    };
    if (!this->context.isDraining)
        add(this->context.identity, this->context.settings.gateway.processor());
    for (const auto& [name, peer] : this->peers.known()) {
        if (!this->failedHandovers.contains(name))
            add(peer.vm, peer.processor);
    }
    const auto chosen = placeJob(candidates, items);
    auto owner = chosen ? vms[*chosen] : VmIdentity {};
    const auto work = chosen ? candidates[*chosen].openItems : 0;
    logEvent(LogLevel::Info, "job-placed",
        { { "model", model.value() }, { "items", std::to_string(items) }, { "owner", owner.name.value() },
            { "owner_items", std::to_string(work) }, { "last_owner", last.value() },
            { "candidates", std::to_string(candidates.size()) } });
    return owner;
}

/// VMs claim a job in an order drawn for it; those that run jobs and have room go first, then the strong ones.
Duration JobOwner::claimDelay(const JobId& id, Duration spread) const
{
    const auto open = this->openItems();
    const auto found = open.find(this->context.identity.name);
    PlacementCandidate self;
    self.processor = this->context.settings.gateway.processor();
    self.openItems = found == open.end() ? 0 : found->second;
    double strongest = self.processor;
    for (const auto& [name, peer] : this->peers.known())
        strongest = std::max(strongest, peer.processor);
    const bool hasCapacity = hasCapacityFor(self, 0);
    Duration turn = spread / 2;
    if (hasCapacity && self.openItems > 0)
        turn = Duration(0);
    else if (hasCapacity && self.processor >= strongest)
        turn = spread / 4;
    const auto rank = stableHash(id.value(), this->context.identity.incarnation.value());
    return turn + spread * static_cast<std::int64_t>(rank % claimSteps) / (2 * claimSteps);
}

/// For how long a head has not changed. Silence counts only while changes would have been seen.
Duration JobOwner::silenceOf(const Known& known, TimePoint now) const
{
    const auto fresh = this->heads.freshSince();
    return fresh ? now - std::max(*fresh, known.seenAt) : Duration(0);
}

bool JobOwner::isClaimable(const JobId& id, const Known& known, TimePoint now) const
{
    const auto& head = known.stored.head;
    if (known.isBeingClaimed || !isOpen(head) || this->runnerOf(id))
        return false;
    if (head.owner.name == this->context.identity.name)
        return true;
    if (head.owner.name.value().empty())
        return now - known.seenAt >= this->claimDelay(id, releaseSpread);
    const auto silence = this->silenceOf(known, now);
    return silence >= ownerSilence && silence >= ownerSilence + this->claimDelay(id, claimSpread);
}

bool JobOwner::isDoubtful(const JobId& id, const Known& known, TimePoint now) const
{
    const auto& head = known.stored.head;
    if (known.isBeingClaimed || !isOpen(head) || head.owner.name.value().empty() || this->runnerOf(id))
        return false;
    return known.askedAt != known.stored.version && this->silenceOf(known, now) >= doubtfulSilence;
}

/// An owner whose process is gone loses the job at once.
asio::awaitable<void> JobOwner::askOwner(JobId id, StoredHead head)
{
    co_await pauseFor(this->claimDelay(id, askSpread));
    const auto peer = this->peers.known().find(head.head.owner.name);
    if (peer == this->peers.known().end())
        co_return;
    HttpRequest request;
    request.method = "GET";
    request.target = std::string(storeContactPath);
    const auto askedAt = Clock::now();
    const auto answered
        = co_await this->context.httpClient.call(peer->second.endpoint, std::move(request), askedAt + refusalTime);
    if (!answered)
        logEvent(LogLevel::Debug, "job-owner-not-answering",
            { { "job", id.value() }, { "owner", head.head.owner.name.value() },
                { "error", answered.error().error.message } });
    const bool isRefused = !answered && answered.error().progress == AttemptProgress::NothingWritten
        && Clock::now() - askedAt < refusalTime;
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

/// Writes this VM into a job's head.
asio::awaitable<std::optional<StoredHead>> JobOwner::claim(JobId id)
{
    const auto before = this->jobs[id].stored;
    const auto silence = Clock::now() - this->jobs[id].seenAt;
    this->jobs[id].isBeingClaimed = true;
    auto wanted = before.head;
    wanted.owner = this->context.identity;
    ++wanted.writes;
    std::vector<ItemResult> none;
    const auto write = co_await this->store.write(id, before.version, wanted, wanted.listed, std::move(none));
    auto& known = this->jobs[id];
    if (write.end == JobWriteEnd::Written) {
        this->takeovers.add();
        logEvent(LogLevel::Info, "job-taken-over",
            { { "job", id.value() }, { "from", before.head.owner.name.value() },
                { "silent_ms", std::to_string(toMilliseconds(silence).count()) } });
        known.stored = *write.current;
        known.seenAt = Clock::now();
        co_return write.current;
    }
    known.isBeingClaimed = false;
    if (write.current)
        this->noteHead(id, *write.current);
    co_return std::nullopt;
}

asio::awaitable<void> JobOwner::claimAndRun(JobId id)
{
    const auto claimed = co_await this->claim(id);
    if (claimed)
        co_await this->takeOver(id, *claimed, false);
}

} // namespace topaztack
