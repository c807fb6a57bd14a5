#include <topaztack/base/machine.hpp>

#include <sys/resource.h>
#include <sys/sysinfo.h>
#include <unistd.h>

#include <fstream>

namespace topaztack {

namespace {

    constexpr std::uint64_t fallbackMemory = 64ULL * 1024 * 1024;
    constexpr std::uint64_t fallbackDescriptors = 1024;

} // namespace

std::uint64_t machineMemory()
{
    struct sysinfo info { };
    if (sysinfo(&info) != 0)
        return fallbackMemory;
    return static_cast<std::uint64_t>(info.totalram) * info.mem_unit;
}

std::uint64_t residentMemory()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if (!(file >> total >> resident))
        return 0;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t maxDescriptors()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return fallbackDescriptors;
    return limit.rlim_cur;
}

} // namespace topaztack
