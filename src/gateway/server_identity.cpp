#include "server_identity.hpp"

#include <topaztack/base/log.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr Duration askTimeout = 150ms;
    /// Pause between two questions to a server.
    constexpr Duration minInterval = 100ms;
    constexpr Duration checkTimeout = 2 * (askTimeout + minInterval);
    constexpr Duration retention = 60s;

} // namespace

ServerIdentity::ServerIdentity(GatewayContext& context)
    : context(context)
    , questions(context.metrics.counter("topaztack_server_identity_checks_total",
          "Questions to servers whether they are the process of their record"))
    , others(context.metrics.counter(
          "topaztack_server_identity_changes_total", "Servers found to be another process than that of their record"))
{
}

std::shared_ptr<ServerIdentity::State> ServerIdentity::stateOf(const ServerRecord& server)
{
    const ServerStart start { server.name, server.startedAt };
    const auto found = this->states.find(start);
    if (found != this->states.end())
        return found->second;
    const auto oldest = Clock::now() - retention;
    std::erase_if(this->states,
        [oldest](const auto& known) { return !known.second->isAsking && known.second->askedAt < oldest; });
    return this->states[start] = std::make_shared<State>(this->context.loop());
}

asio::awaitable<IdentityCheck> ServerIdentity::check(ServerRecord server)
{
    if (server.startedAt == 0ms)
        co_return IdentityCheck::Same;
    const auto calledAt = Clock::now();
    const auto end = calledAt + checkTimeout;
    const auto state = this->stateOf(server);
    while (state->askedAt < calledAt && Clock::now() < end) {
        if (state->isAsking) {
            co_await state->answered.waitUntil(end);
            continue;
        }
        state->isAsking = true;
        co_await pauseFor(std::max<Duration>(Duration(0), state->askedAt + minInterval - Clock::now()));
        const auto askedAt = Clock::now();
        state->result = co_await this->ask(server);
        state->askedAt = askedAt;
        state->isAsking = false;
        state->answered.notify();
    }
    co_return state->askedAt < calledAt ? IdentityCheck::Unknown : state->result;
}

asio::awaitable<IdentityCheck> ServerIdentity::ask(ServerRecord server)
{
    this->questions.add();
    const auto& protocol = this->context.protocol;
    auto query = protocol.encodeReportQuery(server);
    const auto answered
        = co_await this->context.httpClient.call(server.endpoint, std::move(query), Clock::now() + askTimeout);
    if (!answered)
        co_return IdentityCheck::Unknown;
    const auto report = protocol.decodeReport(answered.value());
    const bool isOther = protocol.decodeAnswer(answered.value()).isOtherServer
        || (report && report.value().startedAt > 0ms && report.value().startedAt != server.startedAt);
    if (!isOther)
        co_return IdentityCheck::Same;
    this->others.add();
    logEvent(LogLevel::Warning, "server-is-another",
        { { "server", server.name.value() }, { "pool", server.pool.value() }, { "address", toText(server.endpoint) },
            { "software", server.softwareVersion }, { "started_ms", std::to_string(server.startedAt.count()) },
            { "reported_ms", std::to_string(report ? report.value().startedAt.count() : 0) } });
    co_return IdentityCheck::Other;
}

} // namespace topaztack
