#include "context.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/wire/server_share.hpp>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// Backend servers close idle connections after 5 s or more, so this client closes them earlier. A handshake within
    /// a region takes milliseconds; a server behind a network partition doesn't answer it.
    /// Answers are held in memory until they are delivered, several at a time. A VM may have as little as 160 MB.
    constexpr HttpClientLimits backendLimits { .idlePerEndpoint = 16,
        .longestIdle = 3000ms,
        .maxAnswer = 8ULL * 1024 * 1024,
        .maxHeld = 16UL * 1024 * 1024,
        .connectTime = 300ms };
    constexpr HttpClientLimits storeLimits { .longestIdle = 10s, .connectTime = 500ms };

} // namespace

GatewayContext::GatewayContext(VmSettings given, VmIdentity self, const GatewayProtocol& protocol)
    : settings(std::move(given))
    , identity(std::move(self))
    , protocol(protocol)
    , threads(1)
    , random(this->identity.incarnation.value())
    , httpClient(this->threads.at(0), limitToShare(backendLimits, this->settings))
    , storeHttpClient(this->threads.at(0), storeLimits)
    , store(this->storeHttpClient, this->settings.platform, this->settings.platformTimeout, *protocol.store,
          this->metrics)
{
    if (!this->settings.duties.reportsUsage)
        return;
    this->store.onStoreTime([this](std::chrono::milliseconds storeTime) {
        if (!recordStoreTime(this->storeClock, storeTime, timeWithSuspension()))
            return;
        this->trueTime = {};
        logEvent(LogLevel::Warning, "store-clock-set-back", { { "store_ms", std::to_string(storeTime.count()) } });
    });
}

std::optional<std::chrono::milliseconds> GatewayContext::clockOffset() const
{
    const auto storeTime = storeTimeAt(this->storeClock, timeWithSuspension());
    if (!storeTime)
        return std::nullopt;
    return unixTime() - *storeTime;
}

} // namespace topaztack
