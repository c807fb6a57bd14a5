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

    constexpr Duration stepInterval = 50ms;
    /// Orders are sent only within this time after a renewal was sent, so that the last order of a holder that stopped
    /// renewing was sent at most this long after the last change of the row.
    constexpr Duration orderWindow = 600ms;
    /// Added to the silence between the orders of two holders, because an order takes time to arrive.
    constexpr Duration orderTransitTime = 200ms;

    /// A VM with this many cores or more plans the loads of thousands of engines without falling behind. Weaker VMs
    /// compete for the lease later: at their start, and after its holder has stopped renewing.
    constexpr double strongVmCores = 0.25;
    constexpr Duration weakVmDelay = 2s;

    /// The lease is short because trainers notice within seconds that a dead holder sends no orders.
    LeaseTiming leaseTiming(double processor)
    {
        LeaseTiming timing;
        timing.duration = 1500ms;
        timing.renewInterval = 250ms;
        timing.watchInterval = 400ms;
        timing.driftMargin = processor >= strongVmCores ? 150ms : 550ms;
        timing.retryAfter = 100ms;
        return timing;
    }

    StoreRowKey leaseKey() { return { "leases", "", "engine-orders" }; }

    StoreRange leaseRange()
    {
        StoreRange range;
        range.table = leaseKey().table;
        range.part = leaseKey().part;
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

void OrderLease::start() { asio::co_spawn(this->context.loop(), this->run(), asio::detached); }

asio::awaitable<void> OrderLease::run()
{
    if (this->context.settings.gateway.processor() < strongVmCores)
        co_await pauseFor(weakVmDelay);
    if (!this->context.isDraining)
        this->holder.want();
    while (true) {
        co_await this->step();
        this->updateHeldNumber();
        co_await pauseFor(stepInterval);
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
        if (each.place.key != leaseKey().key)
            continue;
        version = each.version;
        row = parseLeaseRow(each.value);
    }
    this->isFirstHolder = version.value() == 0;
    if (version != this->seenVersion && row && row->holder != this->context.identity)
        this->changedByOtherAt = now;
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
    transaction.conditions.push_back({ leaseKey(), write.condition });
    transaction.writes.push_back({ leaseKey(), toText(write.row) });
    const auto committed = co_await this->context.store.commit(std::move(transaction));
    const auto outcome = toOutcome(committed);
    std::optional<RowVersion> written;
    if (outcome == CommitOutcome::Committed)
        written = committed.value().version;
    if (written && due != LeaseStep::Release)
        this->renewalSentAt = sentAt;
    this->holder.onCommit(outcome, timeWithSuspension(), this->context.random, written);
}

void OrderLease::updateHeldNumber()
{
    const auto now = timeWithSuspension();
    const auto held = this->holder.held(now);
    if (held == this->number)
        return;
    if (held) {
        logEvent(LogLevel::Info, "order-lease-held",
            { { "number", std::to_string(held->value()) }, { "first", this->isFirstHolder ? "1" : "0" } });
    } else {
        logEvent(LogLevel::Info, "order-lease-lost", { { "number", std::to_string(this->number->value()) } });
    }
    this->number = held;
}

std::optional<FencingNumber> OrderLease::fencingNumberForOrder() const
{
    const auto now = timeWithSuspension();
    const auto held = this->holder.held(now);
    if (!held || held != this->number)
        return std::nullopt;
    const auto silence = orderWindow + Duration(this->context.settings.gateway.orderSilence) + orderTransitTime;
    const bool isSilent = this->isFirstHolder || now - this->changedByOtherAt >= silence;
    const bool isFresh = now - this->renewalSentAt < orderWindow;
    return isSilent && isFresh ? held : std::nullopt;
}

asio::awaitable<void> OrderLease::release(TimePoint deadline)
{
    this->holder.unwant();
    while (this->holder.phase() != LeasePhase::Idle && Clock::now() < deadline)
        co_await pauseFor(stepInterval);
}

json::value OrderLease::dump() const
{
    return json::object { { "phase", phaseName(this->holder.phase()) }, { "held", this->number.has_value() },
        { "number", this->holder.number().value() } };
}

} // namespace topaztack
