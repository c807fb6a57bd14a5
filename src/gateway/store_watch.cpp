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
    constexpr std::size_t maxPeersAsked = 6;
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
    return isStoreAway(this->context.store.contact(), now) && isOutageConfirmed(this->evidence, now);
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
        else
            this->evidence = OutageEvidence {};
        co_await pauseFor(checkInterval);
    }
}

asio::awaitable<void> StoreWatch::askPeer(PeerRecord peer, std::shared_ptr<PendingRound> pending)
{
    HttpRequest request;
    request.method = "GET";
    request.target = std::string(storeContactPath);
    const auto answered
        = co_await this->context.httpClient.call(peer.endpoint, std::move(request), Clock::now() + responseTimeout);
    if (answered)
        ++(answered.value().body == unreachableBody ? pending->round.away : pending->round.reached);
    else
        logEvent(LogLevel::Debug, "store-contact-query-failed",
            { { "vm", peer.vm.name.value() }, { "error", answered.error().error.message } });
    --pending->unanswered;
    pending->changed.notify();
}

/// Asks all VMs of a round at once, so that those that don't answer hold it up only once.
asio::awaitable<void> StoreWatch::askPeers()
{
    const auto asked = this->peers.candidates(maxPeersAsked);
    const auto pending = std::make_shared<PendingRound>(this->context.loop(), asked.size());
    for (const auto& peer : asked)
        asio::co_spawn(this->context.loop(), this->askPeer(peer, pending), asio::detached);
    while (pending->unanswered > 0)
        co_await pending->changed.waitUntil(Clock::now() + responseTimeout);
    this->applyRound(pending->round);
}

void StoreWatch::applyRound(const OutageRound& round)
{
    const auto now = Clock::now();
    const bool wasConfirmed = isOutageConfirmed(this->evidence, now);
    recordRound(this->evidence, round, now);
    const bool isConfirmed = isOutageConfirmed(this->evidence, now);
    if (isConfirmed != wasConfirmed)
        logEvent(LogLevel::Info, isConfirmed ? "store-away-for-all" : "store-reached-elsewhere",
            { { "vms_asked", std::to_string(round.away + round.reached) },
                { "vms_away", std::to_string(round.away) } });
}

} // namespace topaztack
