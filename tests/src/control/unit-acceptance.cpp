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

/// The configuration rows: the newest version, and the operation that created each version.
struct FakeConfigTable {
    bool apply(std::uint64_t base, const OperationId& operation)
    {
        if (base != this->newest)
            return false;
        this->operations[++this->newest] = operation;
        return true;
    }

    std::uint64_t newest { 0 };
    std::map<std::uint64_t, OperationId> operations;
};

/// One operator who submits a document.
struct Operator {
    Acceptance acceptance;
    std::uint64_t base { 0 };
    AcceptanceStep step { AcceptanceStep::Commit };

    bool isDone() const { return this->step != AcceptanceStep::Commit && this->step != AcceptanceStep::ReadBack; }
};

/// A commit that reaches the table after its sender was told that the outcome is unknown.
struct DelayedCommit {
    std::uint64_t base;
    OperationId operation;
};

/// Commits with a random fault: refused, answer lost before or after the commit took effect, or commit delayed.
CommitOutcome commit(Operator& one, FakeConfigTable& table, std::vector<DelayedCommit>& delayed, Random& random)
{
    const auto& operation = one.acceptance.operation;
    switch (random.below(5)) {
    case 0:
        return CommitOutcome::Refused;
    case 1:
        delayed.push_back({ one.base, operation });
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
    const auto found = table.operations.find(one.base + 1);
    if (found == table.operations.end())
        return { true, std::nullopt };
    return { true, found->second };
}

/// Runs operators who compete for the next version; checks that no confirmed outcome contradicts the table.
void runRace(std::uint64_t seed)
{
    Random random(seed);
    FakeConfigTable table;
    std::vector<DelayedCommit> delayed;
    std::vector<Operator> operators;
    TimePoint now(1h);
    for (std::uint64_t index = 0; index < 6; ++index) {
        Acceptance acceptance { OperationId("op" + std::to_string(index)), now + 3s };
        operators.push_back({ acceptance, random.below(2) });
    }
    for (int round = 0; round < 400; ++round, now += 20ms) {
        auto& one = operators[random.below(operators.size())];
        if (one.step == AcceptanceStep::Commit)
            one.step = afterCommit(one.acceptance, commit(one, table, delayed, random), now);
        else if (one.step == AcceptanceStep::ReadBack)
            one.step = afterReadBack(one.acceptance, readBack(one, table, random), now);
        if (!delayed.empty() && random.below(4) == 0) {
            table.apply(delayed.back().base, delayed.back().operation);
            delayed.pop_back();
        }
    }
    for (const auto& one : delayed)
        table.apply(one.base, one.operation);
    for (const auto& one : operators) {
        const auto found = table.operations.find(one.base + 1);
        const bool isCommitted = found != table.operations.end() && found->second == one.acceptance.operation;
        RC_ASSERT(one.step != AcceptanceStep::Accepted || isCommitted);
        RC_ASSERT((one.step != AcceptanceStep::Superseded && one.step != AcceptanceStep::Refused) || !isCommitted);
    }
}

} // namespace

TEST_GROUP(Acceptance) { TimePoint now { 1h }; };

TEST(Acceptance, AcceptedOperationsAreCommittedAndSupersededOrRefusedOnesAreNot)
{
    CHECK_TRUE(rc::check("race", [] { runRace(*rc::gen::arbitrary<std::uint64_t>()); }));
}

TEST(Acceptance, AmbiguousCommitIsReadBackAndRepeatedWithTheSameOperation)
{
    Acceptance acceptance { OperationId("a"), now + 1s };
    CHECK_TRUE(afterCommit(acceptance, CommitOutcome::Ambiguous, now) == AcceptanceStep::ReadBack);
    CHECK_TRUE(afterReadBack(acceptance, { true, std::nullopt }, now) == AcceptanceStep::Commit);
    CHECK_TRUE(afterReadBack(acceptance, { true, OperationId("a") }, now) == AcceptanceStep::Accepted);
    CHECK_TRUE(afterReadBack(acceptance, { true, OperationId("b") }, now) == AcceptanceStep::Superseded);
    CHECK_TRUE(afterReadBack(acceptance, { true, std::nullopt }, now + 2s) == AcceptanceStep::Unknown);
    CHECK_TRUE(afterReadBack(acceptance, {}, now + 2s) == AcceptanceStep::Unknown);
}

TEST(Acceptance, DocumentRowsRoundTripThroughTextAndSortByVersion)
{
    const DocumentRow row { ConfigVersion(7), OperationId("o"), "ana", WallTime(5s), "[limits]\n" };
    CHECK_TRUE(parseDocumentRow(toText(row)) == row);
    CHECK_FALSE(parseDocumentRow("{}").has_value());
    CHECK_TRUE(documentRowKey(ConfigVersion(9)) < documentRowKey(ConfigVersion(10)));
}

TEST_GROUP(ConfigSync)
{
    TimePoint now { 1h };
    Random random { 5 };
};

TEST(ConfigSync, VersionInForceNeverDecreasesForAnyOrderOfOffers)
{
    CHECK_TRUE(rc::check("monotone", [] {
        ConfigSyncState state;
        ConfigVersion last;
        for (const auto offered : *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>())) {
            if (acceptsVersion(state, ConfigVersion(offered)))
                setInForce(state, ConfigVersion(offered), DocumentSource::Peer);
            RC_ASSERT(state.inForce >= last);
            RC_ASSERT(state.inForce.value() >= offered);
            last = state.inForce;
        }
    }));
}

TEST(ConfigSync, StaticDocumentIsUsedOnlyAfterThePlatformAnswersOrTheGracePeriodEnds)
{
    ConfigSyncState state;
    state.startedAt = now;
    CHECK_FALSE(mayUseStaticDocument(state, now + 1s));
    CHECK_TRUE(mayUseStaticDocument(state, now + state.timing.staticDocumentGrace));
    state.heard = ConfigVersion(4);
    CHECK_FALSE(mayUseStaticDocument(state, now + 1h));
    state.heard = ConfigVersion(0);
    afterPoll(state, true, true, random);
    CHECK_TRUE(mayUseStaticDocument(state, now + 1s));
}

TEST(ConfigSync, PollDelaysAreJitteredAndBackOffWhileThePlatformDoesNotAnswer)
{
    ConfigSyncState state;
    const auto first = afterPoll(state, true, true, random);
    CHECK_TRUE(first >= 375ms && first <= 625ms);
    for (int failure = 0; failure < 10; ++failure)
        afterPoll(state, false, true, random);
    const auto wait = afterPoll(state, false, true, random);
    CHECK_TRUE(wait >= 3s && wait <= 5s);
    CHECK_TRUE(afterPoll(state, true, true, random) <= 625ms);
}

TEST_GROUP(DocumentDiff) {};

TEST(DocumentDiff, ListsChangedSectionsAndKeysAndIgnoresCommentsAndOrder)
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

TEST(OperatorTokens, BearerTokenIdentifiesTheOperatorAndItsRole)
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

TEST(OperatorTokens, ShortTokensAndUnknownRolesAreRejectedWithTheLineNumber)
{
    const auto shortToken = parseOperatorTokens("\noperate ana short\n", "t");
    CHECK_TRUE(!shortToken && shortToken.error().message.starts_with("t:2: operator_token"));
    CHECK_FALSE(parseOperatorTokens("own ana 0123456789abcdef\n", "t").has_value());
    CHECK_FALSE(parseOperatorTokens("", "t").has_value());
}
