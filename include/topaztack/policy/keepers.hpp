#pragma once

#include <topaztack/base/ids.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

/// @file
/// The choice of the VMs that keep a piece of shared state in memory, without an agreement between them.

namespace topaztack {

/// @brief A VM that may keep shared state.
struct KeeperCandidate {
    VmName name;
    DataCentre dataCentre;
};

/// @brief The VMs that keep the state of a key, in the order in which they are asked. They are in different data
/// centres as far as possible, and are the same on each VM that knows the same VMs.
/// @return indices of at most three VMs.
/// @complexity linearithmic in the number of VMs.
std::vector<std::size_t> rankKeepers(std::string_view key, const std::vector<KeeperCandidate>& vms);

} // namespace topaztack
