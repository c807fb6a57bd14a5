#pragma once

#include "item_attempt.hpp"

#include <set>

/// @file
/// One item of a job on its way, as the runner of the job keeps it.

namespace topaztack {

enum class ItemPhase : std::uint8_t {
    Waiting,
    Running,
    Finished,
};

/// @brief One item on its way.
struct ItemRun {
    const JobItem* item { nullptr };
    bool isSpare { false };
    ItemPhase phase { ItemPhase::Waiting };
    ItemProgress text;
    ItemState state { ItemState::Completed };
    /// Answers that said that it failed.
    std::uint64_t failures { 0 };
    std::uint64_t attempts { 0 };
    std::set<BackendName> tried;
    /// By the item's own path; nullptr if it has none.
    const Route* route { nullptr };
    /// Set while it runs.
    CallControl* control { nullptr };
};

} // namespace topaztack
