#pragma once

#include <topaztack/base/ids.hpp>

#include <cstdint>
#include <vector>

/// @file
/// In which order the items of a job are started, where a trainer waits for a part of the groups. Pure.

namespace topaztack {

/// @brief What is known of an item before it runs.
struct SchedulableItem {
    GroupId group;
    std::uint64_t expectedTokens { 0 };
    /// A part of its text is there from an earlier job: its group is one that the trainer waits for.
    bool hasPartialOutput { false };
};

struct ScheduledItem {
    /// Index of the item.
    std::size_t item { 0 };
    /// Its group is one that the trainer can do without.
    bool isSpare { false };

    bool operator==(const ScheduledItem&) const = default;
};

/// @brief The order. The longest items start first, since a step is as long as the longest item that it waits for; the
/// groups with the longest items, as many as the trainer can do without, come last.
/// @param wantedGroups groups that the trainer waits for; 0 for all.
/// @complexity n log n.
std::vector<ScheduledItem> orderItems(const std::vector<SchedulableItem>& items, std::uint64_t wantedGroups);

} // namespace topaztack
