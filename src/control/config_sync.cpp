#include <topaztack/control/config_sync.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr std::uint32_t doublings = 3;

    /// Between three quarters and five quarters, so that VMs that started together do not poll together.
    Duration withJitter(std::chrono::milliseconds wait, Random& random)
    {
        const auto whole = std::chrono::microseconds(wait);
        const auto spread = static_cast<std::uint64_t>(whole.count() / 2);
        return whole * 3 / 4 + std::chrono::microseconds(random.below(spread));
    }

} // namespace

std::string_view sourceName(DocumentSource source)
{
    switch (source) {
    case DocumentSource::Static:
        return "static";
    case DocumentSource::Platform:
        return "platform";
    case DocumentSource::Peer:
        return "peer";
    case DocumentSource::None:
        break;
    }
    return "none";
}

bool acceptsVersion(const ConfigSyncState& spread, ConfigVersion offered)
{
    return !spread.hasDocument || offered > spread.inForce;
}

void setInForce(ConfigSyncState& spread, ConfigVersion version, DocumentSource source)
{
    spread.hasDocument = true;
    spread.inForce = version;
    spread.source = source;
    spread.heard = std::max(spread.heard, version);
}

bool mayUseStaticDocument(const ConfigSyncState& spread, TimePoint now)
{
    if (spread.hasDocument || spread.heard.value() > 0)
        return false;
    return spread.hasPlatformAnswered || now >= spread.startedAt + spread.timing.staticGrace;
}

Duration afterPoll(ConfigSyncState& spread, bool isAnswered, bool isPoller, Random& random)
{
    spread.hasPlatformAnswered |= isAnswered;
    spread.failedPolls = isAnswered ? 0 : spread.failedPolls + 1;
    auto wait = isPoller ? spread.timing.pollEvery : spread.timing.idlePollEvery;
    if (spread.failedPolls > 0)
        wait = std::min(
            wait * (1U << std::min(spread.failedPolls, doublings)), std::max(spread.timing.longestPoll, wait));
    return withJitter(wait, random);
}

} // namespace topaztack
