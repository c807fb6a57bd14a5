#include <topaztack/wire/server_share.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr std::uint64_t parts = 32;
    /// Parts of the process's memory.
    struct Share {
        /// For requests and answers.
        std::uint64_t memory;
    };

    constexpr Share callersShare { .memory = 14 };
    constexpr Share operatorsShare { .memory = 2 };
    constexpr Share peersShare { .memory = 2 };

    constexpr Share shareOf(ServedPort port)
    {
        switch (port) {
        case ServedPort::Callers:
            return callersShare;
        case ServedPort::Operators:
            return operatorsShare;
        case ServedPort::Peers:
            return peersShare;
        }
        return operatorsShare;
    }

    std::uint64_t partOf(std::uint64_t whole, std::uint64_t count) { return whole / parts * count; }

} // namespace

HttpServerLimits limitToShare(HttpServerLimits limits, ServedPort port, const VmSettings& settings)
{
    const auto share = shareOf(port);
    limits.maxHeld = partOf(settings.memory, share.memory);
    limits.processMemory = settings.memory;
    return limits;
}

} // namespace topaztack
