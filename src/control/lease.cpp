// The transition table below has more rows than an MPL vector holds by default.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40

#include <topaztack/control/lease.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <deque>

namespace topaztack {

namespace msm = boost::msm;

namespace {

    constexpr std::size_t maxSentOperations = 8;

    /// A write that was sent and may have taken effect; identifies the row's last write when it is read back.
    struct SentOperation {
        OperationId operation;
        TimePoint sentAt;
    };

    /// Data of the state machine besides its state.
    struct LeaseContext {
        VmIdentity self;
        LeaseTiming timing;
        LeasePhase phase { LeasePhase::Idle };
        bool isWanted { false };
        bool isReading { false };
        /// The row as last read or written, and when this VM first observed that version.
        bool isKnown { false };
        RowVersion version;
        std::optional<LeaseRow> row;
        TimePoint changeObservedAt;
        std::deque<SentOperation> sentOperations;
        /// The row of the outstanding commit.
        LeaseRow written;
        FencingNumber number;
        TimePoint heldUntil;
        TimePoint renewAt;
        TimePoint readAt;
        TimePoint releaseAt;
    };

    struct WantedChanged { };
    struct RowRead {
        RowVersion version;
        std::optional<LeaseRow> row;
        TimePoint now;
        Duration jitter;
    };
    struct AcquisitionSent { };
    struct RenewalSent { };
    struct ReleaseSent { };
    struct Committed {
        TimePoint now;
        std::optional<RowVersion> version;
    };
    struct Conflicted {
        TimePoint now;
    };
    struct ResponseLost {
        TimePoint now;
    };
    struct Refused {
        TimePoint now;
        Duration jitter;
    };

    bool isOwnRow(const LeaseContext& context, const std::optional<LeaseRow>& row)
    {
        return row && row->holder == context.self && !row->isReleased;
    }

    void recordRow(LeaseContext& context, RowVersion version, const std::optional<LeaseRow>& row, TimePoint now)
    {
        if (!context.isKnown || context.version != version)
            context.changeObservedAt = now;
        context.isKnown = true;
        context.version = version;
        context.row = row;
    }

    /// Measures the lease from before the row's last write was sent. If that write is not among the remembered ones,
    /// the lease is not considered held and is renewed immediately.
    void setTermFromRow(LeaseContext& context)
    {
        context.number = context.row->number;
        context.heldUntil = TimePoint {};
        context.renewAt = TimePoint {};
        for (const auto& sent : context.sentOperations) {
            if (sent.operation != context.row->operation)
                continue;
            context.heldUntil = sent.sentAt + context.row->duration - context.timing.driftMargin;
            context.renewAt = sent.sentAt + context.timing.renewInterval;
        }
    }

    template <LeasePhase phase> struct PhaseState : msm::front::state<> {
        template <typename Event, typename Machine> void on_entry(const Event&, Machine& machine)
        {
            machine.context.phase = phase;
        }
    };

    struct IsWanted {
        template <typename Event, typename Machine, typename From, typename To>
        bool operator()(const Event&, Machine& machine, From&, To&) const
        {
            return machine.context.isWanted;
        }
    };

    struct IsNotWanted {
        template <typename Event, typename Machine, typename From, typename To>
        bool operator()(const Event&, Machine& machine, From&, To&) const
        {
            return !machine.context.isWanted;
        }
    };

    struct IsOwnRow {
        template <typename Machine, typename From, typename To>
        bool operator()(const RowRead& event, Machine& machine, From&, To&) const
        {
            return isOwnRow(machine.context, event.row);
        }
    };

    /// Records the row that was read and schedules the next read after the watch interval.
    struct RecordRow {
        template <typename Machine, typename From, typename To>
        void operator()(const RowRead& event, Machine& machine, From&, To&) const
        {
            recordRow(machine.context, event.version, event.row, event.now);
            machine.context.readAt = event.now + machine.context.timing.watchInterval + event.jitter;
        }
    };

    /// This process no longer holds the lease.
    struct LoseLease {
        template <typename Machine, typename From, typename To>
        void operator()(const RowRead& event, Machine& machine, From& from, To& to) const
        {
            machine.context.heldUntil = TimePoint {};
            machine.context.sentOperations.clear();
            RecordRow {}(event, machine, from, to);
        }
    };

    /// The row names this process as the holder.
    struct AdoptRow {
        template <typename Machine, typename From, typename To>
        void operator()(const RowRead& event, Machine& machine, From&, To&) const
        {
            recordRow(machine.context, event.version, event.row, event.now);
            setTermFromRow(machine.context);
        }
    };

    /// The write was acknowledged. If the table did not return the new version, it is assumed to be one higher.
    struct ConfirmWrite {
        template <typename Machine, typename From, typename To>
        void operator()(const Committed& event, Machine& machine, From&, To&) const
        {
            auto& context = machine.context;
            const auto next = event.version.value_or(RowVersion(context.version.value() + 1));
            recordRow(context, next, context.written, event.now);
            setTermFromRow(context);
        }
    };

