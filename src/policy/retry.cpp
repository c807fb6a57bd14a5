#include <topaztack/policy/retry.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t oneAttempt = 100;
    constexpr std::chrono::microseconds backoffBase = 5ms;
    constexpr std::chrono::microseconds backoffCap = 1s;
    constexpr std::chrono::microseconds noRetry = -1us;

} // namespace

RetryBudget initialRetryBudget(std::uint64_t percent) { return { percent == 0 ? 0 : initialRetryCredit * oneAttempt }; }

void earnRetry(RetryBudget& budget, std::uint64_t percent)
{
    budget.credit = std::min(budget.credit + percent, maxRetryCredit * oneAttempt);
}

bool spendRetry(RetryBudget& budget)
{
    if (budget.credit < oneAttempt)
        return false;
    budget.credit -= oneAttempt;
    return true;
}

std::chrono::microseconds backoff(std::uint32_t attempt, Random& random)
{
    const auto doublings = std::min<std::uint32_t>(attempt == 0 ? 0 : attempt - 1, 16);
    const auto ceiling = std::min<std::chrono::microseconds>(backoffCap, backoffBase * (1LL << doublings));
    return std::chrono::microseconds(random.below(static_cast<std::uint64_t>(ceiling.count())));
}

std::chrono::microseconds decideRetry(RetryBudget& budget, const RetryContext& facts, Random& random)
{
    if (!facts.isSafe || facts.attempts >= maxRequestAttempts)
        return noRetry;
    const auto pause = backoff(facts.attempts, random);
    if (pause >= facts.remaining)
        return noRetry;
    if (!facts.wasFree && !spendRetry(budget))
        return noRetry;
    return pause;
}

} // namespace topaztack
