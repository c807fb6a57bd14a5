#include <topaztack/policy/claim_witness.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

TEST_GROUP(ClaimWitness)
{
    TimePoint now { 1h };
    Duration retention { 24h };
    VmIdentity first { VmName("a"), Incarnation(1) };
    VmIdentity second { VmName("b"), Incarnation(2) };
    VmIdentity secondAgain { VmName("b"), Incarnation(3) };

    ClaimWitness sure()
    {
        auto witness = makeClaimWitness(now);
        onNoClaims(witness);
        onMembers(witness, { first, second }, now);
        return witness;
    }
};

TEST(ClaimWitness, AFreshProcessVouchesOnlyOnceTheTableWasSeenEmpty)
{
    auto witness = makeClaimWitness(now);
    CHECK_FALSE(canVouch(witness, 7, now + 23h, retention));
    CHECK_TRUE(canVouch(witness, 7, now + 24h, retention));
    onNoClaims(witness);
    CHECK_TRUE(canVouch(witness, 7, now, retention));
}

TEST(ClaimWitness, AMemberThatIsGoneOrReplacedMayHaveClaimed)
{
    auto gone = sure();
    onMembers(gone, { first }, now + 1s);
    CHECK_FALSE(canVouch(gone, 7, now + 2s, retention));
    auto replaced = sure();
    onMembers(replaced, { first, secondAgain }, now + 1s);
    CHECK_FALSE(canVouch(replaced, 7, now + 2s, retention));
    auto grown = sure();
    onMembers(grown, { secondAgain, second, first }, now + 1s);
    CHECK_TRUE(canVouch(grown, 7, now + 2s, retention));
}

TEST(ClaimWitness, AForgottenKeyIsNotVouchedForUntilItsRowExpires)
{
    auto witness = sure();
    onForgotten(witness, 7, now + 24h, now);
    CHECK_FALSE(canVouch(witness, 7, now + 1h, retention));
    CHECK_TRUE(canVouch(witness, 8, now + 1h, retention));
    onForgotten(witness, 9, now + 49h, now + 25h);
    CHECK_TRUE(canVouch(witness, 7, now + 25h, retention));
}

TEST(ClaimWitness, MoreForgottenKeysThanFitMakeAllDoubtful)
{
    auto witness = sure();
    for (std::uint64_t key = 0; key <= mostForgottenKeys; ++key)
        onForgotten(witness, key, now + 24h, now);
    CHECK_FALSE(canVouch(witness, mostForgottenKeys + 5, now + 1h, retention));
}
