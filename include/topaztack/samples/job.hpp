#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// A trainer's job: many generations that are accepted together, run later, and listed in one sequence of results.

namespace topaztack {

struct RequestHeader {
    std::string name;
    std::string value;
};

/// @brief A request that judges the text of an item. It is sent through the route of its host and path and may be
/// repeated.
struct ScoringCall {
    RequestId id;
    std::string host;
    /// Path and query.
    std::string path;
    std::string body;
};

/// @brief One generation of a job.
struct JobItem {
    ItemId id;
    /// Items of one group share their prompt.
    GroupId group;
    std::string path;
    std::vector<RequestHeader> headers;
    std::string body;
    /// Tokens of the prompt plus the maximum number of generated tokens.
    std::uint64_t tokens { 0 };
    /// Tokens of the prompt alone; 0 if the trainer did not state them.
    std::uint64_t promptTokens { 0 };
    /// The trainer's estimate of the generated tokens, accurate only in the median; 0 if it gave none.
    std::uint64_t expectedTokens { 0 };
    /// The call whose answer is the score of the complete text; empty if the item is not scored.
    std::optional<ScoringCall> scoring;
};

/// @brief The answer to a scoring call that was made after the text was complete.
struct ItemScore {
    RequestId call;
    std::string value;

    bool operator==(const ItemScore&) const = default;
};

/// @brief What has been generated of an item so far.
struct ItemProgress {
    std::string output;
    std::vector<WeightVersion> versions;
    /// Number of its last event; empty before the first.
    std::optional<std::uint64_t> lastEvent;
    bool isComplete { false };
    std::optional<ItemScore> score {};
    /// Version of the software that generated it; only a server of the same version may go on. Empty if unknown.
    std::string softwareVersion {};
};

/// @brief Whether the text is complete and, if the item is scored, the answer to its own scoring call is known.
bool isListable(const JobItem& item, const ItemProgress& progress);

/// @brief Whether no version that generated the output is older than `oldest` and, if `isSingleVersion` is set, there
/// is only one.
bool satisfiesVersionRequirement(const ItemProgress& progress, WeightVersion oldest, bool isSingleVersion);

/// @brief A job as submitted.
struct JobSpec {
    JobId id;
    /// Empty if the job has none.
    WorkspaceName workspace;
    std::string host;
    std::string path;
    StepNumber step;
    ModelName model;
    /// The oldest weights that may generate its tokens.
    WeightVersion oldestVersion;
    /// Number of complete groups that the trainer waits for.
    std::uint64_t wantedGroups { 0 };
    std::vector<JobItem> items;
    /// Estimates that were not numbers; their items are treated as having none.
    std::uint64_t invalidEstimates { 0 };
};

/// @brief A submission as received, kept as long as its job.
struct StoredSubmission {
    JobId id;
    std::string host;
    std::string path;
    std::string body;
    /// Empty if the job has none.
    WorkspaceName workspace {};
};

/// Limits for the text and the score of a result. One transaction of the store, which takes a megabyte, has to hold
/// both as base64 beside the head of the job, and so has a page of results.
/// @{
/// In bytes of JSON, with the versions that generated the text.
inline constexpr std::size_t maxStoredTextBytes = 512 * 1024;
inline constexpr std::size_t maxScoreBytes = 16 * 1024;
/// @}

enum class ItemState : std::uint8_t {
    Completed,
    Aborted,
    /// Stored with a text that can't be returned. Trainers get it as aborted.
    Unreadable,
};

/// @brief The result of an item, as returned to the trainer.
struct ItemResult {
    ItemId id;
    ItemState state { ItemState::Completed };
    std::string output;
    /// Every version that generated an event of the output.
    std::vector<WeightVersion> versions;
    /// Answer to the item's scoring call; empty if the item is not scored or not completed.
    std::string score {};

    bool operator==(const ItemResult&) const = default;
};

/// @brief The control row of a job. Writes are conditional on the row's version, so that only one writer makes the next
/// change.
struct JobHead {
    /// The VM that runs the items; empty if none does.
    VmIdentity owner;
    /// Whether the trainer has ended the job.
    bool isEnded { false };
    /// Number of results listed so far; they are stored in rows of their own.
    std::uint64_t listed { 0 };
    std::uint64_t total { 0 };
    /// Number of store objects that hold the body of the submission.
    std::uint64_t objects { 0 };
    /// Incremented by each write, so that a writer recognises its own write after the answer was lost.
    std::uint64_t writes { 0 };
    /// When it was accepted: Unix time in milliseconds by the clock of the accepting VM.
    std::chrono::milliseconds acceptedAt { 0 };
    /// The configuration under which it was accepted; an older one may lack its routes.
    ConfigVersion configuration;
    /// Items that had not been started when the head was written, in groups that the trainer waits for.
    std::uint64_t waiting { 0 };
    /// Number of the object with the newest progress of unfinished items, plus one; 0 for none.
    std::uint64_t textObjects { 0 };
    std::string host;
    std::string path;
    ModelName model;
    /// Whose keys may use the job; empty if it has none or an earlier version accepted it.
    WorkspaceName workspace;
    /// Generations that the owner has in flight at each engine, for other VMs that use the same engines.
    std::map<BackendName, std::uint32_t> inFlight;

    bool operator==(const JobHead&) const = default;
};

std::string toText(const JobHead& head);

/// @return BadFrame with a description of the problem if the text is malformed.
Result<JobHead> parseJobHead(std::string_view text);

/// @brief Serialises the progress of unfinished items, which the owner stores for a VM that takes the job over.
std::string toText(const std::map<ItemId, ItemProgress>& items);

/// @return BadFrame with a description of the problem if the text is malformed.
Result<std::map<ItemId, ItemProgress>> parseItemProgress(std::string_view text);

/// @brief Bytes of a text between the quotes of a JSON string.
/// @complexity linear in the text.
std::size_t jsonSize(std::string_view text);

/// @brief Bytes of a text and its versions as JSON; an estimate that is never too low.
/// @complexity linear in the text.
std::size_t jsonSize(const ItemProgress& progress);

/// @brief Bytes of a result as JSON; an estimate that is never too low.
/// @complexity linear in the result.
std::size_t jsonSize(const ItemResult& result);

/// @brief Appends the next event of a generation to its text.
/// @param number the number that follows the last event's.
/// @param data in UTF-8.
/// @param size jsonSize() of the text before; updated.
/// @return false if no result can hold so long a text, which is unchanged then.
/// @complexity linear in the data and the versions.
bool appendEvent(
    ItemProgress& progress, std::uint64_t number, std::string_view data, WeightVersion version, std::size_t& size);

/// @name Result rows
/// A result is stored in one row or, if it is too long, in several with keys `position/fragment`. The first byte of a
/// value tells whether the row is the last one of its result.
/// @{

/// @brief The key of a result's first row; keys sort by position.
std::string resultKey(std::uint64_t position);

/// @brief Key and value of one row.
struct ResultFragment {
    std::string key;
    std::string value;
};

/// @brief Splits a result into rows.
/// @param maxValueBytes maximum size of a row's value.
std::vector<ResultFragment> splitResult(std::uint64_t position, const ItemResult& result, std::size_t maxValueBytes);

/// @brief Joins results from rows in key order, beginning at `position`. Stops at the first gap.
/// @return BadFrame if a row is malformed.
Result<std::vector<ItemResult>> joinResults(std::uint64_t position, const std::vector<ResultFragment>& fragments);
/// @}

} // namespace topaztack
