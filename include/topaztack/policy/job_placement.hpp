#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// The choice of the VM that runs a job. Jobs are placed on as few VMs as possible: a single VM knows the load of each
/// engine, starts the items of all trainers in one order and shares each connection among them. The functions are pure.

namespace topaztack {

/// @brief A VM that may run the job.
struct PlacementCandidate {
    /// The processor time that it may use, in cores.
    double processor { 0 };
    /// Items of the open jobs that it runs.
    std::uint64_t openItems { 0 };
    /// It ran the trainer's last job and has cached texts of items that recur.
    bool ranLastJob { false };
    /// Breaks ties: VMs that choose at the same time must choose the same one. The lowest wins.
    std::uint64_t rank { 0 };
};

/// @brief Whether a VM can run this many items in addition to its open ones.
bool hasCapacityFor(const PlacementCandidate& vm, std::uint64_t items);

/// @brief Chooses the VM for a job. Of those with capacity, the one that ran the trainer's last job is preferred, then
/// the one with the most open items, then the one with the most cores. If none has capacity, the VM with the fewest
/// items per core is chosen.
/// @return its index; nothing if there is no candidate.
std::optional<std::size_t> placeJob(const std::vector<PlacementCandidate>& vms, std::uint64_t items);

} // namespace topaztack
