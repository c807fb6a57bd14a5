#include <topaztack/policy/drain.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// The load balancer takes a VM out of service after two failed readiness checks, one second apart.
    constexpr Duration balancerRemovalTime = 2500ms;
    /// For writing the answers of abandoned requests.
    constexpr Duration abandonTime = 200ms;
    /// For writing answers in place of handlers that don't end.
    constexpr Duration answerTime = 100ms;
    /// For ending the process before the platform kills it.
    constexpr Duration exitTime = 200ms;

} // namespace

DrainSchedule planDrain(TimePoint now, Duration shutdownTime)
{
    DrainSchedule drain;
    drain.endsAt = now + shutdownTime - exitTime;
    drain.abandonAt = drain.endsAt - abandonTime;
    drain.answerAt = drain.endsAt - answerTime;
    drain.outOfRotationAt = std::min<TimePoint>(now + balancerRemovalTime, drain.abandonAt);
    return drain;
}

bool mayTakeRequest(const DrainSchedule& drain, TimePoint now, TimePoint requestEnd)
{
    return now < drain.outOfRotationAt || requestEnd <= drain.abandonAt;
}

} // namespace topaztack
