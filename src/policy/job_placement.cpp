#include <topaztack/policy/job_placement.hpp>

#include <tuple>

namespace topaztack {

namespace {

    /// Open items that one core can run. Half of them run at a time, each running one takes 0.03 % of a core (20 events
    /// per second of 16 us on a VM that runs a trainer's jobs), and all together may use at most half of the core.
    constexpr double itemsPerCore = 3000;

    double loadPerCore(const PlacementCandidate& vm, std::uint64_t items)
    {
        return static_cast<double>(vm.openItems + items) / vm.processor;
    }

    bool isBetter(const PlacementCandidate& one, const PlacementCandidate& other, std::uint64_t items)
    {
        const bool hasCapacity = hasCapacityFor(one, items);
        if (hasCapacity != hasCapacityFor(other, items))
            return hasCapacity;
        if (!hasCapacity)
            return loadPerCore(one, items) < loadPerCore(other, items);
        return std::tie(one.ranLastJob, one.openItems, one.processor, other.rank)
            > std::tie(other.ranLastJob, other.openItems, other.processor, one.rank);
    }

} // namespace

bool hasCapacityFor(const PlacementCandidate& vm, std::uint64_t items)
{
    return static_cast<double>(vm.openItems + items) <= itemsPerCore * vm.processor;
}

std::optional<std::size_t> placeJob(const std::vector<PlacementCandidate>& vms, std::uint64_t items)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < vms.size(); ++index) {
        if (!best || isBetter(vms[index], vms[*best], items))
            best = index;
    }
    return best;
}

} // namespace topaztack