    /// The outcome of the write is unknown until the row is read.
    struct ReadImmediately {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event& event, Machine& machine, From&, To&) const
        {
            machine.context.readAt = event.now;
        }
    };

    /// The row changed while this process held the lease: it is not considered held until the row has been read.
    struct SuspendLease {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event& event, Machine& machine, From&, To&) const
        {
            machine.context.heldUntil = TimePoint {};
            machine.context.readAt = event.now;
        }
    };

    struct RetryLater {
        template <typename Machine, typename From, typename To>
        void operator()(const Refused& event, Machine& machine, From&, To&) const
        {
            const auto next = event.now + machine.context.timing.retryAfter + event.jitter;
            machine.context.renewAt = next;
            machine.context.readAt = next;
            machine.context.releaseAt = next;
        }
    };

    /// Ends holding the lease and forgets the row.
    struct ResetLease {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            machine.context.heldUntil = TimePoint {};
            machine.context.isKnown = false;
            machine.context.readAt = TimePoint {};
        }
    };

    struct Definition : msm::front::state_machine_def<Definition> {
        using Idle = PhaseState<LeasePhase::Idle>;
        using Unread = PhaseState<LeasePhase::Unread>;
        using Watching = PhaseState<LeasePhase::Watching>;
        using Acquiring = PhaseState<LeasePhase::Acquiring>;
        using AcquisitionUnknown = PhaseState<LeasePhase::AcquisitionUnknown>;
        using Held = PhaseState<LeasePhase::Held>;
        using Renewing = PhaseState<LeasePhase::Renewing>;
        using RenewalUnknown = PhaseState<LeasePhase::RenewalUnknown>;
        using Releasing = PhaseState<LeasePhase::Releasing>;
        using initial_state = Idle;

        template <typename From, typename Event, typename To, typename Action = msm::front::none,
            typename Guard = msm::front::none>
        using Row = msm::front::Row<From, Event, To, Action, Guard>;

        // Of two rows with the same state and event, the guard of the lower one is evaluated first.
        // clang-format off
        // NOLINTNEXTLINE(readability-identifier-naming): MSM looks for this name
        struct transition_table : boost::mpl::vector<
            //  from                event            to                  action           guard
            Row<Idle,               WantedChanged,   Unread,             ResetLease,      IsWanted>,
            Row<Unread,             WantedChanged,   Idle,               ResetLease,      IsNotWanted>,
            Row<Unread,             RowRead,         Watching,           RecordRow>,
            Row<Unread,             RowRead,         Held,               AdoptRow,        IsOwnRow>,
            Row<Watching,           WantedChanged,   Idle,               ResetLease,      IsNotWanted>,
            Row<Watching,           RowRead,         Watching,           RecordRow>,
            Row<Watching,           RowRead,         Held,               AdoptRow,        IsOwnRow>,
            Row<Watching,           AcquisitionSent, Acquiring>,
            Row<Acquiring,          Committed,       Held,               ConfirmWrite>,
            Row<Acquiring,          Conflicted,      AcquisitionUnknown, ReadImmediately>,
            Row<Acquiring,          ResponseLost,      AcquisitionUnknown, ReadImmediately>,
            Row<Acquiring,          Refused,         AcquisitionUnknown, RetryLater>,
            Row<AcquisitionUnknown, RowRead,         Watching,           RecordRow>,
            Row<AcquisitionUnknown, RowRead,         Held,               AdoptRow,        IsOwnRow>,
            Row<Held,               RenewalSent,     Renewing>,
            Row<Held,               ReleaseSent,     Releasing>,
            Row<Renewing,           Committed,       Held,               ConfirmWrite>,
            Row<Renewing,           Conflicted,      RenewalUnknown,     SuspendLease>,
            Row<Renewing,           ResponseLost,      RenewalUnknown,     ReadImmediately>,
            Row<Renewing,           Refused,         Held,               RetryLater>,
            Row<RenewalUnknown,     RowRead,         Watching,           LoseLease>,
            Row<RenewalUnknown,     RowRead,         Held,               AdoptRow,        IsOwnRow>,
            Row<Releasing,          Committed,       Idle,               ResetLease>,
            Row<Releasing,          Conflicted,      Idle,               ResetLease>,
            Row<Releasing,          ResponseLost,      Idle,               ResetLease>,
            Row<Releasing,          Refused,         Held,               RetryLater>
        > { };
        // clang-format on

        template <typename Machine, typename Event> void no_transition(const Event&, Machine&, int) { }

        LeaseContext context;
    };

    Duration drawJitter(const LeaseTiming& timing, Random& random)
    {
        const auto range = std::chrono::duration_cast<std::chrono::microseconds>(timing.retryAfter).count();
        return std::chrono::microseconds(random.below(static_cast<std::uint64_t>(range)));
    }

    bool mayAcquire(const LeaseContext& context, TimePoint now)
    {
        if (!context.isKnown)
            return false;
        if (context.version.value() == 0)
            return true;
        if (!context.row)
            return false;
        return context.row->isReleased
            || now >= context.changeObservedAt + context.row->duration + context.timing.driftMargin;
    }

    LeaseStep readIfDue(const LeaseContext& context, TimePoint now)
    {
        return now >= context.readAt ? LeaseStep::Read : LeaseStep::None;
    }

    void recordSentOperation(LeaseContext& context, const OperationId& operation, TimePoint sentAt)
    {
        context.sentOperations.push_back({ operation, sentAt });
        if (context.sentOperations.size() > maxSentOperations)
            context.sentOperations.pop_front();
    }

} // namespace

