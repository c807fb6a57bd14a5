#include <topaztack/samples/item_order.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace topaztack {

namespace {

    struct GroupLength {
        GroupId group;
        std::uint64_t longest { 0 };
        bool isCarriedOver { false };
    };

    std::vector<GroupLength> groupLengths(const std::vector<SchedulableItem>& items)
    {
        std::map<GroupId, GroupLength> groups;
        for (const auto& item : items) {
            auto& group = groups[item.group];
            group.group = item.group;
            group.longest = std::max(group.longest, item.expectedTokens);
            group.isCarriedOver = group.isCarriedOver || item.isCarriedOver;
        }
        std::vector<GroupLength> lengths;
        lengths.reserve(groups.size());
        for (const auto& [name, group] : groups)
            lengths.push_back(group);
        return lengths;
    }

    std::set<GroupId> spareGroups(const std::vector<SchedulableItem>& items, std::uint64_t wantedGroups)
    {
        auto groups = groupLengths(items);
        std::set<GroupId> spare;
        if (wantedGroups == 0 || wantedGroups >= groups.size())
            return spare;
        const auto count = groups.size() - wantedGroups;
        std::erase_if(groups, [](const GroupLength& group) { return group.isCarriedOver; });
        std::stable_sort(groups.begin(), groups.end(),
            [](const GroupLength& one, const GroupLength& other) { return one.longest > other.longest; });
        for (std::size_t index = 0; index < std::min<std::size_t>(count, groups.size()); ++index)
            spare.insert(groups[index].group);
        return spare;
    }

} // namespace

std::vector<ScheduledItem> orderItems(const std::vector<SchedulableItem>& items, std::uint64_t wantedGroups)
{
    const auto spare = spareGroups(items, wantedGroups);
    std::vector<ScheduledItem> order;
    order.reserve(items.size());
    for (std::size_t index = 0; index < items.size(); ++index)
        order.push_back({ index, spare.contains(items[index].group) });
    std::stable_sort(order.begin(), order.end(), [&items](const ScheduledItem& one, const ScheduledItem& other) {
        if (one.isSpare != other.isSpare)
            return other.isSpare;
        return items[one.item].expectedTokens > items[other.item].expectedTokens;
    });
    return order;
}

} // namespace topaztack
