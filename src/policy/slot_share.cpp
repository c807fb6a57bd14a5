#include <topaztack/policy/slot_share.hpp>

#include <topaztack/base/random.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    /// Order of VMs at one backend server: near ones first, then by hash.
    struct HolderRank {
        bool isFar { false };
        std::uint64_t hash { 0 };

        auto operator<=>(const HolderRank&) const = default;
    };

    HolderRank rankOf(const SlotHolder& vm, const BackendName& backend, const DataCentre& dataCentre)
    {
        const bool isNear = vm.isGuest || vm.dataCentre == dataCentre;
        return { !isNear, stableHash(vm.name.value(), stableHash(backend.value())) };
    }

} // namespace

SlotShare slotShare(const BackendName& backend, const DataCentre& backendDataCentre, std::uint64_t limit,
    const SlotHolder& self, const std::vector<SlotHolder>& vms)
{
    const auto mine = rankOf(self, backend, backendDataCentre);
    std::uint64_t before = 0;
    for (const auto& vm : vms) {
        if (vm.name != self.name && rankOf(vm, backend, backendDataCentre) < mine)
            ++before;
    }
    const auto most = std::max<std::uint64_t>(1, limit / leastSlotsAtBackend);
    const auto holders = std::clamp<std::uint64_t>(vms.size(), 1, most);
    if (before >= holders)
        return { 0, static_cast<std::uint32_t>(holders) };
    const auto slots = limit / holders + (before < limit % holders ? 1 : 0);
    return { static_cast<std::uint32_t>(slots), static_cast<std::uint32_t>(holders) };
}

double reportWeight(const LoadReport& report, TimePoint now)
{
    if (!report.isKnown || now - report.at >= reportLifetime)
        return 0;
    const auto age = std::max<Duration>(now - report.at, Duration(0));
    return 1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(reportLifetime);
}

std::uint32_t slotAllowance(const SlotShare& share, std::uint64_t limit, const LoadReport& report, TimePoint now)
{
    if (share.slots == 0)
        return 0;
    const auto busy = static_cast<std::uint64_t>(report.running) + report.queued;
    if (busy >= limit || report.queued > 0)
        return share.slots;
    const auto unused = static_cast<double>(limit - busy) * reportWeight(report, now);
    const auto lent = static_cast<std::uint64_t>(unused / share.holders);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(share.slots + lent, limit));
}

} // namespace topaztack
