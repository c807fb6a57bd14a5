#pragma once

#include "item_attempt.hpp"

#include <set>

/// @file
/// The state of one item of a job, as the job's runner keeps it.

namespace topaztack {

enum class ItemPhase : std::uint8_t {
    Waiting,
    Running,
    /// The text is complete; its scoring call is to be made.
    Unscored,
    /// A scoring call is being made.
    Scoring,
    Finished,
};

/// @brief The scoring calls made for an item's text.
struct ScoringProgress {
    TimePoint textCompletedAt;
    /// Attempts of a call share a deadline: the time limit of its route, counted from the first one.
    TimePoint deadline;
    /// No attempt is made before this time.
    TimePoint retryAt;
    std::uint64_t attempts { 0 };
    /// Answers that the call failed.
    std::uint64_t failures { 0 };
    /// Servers that ended while they made the call.
    std::size_t serverEnds { 0 };
    std::set<BackendName> tried;
};

/// @brief The state of one item.
struct ItemRun {
    const JobItem* item { nullptr };
    /// Whether its group is one that the trainer can do without.
    bool isSpare { false };
    ItemPhase phase { ItemPhase::Waiting };
    ItemProgress text;
    ItemState state { ItemState::Completed };
    /// Answers of servers that the item failed.
    std::uint64_t failures { 0 };
    std::uint64_t attempts { 0 };
    /// Servers that ended under it before they made an event.
    std::size_t serverEnds { 0 };
    /// Events in a row that could not be a part of its text, and the servers that sent them.
    std::size_t refusedEvents { 0 };
    std::set<BackendName> refusedServers;
    /// Generations that grew too long for a result.
    std::size_t longTexts { 0 };
    /// It is not started before this time.
    TimePoint retryAt;
    std::set<BackendName> tried;
    /// The route of the item's own path; nullptr if there is none.
    const Route* route { nullptr };
    ScoringProgress scoring;
    /// The route of the item's scoring call; nullptr if there is none.
    const Route* scoringRoute { nullptr };
    /// The server of the running attempt.
    BackendName server;
    /// The running attempt is cancelled because its server is silent.
    bool isServerSilent { false };
    /// Set while an attempt is running; cancels it.
    CallControl* control { nullptr };
};

} // namespace topaztack
