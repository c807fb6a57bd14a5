#include <topaztack/policy/server_silence.hpp>

#include <algorithm>

namespace topaztack {

bool isSilent(const ServerActivity& activity, TimePoint now)
{
    if (activity.outstanding < minSilentRequests)
        return false;
    const auto limit = std::max<Duration>(minSilence, minSilentIntervals * activity.eventInterval);
    return now - activity.heardAt >= limit;
}

} // namespace topaztack
