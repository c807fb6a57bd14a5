#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The ledger of one trainer: which slots are wanted, filled and delivered. It is stored as one row of the table
/// service, and each change is one conditional commit of that row, so that two concurrent collectors can neither lose
/// nor duplicate a sample. Changes are idempotent: repeating one on a row that already contains it changes nothing.

namespace topaztack {

/// @brief Identifies one sample that a trainer requested.
struct SlotName {
    StepNumber step;
    GroupId group;
    SampleIndex index;

    auto operator<=>(const SlotName&) const = default;
};

/// @brief Why the last sample of a slot was refused.
enum class SampleRefusal : std::uint8_t {
    None,
    /// It was, or would have become, older than the staleness bound.
    Stale,
    /// Some of its tokens could not be attributed to a weight version.
    UncertainSpan,
    /// No engine finished it.
    GenerationFailed,
};

std::string_view refusalName(SampleRefusal refusal);

/// @brief One group of a step.
struct LedgerGroup {
    std::uint64_t promptDigest { 0 };
    /// Object that holds the prompt.
    ObjectKey prompts;
    /// One flag for each wanted sample.
    std::vector<bool> filled;
    std::map<SampleIndex, SampleRefusal> refusals;

    bool operator==(const LedgerGroup&) const = default;
};

using LedgerStep = std::map<GroupId, LedgerGroup>;

/// @brief One committed sample.
struct LedgerEntry {
    SequenceNumber sequence;
    SlotName slot;
    /// Index of its payload in the batch's object.
    std::uint32_t indexInObject { 0 };
    /// The oldest version that generated one of its tokens.
    WeightVersion oldest;
    /// When its generation started, by the wall clock of the VM that collected it.
    WallTime started;
    /// It turned stale before it was handed out, and its slot was reopened.
    bool isWithdrawn { false };

    bool operator==(const LedgerEntry&) const = default;
};

/// @brief The samples of one commit; one object holds their payloads.
struct LedgerBatch {
    ObjectKey object;
    std::vector<LedgerEntry> entries;

    bool operator==(const LedgerBatch&) const = default;
};

/// @brief Content of the row.
struct Ledger {
    /// Number of the next sample to commit.
    SequenceNumber next { 1 };
    /// The trainer has received all samples up to this number.
    SequenceNumber cursor;
    /// All samples up to this number were handed out or withdrawn, and no longer change.
    SequenceNumber handedOut;
    /// The newest version that the trainer posted; staleness is measured from it.
    WeightVersion newest;
    WallTime newestSince;
    /// Steps below this one were delivered completely and have been pruned.
    StepNumber lowestStep;
    std::map<StepNumber, LedgerStep> steps;
    std::vector<LedgerBatch> batches;
    /// Ids of the last commits, oldest first. After an ambiguous commit they show whether it took effect.
    std::vector<OperationId> operations;
    std::uint64_t withdrawn { 0 };

    bool operator==(const Ledger&) const = default;
};

/// @brief How old a sample may be when it is handed out.
struct StalenessBound {
    std::uint64_t versions { 0 };
    /// Zero for no limit on the age.
    std::chrono::microseconds age { 0 };
};

/// @brief Whether a sample exceeds the staleness bound.
bool isStale(const StalenessBound& bound, WeightVersion oldest, WallTime started, WeightVersion newest, WallTime now);

/// @brief A group as posted by the trainer.
struct PostedGroup {
    GroupId id;
    std::string prompt;
    std::uint32_t samples { 0 };
};

/// @brief Records groups of a step. Groups that the ledger already contains are left unchanged.
/// @return number of newly wanted samples; KeyReused if a group was posted before with another prompt or count,
/// RetentionOver if the step was delivered and pruned. On an error nothing is changed.
Result<std::uint64_t> postGroups(
    Ledger& ledger, StepNumber step, const std::vector<PostedGroup>& groups, const ObjectKey& prompts);

/// @brief Records a weight version.
/// @return whether the ledger changed; BadRequest if a newer version was posted before.
Result<bool> postVersion(Ledger& ledger, WeightVersion version, WallTime now);

/// @brief A sample that is ready to be committed.
struct FinishedSample {
    SlotName slot;
    std::uint32_t indexInObject { 0 };
    WeightVersion oldest;
    WallTime started;
};

/// @brief Fills open slots with the samples of one object. Samples of other slots are dropped.
/// @return number of samples committed by this call.
/// @complexity Linear in the samples, logarithmic in the groups.
std::uint64_t commitSamples(Ledger& ledger, const ObjectKey& object, const std::vector<FinishedSample>& samples);

/// @brief Records why the sample of an open slot was refused.
/// @return whether the ledger changed.
bool recordRefusal(Ledger& ledger, const SlotName& slot, SampleRefusal refusal);

/// @brief Withdraws every stale sample that was not handed out, and reopens its slot.
/// @return number of samples withdrawn.
std::uint64_t withdrawStale(Ledger& ledger, const StalenessBound& bound, WallTime now);

/// @brief Whether withdrawStale() would withdraw a sample.
bool hasStaleSamples(const Ledger& ledger, const StalenessBound& bound, WallTime now);

/// @brief A sample to deliver, and the object that holds its payload.
struct HandedOutSample {
    LedgerEntry entry;
    ObjectKey object;
};

struct HandOutResult {
    std::vector<HandedOutSample> samples;
    /// Samples after this number are handed out for the first time.
    SequenceNumber handedOutBefore;
    /// Whether the ledger changed and must be committed before the samples are delivered.
    bool isChanged { false };
};

/// @brief Hands out the samples after a sequence number, and advances the cursor to that number. Stale samples that
/// were never handed out are withdrawn; those handed out before are returned again unchanged.
/// @return BadRequest if `after` was never handed out, RetentionOver if samples after it have been pruned.
Result<HandOutResult> handOut(
    Ledger& ledger, SequenceNumber after, std::size_t maxSamples, const StalenessBound& bound, WallTime now);

/// @brief Removes the batches below the cursor except the newest few, and the oldest steps that were delivered
/// completely.
void pruneLedger(Ledger& ledger);

/// @brief Records the operation id of a commit.
void recordOperation(Ledger& ledger, const OperationId& operation);

bool hasOperation(const Ledger& ledger, const OperationId& operation);

/// @brief The open slots of a step in order, each with the reason why its last sample was refused.
std::vector<std::pair<SlotName, SampleRefusal>> missingSlots(const Ledger& ledger, StepNumber step);

/// @brief The lowest step with an open slot or a sample that was not handed out.
std::optional<StepNumber> currentStep(const Ledger& ledger);

/// @name Text of the row (JSON)
/// @{
std::string encodeLedger(const Ledger& ledger);
/// @return Internal if the text is malformed; an empty text is an empty ledger.
Result<Ledger> decodeLedger(std::string_view text);
/// @}

} // namespace topaztack
