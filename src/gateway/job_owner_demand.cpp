#include "job_owner.hpp"

#include <algorithm>

/// @file
/// What the jobs of all VMs need of a pool, read from their heads.

namespace topaztack {

using namespace std::chrono_literals;

namespace {

    /// A trainer whose last step was accepted longer ago isn't expected to submit another one.
    constexpr std::chrono::milliseconds maxStepAge { 120'000 };

} // namespace

/// The route of a job that leads to the pool; nullptr if there is none.
const Route* JobOwner::routeTo(const JobHead& head, const PoolName& pool) const
{
    const auto* route = this->context.routes ? matchRoute(*this->context.routes, head.host, head.path) : nullptr;
    const auto* chosen = route ? choosePool(*route, 0) : nullptr;
    return chosen && *chosen == pool ? route : nullptr;
}

std::vector<StepDemand> JobOwner::stepsOf(const PoolName& pool) const
{
    std::vector<StepDemand> steps;
    for (const auto& [id, known] : this->jobs) {
        const auto& head = known.stored.head;
        const auto* route = this->routeTo(head, pool);
        // The clocks of VMs differ, so the age may be negative.
        const auto age = std::max<std::chrono::milliseconds>(0ms, unixTime() - head.acceptedAt);
        const bool isOpenStep = isOpen(head);
        if (!route || (!isOpenStep && age > maxStepAge))
            continue;
        StepDemand step;
        step.model = head.model;
        step.isOpen = isOpenStep;
        step.items = head.total;
        step.remaining = head.total - std::min(head.total, head.listed);
        step.target = route->jobTarget;
        step.timeLeft = Duration(route->jobTarget) - Duration(age);
        steps.push_back(std::move(step));
    }
    return steps;
}

std::pair<std::uint64_t, std::uint64_t> JobOwner::countItems(const PoolName& pool) const
{
    // A VM states the same counts in the heads of all its jobs.
    std::map<VmName, std::uint64_t> inFlight;
    std::uint64_t listed = 0;
    for (const auto& [id, known] : this->jobs) {
        const auto& head = known.stored.head;
        if (!this->routeTo(head, pool))
            continue;
        listed += head.listed;
        if (!isOpen(head))
            continue;
        std::uint64_t count = 0;
        for (const auto& [server, generations] : head.inFlight) {
            const auto* record = this->servers.find(server);
            count += record && record->pool == pool ? generations : 0;
        }
        auto& most = inFlight[head.owner.name];
        most = std::max(most, count);
    }
    std::uint64_t total = 0;
    for (const auto& [vm, count] : inFlight)
        total += count;
    return { total, listed };
}

} // namespace topaztack
