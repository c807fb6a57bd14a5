#include <topaztack/wire/server_share.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr std::uint64_t parts = 32;
    constexpr std::uint64_t kibibyte = 1024;
    constexpr std::uint64_t minSocketBuffer = 16 * kibibyte;
    constexpr std::uint64_t maxSocketBuffer = 256 * kibibyte;

    /// Parts of the process's memory and descriptors.
    struct Share {
        /// For requests and answers.
        std::uint64_t memory;
        /// For bytes that the kernel has received and that are not read yet.
        std::uint64_t unread;
        std::uint64_t descriptors;
    };

    /// A caller's request may need another descriptor for its backend server.
    constexpr Share callersShare { .memory = 14, .unread = 6, .descriptors = 12 };
    constexpr Share operatorsShare { .memory = 2, .unread = 1, .descriptors = 2 };
    constexpr Share peersShare { .memory = 2, .unread = 2, .descriptors = 8 };
    constexpr std::uint64_t answersMemory = 4;

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
    const auto unread = partOf(settings.memory, share.unread);
    limits.maxConnections = std::min<std::size_t>(
        { limits.maxConnections, settings.descriptors * share.descriptors / parts, unread / minSocketBuffer });
    limits.socketBuffer = std::clamp(unread / limits.maxConnections, minSocketBuffer, maxSocketBuffer);
    return limits;
}

HttpClientLimits limitToShare(HttpClientLimits limits, const VmSettings& settings)
{
    limits.maxHeld = std::min<std::size_t>(limits.maxHeld, partOf(settings.memory, answersMemory));
    return limits;
}

} // namespace topaztack
