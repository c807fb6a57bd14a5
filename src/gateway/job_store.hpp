#pragma once

#include "context.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>

/// @file
/// Storage of jobs in the platform's store: objects hold a submission's body, one head row holds the job's owner and
/// progress, and each result takes one row or more.

namespace topaztack {

inline constexpr std::string_view jobHeadsTable = "job-heads";

/// @brief The parts of the tables over which jobs are distributed. All rows of a job are in the same part.
std::vector<std::string> jobParts();

/// @brief A head and the version of its row in the store.
struct StoredHead {
    RowVersion version;
    JobHead head;
};

enum class JobWriteOutcome : std::uint8_t {
    Written,
    /// Not written, since the head does not have the expected version; `current` is the stored head.
    Conflict,
    /// The write may take effect, at once or later, as long as the head has the expected version.
    Unknown,
    /// The write did not take effect.
    Refused,
};

struct JobWriteResult {
    JobWriteOutcome outcome { JobWriteOutcome::Refused };
    /// After Written the new head; after Conflict the stored head, nothing if there is none.
    std::optional<StoredHead> current;
};

class JobStore {
public:
    explicit JobStore(GatewayContext& context);

    /// @brief Stores a submission's body. Idempotent.
    boost::asio::awaitable<Result<void>> putSubmission(const StoredSubmission& submission);

    /// @brief Removes the objects of a submission whose job another workspace has.
    boost::asio::awaitable<void> dropSubmission(const StoredSubmission& submission);

    /// @brief The number of objects that a body of `size` bytes takes.
    std::uint64_t countSubmissionObjects(std::size_t size) const;

    boost::asio::awaitable<Result<StoredSubmission>> readSubmission(JobId id, JobHead head);

    /// @brief Stores the texts of unfinished items as the job's text object `number`.
    /// @return false if that object exists already.
    boost::asio::awaitable<Result<bool>> putTexts(
        JobId id, WorkspaceName workspace, std::uint64_t number, std::string texts);

    /// @brief Removes the job's text object `number`.
    boost::asio::awaitable<Result<void>> removeTexts(JobId id, WorkspaceName workspace, std::uint64_t number);

    /// @brief Reads the newest text object of a job.
    /// @param objects one more than its number; 0 for none, which gives an empty map.
    boost::asio::awaitable<Result<std::map<ItemId, ItemProgress>>> readTexts(
        JobId id, WorkspaceName workspace, std::uint64_t objects);

    /// @brief Writes a head and results in one transaction, if the stored head has the expected version.
    /// @param condition the expected version; 0 if there must be no head.
    /// @param position the position of the first result.
    boost::asio::awaitable<JobWriteResult> write(
        JobId id, RowVersion condition, JobHead head, std::uint64_t position, std::vector<ItemResult> results);

    /// @return nothing if there is no such job.
    boost::asio::awaitable<Result<std::optional<StoredHead>>> readHead(JobId id);

    /// @brief Reads one page of results from a position on.
    boost::asio::awaitable<Result<std::vector<ItemResult>>> readResults(JobId id, std::uint64_t position);

    /// @brief Reads all results from a position on.
    boost::asio::awaitable<Result<std::vector<ItemResult>>> readAllResults(JobId id, std::uint64_t position);

    /// @brief Removes a job's results, objects and head. Idempotent.
    boost::asio::awaitable<Result<void>> remove(JobId id, StoredHead head);

private:
    std::size_t maxPieceBytes() const;

    GatewayContext& context;
};

/// @brief Parses a row of the table of heads.
Result<StoredHead> toStoredHead(const StoreRow& row);

} // namespace topaztack
