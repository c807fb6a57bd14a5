#include <topaztack/policy/request_quota.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr double minRate = 0.25;
    /// Seconds of the rate that a budget may save up in addition to one request.
    constexpr double burstSeconds = 0.25;
    constexpr double backupShare = 0.2;

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    void fill(RequestBudget& budget, double rate, TimePoint now)
    {
        if (budget.filledAt)
            budget.tokens = std::min(
                1 + burstSeconds * rate, budget.tokens + rate * std::max(0.0, toSeconds(now - *budget.filledAt)));
        budget.filledAt = now;
    }

} // namespace

bool applyStatement(LimitStatement& known, const LimitStatement& heard)
{
    if (heard.madeAt <= known.madeAt)
        return false;
    const bool isChanged = known.perSecond != heard.perSecond;
    known = heard;
    return isChanged;
}

double admissibleRate(double perSecond) { return std::max(minRate, perSecond); }

bool takeRequest(RequestBudget& budget, double rate, TimePoint now)
{
    fill(budget, rate, now);
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

void chargeRequest(RequestBudget& budget, double rate, TimePoint now)
{
    fill(budget, rate, now);
    budget.tokens -= 1;
}

Duration timeUntilRequest(const RequestBudget& budget, double rate)
{
    const auto seconds = std::max(0.0, 1 - budget.tokens) / rate;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double keeperShare(std::size_t rank) { return rank == 0 ? 1 : backupShare; }

} // namespace topaztack
