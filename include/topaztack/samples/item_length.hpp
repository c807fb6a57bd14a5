#pragma once

#include <cstdint>

/// @file
/// Predicts how many events an item still has to generate, from the trainer's estimate and from the lengths of finished
/// items relative to theirs. Pure functions without I/O.

namespace topaztack {

/// @brief Sums over finished items; their ratio scales the trainer's estimates.
struct LengthModel {
    double events { 0 };
    double expectedTokens { 0 };
};

/// @brief Records a finished item. Items without an estimate are ignored.
void recordItemLength(LengthModel& model, std::uint64_t events, std::uint64_t expectedTokens);

/// @brief Predicts the events still to come. Lengths are heavy-tailed: an item that has exceeded its estimate is
/// expected to generate a further fraction of the events that it already has.
/// @return 0 before any item with an estimate has finished.
double remainingEvents(const LengthModel& model, std::uint64_t expectedTokens, std::uint64_t eventsMade);

/// @brief Predicts the number of tokens that an item has when it is complete.
std::uint64_t expectedFinalTokens(const LengthModel& model, std::uint64_t expectedTokens, std::uint64_t eventsMade);

} // namespace topaztack
