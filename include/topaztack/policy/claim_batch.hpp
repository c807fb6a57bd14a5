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
/// Claims of callers' own keys. A claim binds a key to a ticket by a conditional row of the table service; from then on
/// the ticket settles the request. Several claims share one commit; a conflicting one does not sink the others.

namespace topaztack {

/// @brief What a claim's row says.
struct ClaimRow {
    TicketId ticket;
    /// The commit that wrote it.
    OperationId operation;
    /// When the row may be removed.
    WallTime expires;
};

std::string toText(const ClaimRow& row);

/// @return nothing if the text is no claim row.
std::optional<ClaimRow> parseClaimRow(std::string_view text);

/// @brief The row of a pool's key.
RowKey claimRowKey(const PoolName& pool, const IdempotencyKey& key);

/// @brief How a claim ended.
enum class ClaimVerdict : std::uint8_t {
    /// Not settled yet.
    Open,
    /// The row names our ticket.
    Bound,
    /// The row names another ticket, which settles the request.
    Taken,
    /// The table service could not be asked to the end; our ticket has not been dispatched.
    StoreUnavailable,
};

struct Claim {
    RowKey row;
    ClaimRow wanted;
    ClaimVerdict verdict { ClaimVerdict::Open };
    /// The ticket that the row names, if it is taken.
    TicketId winner;
    /// Whether the row must be read before the next commit.
    bool needsRead { false };
};

/// @brief Claims that go through the table service together.
struct ClaimBatch {
    std::vector<Claim> claims;
    std::uint32_t commits { 0 };
    std::uint32_t failures { 0 };
};

/// @brief What to do next for a batch.
enum class ClaimStep : std::uint8_t {
    /// Commit the open claims, each on the condition that its row is absent.
    Commit,
    /// Read the rows of the claims that need it.
    Read,
    Done,
};

/// @brief How the table service answered.
enum class CommitResult : std::uint8_t {
    Done,
    Conflict,
    /// It may have taken effect.
    Ambiguous,
    /// It did not take effect.
    Refused,
};

/// Failed calls after which a batch is given up.
inline constexpr std::uint32_t maxClaimFailures = 2;

/// @brief The next step of a batch.
ClaimStep nextStep(const ClaimBatch& batch);

/// @brief Takes the answer to a commit of all open claims.
/// @param conflicts rows that were not absent, if the answer is Conflict.
void onCommit(ClaimBatch& batch, CommitResult answer, const std::vector<RowKey>& conflicts);

/// @brief Takes one row as read; `text` is empty if the row is absent.
void onRow(ClaimBatch& batch, const RowKey& row, std::string_view text);

/// @brief Takes a failed read.
void onReadFailed(ClaimBatch& batch);

/// @brief Time between two commits of claims of one VM, so that all VMs of a data centre keep to its share of writes.
std::chrono::microseconds claimInterval(std::uint32_t vmsInDataCentre);

} // namespace topaztack
