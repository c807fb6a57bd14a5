#include <topaztack/control/config_sync.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    /// The backoff doubles the interval at most this many times.
    constexpr std::uint32_t maxBackoffDoublings = 3;

    /// A random delay between 3/4 and 5/4 of `wait`, so that VMs that started together do not poll at the same time.
    Duration addJitter(std::chrono::milliseconds wait, Random& random)
    {
        const auto whole = std::chrono::microseconds(wait);
        const auto range = static_cast<std::uint64_t>(whole.count() / 2);
        return whole * 3 / 4 + std::chrono::microseconds(random.below(range));
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

bool acceptsVersion(const ConfigSyncState& state, ConfigVersion offered)
{
    return !state.hasDocument || offered > state.inForce;
}

void setInForce(ConfigSyncState& state, ConfigVersion version, DocumentSource source)
{
    state.hasDocument = true;
    state.inForce = version;
    state.source = source;
    state.heard = std::max(state.heard, version);
}

bool mayUseStaticDocument(const ConfigSyncState& state, TimePoint now)
{
    if (state.hasDocument || state.heard.value() > 0)
        return false;
    return state.hasPlatformAnswered || now >= state.startedAt + state.timing.staticDocumentGrace;
}

Duration afterPoll(ConfigSyncState& state, bool isAnswered, bool isPoller, Random& random)
{
    state.hasPlatformAnswered |= isAnswered;
    state.failedPolls = isAnswered ? 0 : state.failedPolls + 1;
    auto wait = isPoller ? state.timing.pollInterval : state.timing.idlePollInterval;
    if (state.failedPolls > 0)
        wait = std::min(wait * (1U << std::min(state.failedPolls, maxBackoffDoublings)),
            std::max(state.timing.maxPollInterval, wait));
    return addJitter(wait, random);
}

} // namespace topaztack
