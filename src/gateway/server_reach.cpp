#include "server_reach.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    /// With half of the servers unreachable, as few as three random ones are all unreachable once in eight checks.
    constexpr std::size_t maxServersTried = 6;
    /// While cut off: when a pool comes back, all VMs connect to its servers at once.
    constexpr std::size_t serversTriedAgain = 1;
    /// A handshake within a region takes milliseconds.
    constexpr Duration connectTimeout = 150ms;
    constexpr Duration recheckInterval = 250ms;
    constexpr std::size_t maxPeersAsked = 6;
    /// A VM that is asked may itself try connections.
    constexpr Duration answerTimeout = 250ms;
    /// VMs that carry are asked again after this time, since they may be cut off in turn.
    constexpr Duration carrierRefreshInterval = 2s;
    /// A VM that a server answered within this time need not try a connection.
    constexpr Duration recentAnswer = 500ms;
    constexpr std::string_view reachedBody = "reached\n";
    constexpr std::string_view cutOffBody = "cut-off\n";

} // namespace

/// Several things that are tried at once.
struct ServerReach::Probes {
    Probes(asio::io_context& loop, std::size_t tried)
        : tried(tried)
        , pending(tried)
        , changed(loop)
    {
    }

    const std::size_t tried;
    std::size_t pending;
    std::size_t succeeded { 0 };
    /// Of VMs that are asked: those that reach the pool.
    std::vector<PeerRecord> carriers;
    Notifier changed;
};

ServerReach::ServerReach(GatewayContext& context, ServerTable& servers, const PeerDirectory& peers)
    : context(context)
    , servers(servers)
    , peers(peers)
    , cuts(context.metrics.counter("topaztack_pools_cut_off_total", "Times that no server of a pool was reached"))
{
}

ServerReach::State& ServerReach::stateOf(const PoolName& pool)
{
    auto& state = this->states[pool];
    if (!state)
        state = std::make_unique<State>(this->context.loop());
    return *state;
}

bool ServerReach::isCutOff(const PoolName& pool) const
{
    const auto found = this->states.find(pool);
    return found != this->states.end() && found->second->reach.isCutOff;
}

asio::awaitable<void> ServerReach::checkAfter(PoolName pool, TimePoint sentAt, bool wasReached)
{
    auto& state = this->stateOf(pool);
    if (state.isChecking
        || needsCheck(state.reach, wasReached, this->servers.hasAnsweredSince(pool, sentAt), Clock::now()))
        co_await this->check(pool, maxServersTried);
}

asio::awaitable<void> ServerReach::probe(Endpoint server, std::shared_ptr<Probes> probes)
{
    const auto result = co_await this->context.httpClient.probe(
        std::move(server), Clock::now() + connectTimeout, ProbeMode::NewConnection);
    --probes->pending;
    probes->succeeded += result == ProbeResult::Listening ? 1 : 0;
    probes->changed.notify();
}

/// Connects to some servers of the pool at once; one that takes the connection is enough.
asio::awaitable<void> ServerReach::check(PoolName pool, std::size_t maxServers)
{
    auto& state = this->stateOf(pool);
    if (state.isChecking) {
        while (state.isChecking)
            co_await state.changed.waitUntil(Clock::now() + connectTimeout);
        co_return;
    }
    state.isChecking = true;
    const auto endpoints = this->servers.someEndpoints(pool, maxServers);
    const auto probes = std::make_shared<Probes>(this->context.loop(), endpoints.size());
    for (const auto& endpoint : endpoints)
        asio::co_spawn(this->context.loop(), this->probe(endpoint, probes), asio::detached);
    while (probes->pending > 0 && probes->succeeded == 0)
        co_await probes->changed.waitUntil(Clock::now() + connectTimeout);
    const bool isChanged = recordCheck(state.reach, probes->tried, probes->succeeded, Clock::now());
    if (isChanged)
        logEvent(LogLevel::Info, state.reach.isCutOff ? "pool-cut-off" : "pool-reached-again",
            { { "pool", pool.value() }, { "servers_tried", std::to_string(probes->tried) } });
    if (isChanged && state.reach.isCutOff) {
        this->cuts.add();
        this->startAsking(pool);
        asio::co_spawn(this->context.loop(), this->watch(pool), asio::detached);
    }
    state.isChecking = false;
    state.changed.notify();
}

