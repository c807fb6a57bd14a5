#include <topaztack/policy/claim_history.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

TEST_GROUP(ClaimHistory)
{
    TimePoint now { 1h };
    Duration retention { 24h };
    VmIdentity first { VmName("a"), Incarnation(1) };
    VmIdentity second { VmName("b"), Incarnation(2) };
    VmIdentity secondRestarted { VmName("b"), Incarnation(3) };

    ClaimHistory makeCertainHistory()
    {
        auto history = makeClaimHistory(now);
        onClaimTableEmpty(history);
        onMembersChanged(history, { first, second }, now);
        return history;
    }
};

TEST(ClaimHistory, NewProcessKnowsNoKeyAsUnclaimedUntilRetentionEndsOrTheTableIsEmpty)
{
    auto history = makeClaimHistory(now);
    CHECK_FALSE(isKnownUnclaimed(history, 7, now + 23h, retention));
    CHECK_TRUE(isKnownUnclaimed(history, 7, now + 24h, retention));
    onClaimTableEmpty(history);
    CHECK_TRUE(isKnownUnclaimed(history, 7, now, retention));
}

TEST(ClaimHistory, NoKeyIsKnownUnclaimedOnceAMemberIsGoneOrReplaced)
{
    auto gone = makeCertainHistory();
    onMembersChanged(gone, { first }, now + 1s);
    CHECK_FALSE(isKnownUnclaimed(gone, 7, now + 2s, retention));
    auto replaced = makeCertainHistory();
    onMembersChanged(replaced, { first, secondRestarted }, now + 1s);
    CHECK_FALSE(isKnownUnclaimed(replaced, 7, now + 2s, retention));
    auto grown = makeCertainHistory();
    onMembersChanged(grown, { secondRestarted, second, first }, now + 1s);
    CHECK_TRUE(isKnownUnclaimed(grown, 7, now + 2s, retention));
}

TEST(ClaimHistory, DroppedKeyIsNotKnownUnclaimedUntilItsRowExpires)
{
    auto history = makeCertainHistory();
    recordDroppedKey(history, 7, now + 24h, now);
    CHECK_FALSE(isKnownUnclaimed(history, 7, now + 1h, retention));
    CHECK_TRUE(isKnownUnclaimed(history, 8, now + 1h, retention));
    recordDroppedKey(history, 9, now + 49h, now + 25h);
    CHECK_TRUE(isKnownUnclaimed(history, 7, now + 25h, retention));
}

TEST(ClaimHistory, NoKeyIsKnownUnclaimedOnceTooManyWereDropped)
{
    auto history = makeCertainHistory();
    for (std::uint64_t key = 0; key <= maxDroppedKeys; ++key)
        recordDroppedKey(history, key, now + 24h, now);
    CHECK_FALSE(isKnownUnclaimed(history, maxDroppedKeys + 5, now + 1h, retention));
}
