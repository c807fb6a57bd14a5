#include "duty_lease.hpp"

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

    constexpr Duration stepInterval = 50ms;
    /// The clocks drift apart by much less than this between two checks.
    constexpr Duration minSuspension = 20ms;
    /// A check of the clocks that comes this late means that the process was stopped: weak VMs delay their event loop
    /// by less.
    constexpr Duration maxCheckDelay = 500ms;

    /// A VM with this many cores or more carries out the duties of thousands of servers without falling behind. Weaker
    /// VMs compete for the lease later: at their start, and after its holder has stopped renewing.
    constexpr double strongVmCores = 0.25;
    constexpr Duration weakVmDelay = 2s;

    /// Reads of 350 VMs at the usual interval would take a seventh of the store's rate.
    constexpr Duration slowWatchInterval = 4s;

    /// The lease is short because trainers notice within seconds that a dead holder sends no orders.
    LeaseTiming leaseTiming(std::chrono::milliseconds watchInterval, double processor)
    {
        LeaseTiming timing;
        timing.duration = 1500ms;
        timing.renewInterval = 250ms;
        timing.watchInterval = watchInterval;
        timing.driftMargin = processor >= strongVmCores ? 150ms : 550ms;
        timing.retryAfter = 100ms;
        return timing;
    }

    StoreRange rangeOf(const StoreRowKey& row)
    {
        StoreRange range;
        range.table = row.table;
        range.part = row.part;
        return range;
    }

    CommitOutcome toOutcome(const Result<StoreCommit>& commit)
    {
        if (!commit)
            return commit.error().kind == ErrorKind::PlatformAmbiguous ? CommitOutcome::Ambiguous
                                                                       : CommitOutcome::Refused;
        return commit.value().isCommitted ? CommitOutcome::Committed : CommitOutcome::Conflict;
    }

    StoreRowKey leaseRow(std::string name) { return { "leases", "", std::move(name) }; }

} // namespace

DutyLeaseOptions orderLeaseOptions(const VmSettings& settings)
{
    DutyLeaseOptions options;
    options.row = leaseRow("engine-orders");
    options.logName = "order-lease";
    options.silence = settings.gateway.orderSilence;
    return options;
}

DutyLeaseOptions platformDutyLeaseOptions(const VmSettings& settings)
{
    DutyLeaseOptions options;
    options.row = leaseRow("platform-duties");
    options.logName = "duty-lease";
    options.silence = settings.duties.silence;
    options.transitTime = dutyCallTimeout;
    options.thawTime = settings.duties.thawTime;
    options.competes = settings.duties.reportsUsage || settings.duties.ordersServers;
    return options;
}

DutyLease::DutyLease(GatewayContext& context, DutyLeaseOptions options)
    : context(context)
    , options(std::move(options))
    , holder(context.identity, leaseTiming(this->options.watchInterval, context.settings.gateway.processor()))
{
}

void DutyLease::start()
{
    if (!this->options.competes)
        return;
    if (this->options.thawTime > 0ms)
        asio::co_spawn(this->context.loop(), this->watchSuspension(), asio::detached);
    asio::co_spawn(this->context.loop(), this->run(), asio::detached);
}

asio::awaitable<void> DutyLease::run()
{
    if (this->context.settings.gateway.processor() < strongVmCores)
        co_await pauseFor(weakVmDelay);
    while (true) {
        this->updateDemand();
        co_await this->step();
        this->updateHeldNumber();
        co_await pauseFor(stepInterval);
    }
}

void DutyLease::updateDemand()
{
    const bool wants = !this->isReleasing && !this->context.isDraining && timeWithSuspension() >= this->competesFrom;
    if (wants == this->isWanted)
        return;
    this->isWanted = wants;
    if (wants)
        this->holder.want();
    else
        this->holder.unwant();
}

asio::awaitable<void> DutyLease::watchSuspension()
{
    while (true) {
        const auto now = timeWithSuspension();
        const auto steadyNow = Clock::now();
        if (this->checkedAt != TimePoint {}) {
            const auto passed = now - this->checkedAt;
            const bool isSuspended = passed - (steadyNow - this->checkedSteadyAt) > minSuspension;
            if (isSuspended || passed > maxCheckDelay) {
                this->suspensionSeenAt = now;
                logEvent(LogLevel::Info, this->options.logName + "-suspension-seen",
                    { { "ms", std::to_string(toMilliseconds(passed).count()) } });
            }
        }
        this->checkedAt = now;
        this->checkedSteadyAt = steadyNow;
        co_await pauseFor(stepInterval);
    }
}

