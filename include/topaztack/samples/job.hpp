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
/// A job of a trainer: many generations that are accepted at once, run later and listed in one order of results.

namespace topaztack {

struct RequestHeader {
    std::string name;
    std::string value;
};

/// @brief One generation of a job.
struct JobItem {
    ItemId id;
    /// Items of one group share their prompt.
    GroupId group;
    std::string path;
    std::vector<RequestHeader> headers;
    std::string body;
    /// Tokens of the prompt and the most tokens made.
    std::uint64_t tokens { 0 };
    /// Tokens of the prompt alone; 0 if the trainer didn't say.
    std::uint64_t promptTokens { 0 };
    /// The trainer's estimate of the tokens made, right at the median only; 0 if it gave none.
    std::uint64_t expectedTokens { 0 };
};

/// @brief What has been generated of an item so far.
struct ItemProgress {
    std::string output;
    std::vector<WeightVersion> versions;
    /// The number of its last event; nothing before the first.
    std::optional<std::uint64_t> lastEvent;
    bool isComplete { false };
};

/// @brief Whether a text may be used where only weights from `oldest` on may have made it.
bool satisfiesVersionRequirement(const ItemProgress& text, WeightVersion oldest, bool isSingleVersion);

/// @brief A job as submitted.
struct JobSpec {
    JobId id;
    std::string host;
    std::string path;
    StepNumber step;
    ModelName model;
    /// The oldest weights that may make its tokens.
    WeightVersion oldestVersion;
    /// Whole groups that the trainer waits for.
    std::uint64_t wantedGroups { 0 };
    std::vector<JobItem> items;
    /// Estimates of its items that were no numbers; the items are taken to have none.
    std::uint64_t invalidEstimates { 0 };
};

/// @brief A submission as it came, kept until its job is forgotten.
struct StoredSubmission {
    JobId id;
    std::string host;
    std::string path;
    std::string body;
};

enum class ItemState : std::uint8_t {
    Completed,
    Aborted,
};

/// @brief What a trainer is given for an item.
struct ItemResult {
    ItemId id;
    ItemState state { ItemState::Completed };
    std::string output;
    /// Every version that made an event of the output.
    std::vector<WeightVersion> versions;

    bool operator==(const ItemResult&) const = default;
};

/// @brief The row that rules a job: whoever changes it under its version owns the next step.
struct JobHead {
    /// The VM that runs the items; empty if none does.
    VmIdentity owner;
    /// Whether the trainer has ended the job.
    bool isEnded { false };
    /// Results listed so far; they stand in rows of their own.
    std::uint64_t listed { 0 };
    std::uint64_t total { 0 };
    /// Objects of the store that hold the submission's body.
    std::uint64_t objects { 0 };
    /// Grows by one with each write, so that a writer recognizes its own after a lost answer.
    std::uint64_t writes { 0 };
    /// When it was accepted, in milliseconds of Unix time as the accepting VM had it.
    std::chrono::milliseconds acceptedAt { 0 };
    /// The configuration by which it was accepted; an older one may lack its routes.
    ConfigVersion configuration;
    /// Items of groups that the trainer waits for that were not started when the head was written.
    std::uint64_t waiting { 0 };
    /// One more than the number of the object that holds the newest texts of unfinished items; 0 for none.
    std::uint64_t textObjects { 0 };
    std::string host;
    std::string path;
    ModelName model;
    /// Generations that the owner's VM has at each engine, for the other VMs that use them.
    std::map<BackendName, std::uint32_t> inFlight;

    bool operator==(const JobHead&) const = default;
};

std::string toText(const JobHead& head);

/// @return BadFrame with what is wrong.
Result<JobHead> parseJobHead(std::string_view text);

/// @brief Texts of unfinished items, as a job's owner keeps them for a VM that takes the job over.
std::string toText(const std::map<ItemId, ItemProgress>& texts);

/// @return BadFrame with what is wrong.
Result<std::map<ItemId, ItemProgress>> parseItemProgress(std::string_view text);

/// @name Result rows
/// A result stands in one row or, if it is long, in several: `position/piece`, the last one marked as such.
/// @{

/// @brief The key of a result's first row; keys sort by position.
std::string resultKey(std::uint64_t position);

/// @brief A row's key and value.
struct ResultFragment {
    std::string key;
    std::string value;
};

/// @param longest bytes of one value.
std::vector<ResultFragment> splitResult(std::uint64_t position, const ItemResult& result, std::size_t longest);

/// @brief Puts results together from rows in key order, beginning at `position`. It stops at the first gap.
/// @return BadFrame if a row is not understood.
Result<std::vector<ItemResult>> joinResults(std::uint64_t position, const std::vector<ResultFragment>& pieces);
/// @}

} // namespace topaztack
