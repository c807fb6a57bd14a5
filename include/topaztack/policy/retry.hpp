#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>

/// @file
/// Retry policy: whether a VM makes a further attempt, and after which delay.

namespace topaztack {

/// Limit of the attempts of one request, including the first.
inline constexpr std::uint32_t maxRequestAttempts = 4;

/// @brief A budget of retries, earned by first attempts.
struct RetryBudget {
    /// Remaining credit in hundredths of an attempt.
    std::uint64_t credit { 0 };
};

/// Limit of the credit in attempts, so that credit saved up while failures are rare does not allow a retry storm.
inline constexpr std::uint64_t maxRetryCredit = 100;

/// Initial credit in attempts: a VM that has just started may meet a failing server with its first request.
inline constexpr std::uint64_t initialRetryCredit = 10;

/// @brief The budget of a VM that has just started.
/// @param percent retries allowed per hundred first attempts; if zero, the initial credit is zero too.
RetryBudget initialRetryBudget(std::uint64_t percent);

/// @brief Earns credit for one first attempt.
/// @param percent retries allowed per hundred first attempts.
void earnRetry(RetryBudget& budget, std::uint64_t percent);

/// @brief Takes one retry from the budget.
/// @return false if the budget is exhausted.
bool spendRetry(RetryBudget& budget);

/// @brief Full-jitter exponential backoff before attempt `attempt` (1 is the first retry).
/// @return a time in [0, min(cap, base * 2^(attempt - 1))).
std::chrono::microseconds backoff(std::uint32_t attempt, Random& random);

/// @brief The state of a request whose attempt failed.
struct RetryContext {
    /// Attempts made so far.
    std::uint32_t attempts { 0 };
    /// Whether a further attempt keeps the guarantee that the request runs at most once.
    bool isSafe { false };
    /// Whether the failed attempt caused no work at a backend server, for example because no byte was written.
    bool wasFree { false };
    /// Time left until the request's deadline.
    Duration remaining {};
};

/// @brief Decides on a further attempt. If the failed one was free, the retry is not charged to the budget.
/// @return the delay before the attempt, or a negative duration if there must be none.
std::chrono::microseconds decideRetry(RetryBudget& budget, const RetryContext& context, Random& random);

} // namespace topaztack
