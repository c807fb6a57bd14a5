#include "store_watch.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr Duration watchInterval = 300ms;
    constexpr Duration answerTime = 250ms;
    /// How long an answer holds.
    constexpr Duration answerLifetime = 1500ms;
    constexpr std::size_t mostAsked = 3;
    /// VMs that must have said so: a single one may be cut off from the store as well.
    constexpr std::size_t fewestConfirmations = 2;
    constexpr std::string_view reached = "reached\n";
    constexpr std::string_view away = "away\n";

} // namespace

StoreWatch::StoreWatch(GatewayContext& context, const PeerDirectory& peers)
    : context(context)
    , peers(peers)
{
}

void StoreWatch::start() { asio::co_spawn(this->context.loop(), this->watch(), asio::detached); }

bool StoreWatch::isUnreachableForAll() const
{
    const auto now = Clock::now();
    return isStoreAway(this->context.store.contact(), now) && this->confirmedAt
        && now - *this->confirmedAt < answerLifetime;
}

HttpResponse StoreWatch::answer() const
{
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain" });
    response.body = std::string(isStoreAway(this->context.store.contact(), Clock::now()) ? away : reached);
    return response;
}

asio::awaitable<void> StoreWatch::watch()
{
    while (true) {
        if (isStoreAway(this->context.store.contact(), Clock::now()))
            co_await this->ask();
        co_await pauseFor(watchInterval);
    }
}

asio::awaitable<void> StoreWatch::ask()
{
    std::size_t confirmations = 0;
    for (const auto& peer : this->peers.candidates(mostAsked)) {
        HttpRequest request;
        request.method = "GET";
        request.target = std::string(storeContactPath);
        const auto answered
            = co_await this->context.httpClient.call(peer.endpoint, std::move(request), Clock::now() + answerTime);
        if (!answered) {
            logEvent(LogLevel::Debug, "store-contact-not-told",
                { { "vm", peer.vm.name.value() }, { "error", answered.error().error.message } });
            continue;
        }
        if (answered.value().body != away) {
            if (this->confirmedAt)
                logEvent(LogLevel::Info, "store-reached-elsewhere", { { "vm", peer.vm.name.value() } });
            this->confirmedAt.reset();
            co_return;
        }
        ++confirmations;
    }
    if (confirmations < fewestConfirmations)
        co_return;
    if (!this->confirmedAt)
        logEvent(LogLevel::Info, "store-away-for-all", { { "vms_asked", std::to_string(confirmations) } });
    this->confirmedAt = Clock::now();
}

} // namespace topaztack
