#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Claims of idempotency keys that callers chose themselves. A claim binds a key to a ticket by a conditional write of
/// a row to the table service; from then on the ticket decides the request. Several claims share one commit; if one
/// conflicts, the others are committed without it.

namespace topaztack {

/// @brief The content of a claim's row.
struct ClaimRow {
    TicketId ticket;
    /// The operation of the commit that wrote the row.
    OperationId operation;
    /// From then on the row may be removed.
    WallTime expires;
};

/// @brief Prints a row; `parseClaimRow` reads it back.
std::string toText(const ClaimRow& row);

/// @brief Parses what `toText` printed.
/// @return nothing if the text is not a claim row.
std::optional<ClaimRow> parseClaimRow(std::string_view text);

/// @brief The key of the row that claims an idempotency key in a pool.
RowKey claimRowKey(const PoolName& pool, const IdempotencyKey& key);

/// @brief The result of a claim.
enum class ClaimVerdict : std::uint8_t {
    /// Not decided yet.
    Open,
    /// The row names the ticket of this claim.
    Bound,
    /// The row names another ticket, which decides the request.
    Taken,
    /// The table service failed before the claim was decided; the ticket of this claim has not been dispatched.
    StoreUnavailable,
};

/// @brief One claim and its progress.
struct Claim {
    RowKey row;
    /// The row to write.
    ClaimRow wanted;
    ClaimVerdict verdict { ClaimVerdict::Open };
    /// The ticket that the row names, if the verdict is Taken.
    TicketId winner;
    /// Whether the row must be read before the next commit.
    bool needsRead { false };
};

/// @brief Claims that share the calls to the table service.
struct ClaimBatch {
    std::vector<Claim> claims;
    std::uint32_t commits { 0 };
    std::uint32_t failures { 0 };
};

/// @brief The next call to make for a batch.
enum class ClaimStep : std::uint8_t {
    /// Commit the open claims, each on the condition that its row is absent.
    Commit,
    /// Read the rows of the claims with `needsRead`.
    Read,
    Done,
};

/// @brief The result of a commit to the table service.
enum class CommitResult : std::uint8_t {
    Done,
    Conflict,
    /// The commit may have taken effect.
    Ambiguous,
    /// The commit did not take effect.
    Refused,
};

/// A batch is abandoned after this many failed calls.
inline constexpr std::uint32_t maxClaimFailures = 2;

/// @brief Decides on the next step of a batch.
ClaimStep nextStep(const ClaimBatch& batch);

/// @brief Handles the result of a commit of all open claims.
/// @param conflicts the rows that already existed, if the result is Conflict.
void onCommit(ClaimBatch& batch, CommitResult result, const std::vector<RowKey>& conflicts);

/// @brief Handles a row that was read; `text` is empty if the row is absent.
void onRow(ClaimBatch& batch, const RowKey& row, std::string_view text);

/// @brief Handles a failed read.
void onReadFailed(ClaimBatch& batch);

/// @brief The interval between two claim commits of one VM, by which all VMs of a data centre together stay within its
/// share of the table service's writes.
std::chrono::microseconds claimInterval(std::uint32_t vmsInDataCentre);

} // namespace topaztack
