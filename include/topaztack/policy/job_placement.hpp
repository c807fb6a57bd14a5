#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// Which VM runs a job. Jobs are kept together: one VM then knows what each engine has in hand, starts the items of all
/// trainers in one order and uses each connection for all of them. Pure.

namespace topaztack {

/// @brief A VM that may run the job.
struct PlacementCandidate {
    /// Cores that it may use.
    double processor { 0 };
    /// Items of open jobs that it runs.
    std::uint64_t openItems { 0 };
    /// It ran the trainer's last job: it has texts of items that come again.
    bool ranLastJob { false };
    /// Decides between equals, so that VMs that choose at the same time choose the same one.
    std::uint64_t rank { 0 };
};

/// @brief Whether a VM can run so many items besides those that it runs.
bool hasCapacityFor(const PlacementCandidate& vm, std::uint64_t items);

/// @brief The VM for a job: the one that ran the trainer's last one, else the one that runs most, else the strongest;
/// without room at any the one with the least work for its strength.
/// @return its index; nothing if there is no candidate.
std::optional<std::size_t> placeJob(const std::vector<PlacementCandidate>& vms, std::uint64_t items);

} // namespace topaztack
