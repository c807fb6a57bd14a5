#pragma once

#include <topaztack/node/row_updater.hpp>
#include <topaztack/samples/ledger.hpp>

#include <functional>

/// @file
/// Trainers' ledgers in the table service and samples' payloads in the object store.

namespace topaztack {

/// @brief A pure change of a ledger; true if it changed. Applied again to its own result it must change nothing.
using LedgerChange = std::function<Result<bool>(Ledger&)>;

/// @brief A ledger with its row as read, for the next update.
struct LedgerCopy {
    Ledger ledger;
    RowCopy row;
};

class LedgerStore {
public:
    explicit LedgerStore(NodeContext& context);

    boost::asio::awaitable<Result<LedgerCopy>> read(TrainerName trainer);

    /// @brief Applies a change by conditional commits, as RowUpdater does.
    boost::asio::awaitable<Result<LedgerCopy>> update(
        TrainerName trainer, LedgerChange change, std::optional<RowCopy> known, TimePoint giveUp);

    /// @brief Writes an object, repeating until `giveUp`: the same key always gets the same content.
    boost::asio::awaitable<Result<void>> put(ObjectKey key, std::string value, TimePoint giveUp);

    boost::asio::awaitable<Result<std::string>> get(ObjectKey key, TimePoint giveUp);

    /// @brief A key that no other process draws.
    ObjectKey newObject(std::string_view kind, const TrainerName& trainer);

private:
    NodeContext& context;
    RowUpdater rows;
};

} // namespace topaztack
