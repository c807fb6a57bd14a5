#include <topaztack/control/acceptance.hpp>
#include <topaztack/control/config_sync.hpp>
#include <topaztack/control/document_diff.hpp>
#include <topaztack/control/operator_tokens.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

/// The configuration rows: the newest version and which operation made each.
struct FakeConfigTable {
    bool apply(std::uint64_t base, const OperationId& operation)
    {
        if (base != this->newest)
            return false;
        this->made[++this->newest] = operation;
        return true;
    }

    std::uint64_t newest { 0 };
    std::map<std::uint64_t, OperationId> made;
};

struct Operator {
    Acceptance acceptance;
    std::uint64_t base { 0 };
    AcceptanceStep step { AcceptanceStep::Commit };

    bool isDone() const { return this->step != AcceptanceStep::Commit && this->step != AcceptanceStep::ReadBack; }
};

struct LateCommit {
    std::uint64_t base;
    OperationId operation;
};

/// Commits with a random fault: refused, lost before, lost after taking effect, or still on its way.
CommitOutcome commit(Operator& one, FakeConfigTable& table, std::vector<LateCommit>& late, Random& random)
{
    const auto& operation = one.acceptance.operation;
    switch (random.below(5)) {
    case 0:
        return CommitOutcome::Refused;
    case 1:
        late.push_back({ one.base, operation });
        return CommitOutcome::Ambiguous;
    case 2:
        table.apply(one.base, operation);
        return CommitOutcome::Ambiguous;
    default:
        return table.apply(one.base, operation) ? CommitOutcome::Committed : CommitOutcome::Conflict;
    }
}

ReadBack readBack(const Operator& one, const FakeConfigTable& table, Random& random)
{
    if (random.below(3) == 0)
        return {};
    const auto place = table.made.find(one.base + 1);
    if (place == table.made.end())
        return { true, std::nullopt };
    return { true, place->second };
}

void runRace(std::uint64_t seed)
{
    Random random(seed);
    FakeConfigTable table;
    std::vector<LateCommit> late;
    std::vector<Operator> operators;
    TimePoint now(1h);
    for (std::uint64_t index = 0; index < 6; ++index) {
        Acceptance acceptance { OperationId("op" + std::to_string(index)), now + 3s };
        operators.push_back({ acceptance, random.below(2) });
    }
    for (int round = 0; round < 400; ++round, now += 20ms) {
        auto& one = operators[random.below(operators.size())];
        if (one.step == AcceptanceStep::Commit)
            one.step = afterCommit(one.acceptance, commit(one, table, late, random), now);
        else if (one.step == AcceptanceStep::ReadBack)
            one.step = afterReadBack(one.acceptance, readBack(one, table, random), now);
        if (!late.empty() && random.below(4) == 0) {
            table.apply(late.back().base, late.back().operation);
            late.pop_back();
        }
    }
    for (const auto& one : late)
        table.apply(one.base, one.operation);
    for (const auto& one : operators) {
        const auto place = table.made.find(one.base + 1);
        const bool isMade = place != table.made.end() && place->second == one.acceptance.operation;
        RC_ASSERT(one.step != AcceptanceStep::Accepted || isMade);
        RC_ASSERT((one.step != AcceptanceStep::Superseded && one.step != AcceptanceStep::Refused) || !isMade);
    }
}

} // namespace

TEST_GROUP(Acceptance) { TimePoint now { 1h }; };

TEST(Acceptance, WhatIsConfirmedStandsAndWhatIsDeniedNeverComes)
{
    CHECK_TRUE(rc::check("race", [] { runRace(*rc::gen::arbitrary<std::uint64_t>()); }));
}

TEST(Acceptance, ALostAnswerIsReadBackAndSentAgainUnderTheSameOperation)
{
    Acceptance acceptance { OperationId("a"), now + 1s };
    CHECK_TRUE(afterCommit(acceptance, CommitOutcome::Ambiguous, now) == AcceptanceStep::ReadBack);
    CHECK_TRUE(afterReadBack(acceptance, { true, std::nullopt }, now) == AcceptanceStep::Commit);
    CHECK_TRUE(afterReadBack(acceptance, { true, OperationId("a") }, now) == AcceptanceStep::Accepted);
    CHECK_TRUE(afterReadBack(acceptance, { true, OperationId("b") }, now) == AcceptanceStep::Superseded);
    CHECK_TRUE(afterReadBack(acceptance, { true, std::nullopt }, now + 2s) == AcceptanceStep::Unknown);
    CHECK_TRUE(afterReadBack(acceptance, {}, now + 2s) == AcceptanceStep::Unknown);
}

