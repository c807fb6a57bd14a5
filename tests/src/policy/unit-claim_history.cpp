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
    VmIdentity secondAgain { VmName("b"), Incarnation(3) };

    ClaimHistory sure()
    {
        auto witness = makeClaimHistory(now);
        onClaimTableEmpty(witness);
        onMembersChanged(witness, { first, second }, now);
        return witness;
    }
};

TEST(ClaimHistory, AFreshProcessVouchesOnlyOnceTheTableWasSeenEmpty)
{
    auto witness = makeClaimHistory(now);
    CHECK_FALSE(isKnownUnclaimed(witness, 7, now + 23h, retention));
    CHECK_TRUE(isKnownUnclaimed(witness, 7, now + 24h, retention));
    onClaimTableEmpty(witness);
    CHECK_TRUE(isKnownUnclaimed(witness, 7, now, retention));
}

TEST(ClaimHistory, AMemberThatIsGoneOrReplacedMayHaveClaimed)
{
    auto gone = sure();
    onMembersChanged(gone, { first }, now + 1s);
    CHECK_FALSE(isKnownUnclaimed(gone, 7, now + 2s, retention));
    auto replaced = sure();
    onMembersChanged(replaced, { first, secondAgain }, now + 1s);
    CHECK_FALSE(isKnownUnclaimed(replaced, 7, now + 2s, retention));
    auto grown = sure();
    onMembersChanged(grown, { secondAgain, second, first }, now + 1s);
    CHECK_TRUE(isKnownUnclaimed(grown, 7, now + 2s, retention));
}

TEST(ClaimHistory, AForgottenKeyIsNotVouchedForUntilItsRowExpires)
{
    auto witness = sure();
    recordDroppedKey(witness, 7, now + 24h, now);
    CHECK_FALSE(isKnownUnclaimed(witness, 7, now + 1h, retention));
    CHECK_TRUE(isKnownUnclaimed(witness, 8, now + 1h, retention));
    recordDroppedKey(witness, 9, now + 49h, now + 25h);
    CHECK_TRUE(isKnownUnclaimed(witness, 7, now + 25h, retention));
}

TEST(ClaimHistory, MoreForgottenKeysThanFitMakeAllDoubtful)
{
    auto witness = sure();
    for (std::uint64_t key = 0; key <= maxDroppedKeys; ++key)
        recordDroppedKey(witness, key, now + 24h, now);
    CHECK_FALSE(isKnownUnclaimed(witness, maxDroppedKeys + 5, now + 1h, retention));
}
