#pragma once

#include <topaztack/base/time.hpp>

#include <cstddef>

/// @file
/// Whether a VM reaches the backend servers of a pool. A VM that reaches none has its callers' requests carried by
/// others. The functions are pure.

namespace topaztack {

/// @brief What a VM knows of its own links to a pool.
struct PoolReach {
    bool isCutOff { false };
    /// When connections were last tried.
    TimePoint checkedAt {};
};

/// @brief Whether connections are to be tried after a request went unanswered.
/// @param wasReached whether the server took the connection of the request.
/// @param hasHeardSince whether another server of the pool answered after the request was sent.
bool needsCheck(const PoolReach& reach, bool wasReached, bool hasHeardSince, TimePoint now);

/// @brief Records how connections to several servers of the pool ended. One that was taken shows that the link is
/// sound; if all failed, the VM is cut off from the pool, or no server of it is left, which only other VMs can tell.
/// @return whether the state changed.
bool recordCheck(PoolReach& reach, std::size_t tried, std::size_t taken, TimePoint now);

} // namespace topaztack
