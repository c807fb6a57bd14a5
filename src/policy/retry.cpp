#include <topaztack/policy/retry.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t creditPerAttempt = 100;
    constexpr std::chrono::microseconds backoffBase = 5ms;
    constexpr std::chrono::microseconds backoffCap = 1s;
    constexpr std::chrono::microseconds noRetry = -1us;

} // namespace

RetryBudget initialRetryBudget(std::uint64_t percent)
{
    return { percent == 0 ? 0 : initialRetryCredit * creditPerAttempt };
}

void earnRetry(RetryBudget& budget, std::uint64_t percent)
{
    budget.credit = std::min(budget.credit + percent, maxRetryCredit * creditPerAttempt);
}

bool spendRetry(RetryBudget& budget)
{
    if (budget.credit < creditPerAttempt)
        return false;
    budget.credit -= creditPerAttempt;
    return true;
}

std::chrono::microseconds backoff(std::uint32_t attempt, Random& random)
{
    const auto doublings = std::min<std::uint32_t>(attempt == 0 ? 0 : attempt - 1, 16);
    const auto ceiling = std::min<std::chrono::microseconds>(backoffCap, backoffBase * (1LL << doublings));
    return std::chrono::microseconds(random.below(static_cast<std::uint64_t>(ceiling.count())));
}

std::chrono::microseconds decideRetry(RetryBudget& budget, const RetryContext& context, Random& random)
{
    if (!context.isSafe || context.attempts >= maxRequestAttempts)
        return noRetry;
    const auto delay = backoff(context.attempts, random);
    if (delay >= context.remaining)
        return noRetry;
    if (!context.wasFree && !spendRetry(budget))
        return noRetry;
    return delay;
}

} // namespace topaztack
