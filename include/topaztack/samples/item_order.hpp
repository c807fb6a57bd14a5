#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

/// @file
/// Determines the order in which items are started: those of a job when the trainer waits for only some of the groups,
/// and those of several jobs that wait for the same engines. Pure functions without I/O.

namespace topaztack {

/// @brief What is known of an item before it is started.
struct SchedulableItem {
    GroupId group;
    std::uint64_t expectedTokens { 0 };
    /// Its group was part of an earlier job that ended without it, so the trainer waits for this group.
    bool isCarriedOver { false };
};

/// @brief One entry of the start order.
struct ScheduledItem {
    /// Index of the item in the input.
    std::size_t item { 0 };
    /// Whether the trainer can do without the item's group.
    bool isSpare { false };

    bool operator==(const ScheduledItem&) const = default;
};

/// @brief Orders items for starting. The longest items come first, since a step lasts as long as the longest item that
/// it waits for. The groups with the longest items, as many as the trainer can do without, come last.
/// @param wantedGroups number of groups that the trainer waits for; 0 for all.
/// @complexity O(n log n) in the items.
std::vector<ScheduledItem> orderItems(const std::vector<SchedulableItem>& items, std::uint64_t wantedGroups);

/// @brief An item of one of several jobs, ready to start.
struct StartCandidate {
    PoolName pool;
    WorkspaceName workspace;
    /// 0 is the most urgent.
    std::uint64_t rank { 0 };
    /// Tokens of an engine's memory that it is expected to take.
    std::uint64_t tokens { 0 };
    /// When it has to start to finish in time.
    TimePoint latestStart;
    /// Whether its trainer can do without it.
    bool isSpare { false };
};

/// @brief Tokens of each workspace's running items at each pool.
using RunningTokens = std::map<std::pair<PoolName, WorkspaceName>, std::uint64_t>;

/// @brief Orders the items of all jobs for starting: spare items last, then by rank, then so that the workspaces of a
/// rank come to have the same number of tokens running at a pool, then by latest start. With one workspace the order is
/// by latest start alone.
/// @return indices of the candidates.
/// @complexity O(n log n) in the items.
std::vector<std::size_t> orderCandidates(const std::vector<StartCandidate>& candidates, RunningTokens running);

} // namespace topaztack
