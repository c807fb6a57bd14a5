#include "context.hpp"

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// Kept connections are closed by backend servers after 5 s of idleness or more. A handshake in one region takes
    /// milliseconds; a server behind a partition does not answer it.
    constexpr HttpClientLimits backendLimits { .idlePerEndpoint = 16, .longestIdle = 3000ms, .connectTime = 300ms };
    constexpr HttpClientLimits storeLimits { .longestIdle = 10s, .connectTime = 500ms };

} // namespace

GatewayContext::GatewayContext(VmSettings given, VmIdentity self, const GatewayProtocol& protocol)
    : settings(std::move(given))
    , identity(std::move(self))
    , protocol(protocol)
    , threads(1)
    , random(this->identity.incarnation.value())
    , httpClient(this->threads.at(0), backendLimits)
    , storeLink(this->threads.at(0), storeLimits)
    , store(this->storeLink, this->settings.platform, this->settings.platformTimeout, *protocol.store, this->metrics)
{
}

} // namespace topaztack
