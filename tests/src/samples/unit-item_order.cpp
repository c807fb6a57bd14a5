#include <topaztack/samples/item_order.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <queue>

using namespace topaztack;

namespace {

SchedulableItem itemOf(const std::string& group, std::uint64_t expected, bool isCarriedOver = false)
{
    return { GroupId(group), expected, isCarriedOver };
}

/// Completion time of each group if the items start in this order on a number of slots.
std::map<GroupId, std::uint64_t> completionTimes(
    const std::vector<SchedulableItem>& items, const std::vector<ScheduledItem>& order, std::size_t slots)
{
    std::priority_queue<std::uint64_t, std::vector<std::uint64_t>, std::greater<>> slotFreeAt;
    for (std::size_t slot = 0; slot < slots; ++slot)
        slotFreeAt.push(0);
    std::map<GroupId, std::uint64_t> ends;
    for (const auto& scheduled : order) {
        const auto end = slotFreeAt.top() + items[scheduled.item].expectedTokens;
        slotFreeAt.pop();
        slotFreeAt.push(end);
        auto& completion = ends[items[scheduled.item].group];
        completion = std::max(completion, end);
    }
    return ends;
}

std::uint64_t stepEnd(const std::vector<SchedulableItem>& items, const std::vector<ScheduledItem>& order,
    std::size_t slots, std::size_t wanted)
{
    std::vector<std::uint64_t> ends;
    for (const auto& [group, end] : completionTimes(items, order, slots))
        ends.push_back(end);
    std::sort(ends.begin(), ends.end());
    return ends[wanted - 1];
}

std::vector<ScheduledItem> submissionOrder(std::size_t items)
{
    std::vector<ScheduledItem> order;
    for (std::size_t index = 0; index < items; ++index)
        order.push_back({ index, false });
    return order;
}

} // namespace

TEST_GROUP(ItemOrder) {};

TEST(ItemOrder, EachItemIsStartedOnce)
{
    const std::vector<SchedulableItem> items { itemOf("a", 5), itemOf("b", 0), itemOf("a", 9), itemOf("c", 5) };
    auto order = orderItems(items, 2);
    std::vector<std::size_t> indices;
    for (const auto& scheduled : order)
        indices.push_back(scheduled.item);
    std::sort(indices.begin(), indices.end());
    CHECK_TRUE((indices == std::vector<std::size_t> { 0, 1, 2, 3 }));
}

TEST(ItemOrder, TheGroupsWithTheLongestItemsAreSpareAndComeLast)
{
    const std::vector<SchedulableItem> items { itemOf("long", 900), itemOf("short", 10), itemOf("mid", 50) };
    const auto order = orderItems(items, 2);
    CHECK_TRUE((order == std::vector<ScheduledItem> { { 2, false }, { 1, false }, { 0, true } }));
}

// The groups that a step ended without are those with its longest items. They come again in the trainer's next step,
// which ends only with them; as spare ones they would start last and take as long as any item after that.
TEST(ItemOrder, CarriedOverGroupsStartFirstSoThatTheStepTakesNoLongerThanItsLongestItem)
{
    std::vector<SchedulableItem> items;
    for (int group = 0; group < 10; ++group) {
        for (int item = 0; item < 4; ++item)
            items.push_back(itemOf("g" + std::to_string(group), group == 0 && item == 3 ? 197 : 27, group == 0));
    }
    const auto order = orderItems(items, 9);
    const auto ends = completionTimes(items, order, 12);
    LONGS_EQUAL(197, ends.at(GroupId("g0")));
    LONGS_EQUAL(3, order.front().item);
}

TEST(ItemOrder, CarriedOverGroupIsNeverSpare)
{
    const std::vector<SchedulableItem> items { itemOf("again", 900, true), itemOf("mid", 50), itemOf("short", 10) };
    const auto order = orderItems(items, 2);
    CHECK_TRUE((order == std::vector<ScheduledItem> { { 0, false }, { 2, false }, { 1, true } }));
}

TEST(ItemOrder, NoGroupIsSpareIfAllAreWanted)
{
    for (const auto& scheduled : orderItems({ itemOf("a", 1), itemOf("b", 2) }, 0))
        CHECK_FALSE(scheduled.isSpare);
}

// A few items are five times as long as the rest, and slots are scarce.
TEST(ItemOrder, StepEndsSoonerThanInSubmissionOrderIfSlotsAreScarce)
{
    std::vector<SchedulableItem> items;
    for (int group = 0; group < 10; ++group) {
        for (int item = 0; item < 4; ++item)
            items.push_back(itemOf("g" + std::to_string(group), group >= 7 && item == 3 ? 135 : 27));
    }
    const std::size_t slots = 12;
    const auto ordered = stepEnd(items, orderItems(items, 9), slots, 9);
    const auto first = stepEnd(items, submissionOrder(items.size()), slots, 9);
    CHECK_TRUE(ordered < first);
    LONGS_EQUAL(135, ordered);
}

namespace {

StartCandidate makeCandidate(const std::string& workspace, std::chrono::seconds latestStart, std::uint64_t rank = 0,
    std::uint64_t tokens = 100, bool isSpare = false)
{
    return { PoolName("lm"), WorkspaceName(workspace), rank, tokens, TimePoint(latestStart), isSpare };
}

/// The workspaces in the order in which their items start.
std::string startOrder(const std::vector<StartCandidate>& candidates, RunningTokens running = {})
{
    std::string text;
    for (const auto index : orderCandidates(candidates, std::move(running)))
        text += candidates[index].workspace.value();
    return text;
}

} // namespace

TEST(ItemOrder, ItemsOfOneWorkspaceStartInTheOrderOfTheirLatestStarts)
{
    using std::chrono::seconds;
    const auto order = orderCandidates({ makeCandidate("a", seconds(3), 2), makeCandidate("a", seconds(1), 1),
                                           makeCandidate("a", seconds(0), 0, 1, true), makeCandidate("a", seconds(2)) },
        {});
    CHECK_TRUE((std::vector<std::size_t> { 1, 3, 0, 2 }) == order);
}

// A trainer with a large step that is due earlier must not keep the engines from the others.
TEST(ItemOrder, WorkspacesShareTheEnginesByTokens)
{
    using std::chrono::seconds;
    std::vector<StartCandidate> candidates;
    for (int index = 0; index < 4; ++index)
        candidates.push_back(makeCandidate("a", seconds(1), 0, 200));
    for (int index = 0; index < 4; ++index)
        candidates.push_back(makeCandidate("b", seconds(9), 0, 100));
    STRCMP_EQUAL("abbabbaa", startOrder(candidates).c_str());
    STRCMP_EQUAL("bbbbaaaa", startOrder(candidates, { { { PoolName("lm"), WorkspaceName("a") }, 1000 } }).c_str());
}

TEST(ItemOrder, MoreUrgentRankStartsFirstAndSpareItemsLast)
{
    using std::chrono::seconds;
    STRCMP_EQUAL("cba",
        startOrder({ makeCandidate("a", seconds(1), 0, 100, true), makeCandidate("b", seconds(1), 1),
                       makeCandidate("c", seconds(9), 0) })
            .c_str());
}
