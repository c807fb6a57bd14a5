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
/// The ledger of one trainer: which slots are wanted, filled and delivered. It is one row of the table service, and
/// each change is one conditional commit of that row, so that two collectors at once can neither lose nor double.
/// Every change may be applied again to a row that holds it already: it then changes nothing.

namespace topaztack {

/// @brief Names one sample that a trainer asked for.
struct SlotName {
    StepNumber step;
    GroupId group;
    SampleIndex index;

    auto operator<=>(const SlotName&) const = default;
};

/// @brief Why a slot's last sample was not taken.
enum class SampleRefusal : std::uint8_t {
    None,
    /// It was, or would have been, older than the bound.
    Stale,
    /// Its tokens could not all be put down to a weight version.
    UncertainSpan,
    /// No engine finished it.
    GenerationFailed,
};

std::string_view refusalName(SampleRefusal refusal);

/// @brief One group of a step as the ledger keeps it.
struct LedgerGroup {
    std::uint64_t promptDigest { 0 };
    /// Object that holds the prompt.
    ObjectKey prompts;
    /// One mark a sample wanted.
    std::vector<bool> filled;
    std::map<SampleIndex, SampleRefusal> refusals;

    bool operator==(const LedgerGroup&) const = default;
};

using LedgerStep = std::map<GroupId, LedgerGroup>;

/// @brief One committed sample.
struct LedgerEntry {
    SequenceNumber sequence;
    SlotName slot;
    /// Its place in the batch's object.
    std::uint32_t indexInObject { 0 };
    /// The oldest version that made one of its tokens.
    WeightVersion oldest;
    /// When its generation began, by the wall clock of the VM that collected it.
    WallTime started;
    /// Found stale before it was handed out; its slot is open again.
    bool isWithdrawn { false };

    bool operator==(const LedgerEntry&) const = default;
};

/// @brief The samples of one commit; their payloads are one object.
struct LedgerBatch {
    ObjectKey object;
    std::vector<LedgerEntry> entries;

    bool operator==(const LedgerBatch&) const = default;
};

/// @brief The row's content.
struct Ledger {
    /// Number of the next sample to commit.
    SequenceNumber next { 1 };
    /// The trainer has taken all up to here.
    SequenceNumber cursor;
    /// All up to here were handed out or withdrawn; from then on they stay what they are.
    SequenceNumber handedOut;
    /// The newest version that the trainer posted; staleness counts from it.
    WeightVersion newest;
    WallTime newestSince;
    /// Steps below were delivered whole and are forgotten.
    StepNumber lowestStep;
    std::map<StepNumber, LedgerStep> steps;
    std::vector<LedgerBatch> batches;
    /// The last commits, oldest first, by which an ambiguous one is read back.
    std::vector<OperationId> operations;
    std::uint64_t withdrawn { 0 };

    bool operator==(const Ledger&) const = default;
};

/// @brief How old a sample may be when it is handed out.
struct StalenessBound {
    std::uint64_t versions { 0 };
    /// Zero for no bound in time.
    std::chrono::microseconds age { 0 };
};

/// @brief Whether a sample would be older than the bound.
bool isStale(const StalenessBound& bound, WeightVersion oldest, WallTime started, WeightVersion newest, WallTime now);

/// @brief A group as posted.
struct PostedGroup {
    GroupId id;
    std::string prompt;
    std::uint32_t samples { 0 };
};

/// @brief Records groups of a step. Groups that the ledger has already are left as they are.
/// @return samples newly wanted; KeyReused if a group was posted with another prompt or count, RetentionOver if the
/// step was delivered and forgotten. On an error nothing is changed.
Result<std::uint64_t> postGroups(
    Ledger& ledger, StepNumber step, const std::vector<PostedGroup>& groups, const ObjectKey& prompts);

/// @brief Records a version.
/// @return whether the ledger changed; BadRequest if a newer one was posted before.
Result<bool> postVersion(Ledger& ledger, WeightVersion version, WallTime now);

/// @brief A sample that is ready to be committed.
struct FinishedSample {
    SlotName slot;
    std::uint32_t indexInObject { 0 };
    WeightVersion oldest;
    WallTime started;
};

/// @brief Fills slots that are open with the samples of one object; the others are dropped.
/// @return how many were taken now.
/// @complexity linear in the samples, logarithmic in the groups.
std::uint64_t commitSamples(Ledger& ledger, const ObjectKey& object, const std::vector<FinishedSample>& samples);

/// @brief Notes why an open slot's sample was not taken.
/// @return whether the ledger changed.
bool recordRefusal(Ledger& ledger, const SlotName& slot, SampleRefusal refusal);

/// @brief Withdraws each sample that is stale and was not handed out, and opens its slot.
/// @return how many.
std::uint64_t withdrawStale(Ledger& ledger, const StalenessBound& bound, WallTime now);

/// @brief Whether withdrawStale would withdraw any.
bool hasStaleSamples(const Ledger& ledger, const StalenessBound& bound, WallTime now);

/// @brief A sample to deliver and where its payload is.
struct HandedOutSample {
    LedgerEntry entry;
    ObjectKey object;
};

struct HandOutResult {
    std::vector<HandedOutSample> samples;
    /// All after this number are handed out for the first time.
    SequenceNumber handedOutBefore;
    /// Whether the ledger changed and must be committed before the samples are delivered.
    bool isChanged { false };
};

/// @brief Hands out the samples after a sequence number and moves the cursor there. Stale ones that were never handed
/// out are withdrawn; those handed out before are given again as they were.
/// @return BadRequest if `after` was never handed out, RetentionOver if samples after it were cleaned up.
Result<HandOutResult> handOut(
    Ledger& ledger, SequenceNumber after, std::size_t most, const StalenessBound& bound, WallTime now);

/// @brief Forgets batches below the cursor but the newest few, and the oldest steps that were delivered whole.
void pruneLedger(Ledger& ledger);

/// @brief Remembers a commit's operation id.
void recordOperation(Ledger& ledger, const OperationId& operation);

bool hasOperation(const Ledger& ledger, const OperationId& operation);

/// @brief The slots of a step not filled, in order, each with why its last sample was not taken.
std::vector<std::pair<SlotName, SampleRefusal>> missingSlots(const Ledger& ledger, StepNumber step);

/// @brief The lowest step that has a slot open or a sample not handed out.
std::optional<StepNumber> currentStep(const Ledger& ledger);

/// @name The row's text (JSON).
/// @{
std::string encodeLedger(const Ledger& ledger);
/// @return Internal if the text is no ledger; the empty text is an empty ledger.
Result<Ledger> decodeLedger(std::string_view text);
/// @}

} // namespace topaztack
