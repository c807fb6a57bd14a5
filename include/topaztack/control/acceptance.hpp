#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/control/lease.hpp>

#include <optional>
#include <string>
#include <string_view>

/// @file
/// How an operator's document becomes the next version, and how the outcome is determined when the answer to the commit
/// was lost.
///
/// Version n+1 is written by one commit, on the condition that `config/version` still holds n. The commit updates that
/// row and writes `config/document/<n+1>`, which keeps the operation id permanently, so that the operation that created
/// a version can be identified at any later time. An operation is confirmed only after its commit was acknowledged or
/// its row was read back.

namespace topaztack {

/// @brief Key of the row that holds the newest version.
inline constexpr std::string_view versionRowKey = "config/version";
/// @brief Prefix of the rows that hold each version's document.
inline constexpr std::string_view documentRowPrefix = "config/document/";

/// @brief Key of the row that holds one version's document; keys sort by version.
RowKey documentRowKey(ConfigVersion version);

/// @brief Contents of a version's row.
struct DocumentRow {
    ConfigVersion version;
    OperationId operation;
    /// The operator who submitted the document, shown in the history.
    std::string author;
    WallTime acceptedAt;
    std::string text;

    bool operator==(const DocumentRow&) const = default;
};

std::string toText(const DocumentRow& row);
std::optional<DocumentRow> parseDocumentRow(std::string_view text);

/// @brief What to do next, or how the acceptance ended.
enum class AcceptanceStep : std::uint8_t {
    /// Send the commit, always with the same operation id.
    Commit,
    /// Read the row of version base + 1.
    ReadBack,
    /// Final: the operation created the version.
    Accepted,
    /// Final: another operation created the version, or the base was never the newest version.
    Superseded,
    /// Final: nothing was written.
    Refused,
    /// The deadline passed before the outcome could be determined.
    Unknown,
};

/// @brief Result of reading the row of version base + 1.
struct ReadBack {
    bool isAnswered { false };
    /// Empty if the row is absent.
    std::optional<OperationId> operation;
};

/// @brief State of one operator's attempt to have a document accepted.
struct Acceptance {
    OperationId operation;
    TimePoint deadline;
    /// Whether a commit without a known outcome may have taken effect or may still do so.
    bool mayHaveCommitted { false };
    bool sawConflict { false };
};

/// @brief The step after a commit with this outcome.
AcceptanceStep afterCommit(Acceptance& acceptance, CommitOutcome outcome, TimePoint now);
/// @brief The step after a read of the row of version base + 1.
AcceptanceStep afterReadBack(Acceptance& acceptance, const ReadBack& found, TimePoint now);

} // namespace topaztack
