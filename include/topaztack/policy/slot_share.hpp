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
inline constexpr std::uint32_t minSlotsPerHolder = 2;

/// @brief A VM as sharing sees it.
struct SlotHolder {
    VmName name;
    DataCentre dataCentre;
    /// Its data centre has no backend server of the pool, so that it counts as near to all of them.
    bool hasNoLocalBackend { false };
};

/// @brief The slots of one VM at one backend server.
struct SlotShare {
    std::uint32_t slots { 0 };
    /// VMs that have slots there.
    std::uint32_t holders { 1 };
};

/// @brief A backend server as sharing sees it.
struct SharedBackend {
    BackendName name;
    DataCentre dataCentre;
};

/// @brief The shares of `self` at each of a pool's backend servers, in their order.
///
/// Each backend server goes to the VMs that come first by nearness and rendezvous hash, but no VM gets more than its
/// part of all places while others have fewer (bounded loads). Every VM that knows the same VMs comes to the same
/// result; the shares at one backend server add up to `limit`.
/// @param backends in the order of their names.
/// @param vms all VMs that take requests, `self` included.
/// @complexity backend servers times VMs; not for the path of a request.
std::vector<SlotShare> slotShares(const std::vector<SharedBackend>& backends, std::uint64_t limit,
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

/// @brief Slots that a VM uses beyond its share after a new report: one more while its own are not enough and a quarter
/// of the backend server's slots is unused, fewer when that is over, none when it queues.
/// @param isShortOfSlots whether the VM has requests waiting or all its slots there taken.
std::uint32_t borrowSlots(
    const SlotShare& share, std::uint32_t borrowed, std::uint64_t limit, const LoadReport& report, bool isShortOfSlots);

/// @brief Slots that a VM may use now; borrowed ones only while the report is fresh.
std::uint32_t slotAllowance(const SlotShare& share, std::uint32_t borrowed, const LoadReport& report, TimePoint now);

} // namespace topaztack
