#include <topaztack/policy/fair_queue.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

WaitingRequest makeRequest(
    const std::string& workspace, Duration latestStart = 1s, Duration work = 25ms, std::uint64_t rank = 0)
{
    return { WorkspaceName(workspace), rank, work, TimePoint(latestStart) };
}

/// The workspaces in the order in which their requests are served.
std::string order(FairQueue& queue, int count)
{
    std::string text;
    for (int index = 0; index < count; ++index) {
        const auto next = takeNext(queue);
        if (next)
            text += next->request.workspace.value();
    }
    return text;
}

} // namespace

TEST_GROUP(FairQueue) { FairQueue queue; };

TEST(FairQueue, WorkspacesTakeTurnsHoweverManyRequestsEachHas)
{
    for (int index = 0; index < 6; ++index)
        enqueue(this->queue, makeRequest("a"));
    enqueue(this->queue, makeRequest("b"));
    enqueue(this->queue, makeRequest("b"));
    STRCMP_EQUAL("ababaaaa", order(this->queue, 8).c_str());
    CHECK_FALSE(takeNext(this->queue).has_value());
}

TEST(FairQueue, SharesAreOfWorkAndNotOfRequests)
{
    for (int index = 0; index < 4; ++index) {
        enqueue(this->queue, makeRequest("a", 1s, 75ms));
        enqueue(this->queue, makeRequest("b", 1s, 25ms));
    }
    STRCMP_EQUAL("abbbabaa", order(this->queue, 8).c_str());
}

TEST(FairQueue, MoreUrgentRanksGoFirst)
{
    enqueue(this->queue, makeRequest("a", 1s, 25ms, 1));
    enqueue(this->queue, makeRequest("b", 1s, 25ms, 0));
    enqueue(this->queue, makeRequest("b", 1s, 25ms, 0));
    STRCMP_EQUAL("bba", order(this->queue, 3).c_str());
}

TEST(FairQueue, EarliestObjectiveOfAWorkspaceGoesFirst)
{
    enqueue(this->queue, makeRequest("a", 3s));
    const auto urgent = enqueue(this->queue, makeRequest("a", 2s));
    LONGS_EQUAL(urgent, takeNext(this->queue)->number);
}

// A workspace that was idle must not be served alone until it has caught up.
TEST(FairQueue, IdleWorkspaceSavesUpNoShare)
{
    for (int index = 0; index < 20; ++index)
        enqueue(this->queue, makeRequest("a"));
    order(this->queue, 10);
    for (int index = 0; index < 10; ++index)
        enqueue(this->queue, makeRequest("b"));
    const auto next = order(this->queue, 10);
    LONGS_EQUAL(5, std::count(next.begin(), next.end(), 'b'));
}

TEST(FairQueue, RequestThatNoServerRanCostsItsWorkspaceNothing)
{
    enqueue(this->queue, makeRequest("a"));
    enqueue(this->queue, makeRequest("b"));
    enqueue(this->queue, makeRequest("b"));
    for (int attempt = 0; attempt < 5; ++attempt)
        putBack(this->queue, *takeNext(this->queue));
    STRCMP_EQUAL("abb", order(this->queue, 3).c_str());
}

TEST(FairQueue, LateAndRemovedRequestsAreNotServed)
{
    enqueue(this->queue, makeRequest("a", 10ms));
    const auto removed = enqueue(this->queue, makeRequest("a", 20ms));
    enqueue(this->queue, makeRequest("b", 30ms));
    CHECK_TRUE(removeRequest(this->queue, removed));
    CHECK_FALSE(removeRequest(this->queue, removed));
    LONGS_EQUAL(1, dropLate(this->queue, TimePoint(10ms)).size());
    STRCMP_EQUAL("b", order(this->queue, 3).c_str());
}

TEST(FairQueue, LastRequestOfTheLargestWorkspaceOfTheLastRankGivesWay)
{
    enqueue(this->queue, makeRequest("urgent", 9s, 500ms, 0));
    enqueue(this->queue, makeRequest("a", 1s, 25ms, 1));
    enqueue(this->queue, makeRequest("b", 2s, 25ms, 1));
    const auto last = enqueue(this->queue, makeRequest("b", 3s, 25ms, 1));
    LONGS_EQUAL(last, *leastEntitled(this->queue));
}

TEST(FairQueue, FloodingWorkspaceAddsNoMoreWaitThanItsTurns)
{
    for (int index = 0; index < 100; ++index)
        enqueue(this->queue, makeRequest("flood"));
    LONGS_EQUAL(25, toMilliseconds(workAhead(this->queue, makeRequest("small"))).count());
    LONGS_EQUAL(2500, toMilliseconds(workAhead(this->queue, makeRequest("flood"))).count());
    DOUBLES_EQUAL(0.5, shareOf(this->queue, 0, WorkspaceName("small")), 1e-9);
}