struct LeaseContender::Machine : msm::back::state_machine<Definition> { };

LeaseContender::LeaseContender(VmIdentity self, LeaseTiming timing)
    : machine(std::make_unique<Machine>())
{
    this->machine->context.self = std::move(self);
    this->machine->context.timing = timing;
    this->machine->start();
}

LeaseContender::~LeaseContender() = default;
LeaseContender::LeaseContender(LeaseContender&&) noexcept = default;
LeaseContender& LeaseContender::operator=(LeaseContender&&) noexcept = default;

void LeaseContender::want()
{
    this->machine->context.isWanted = true;
    this->machine->process_event(WantedChanged {});
}

void LeaseContender::unwant()
{
    this->machine->context.isWanted = false;
    this->machine->process_event(WantedChanged {});
}

LeaseStep LeaseContender::due(TimePoint now) const
{
    const auto& context = this->machine->context;
    if (context.isReading)
        return LeaseStep::None;
    switch (context.phase) {
    case LeasePhase::Unread:
    case LeasePhase::AcquisitionUnknown:
    case LeasePhase::RenewalUnknown:
        return readIfDue(context, now);
    case LeasePhase::Watching:
        return mayAcquire(context, now) ? LeaseStep::Acquire : readIfDue(context, now);
    case LeasePhase::Held:
        if (!context.isWanted)
            return now >= context.releaseAt ? LeaseStep::Release : LeaseStep::None;
        return now >= context.renewAt ? LeaseStep::Renew : LeaseStep::None;
    case LeasePhase::Idle:
    case LeasePhase::Acquiring:
    case LeasePhase::Renewing:
    case LeasePhase::Releasing:
        break;
    }
    return LeaseStep::None;
}

void LeaseContender::beginRead() { this->machine->context.isReading = true; }

LeaseWrite LeaseContender::beginCommit(LeaseStep step, const OperationId& operation, TimePoint sentAt)
{
    auto& context = this->machine->context;
    const auto lastNumber = context.row ? context.row->number.value() : 0;
    const auto number = step == LeaseStep::Acquire ? lastNumber + 1 : context.number.value();
    context.written
        = { context.self, FencingNumber(number), context.timing.duration, operation, step == LeaseStep::Release };
    recordSentOperation(context, operation, sentAt);
    LeaseWrite write { context.version, context.written };
    if (step == LeaseStep::Acquire)
        this->machine->process_event(AcquisitionSent {});
    else if (step == LeaseStep::Renew)
        this->machine->process_event(RenewalSent {});
    else
        this->machine->process_event(ReleaseSent {});
    return write;
}

void LeaseContender::onRow(RowVersion version, const std::optional<LeaseRow>& row, TimePoint now, Random& random)
{
    auto& context = this->machine->context;
    context.isReading = false;
    this->machine->process_event(RowRead { version, row, now, drawJitter(context.timing, random) });
    this->machine->process_event(WantedChanged {});
}

void LeaseContender::onReadFailed(TimePoint now, Random& random)
{
    auto& context = this->machine->context;
    context.isReading = false;
    context.readAt = now + context.timing.retryAfter + drawJitter(context.timing, random);
}

void LeaseContender::onCommit(CommitOutcome outcome, TimePoint now, Random& random, std::optional<RowVersion> written)
{
    switch (outcome) {
    case CommitOutcome::Committed:
        this->machine->process_event(Committed { now, written });
        break;
    case CommitOutcome::Conflict:
        this->machine->process_event(Conflicted { now });
        break;
    case CommitOutcome::Ambiguous:
        this->machine->process_event(ResponseLost { now });
        break;
    case CommitOutcome::Refused:
        this->machine->process_event(Refused { now, drawJitter(this->machine->context.timing, random) });
        break;
    }
    this->machine->process_event(WantedChanged {});
}

std::optional<FencingNumber> LeaseContender::held(TimePoint now) const
{
    const auto& context = this->machine->context;
    if (!context.isWanted || now >= context.heldUntil)
        return std::nullopt;
    return context.number;
}

TimePoint LeaseContender::heldUntil() const
{
    return this->machine->context.isWanted ? this->machine->context.heldUntil : TimePoint {};
}

FencingNumber LeaseContender::number() const { return this->machine->context.number; }

LeasePhase LeaseContender::phase() const { return this->machine->context.phase; }

} // namespace topaztack
