#pragma once

#include "context.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>

/// @file
/// Jobs in the platform's store: the submission in objects, one head row that rules the job, a row or more a result.

namespace topaztack {

inline constexpr std::string_view jobHeadsTable = "job-heads";

/// @brief The parts over which jobs are spread; the rows of one job share a part.
std::vector<std::string> jobParts();

/// @brief A head as it stands in the store.
struct StoredHead {
    RowVersion version;
    JobHead head;
};

enum class JobWriteEnd : std::uint8_t {
    Written,
    /// The head has changed; `current` says how it stands.
    Conflict,
    /// It may take effect, at once or later, while the head is as it was.
    Unknown,
    /// It did not take effect.
    Refused,
};

struct JobWrite {
    JobWriteEnd end { JobWriteEnd::Refused };
    /// After Written the new version; after Conflict the head as it stands, nothing if there is none.
    std::optional<StoredHead> current;
};

class JobStore {
public:
    explicit JobStore(GatewayContext& context);

    /// @brief Keeps a submission's body; doing it again changes nothing.
    boost::asio::awaitable<Result<void>> putSubmission(const StoredSubmission& submission);

    /// @brief Objects that a body of that size takes.
    std::uint64_t objectsFor(std::size_t size) const;

    boost::asio::awaitable<Result<StoredSubmission>> readSubmission(JobId id, JobHead head);

    /// @brief Keeps the texts of unfinished items as the job's object of that number.
    /// @return false if an object of that number stands there already.
    boost::asio::awaitable<Result<bool>> putTexts(JobId id, std::uint64_t number, std::string texts);

    /// @brief Removes the job's object of that number.
    boost::asio::awaitable<Result<void>> dropTexts(JobId id, std::uint64_t number);

    /// @brief The texts that were kept last; none if none were.
    boost::asio::awaitable<Result<std::map<ItemId, ItemProgress>>> readTexts(JobId id, std::uint64_t objects);

    /// @brief Writes a head under the condition that it still has a version, 0 for absent, and results with it.
    /// @param position of the first of the results.
    boost::asio::awaitable<JobWrite> write(
        JobId id, RowVersion condition, JobHead head, std::uint64_t position, std::vector<ItemResult> results);

    /// @return nothing if there is no such job.
    boost::asio::awaitable<Result<std::optional<StoredHead>>> readHead(JobId id);

    /// @brief One page of results from a position on.
    boost::asio::awaitable<Result<std::vector<ItemResult>>> readResults(JobId id, std::uint64_t position);

    /// @brief Every result from a position on.
    boost::asio::awaitable<Result<std::vector<ItemResult>>> readAllResults(JobId id, std::uint64_t position);

    /// @brief Removes all of a job. Doing it again changes nothing.
    boost::asio::awaitable<Result<void>> remove(JobId id, StoredHead head);

private:
    std::size_t longestPiece() const;

    GatewayContext& context;
};

/// @brief Reads a row of the heads' table.
Result<StoredHead> toStoredHead(const StoreRow& row);

} // namespace topaztack
