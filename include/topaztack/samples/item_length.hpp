#pragma once

#include <cstdint>

/// @file
/// How many events of an item are still to come, from the trainer's estimate and what items before it came to. Pure.

namespace topaztack {

/// @brief What finished items came to against their estimates.
struct LengthModel {
    double events { 0 };
    double expectedTokens { 0 };
};

/// @brief An item is whole.
void recordItemLength(LengthModel& model, std::uint64_t events, std::uint64_t expectedTokens);

/// @brief Events still to come. Lengths are heavy-tailed: an item that has passed its estimate is expected to go on for
/// a part of what it has made.
/// @return 0 before any item was finished.
double remainingEvents(const LengthModel& model, std::uint64_t expectedTokens, std::uint64_t eventsMade);

/// @brief Tokens that an item will have made when it is whole.
std::uint64_t expectedFinalTokens(const LengthModel& model, std::uint64_t expectedTokens, std::uint64_t eventsMade);

} // namespace topaztack
