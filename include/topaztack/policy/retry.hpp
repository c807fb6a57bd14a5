#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>

/// @file
/// How many further attempts a VM makes, and when.

namespace topaztack {

/// Attempts of one request at most, the first included.
inline constexpr std::uint32_t maxRequestAttempts = 4;

/// @brief A budget of extra attempts, earned by first attempts.
struct RetryBudget {
    /// Hundredths of an attempt that may still be spent.
    std::uint64_t credit { 0 };
};

/// Credit is kept up to this many attempts, so that a quiet hour does not pay for a storm.
inline constexpr std::uint64_t maxRetryCredit = 100;

/// Attempts that a VM may repeat before it has earned any: its first request may meet a server that breaks.
inline constexpr std::uint64_t initialRetryCredit = 10;

/// @brief Credit of a VM that has just started.
/// @param percent extra attempts allowed for each hundred first ones; none are granted where none are allowed.
RetryBudget initialRetryBudget(std::uint64_t percent);

/// @brief Earns credit for one first attempt.
/// @param percent extra attempts allowed for each hundred first ones.
void earnRetry(RetryBudget& budget, std::uint64_t percent);

/// @brief Takes one extra attempt from the budget.
/// @return false if the budget is spent.
bool spendRetry(RetryBudget& budget);

/// @brief Full-jitter exponential backoff before attempt `attempt` (1 is the first repeat).
/// @return a time in [0, min(cap, base * 2^(attempt - 1))).
std::chrono::microseconds backoff(std::uint32_t attempt, Random& random);

/// @brief What the retry rule knows of a request whose attempt failed.
struct RetryContext {
    /// Attempts made so far.
    std::uint32_t attempts { 0 };
    /// Whether a further attempt keeps the promise of running at most once.
    bool isSafe { false };
    /// Whether the failed attempt cost no backend server any work: no byte was written.
    bool wasFree { false };
    /// Time left until the request's deadline.
    Duration remaining {};
};

/// @brief Decides on a further attempt; one after a free failure is not charged to the budget.
/// @return the pause before it, or a negative duration if there is to be none.
std::chrono::microseconds decideRetry(RetryBudget& budget, const RetryContext& facts, Random& random);

} // namespace topaztack
