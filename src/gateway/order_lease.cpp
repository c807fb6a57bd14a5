#include "order_lease.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr Duration tick = 50ms;
    /// Orders are given only for this long after a renewal was sent: so the last order of a holder that fell silent is
    /// known to lie at most this long after the last change of the row.
    constexpr Duration orderWindow = 600ms;
    /// Added to the silence between two holders' orders: an order is under way for a while.
    constexpr Duration orderSlack = 200ms;

    /// Cores from which on a VM plans the loads of thousands of engines without falling behind. Weaker ones ask for the
    /// lease later than strong ones do: at their start, and when its holder has fallen silent.
    constexpr double strongVm = 0.25;
    constexpr Duration weakVmDelay = 2s;

    /// A dead holder's orders are missed by the trainers within seconds: the lease is short.
    LeaseTiming leaseTiming(double processor)
    {
        LeaseTiming timing;
        timing.duration = 1500ms;
        timing.renewInterval = 250ms;
        timing.watchInterval = 400ms;
        timing.driftMargin = processor >= strongVm ? 150ms : 550ms;
        timing.retryAfter = 100ms;
        return timing;
    }

    StoreRowKey leasePlace() { return { "leases", "", "engine-orders" }; }

    StoreRange leaseRange()
    {
        StoreRange range;
        range.table = leasePlace().table;
        range.part = leasePlace().part;
        return range;
    }

    CommitOutcome toOutcome(const Result<StoreCommit>& commit)
    {
        if (!commit)
            return commit.error().kind == ErrorKind::PlatformAmbiguous ? CommitOutcome::Ambiguous
                                                                       : CommitOutcome::Refused;
        return commit.value().isCommitted ? CommitOutcome::Committed : CommitOutcome::Conflict;
    }

} // namespace

OrderLease::OrderLease(GatewayContext& context)
    : context(context)
    , holder(context.identity, leaseTiming(context.settings.gateway.processor()))
{
}

void OrderLease::start() { asio::co_spawn(this->context.loop(), this->keep(), asio::detached); }

asio::awaitable<void> OrderLease::keep()
{
    if (this->context.settings.gateway.processor() < strongVm)
        co_await pauseFor(weakVmDelay);
    if (!this->context.isDraining)
        this->holder.want();
    while (true) {
        co_await this->step();
        this->noteHeld();
        co_await pauseFor(tick);
    }
}

asio::awaitable<void> OrderLease::step()
{
    const auto due = this->holder.due(timeWithSuspension());
    if (due == LeaseStep::Read)
        co_await this->read();
    else if (due != LeaseStep::None)
        co_await this->commit(due);
}

asio::awaitable<void> OrderLease::read()
{
    this->holder.beginRead();
    const auto rows = co_await this->context.store.readPage(leaseRange());
    const auto now = timeWithSuspension();
    if (!rows) {
        this->holder.onReadFailed(now, this->context.random);
        co_return;
    }
    RowVersion version;
    std::optional<LeaseRow> row;
    for (const auto& each : rows.value().rows) {
        if (each.place.key != leasePlace().key)
            continue;
        version = each.version;
        row = parseLeaseRow(each.value);
    }
    this->isFirst = version.value() == 0;
    if (version != this->seenVersion && row && row->holder != this->context.identity)
        this->foreignChangeAt = now;
    this->seenVersion = version;
    this->holder.onRow(version, row, now, this->context.random);
}

asio::awaitable<void> OrderLease::commit(LeaseStep due)
{
    const OperationId operation(
        toHex(this->context.identity.incarnation.value()) + "-" + std::to_string(++this->operations));
    const auto sentAt = timeWithSuspension();
    const auto write = this->holder.beginCommit(due, operation, sentAt);
    StoreTransaction transaction;
    transaction.conditions.push_back({ leasePlace(), write.condition });
    transaction.writes.push_back({ leasePlace(), toText(write.row) });
    const auto committed = co_await this->context.store.commit(std::move(transaction));
    const auto outcome = toOutcome(committed);
    std::optional<RowVersion> written;
    if (outcome == CommitOutcome::Committed)
        written = committed.value().version;
    if (written && due != LeaseStep::Release)
        this->renewedAt = sentAt;
    this->holder.onCommit(outcome, timeWithSuspension(), this->context.random, written);
}

void OrderLease::noteHeld()
{
    const auto now = timeWithSuspension();
    const auto held = this->holder.held(now);
    if (held == this->number)
        return;
    if (held) {
        logEvent(LogLevel::Info, "order-lease-held",
            { { "number", std::to_string(held->value()) }, { "first", this->isFirst ? "1" : "0" } });
    } else {
        logEvent(LogLevel::Info, "order-lease-lost", { { "number", std::to_string(this->number->value()) } });
    }
    this->number = held;
}

std::optional<FencingNumber> OrderLease::mayOrder() const
{
    const auto now = timeWithSuspension();
    const auto held = this->holder.held(now);
    if (!held || held != this->number)
        return std::nullopt;
    const auto silence = orderWindow + Duration(this->context.settings.gateway.orderSilence) + orderSlack;
    const bool isSilent = this->isFirst || now - this->foreignChangeAt >= silence;
    const bool isFresh = now - this->renewedAt < orderWindow;
    return isSilent && isFresh ? held : std::nullopt;
}

asio::awaitable<void> OrderLease::release(TimePoint deadline)
{
    this->holder.unwant();
    while (this->holder.phase() != LeasePhase::Idle && Clock::now() < deadline)
        co_await pauseFor(tick);
}

json::value OrderLease::dump() const
{
    return json::object { { "phase", phaseName(this->holder.phase()) }, { "held", this->number.has_value() },
        { "number", this->holder.number().value() } };
}

} // namespace topaztack
