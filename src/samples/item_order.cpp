#include <topaztack/samples/item_order.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace topaztack {

namespace {

    struct GroupLength {
        GroupId group;
        std::uint64_t longest { 0 };
        bool isCarriedOver { false };
    };

    /// What decides when the items of a workspace have their turns.
    struct Turn {
        bool isSpare { false };
        std::uint64_t rank { 0 };
        PoolName pool;
        WorkspaceName workspace;

        auto operator<=>(const Turn&) const = default;
    };

    bool isSameLevel(const Turn& one, const Turn& other)
    {
        return one.isSpare == other.isSpare && one.rank == other.rank && one.pool == other.pool;
    }

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

std::vector<std::size_t> orderCandidates(const std::vector<StartCandidate>& candidates, RunningTokens running)
{
    std::vector<std::size_t> byStart(candidates.size());
    std::iota(byStart.begin(), byStart.end(), 0);
    std::stable_sort(byStart.begin(), byStart.end(), [&candidates](std::size_t left, std::size_t right) {
        const auto& one = candidates[left];
        const auto& other = candidates[right];
        return one.isSpare != other.isSpare ? other.isSpare : one.latestStart < other.latestStart;
    });
    const bool hasOneWorkspace = std::all_of(candidates.begin(), candidates.end(),
        [&candidates](const StartCandidate& each) { return each.workspace == candidates.front().workspace; });
    if (hasOneWorkspace)
        return byStart;
    // The items of each workspace, in the order of their latest starts.
    std::map<Turn, std::vector<std::size_t>> flows;
    for (const auto index : byStart) {
        const auto& each = candidates[index];
        flows[{ each.isSpare, each.rank, each.pool, each.workspace }].push_back(index);
    }
    std::vector<std::size_t> order;
    order.reserve(candidates.size());
    for (auto flow = flows.begin(); flow != flows.end();) {
        // The workspaces that share a pool at the same rank, the one with the fewest tokens running first.
        std::set<std::pair<std::uint64_t, WorkspaceName>> turns;
        const auto turn = flow->first;
        for (; flow != flows.end() && isSameLevel(flow->first, turn); ++flow)
            turns.emplace(running[{ turn.pool, flow->first.workspace }], flow->first.workspace);
        std::map<WorkspaceName, std::size_t> taken;
        while (!turns.empty()) {
            const auto [tokens, workspace] = *turns.begin();
            turns.erase(turns.begin());
            const auto& items = flows.at({ turn.isSpare, turn.rank, turn.pool, workspace });
            const auto next = items[taken[workspace]++];
            order.push_back(next);
            const auto after = tokens + std::max<std::uint64_t>(1, candidates[next].tokens);
            running[{ turn.pool, workspace }] = after;
            if (taken[workspace] < items.size())
                turns.emplace(after, workspace);
        }
    }
    return order;
}

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
