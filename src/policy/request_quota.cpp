#include <topaztack/policy/request_quota.hpp>

#include <topaztack/base/random.hpp>

#include <algorithm>
#include <set>

namespace topaztack {

namespace {

    constexpr double minRate = 0.25;
    /// Seconds of the rate that a budget may save up in addition to one request.
    constexpr double burstSeconds = 0.25;
    constexpr std::size_t maxKeepers = 3;
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

std::vector<std::size_t> rankKeepers(const BackendName& server, const std::vector<QuotaKeeper>& vms)
{
    const auto seed = stableHash(server.value());
    std::vector<std::size_t> order(vms.size());
    std::vector<std::uint64_t> ranks(vms.size());
    for (std::size_t index = 0; index < vms.size(); ++index) {
        order[index] = index;
        ranks[index] = stableHash(vms[index].name.value(), seed);
    }
    std::sort(order.begin(), order.end(), [&](std::size_t one, std::size_t other) {
        return std::tie(ranks[one], vms[one].name) < std::tie(ranks[other], vms[other].name);
    });
    // The best of each data centre go before the others.
    std::set<DataCentre> represented;
    std::stable_partition(order.begin(), order.end(),
        [&](std::size_t index) { return represented.insert(vms[index].dataCentre).second; });
    order.resize(std::min(order.size(), maxKeepers));
    return order;
}

double keeperShare(std::size_t rank) { return rank == 0 ? 1 : backupShare; }

} // namespace topaztack