asio::awaitable<void> DutyLease::step()
{
    const auto now = timeWithSuspension();
    const auto due = this->holder.due(now);
    const bool isWatching = this->holder.phase() == LeasePhase::Watching;
    if (due == LeaseStep::Read && isWatching && now < this->watchesFrom)
        co_return;
    const bool isPreferred = due != LeaseStep::Read || !this->options.isPreferred || this->options.isPreferred();
    if (!isPreferred)
        this->watchesFrom = now + slowWatchInterval;
    if (due == LeaseStep::Read)
        co_await this->read();
    else if (due != LeaseStep::None)
        co_await this->commit(due);
}

asio::awaitable<void> DutyLease::read()
{
    this->holder.beginRead();
    const auto rows = co_await this->context.store.readPage(rangeOf(this->options.row));
    const auto now = timeWithSuspension();
    if (!rows) {
        this->holder.onReadFailed(now, this->context.random);
        co_return;
    }
    RowVersion version;
    std::optional<LeaseRow> row;
    for (const auto& each : rows.value().rows) {
        if (each.place.key != this->options.row.key)
            continue;
        version = each.version;
        row = parseLeaseRow(each.value);
    }
    this->isFirstHolder = version.value() == 0;
    if (version != this->seenVersion && row && row->holder != this->context.identity)
        this->changedByOtherAt = now;
    this->seenVersion = version;
    this->seenRow = row;
    this->holder.onRow(version, row, now, this->context.random);
}

asio::awaitable<void> DutyLease::commit(LeaseStep due)
{
    const OperationId operation(
        toHex(this->context.identity.incarnation.value()) + "-" + std::to_string(++this->operations));
    const auto sentAt = timeWithSuspension();
    const auto write = this->holder.beginCommit(due, operation, sentAt);
    StoreTransaction transaction;
    transaction.conditions.push_back({ this->options.row, write.condition });
    transaction.writes.push_back({ this->options.row, toText(write.row) });
    const auto committed = co_await this->context.store.commit(std::move(transaction));
    const auto outcome = toOutcome(committed);
    std::optional<RowVersion> written;
    if (outcome == CommitOutcome::Committed)
        written = committed.value().version;
    if (written && due != LeaseStep::Release)
        this->renewalSentAt = sentAt;
    this->holder.onCommit(outcome, timeWithSuspension(), this->context.random, written);
}

void DutyLease::updateHeldNumber()
{
    const auto now = timeWithSuspension();
    const auto held = this->holder.held(now);
    if (held == this->number)
        return;
    if (held) {
        logEvent(LogLevel::Info, this->options.logName + "-held",
            { { "number", std::to_string(held->value()) }, { "first", this->isFirstHolder ? "1" : "0" } });
    } else {
        logEvent(
            LogLevel::Info, this->options.logName + "-lost", { { "number", std::to_string(this->number->value()) } });
    }
    this->number = held;
}

/// After a stop of the process the event loop may run a call before it runs the check of the clocks.
bool DutyLease::isThawed(TimePoint now) const
{
    if (this->options.thawTime <= 0ms)
        return true;
    const auto passed = now - this->checkedAt;
    if (passed > maxCheckDelay || passed - (Clock::now() - this->checkedSteadyAt) > minSuspension)
        return false;
    return !this->suspensionSeenAt || now - *this->suspensionSeenAt >= this->options.thawTime;
}

std::optional<FencingNumber> DutyLease::fencingNumber() const
{
    const auto now = timeWithSuspension();
    const auto held = this->holder.held(now);
    if (!held || held != this->number)
        return std::nullopt;
    const auto silence = this->options.callWindow + this->options.silence + this->options.transitTime;
    const bool isSilent = this->isFirstHolder || now - this->changedByOtherAt >= silence;
    const bool isFresh = now - this->renewalSentAt < this->options.callWindow;
    return isSilent && isFresh && this->isThawed(now) ? held : std::nullopt;
}

std::optional<VmIdentity> DutyLease::knownHolder() const
{
    if (this->number)
        return this->context.identity;
    if (!this->seenRow || this->seenRow->isReleased || this->seenRow->holder == this->context.identity)
        return std::nullopt;
    return this->seenRow->holder;
}

void DutyLease::yieldFor(Duration time)
{
    this->competesFrom = std::max(this->competesFrom, timeWithSuspension() + time);
    this->updateDemand();
}

asio::awaitable<void> DutyLease::release(TimePoint deadline)
{
    this->isReleasing = true;
    this->updateDemand();
    while (this->holder.phase() != LeasePhase::Idle && Clock::now() < deadline)
        co_await pauseFor(stepInterval);
}

json::value DutyLease::dump() const
{
    return json::object { { "phase", phaseName(this->holder.phase()) }, { "held", this->number.has_value() },
        { "number", this->holder.number().value() } };
}

} // namespace topaztack
