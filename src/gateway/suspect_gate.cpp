#include "suspect_gate.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// Pause before servers that are reserved for other requests are tried again.
    constexpr Duration reservationPause = 20ms;
    /// Servers that crashed are back after some seconds.
    constexpr std::chrono::milliseconds unsparedRetryAfter = 1000ms;

} // namespace

SuspectGate::SuspectGate(GatewayContext& context, ServerTable& servers, CrashRecords& crashes)
    : context(context)
    , servers(servers)
    , crashes(crashes)
    , heldRefusals(context.metrics.counter(
          "topaztack_held_requests_refused_total", "Requests refused since they crash the servers that run them"))
    , suspectRefusals(context.metrics.counter("topaztack_suspected_requests_refused_total",
          "Requests refused since servers ended under them and no further server can be spared"))
{
}

SuspectGate::Entry SuspectGate::refuse(SuspectPass& pass, std::string message, std::chrono::milliseconds retryAfter)
{
    pass.retryAfter = retryAfter;
    Entry entry;
    entry.refusal = makeError(ErrorKind::RequestHeld, std::move(message));
    return entry;
}

asio::awaitable<SuspectGate::Entry> SuspectGate::enter(
    SuspectPass& pass, ServerRequirements& requirements, TimePoint waitUntil)
{
    pass.retryAfter.reset();
    requirements.reserved.clear();
    const auto verdict = this->crashes.verdict(pass.content);
    if (verdict == CrashVerdict::Held) {
        this->heldRefusals.add();
        co_return refuse(pass, "the request crashed the backend servers that ran it",
            toMilliseconds(this->crashes.timeHeld(pass.content)));
    }
    if (verdict == CrashVerdict::Suspected)
        co_return co_await this->enterAlone(pass, requirements, waitUntil);
    Entry entry;
    entry.server = this->servers.acquire(requirements);
    co_return entry;
}

/// Chooses a server where no other suspected request of any VM runs.
asio::awaitable<SuspectGate::Entry> SuspectGate::enterAlone(
    SuspectPass& pass, ServerRequirements& requirements, TimePoint waitUntil)
{
    while (true) {
        if (!this->servers.canSpareServer(requirements.pool)) {
            this->suspectRefusals.add();
            co_return refuse(pass, "a backend server ended while it ran the request, and the pool can't spare another",
                unsparedRetryAfter);
        }
        Entry entry;
        entry.server = this->servers.acquire(requirements);
        if (!entry.server && (requirements.reserved.empty() || Clock::now() >= waitUntil))
            co_return entry;
        if (!entry.server) {
            requirements.reserved.clear();
            co_await pauseFor(reservationPause);
            continue;
        }
        const ServerStart start { entry.server->name, entry.server->startedAt };
        const auto reservation = co_await this->crashes.reserve(start);
        if (reservation != Reservation::Taken) {
            pass.server = start;
            pass.isReserved = reservation == Reservation::Made;
            this->servers.setRisk(start.name, true);
            co_return entry;
        }
        this->servers.finish(*entry.server, ServerOutcome::Cancelled, requirements);
        requirements.reserved.insert(start.name);
    }
}

void SuspectGate::release(SuspectPass& pass)
{
    if (!pass.server)
        return;
    this->servers.setRisk(pass.server->name, false);
    if (pass.isReserved)
        this->crashes.release(*pass.server);
    pass.server.reset();
    pass.isReserved = false;
}

asio::awaitable<void> SuspectGate::recordBreak(SuspectPass& pass, ServerRecord server)
{
    const bool wasAlone = pass.isReserved;
    if (co_await this->servers.hasEnded(server))
        this->crashes.recordEnd(pass.content, server, wasAlone);
}

asio::awaitable<void> SuspectGate::leave(SuspectPass& pass)
{
    this->release(pass);
    co_await this->crashes.waitUntilTold(pass.content);
}

} // namespace topaztack
