#include <topaztack/policy/event_stream.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// Events are usually 50 ms apart; generations pause while weights are loaded or memory is short.
    constexpr Duration minEventTime = 1500ms;
    constexpr int maxMissedIntervals = 8;
    constexpr Duration minFirstEventTime = 600ms;

} // namespace

bool isNextEvent(std::optional<std::uint64_t> last, std::uint64_t number)
{
    return number == (last ? *last + 1 : firstEventNumber);
}

Duration eventTimeLimit(Duration interval) { return std::max(minEventTime, maxMissedIntervals * interval); }

Duration firstEventTimeLimit(Duration objective, Duration interval)
{
    return std::max({ minFirstEventTime, objective + objective / 2, maxMissedIntervals * interval });
}

} // namespace topaztack
