#include "store_watch.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr Duration checkInterval = 300ms;
    constexpr Duration responseTimeout = 250ms;
    /// How long a confirmation stays valid.
    constexpr Duration confirmationLifetime = 1500ms;
    constexpr std::size_t maxPeersAsked = 3;
    /// VMs that must confirm an outage: a single one may itself be cut off from the store.
    constexpr std::size_t minConfirmations = 2;
    constexpr std::string_view reachableBody = "reached\n";
    constexpr std::string_view unreachableBody = "away\n";

} // namespace

StoreWatch::StoreWatch(GatewayContext& context, const PeerDirectory& peers)
    : context(context)
    , peers(peers)
{
}

void StoreWatch::start() { asio::co_spawn(this->context.loop(), this->run(), asio::detached); }

bool StoreWatch::isUnreachableForAll() const
{
    const auto now = Clock::now();
    return isStoreAway(this->context.store.contact(), now) && this->confirmedAt
        && now - *this->confirmedAt < confirmationLifetime;
}

HttpResponse StoreWatch::answer() const
{
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain" });
    response.body
        = std::string(isStoreAway(this->context.store.contact(), Clock::now()) ? unreachableBody : reachableBody);
    return response;
}

asio::awaitable<void> StoreWatch::run()
{
    while (true) {
        if (isStoreAway(this->context.store.contact(), Clock::now()))
            co_await this->askPeers();
        co_await pauseFor(checkInterval);
    }
}

asio::awaitable<void> StoreWatch::askPeers()
{
    std::size_t confirmations = 0;
    for (const auto& peer : this->peers.candidates(maxPeersAsked)) {
        HttpRequest request;
        request.method = "GET";
        request.target = std::string(storeContactPath);
        const auto answered
            = co_await this->context.httpClient.call(peer.endpoint, std::move(request), Clock::now() + responseTimeout);
        if (!answered) {
            logEvent(LogLevel::Debug, "store-contact-query-failed",
                { { "vm", peer.vm.name.value() }, { "error", answered.error().error.message } });
            continue;
        }
        if (answered.value().body != unreachableBody) {
            if (this->confirmedAt)
                logEvent(LogLevel::Info, "store-reached-elsewhere", { { "vm", peer.vm.name.value() } });
            this->confirmedAt.reset();
            co_return;
        }
        ++confirmations;
    }
    if (confirmations < minConfirmations)
        co_return;
    if (!this->confirmedAt)
        logEvent(LogLevel::Info, "store-away-for-all", { { "vms_asked", std::to_string(confirmations) } });
    this->confirmedAt = Clock::now();
}

} // namespace topaztack
