#include <topaztack/policy/event_stream.hpp>

#include <topaztack/base/utf8.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// Events are usually 50 ms apart; generations pause while weights are loaded or memory is short.
    constexpr Duration minEventTime = 1500ms;
    constexpr int maxMissedIntervals = 8;
    constexpr Duration minFirstEventTime = 600ms;
    constexpr Duration minRefusalPause = 50ms;
    constexpr std::size_t maxRefusalDoublings = 5;

} // namespace

bool isNextEvent(std::optional<std::uint64_t> last, std::uint64_t number)
{
    return number == (last ? *last + 1 : firstEventNumber);
}

std::optional<std::string_view> checkTextEvent(
    std::optional<std::uint64_t> last, std::uint64_t number, std::string_view data)
{
    if (!isNextEvent(last, number))
        return "out of order";
    if (!isUtf8(data))
        return "its data are not UTF-8";
    return std::nullopt;
}

Duration eventTimeLimit(Duration interval) { return std::max(minEventTime, maxMissedIntervals * interval); }

Duration firstEventTimeLimit(Duration objective, Duration interval)
{
    return std::max({ minFirstEventTime, objective + objective / 2, maxMissedIntervals * interval });
}

Duration pauseAfterRefusedEvents(std::size_t events)
{
    if (events < 2)
        return Duration(0);
    return minRefusalPause * (1U << std::min(events - 2, maxRefusalDoublings));
}

} // namespace topaztack
