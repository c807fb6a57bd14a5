#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/control/lease.hpp>

#include <optional>
#include <string>
#include <string_view>

/// @file
/// How an operator's document becomes the next version, and how the truth is found out when an answer was lost.
///
/// Version n+1 is one commit on the condition that `config/version` still says n. It writes that row and
/// `config/document/<n+1>`, which keeps the operation id for good; so whoever asks later can tell whether an operation
/// made that version. Nothing is confirmed that was neither acknowledged nor read back.

namespace topaztack {

/// @brief The row that says which version is the newest.
inline constexpr std::string_view versionRowKey = "config/version";
/// @brief Prefix of the rows that hold each version's document.
inline constexpr std::string_view documentRowPrefix = "config/document/";

/// @brief The row of one version's document; the keys sort by version.
RowKey documentRowKey(ConfigVersion version);

/// @brief What stands in a version's row.
struct DocumentRow {
    ConfigVersion version;
    OperationId operation;
    /// Who had it accepted, for the history.
    std::string author;
    WallTime acceptedAt;
    std::string text;

    bool operator==(const DocumentRow&) const = default;
};

std::string toText(const DocumentRow& row);
std::optional<DocumentRow> parseDocumentRow(std::string_view text);

enum class AcceptanceStep : std::uint8_t {
    /// Send the commit, again with the same operation.
    Commit,
    /// Read the row of version base + 1.
    ReadBack,
    /// Proved: the operation made the version.
    Accepted,
    /// Proved: another operation made the version, or the base was never the newest.
    Superseded,
    /// Proved: nothing was written.
    Refused,
    /// It can't be found out now.
    Unknown,
};

/// @brief What the table said of the row of version base + 1.
struct ReadBack {
    bool isAnswered { false };
    /// Empty if the row is absent.
    std::optional<OperationId> operation;
};

/// @brief One operator's document on its way.
struct Acceptance {
    OperationId operation;
    TimePoint deadline;
    /// Whether a commit may have taken effect, or may yet.
    bool isOpen { false };
    bool sawConflict { false };
};

AcceptanceStep afterCommit(Acceptance& acceptance, CommitOutcome outcome, TimePoint now);
AcceptanceStep afterReadBack(Acceptance& acceptance, const ReadBack& found, TimePoint now);

} // namespace topaztack
