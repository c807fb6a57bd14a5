#include <topaztack/samples/slot_planner.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

const VersionSpans tenTokens { { WeightVersion(1), 0, 10 } };

} // namespace

TEST_GROUP(SlotPlanner)
{
    Ledger ledger;
    SlotPlanner planner;
    PlannerRules rules;
    TimePoint now { 1h };
    WallTime wall { 1h };

    void setup() override
    {
        this->rules.bound = { 1, 0us };
        this->rules.maxTokens = 1000;
        this->rules.capacity = 4;
        this->rules.lookahead = 1;
        for (std::uint64_t step = 1; step <= 4; ++step)
            postGroups(this->ledger, StepNumber(step), { { GroupId("a"), "p", 2 }, { GroupId("b"), "p", 2 } }, {})
                .value();
        postVersion(this->ledger, WeightVersion(1), this->wall).value();
        handleLedgerUpdate(this->planner, this->ledger, this->now);
    }

    std::vector<SlotAction> plan()
    {
        return planSlots(this->planner, this->ledger, this->rules, this->now, this->wall);
    }

    std::vector<SlotAction> ofKind(SlotActionKind kind)
    {
        auto actions = this->plan();
        std::erase_if(actions, [kind](const SlotAction& action) { return action.kind != kind; });
        return actions;
    }

    AttemptVerdict finish(const SlotAction& action, const VersionSpans& spans = tenTokens)
    {
        return handleAttemptFinished(
            this->planner, action.slot, action.attempt, spans, 10, this->rules, this->now, this->wall);
    }

    void tokens(const SlotAction& action, std::uint64_t count)
    {
        handleTokens(this->planner, action.slot, action.attempt, count, WeightVersion(1), this->now);
    }
};

TEST(SlotPlanner, StartsNoMoreThanTheCapacity)
{
    LONGS_EQUAL(4, this->ofKind(SlotActionKind::Start).size());
    LONGS_EQUAL(0, this->ofKind(SlotActionKind::Start).size());
}

TEST(SlotPlanner, StartsNoStepBeyondTheLookahead)
{
    this->rules.capacity = 100;
    for (const auto& action : this->ofKind(SlotActionKind::Start))
        CHECK_TRUE(action.slot.step.value() <= 2);
}

TEST(SlotPlanner, UncertainSpansAreDiscardedAndTheSlotIsStartedAgain)
{
    const auto first = this->plan().front();
    const auto verdict = this->finish(first, { { WeightVersion(1), 0, 4 } });
    CHECK_TRUE(verdict.refusal == SampleRefusal::UncertainSpan);
    CHECK_FALSE(verdict.isAccepted);
    CHECK_TRUE(this->plan().front().slot == first.slot);
}

TEST(SlotPlanner, StaleAttemptIsCancelledAtOnceAndStartedAgain)
{
    const auto first = this->plan().front();
    this->tokens(first, 3);
    postVersion(this->ledger, WeightVersion(3), this->wall).value();
    handleLedgerUpdate(this->planner, this->ledger, this->now);
    const auto actions = this->plan();
    LONGS_EQUAL(4, std::count_if(actions.begin(), actions.end(), [](const SlotAction& action) {
        return action.kind == SlotActionKind::Cancel;
    }));
    LONGS_EQUAL(4, std::count_if(actions.begin(), actions.end(), [](const SlotAction& action) {
        return action.kind == SlotActionKind::Start;
    }));
    LONGS_EQUAL(3, this->planner.totals.tokensWasted);
}

TEST(SlotPlanner, FirstCopyToFinishIsTakenAndTheOtherCancelled)
{
    this->rules.hedgeWasteBudget = 1000;
    this->rules.movesStragglers = false;
    auto actions = this->plan();
    for (const auto& action : actions)
        this->tokens(action, 1);
    this->now += 100ms;
    for (const auto& action : actions)
        this->tokens(action, 9);
    for (std::size_t index = 1; index < actions.size(); ++index)
        CHECK_TRUE(this->finish(actions[index]).isAccepted);
    this->rules.lookahead = 0;
    this->now += 60s;
    const auto hedges = this->ofKind(SlotActionKind::Hedge);
    LONGS_EQUAL(1, hedges.size());
    LONGS_EQUAL(actions[0].attempt, hedges[0].originalAttempt);
    const auto verdict = this->finish(hedges[0]);
    CHECK_TRUE(verdict.isAccepted);
    LONGS_EQUAL(1, verdict.actions.size());
    LONGS_EQUAL(actions[0].attempt, verdict.actions[0].attempt);
    CHECK_FALSE(this->finish(actions[0]).isAccepted);
}

TEST(SlotPlanner, SlowAttemptIsMovedWithItsTokensAndKeepsItsOldestVersion)
{
    const auto actions = this->plan();
    for (const auto& action : actions)
        this->tokens(action, 1);
    this->now += 100ms;
    for (const auto& action : actions)
        this->tokens(action, 9);
    for (std::size_t index = 1; index < actions.size(); ++index)
        this->finish(actions[index]);
    this->rules.lookahead = 0;
    this->rules.hedgesStragglers = false;
    postVersion(this->ledger, WeightVersion(2), this->wall).value();
    handleLedgerUpdate(this->planner, this->ledger, this->now);
    this->now += 60s;
    const auto moves = this->ofKind(SlotActionKind::Move);
    LONGS_EQUAL(1, moves.size());
    LONGS_EQUAL(actions[0].attempt, moves[0].originalAttempt);
    const auto& moved = this->planner.work[moves[0].slot].attempts.front();
    LONGS_EQUAL(10, moved.tokens);
    CHECK_TRUE(moved.oldest == WeightVersion(1));
    CHECK_FALSE(hasAttempt(this->planner, actions[0].slot, actions[0].attempt));
    CHECK_TRUE(hasAttempt(this->planner, moves[0].slot, moves[0].attempt));
}

TEST(SlotPlanner, StartIsDeferredOnlyIfTheNextVersionMakesItFresh)
{
    this->rules.bound.versions = 0;
    this->planner.estimates.versionInterval = 10s;
    this->planner.estimates.lastVersion = this->now;
    this->planner.estimates.tokens = 500;
    this->planner.estimates.tokenTime = 10ms;
    LONGS_EQUAL(4, this->ofKind(SlotActionKind::Start).size());
    this->planner.work.clear();
    this->now += 7s;
    LONGS_EQUAL(0, this->ofKind(SlotActionKind::Start).size());
    this->planner.estimates.tokens = 2000;
    LONGS_EQUAL(4, this->ofKind(SlotActionKind::Start).size());
}

TEST(SlotPlanner, StragglerRuleWeighsIdleTimeAgainstStaleness)
{
    StragglerEstimates estimates;
    estimates.waitTime = 10s;
    estimates.moveTime = 2s;
    estimates.hedgeTime = 6s;
    estimates.moveLag = 1;
    estimates.waitLag = 1;
    estimates.mayMove = true;
    estimates.mayHedge = true;
    this->rules.idleWeight = 0.9;
    this->rules.stalenessWeight = 0.1;
    CHECK_TRUE(chooseStragglerAction(estimates, this->rules, 10s) == StragglerChoice::Move);
    this->rules.idleWeight = 0.1;
    this->rules.stalenessWeight = 0.9;
    CHECK_TRUE(chooseStragglerAction(estimates, this->rules, 10s) == StragglerChoice::Hedge);
    estimates.waitTime = 2s;
    estimates.waitLag = 0;
    CHECK_TRUE(chooseStragglerAction(estimates, this->rules, 10s) == StragglerChoice::Wait);
}
