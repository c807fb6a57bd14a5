#pragma once

#include <topaztack/base/time.hpp>
#include <topaztack/policy/outcome.hpp>
#include <topaztack/samples/ledger.hpp>
#include <topaztack/samples/version_span.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// @file
/// Decides which slots of one trainer to generate, when, in which class, and what to do about stragglers.
/// Pure: events and the time go in, actions come out.

namespace topaztack {

/// @brief The trainer's and its pool's settings that planning needs; the switches let a bench leave a rule out.
struct PlannerRules {
    StalenessBound bound;
    /// Weights of the two measures in the straggler rule.
    double idleWeight { 0.5 };
    double stalenessWeight { 0.5 };
    std::uint64_t maxTokens { 0 };
    /// Generations that the pool takes at once.
    std::size_t capacity { 1 };
    /// Steps beyond the current one whose slots may be generated, at most.
    std::uint64_t lookahead { 0 };
    /// Share of the tokens made that hedges may waste.
    double hedgeWasteBudget { 0.05 };

    bool defersStaleStarts { true };
    bool cancelsStale { true };
    bool ordersLongestFirst { true };
    bool movesStragglers { true };
    bool hedgesStragglers { true };
};

/// @brief One generation under way for a slot.
struct SlotAttempt {
    std::uint64_t id { 0 };
    TimePoint started;
    WallTime startedWall;
    std::optional<TimePoint> firstToken;
    std::uint64_t tokens { 0 };
    /// Tokens carried over from an attempt before.
    std::uint64_t carriedTokens { 0 };
    /// The oldest version that made one of its tokens; before the first token, the newest when it was started.
    WeightVersion oldest;
    bool isHedge { false };
};

/// @brief A slot on which work was begun.
struct SlotWork {
    std::vector<SlotAttempt> attempts;
    /// Its sample is made and waits for the next commit.
    bool isFinished { false };
    /// Not to be started again before.
    TimePoint notBefore;
    unsigned failures { 0 };
};

/// @brief What was learnt from finished samples, as decaying means.
struct PlannerEstimates {
    Duration tokenTime { 0 };
    Duration firstTokenTime { 0 };
    double tokens { 0 };
    std::map<std::pair<StepNumber, GroupId>, double> groupTokens;
    Duration versionInterval { 0 };
    std::optional<TimePoint> lastVersion;
};

/// @brief Totals since this planner began, for the dump and metrics.
struct PlannerTotals {
    std::uint64_t started { 0 };
    std::uint64_t finished { 0 };
    std::uint64_t discardedStale { 0 };
    std::uint64_t discardedUncertain { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t hedged { 0 };
    std::uint64_t moved { 0 };
    std::uint64_t tokensMade { 0 };
    std::uint64_t tokensWasted { 0 };
    /// Tokens that hedges may still waste; goes down when one starts.
    std::uint64_t hedgeTokensReserved { 0 };
};

struct SlotPlanner {
    std::map<SlotName, SlotWork> work;
    PlannerEstimates estimates;
    PlannerTotals totals;
    WeightVersion newest;
    std::uint64_t nextAttempt { 1 };
};

enum class SlotActionKind : std::uint8_t {
    Start,
    Cancel,
    /// Ends an attempt and goes on from its tokens at another engine.
    Move,
    /// Starts a second copy at another engine; the first to finish is taken.
    Hedge,
};

struct SlotAction {
    SlotActionKind kind { SlotActionKind::Start };
    SlotName slot;
    /// The attempt to start, or to cancel.
    std::uint64_t attempt { 0 };
    /// The attempt that a move ends or that a hedge runs beside; 0 if there is none.
    std::uint64_t originalAttempt { 0 };
    RequestClass requestClass { RequestClass::Rollout };
};

/// @brief Takes in the ledger: forgets work on slots that are filled or no longer wanted, learns of versions.
/// @return cancellations of what still runs for them.
std::vector<SlotAction> handleLedgerUpdate(SlotPlanner& planner, const Ledger& ledger, TimePoint now);

/// @brief What to do now.
/// @complexity linear in the open slots of the steps that may be started.
std::vector<SlotAction> planSlots(
    SlotPlanner& planner, const Ledger& ledger, const PlannerRules& rules, TimePoint now, WallTime wallNow);

/// @brief An attempt made tokens.
void handleTokens(SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt, std::uint64_t tokens,
    WeightVersion version, TimePoint now);

/// @brief What becomes of a finished attempt.
struct AttemptVerdict {
    SampleRefusal refusal { SampleRefusal::None };
    /// Whether it is the slot's sample.
    bool isAccepted { false };
    std::vector<SlotAction> actions;
};

/// @brief An attempt reached its end. The first whole and fresh one is the slot's sample; other copies are cancelled.
AttemptVerdict handleAttemptFinished(SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt,
    const VersionSpans& spans, std::uint64_t tokens, const PlannerRules& rules, TimePoint now, WallTime wallNow);

/// @brief An attempt failed or was cancelled; the slot is started again after a pause that grows with failures.
void handleAttemptFailed(
    SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt, bool isIntentionalCancel, TimePoint now);

/// @brief Whether an attempt is still wanted; one that was cancelled is not.
bool hasAttempt(const SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt);

/// @brief A finished sample was not committed after all; its slot is open again.
void reopenSlot(SlotPlanner& planner, const SlotName& slot);

/// @brief Steps beyond the current one that may be generated. A trainer that fetches early trains on a sample about one
/// version later for each step ahead: where staleness weighs more than idle time, it is one step fewer.
std::uint64_t lookaheadSteps(const PlannerRules& rules);

/// @brief Versions by which a sample begun now would lag when it is finished.
std::uint64_t predictedLag(const PlannerEstimates& estimates, Duration duration, TimePoint now);

/// @brief What to do about one straggler, and the cost by which it was chosen.
struct StragglerEstimates {
    /// Time to the end if left alone, moved, or hedged.
    Duration wait { 0 };
    Duration move { 0 };
    Duration hedge { 0 };
    /// Versions by which the sample would lag at that end.
    double waitLag { 0 };
    double moveLag { 0 };
    double hedgeLag { 0 };
    bool mayMove { false };
    bool mayHedge { false };
};

enum class StragglerChoice : std::uint8_t { Wait, Move, Hedge };

/// @brief The choice of least cost: idleWeight * time / typical + stalenessWeight * lag / (bound + 1); another choice
/// than waiting must be better by a fifth.
StragglerChoice chooseStragglerAction(const StragglerEstimates& options, const PlannerRules& rules, Duration typical);

} // namespace topaztack
