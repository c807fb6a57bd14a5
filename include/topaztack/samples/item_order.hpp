#pragma once

#include <topaztack/base/ids.hpp>

#include <cstdint>
#include <vector>

/// @file
/// Determines the order in which the items of a job are started when the trainer waits for only some of the groups.
/// Pure functions without I/O.

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

} // namespace topaztack
