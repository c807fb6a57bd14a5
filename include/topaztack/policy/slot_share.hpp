#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

/// @file
/// How many requests one VM may have in flight at one backend server. Rendezvous hashing assigns VMs to each backend
/// server, and its limit is divided equally among them; all VMs together stay within the limit without coordination per
/// request.

namespace topaztack {

/// The least number of slots of a VM that has any at a backend server, unless the limit is lower.
inline constexpr std::uint32_t minSlotsPerHolder = 2;

/// @brief A VM among which slots are divided.
struct SlotHolder {
    VmName name;
    DataCentre dataCentre;
    /// Its data centre has no backend server of the pool; the VM counts as near to all of them.
    bool hasNoLocalBackend { false };
};

/// @brief The slots of one VM at one backend server.
struct SlotShare {
    std::uint32_t slots { 0 };
    /// The number of VMs that have slots there.
    std::uint32_t holders { 1 };
};

/// @brief A backend server whose slots are divided.
struct SharedBackend {
    BackendName name;
    DataCentre dataCentre;
};

/// @brief Computes the shares of `self` at each of a pool's backend servers, in their order.
///
/// Each backend server is assigned to the first VMs in order of nearness and rendezvous hash, but a VM that already has
/// its part of all assignments comes after those with fewer (bounded loads). All VMs that know the same VMs compute the
/// same result; the shares at one backend server add up to `limit`.
/// @param backends sorted by name.
/// @param limit slots of each backend server.
/// @param vms all VMs that take requests, `self` included.
/// @complexity at least backend servers times VMs; not to be called per request.
std::vector<SlotShare> slotShares(const std::vector<SharedBackend>& backends, std::uint64_t limit,
    const SlotHolder& self, const std::vector<SlotHolder>& vms);

/// @brief The last load report of a backend server.
struct LoadReport {
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    /// The time of its state: the arrival of the report less its stated age.
    TimePoint at;
    bool isKnown { false };
};

/// Reports older than this are ignored: no slots are borrowed by them, and their weight is 0.
inline constexpr std::chrono::milliseconds reportLifetime { 2000 };

/// @brief Weight of a report by its age: 1 when fresh, falling to 0 at the end of its lifetime.
double reportWeight(const LoadReport& report, TimePoint now);

/// @brief The number of slots that a VM borrows beyond its share after a new report: one more while it is short of
/// slots and more than a quarter of the backend server's slots is unused, otherwise a quarter fewer; none if requests
/// queue at the backend server or the VM has no share there.
/// @param isShortOfSlots whether the VM has waiting requests or uses all its slots there.
std::uint32_t borrowSlots(
    const SlotShare& share, std::uint32_t borrowed, std::uint64_t limit, const LoadReport& report, bool isShortOfSlots);

/// @brief The number of slots that a VM may use; borrowed ones only while the report is not too old.
std::uint32_t slotAllowance(const SlotShare& share, std::uint32_t borrowed, const LoadReport& report, TimePoint now);

} // namespace topaztack
