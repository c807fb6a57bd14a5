#pragma once

#include <chrono>
#include <string>

/// @file
/// The clocks that signatures name. Decisions are given the time; only daemons read a clock.

namespace topaztack {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using WallClock = std::chrono::system_clock;
using WallTime = WallClock::time_point;

/// @brief Whole milliseconds of a duration, rounded down.
inline std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// @brief Unix time as this VM's clock has it.
inline std::chrono::milliseconds unixTime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(WallClock::now().time_since_epoch());
}

/// @brief Time since boot, suspension included: the steady clock stands still while a VM is suspended, a lease does
/// not.
TimePoint timeWithSuspension();

} // namespace topaztack
