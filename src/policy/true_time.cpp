#include <topaztack/policy/true_time.hpp>

#include <algorithm>

namespace topaztack {

using namespace std::chrono_literals;

namespace {

    /// Clocks of two VMs drift apart by a few milliseconds in this time at most.
    constexpr Duration clockPeriod = 60s;
    /// No answer is this late unless its VM was suspended, and then only few are.
    constexpr std::chrono::microseconds maxAnswerAge = 2s;
    constexpr unsigned answersAfterReset = 20;
    /// VMs whose offsets differ from the median by at most this much agree: clocks are kept within some 10 ms, and
    /// answers of the store arrive within some 10 ms.
    constexpr std::chrono::milliseconds agreementTolerance = 100ms;
    /// Longer than a VM's published offset may be old, and than its clock is off.
    constexpr Duration minChangeTime = 150s;

    std::chrono::microseconds toMicroseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(duration);
    }

    std::optional<std::chrono::microseconds> bestDifference(const StoreClock& clock)
    {
        return std::max(clock.current, clock.previous);
    }

    void restart(StoreClock& clock, std::chrono::microseconds difference, TimePoint now)
    {
        clock.current = difference;
        clock.previous.reset();
        clock.periodStart = now;
        clock.farBelow = 0;
    }

} // namespace

bool recordStoreTime(StoreClock& clock, std::chrono::milliseconds storeTime, TimePoint receivedAt)
{
    if (storeTime <= 0ms)
        return false;
    const std::chrono::microseconds difference = storeTime - toMicroseconds(receivedAt.time_since_epoch());
    const auto best = bestDifference(clock);
    if (!best) {
        restart(clock, difference, receivedAt);
        return false;
    }
    if (difference < *best - maxAnswerAge) {
        clock.maxFarBelow = clock.farBelow == 0 ? difference : std::max(clock.maxFarBelow, difference);
        if (++clock.farBelow < answersAfterReset)
            return false;
        restart(clock, clock.maxFarBelow, receivedAt);
        return true;
    }
    clock.farBelow = 0;
    if (receivedAt - clock.periodStart >= clockPeriod) {
        clock.previous = clock.current;
        clock.current.reset();
        clock.periodStart = receivedAt;
    }
    clock.current = std::max(clock.current, std::optional(difference));
    return false;
}

std::optional<std::chrono::milliseconds> storeTimeAt(const StoreClock& clock, TimePoint now)
{
    const auto best = bestDifference(clock);
    if (!best)
        return std::nullopt;
    return toMilliseconds(now.time_since_epoch() + *best);
}

std::optional<std::chrono::milliseconds> agreeOnOffset(std::vector<std::chrono::milliseconds> offsets, std::size_t vms)
{
    if (offsets.empty() || offsets.size() * 3 < vms * 2)
        return std::nullopt;
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    const auto median = *middle;
    const auto agreeing = std::count_if(offsets.begin(), offsets.end(),
        [median](const auto offset) { return std::chrono::abs(offset - median) <= agreementTolerance; });
    if (static_cast<std::size_t>(agreeing) * 2 <= offsets.size())
        return std::nullopt;
    return median;
}

void updateTrueTime(TrueTime& time, std::optional<std::chrono::milliseconds> agreed, TimePoint now)
{
    if (!agreed) {
        time.candidate.reset();
        return;
    }
    if (!time.offset || std::chrono::abs(*agreed - *time.offset) <= agreementTolerance) {
        time.offset = agreed;
        time.candidate.reset();
        return;
    }
    if (!time.candidate || std::chrono::abs(*agreed - *time.candidate) > agreementTolerance) {
        time.candidate = agreed;
        time.candidateSince = now;
    }
    if (now - time.candidateSince >= minChangeTime) {
        time.offset = agreed;
        time.candidate.reset();
    }
}

std::uint64_t windowAt(std::chrono::milliseconds trueTime, std::chrono::microseconds window)
{
    return static_cast<std::uint64_t>(std::chrono::microseconds(trueTime) / window);
}

std::chrono::milliseconds windowStart(std::uint64_t number, std::chrono::microseconds window)
{
    return std::chrono::ceil<std::chrono::milliseconds>(static_cast<std::int64_t>(number) * window);
}

} // namespace topaztack
