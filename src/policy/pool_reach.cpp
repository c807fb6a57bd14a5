#include <topaztack/policy/pool_reach.hpp>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// Connections cost servers time, so they are not tried after each failure.
    constexpr Duration minCheckInterval = 250ms;

} // namespace

bool needsCheck(const PoolReach& reach, bool wasReached, bool hasHeardSince, TimePoint now)
{
    if (reach.isCutOff || now - reach.checkedAt < minCheckInterval)
        return false;
    return !wasReached || !hasHeardSince;
}

bool recordCheck(PoolReach& reach, std::size_t tried, std::size_t taken, TimePoint now)
{
    const bool wasCutOff = reach.isCutOff;
    reach.checkedAt = now;
    reach.isCutOff = tried > 0 && taken == 0;
    return reach.isCutOff != wasCutOff;
}

} // namespace topaztack
