#pragma once

#include <topaztack/node/context.hpp>

#include <functional>
#include <optional>
#include <string>

/// @file
/// Changes one row of the table service by conditional commits: reads, applies a pure change, commits on the version
/// read, and goes round again after a conflict, a refusal or a lost answer.

namespace topaztack {

/// @brief A row's new text, or nothing if it already says what it should.
using RowChange = std::function<Result<std::optional<std::string>>(const std::string& value, const OperationId&)>;

/// @brief A row as this VM saw it last.
struct RowCopy {
    RowVersion version;
    std::string value;
};

class RowUpdater {
public:
    explicit RowUpdater(NodeContext& context);

    /// @brief Applies a change until the row holds it. The change must change nothing in a row that holds it already:
    /// that is how a commit whose answer was lost is read back. A lost commit that is still under way can't land
    /// later: its condition names a version that this update's own commit replaces.
    /// @param known tried first without a read; may be empty.
    /// @return the row as it then stands; the change's own error; or the platform's after `giveUp`.
    boost::asio::awaitable<Result<RowCopy>> update(
        RowKey key, RowChange change, std::optional<RowCopy> known, TimePoint giveUp);

    boost::asio::awaitable<Result<RowCopy>> read(RowKey key);

private:
    NodeContext& context;
    Counter& commits;
    Counter& conflicts;
    Counter& ambiguous;
};

/// @brief Waits on the calling thread's event loop.
boost::asio::awaitable<void> waitFor(NodeContext& context, Duration duration);

} // namespace topaztack
