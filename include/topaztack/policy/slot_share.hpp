#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

/// @file
/// How many requests one VM may have in flight at one backend server, so that all VMs together keep to its limit
/// without talking for each request: equal shares among the VMs that rendezvous hashing gives the backend server to.

namespace topaztack {

/// A VM that has slots at a backend server has at least so many, if the limit allows.
inline constexpr std::uint32_t leastSlotsAtBackend = 2;

/// @brief A VM as sharing sees it.
struct SlotHolder {
    VmName name;
    DataCentre dataCentre;
    /// Its data centre has no backend server of the pool, so that it counts as near to all of them.
    bool isGuest { false };
};

/// @brief The slots of one VM at one backend server.
struct SlotShare {
    std::uint32_t slots { 0 };
    /// VMs that have slots there.
    std::uint32_t holders { 1 };
};

/// @brief The share of `self`: near VMs first, then in rendezvous order; zero if it is not among the holders.
/// @param vms all VMs that take requests, `self` included.
/// @complexity linear in the VMs.
SlotShare slotShare(const BackendName& backend, const DataCentre& backendDataCentre, std::uint64_t limit,
    const SlotHolder& self, const std::vector<SlotHolder>& vms);

/// @brief What a backend server last reported of itself.
struct LoadReport {
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    /// When it was true: arrival less its stated age.
    TimePoint at;
    bool isKnown { false };
};

/// Reports older than this lend nothing and weigh nothing.
inline constexpr std::chrono::milliseconds reportLifetime { 2000 };

/// @brief Weight of a report by its age: 1 when fresh, falling to 0 at the end of its lifetime.
double reportWeight(const LoadReport& report, TimePoint now);

/// @brief Slots that a VM may use now: its share, and its part of what a fresh report shows as unused by others.
std::uint32_t slotAllowance(const SlotShare& share, std::uint64_t limit, const LoadReport& report, TimePoint now);

} // namespace topaztack