/// Looks for VMs that carry requests, and for the end of the cut.
asio::awaitable<void> ServerReach::watch(PoolName pool)
{
    auto& state = this->stateOf(pool);
    while (state.reach.isCutOff) {
        const bool isDue = state.carriers.empty() || Clock::now() - state.askedAt >= carrierRefreshInterval;
        if (isDue && !state.isAsking)
            this->startAsking(pool);
        co_await pauseFor(recheckInterval);
        co_await this->check(pool, serversTriedAgain);
    }
    state.carriers.clear();
}

void ServerReach::startAsking(const PoolName& pool)
{
    auto& state = this->stateOf(pool);
    state.isAsking = true;
    state.askedAt = Clock::now();
    asio::co_spawn(this->context.loop(), this->askPeers(pool), asio::detached);
}

asio::awaitable<void> ServerReach::askPeers(PoolName pool)
{
    auto& state = this->stateOf(pool);
    const auto asked = this->peers.candidates(maxPeersAsked);
    const auto answers = std::make_shared<Probes>(this->context.loop(), asked.size());
    for (const auto& peer : asked)
        asio::co_spawn(this->context.loop(), this->askPeer(peer, pool, answers), asio::detached);
    while (answers->pending > 0)
        co_await answers->changed.waitUntil(Clock::now() + answerTimeout);
    logEvent(LogLevel::Info, "carriers-found",
        { { "pool", pool.value() }, { "asked", std::to_string(answers->tried) },
            { "reached", std::to_string(answers->succeeded) } });
    state.carriers = answers->carriers;
    state.isAsking = false;
    state.changed.notify();
}

asio::awaitable<void> ServerReach::askPeer(PeerRecord peer, PoolName pool, std::shared_ptr<Probes> answers)
{
    HttpRequest request;
    request.method = "GET";
    request.target = std::string(serverReachPath) + "?pool=" + pool.value();
    const auto answered
        = co_await this->context.httpClient.call(peer.endpoint, std::move(request), Clock::now() + answerTimeout);
    --answers->pending;
    if (answered && answered.value().body == reachedBody) {
        auto& state = this->stateOf(pool);
        ++answers->succeeded;
        answers->carriers.push_back(peer);
        // Requests that wait need not wait for the others.
        if (state.carriers.empty())
            state.carriers.push_back(peer);
        state.changed.notify();
    }
    answers->changed.notify();
}

asio::awaitable<std::vector<PeerRecord>> ServerReach::carriers(PoolName pool)
{
    auto& state = this->stateOf(pool);
    const auto end = Clock::now() + answerTimeout;
    while (state.carriers.empty() && state.isAsking && Clock::now() < end)
        co_await state.changed.waitUntil(end);
    auto found = state.carriers;
    for (std::size_t index = found.size(); index > 1; --index)
        std::swap(found[index - 1], found[this->context.random.below(index)]);
    co_return found;
}

void ServerReach::dropCarrier(const PoolName& pool, const VmName& vm)
{
    std::erase_if(this->stateOf(pool).carriers, [&vm](const PeerRecord& peer) { return peer.vm.name == vm; });
}

asio::awaitable<HttpResponse> ServerReach::answer(HttpRequest request)
{
    const PoolName pool(queryParameter(request.target, "pool"));
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain" });
    // A VM that leaves carries nothing more, nor does one that knows no server of the pool.
    if (this->context.isDraining || this->servers.someEndpoints(pool, 1).empty()) {
        response.body = std::string(cutOffBody);
        co_return response;
    }
    const bool isKnownReached = this->servers.hasAnsweredSince(pool, Clock::now() - recentAnswer);
    if (!this->isCutOff(pool) && !isKnownReached)
        co_await this->check(pool, maxServersTried);
    response.body = std::string(this->isCutOff(pool) ? cutOffBody : reachedBody);
    co_return response;
}

json::value ServerReach::dump() const
{
    json::array list;
    for (const auto& [pool, state] : this->states) {
        if (!state->reach.isCutOff)
            continue;
        json::array carriers;
        for (const auto& carrier : state->carriers)
            carriers.emplace_back(carrier.vm.name.value());
        list.push_back(json::object { { "pool", pool.value() }, { "carriers", std::move(carriers) } });
    }
    return list;
}

} // namespace topaztack