TEST(Acceptance, DocumentRowsSurviveTheirTextAndSortByVersion)
{
    const DocumentRow row { ConfigVersion(7), OperationId("o"), "ana", WallTime(5s), "[limits]\n" };
    CHECK_TRUE(parseDocumentRow(toText(row)) == row);
    CHECK_FALSE(parseDocumentRow("{}").has_value());
    CHECK_TRUE(documentRowKey(ConfigVersion(9)) < documentRowKey(ConfigVersion(10)));
}

TEST_GROUP(Spread)
{
    TimePoint now { 1h };
    Random random { 5 };
};

TEST(Spread, VersionsOnlyRiseInWhateverOrderTheyArrive)
{
    CHECK_TRUE(rc::check("monotone", [] {
        ConfigSyncState spread;
        ConfigVersion last;
        for (const auto offered : *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>())) {
            if (acceptsVersion(spread, ConfigVersion(offered)))
                setInForce(spread, ConfigVersion(offered), DocumentSource::Peer);
            RC_ASSERT(spread.inForce >= last);
            RC_ASSERT(spread.inForce.value() >= offered);
            last = spread.inForce;
        }
    }));
}

TEST(Spread, TheStaticDocumentWaitsForPlatformAndPeers)
{
    ConfigSyncState spread;
    spread.startedAt = now;
    CHECK_FALSE(mayUseStaticDocument(spread, now + 1s));
    CHECK_TRUE(mayUseStaticDocument(spread, now + spread.timing.staticGrace));
    spread.heard = ConfigVersion(4);
    CHECK_FALSE(mayUseStaticDocument(spread, now + 1h));
    spread.heard = ConfigVersion(0);
    afterPoll(spread, true, true, random);
    CHECK_TRUE(mayUseStaticDocument(spread, now + 1s));
}

TEST(Spread, PollsAreJitteredAndBackOffWhileThePlatformIsOut)
{
    ConfigSyncState spread;
    const auto first = afterPoll(spread, true, true, random);
    CHECK_TRUE(first >= 375ms && first <= 625ms);
    for (int failure = 0; failure < 10; ++failure)
        afterPoll(spread, false, true, random);
    const auto wait = afterPoll(spread, false, true, random);
    CHECK_TRUE(wait >= 3s && wait <= 5s);
    CHECK_TRUE(afterPoll(spread, true, true, random) <= 625ms);
}

TEST_GROUP(DocumentDiff) {};

TEST(DocumentDiff, NamesSectionsAndKeysAndPassesOverCommentsAndOrder)
{
    const std::string before = "[pool a]\nkind = engine\nqueue = 1\n[limits]\nretry_budget = 5\n";
    const std::string after
        = "# note\n[limits]\nretry_budget = 7\n[pool a]\nqueue = 1\nkind = engine\n[pool b]\nkind = service\n";
    const auto changes = diffDocuments(before, after);
    STRCMP_EQUAL("[limits] retry_budget, [pool b] kind", changedKeys(changes).c_str());
    STRCMP_EQUAL("- [limits] retry_budget = 5\n+ [limits] retry_budget = 7\n+ [pool b]\n+ [pool b] kind = service\n",
        toText(changes).c_str());
    CHECK_TRUE(diffDocuments(before, before).empty());
}

TEST_GROUP(OperatorTokens) {};

TEST(OperatorTokens, RolesNamesAndBareTokensAreRead)
{
    const auto tokens = parseOperatorTokens("# two\nread bea 0123456789abcdef\noperate ana fedcba9876543210\n", "t");
    CHECK_TRUE(tokens.has_value());
    const auto bea = findOperator(tokens.value(), "Bearer 0123456789abcdef");
    CHECK_TRUE(bea && bea->name == "bea" && bea->role == OperatorRole::Read);
    CHECK_FALSE(mayCall(bea->role, "POST"));
    CHECK_TRUE(mayCall(OperatorRole::Operate, "POST"));
    CHECK_FALSE(findOperator(tokens.value(), "Bearer 0123456789abcdee").has_value());
    CHECK_FALSE(findOperator(tokens.value(), "Bearer ").has_value());
    CHECK_FALSE(findOperator(tokens.value(), "0123456789abcdef").has_value());
}

TEST(OperatorTokens, ShortTokensAndUnknownRolesAreRefusedWithTheirLine)
{
    const auto shortToken = parseOperatorTokens("\noperate ana short\n", "t");
    CHECK_TRUE(!shortToken && shortToken.error().message.starts_with("t:2: operator_token"));
    CHECK_FALSE(parseOperatorTokens("own ana 0123456789abcdef\n", "t").has_value());
    CHECK_FALSE(parseOperatorTokens("", "t").has_value());
}
