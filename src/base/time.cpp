#include <topaztack/base/time.hpp>

#include <ctime>

namespace topaztack {

TimePoint timeWithSuspension()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace topaztack
