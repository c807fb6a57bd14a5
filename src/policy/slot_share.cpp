#include <topaztack/policy/slot_share.hpp>

#include <topaztack/base/random.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    /// One in this many slots of a backend server is never lent.
    constexpr std::uint64_t unlentDivisor = 4;

    /// A VM's rank at one backend server: near ones first, then by hash.
    struct HolderRank {
        bool isFar { false };
        std::uint64_t hash { 0 };
        std::size_t vm { 0 };

        auto operator<=>(const HolderRank&) const = default;
    };

    /// The VMs sorted by their rank at one backend server.
    std::vector<HolderRank> ranksAt(
        const SharedBackend& backend, const std::vector<SlotHolder>& vms, const std::vector<std::uint64_t>& hashes)
    {
        const auto backendHash = stableHash(backend.name.value());
        std::vector<HolderRank> ranks;
        ranks.reserve(vms.size());
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            const bool isNear = vms[vm].hasNoLocalBackend || vms[vm].dataCentre == backend.dataCentre;
            ranks.push_back({ !isNear, Random(hashes[vm] ^ backendHash).next(), vm });
        }
        std::sort(ranks.begin(), ranks.end());
        return ranks;
    }

    /// Chooses the first VMs by rank that hold fewer than `maxHeld` backend servers; if those are too few, the VMs that
    /// hold the fewest.
    std::vector<std::size_t> holdersAt(
        std::vector<HolderRank> ranks, std::size_t count, std::size_t maxHeld, const std::vector<std::size_t>& held)
    {
        const auto excess = [&](const HolderRank& rank) { return held[rank.vm] < maxHeld ? 0 : held[rank.vm]; };
        std::stable_sort(ranks.begin(), ranks.end(),
            [&](const HolderRank& left, const HolderRank& right) { return excess(left) < excess(right); });
        std::vector<std::size_t> chosen;
        for (std::size_t position = 0; position < count; ++position)
            chosen.push_back(ranks[position].vm);
        return chosen;
    }

} // namespace

std::vector<SlotShare> slotShares(const std::vector<SharedBackend>& backends, std::uint64_t limit,
    const SlotHolder& self, const std::vector<SlotHolder>& vms)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(vms.size());
    for (const auto& vm : vms)
        hashes.push_back(stableHash(vm.name.value()));
    const auto maxHolders = std::max<std::uint64_t>(1, limit / minSlotsPerHolder);
    const auto count = std::clamp<std::size_t>(vms.size(), 1, maxHolders);
    const auto maxHeld = (backends.size() * count + vms.size() - 1) / std::max<std::size_t>(1, vms.size());
    std::vector<std::size_t> held(vms.size(), 0);
    std::vector<SlotShare> shares;
    for (const auto& backend : backends) {
        const auto holders = holdersAt(ranksAt(backend, vms, hashes), count, maxHeld, held);
        SlotShare share { 0, static_cast<std::uint32_t>(count) };
        for (std::size_t position = 0; position < holders.size(); ++position) {
            ++held[holders[position]];
            if (vms[holders[position]].name == self.name)
                share.slots = static_cast<std::uint32_t>(limit / count + (position < limit % count ? 1 : 0));
        }
        shares.push_back(share);
    }
    return shares;
}

double reportWeight(const LoadReport& report, TimePoint now)
{
    if (!report.isKnown || now - report.at >= reportLifetime)
        return 0;
    const auto age = std::max<Duration>(now - report.at, Duration(0));
    return 1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(reportLifetime);
}

std::uint32_t borrowSlots(
    const SlotShare& share, std::uint32_t borrowed, std::uint64_t limit, const LoadReport& report, bool isShortOfSlots)
{
    const auto unlent = std::max<std::uint64_t>(1, limit / unlentDivisor);
    const bool isFull = report.running + unlent >= limit;
    if (report.queued > 0 || share.slots == 0)
        return 0;
    if (!isShortOfSlots || isFull)
        return borrowed - (borrowed + 3) / 4;
    const auto maxBorrowed = limit > share.slots + unlent ? limit - share.slots - unlent : 0;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(borrowed + 1, maxBorrowed));
}

std::uint32_t slotAllowance(const SlotShare& share, std::uint32_t borrowed, const LoadReport& report, TimePoint now)
{
    return reportWeight(report, now) > 0 ? share.slots + borrowed : share.slots;
}

} // namespace topaztack
