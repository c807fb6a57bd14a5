// Boost.MSM's table below has more rows than the default limit of an MPL vector.
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

    constexpr std::size_t rememberedOperations = 8;

    /// A write that was sent and may have taken effect.
    struct SentOperation {
        OperationId operation;
        TimePoint sentAt;
    };

    /// What the automaton knows beside its state.
    struct LeaseFacts {
        VmIdentity self;
        LeaseTiming timing;
        LeasePhase phase { LeasePhase::Idle };
        bool isWanted { false };
        bool isReading { false };
        /// The row as last read or written, and when this VM saw that version first.
        bool isKnown { false };
        RowVersion version;
        std::optional<LeaseRow> row;
        TimePoint changedAt;
        std::deque<SentOperation> sent;
        LeaseRow written;
        FencingNumber number;
        TimePoint heldUntil;
        TimePoint renewAt;
        TimePoint readAt;
        TimePoint releaseAt;
    };

    struct WantChanged { };
    struct RowSeen {
        RowVersion version;
        std::optional<LeaseRow> row;
        TimePoint now;
        Duration jitter;
    };
    struct SentAcquisition { };
    struct SentRenewal { };
    struct SentRelease { };
    struct Committed {
        TimePoint now;
        std::optional<RowVersion> version;
    };
    struct Conflicted {
        TimePoint now;
    };
    struct Lost {
        TimePoint now;
    };
    struct Refused {
        TimePoint now;
        Duration jitter;
    };

    bool isOwn(const LeaseFacts& facts, const std::optional<LeaseRow>& row)
    {
        return row && row->holder == facts.self && !row->isReleased;
    }

    void noteRow(LeaseFacts& facts, RowVersion version, const std::optional<LeaseRow>& row, TimePoint now)
    {
        if (!facts.isKnown || facts.version != version)
            facts.changedAt = now;
        facts.isKnown = true;
        facts.version = version;
        facts.row = row;
    }

    /// Counts the lease from before the write that stands in the row was sent; an older, unknown write is renewed
    /// at once.
    void countFromRow(LeaseFacts& facts)
    {
        facts.number = facts.row->number;
        facts.heldUntil = TimePoint {};
        facts.renewAt = TimePoint {};
        for (const auto& sent : facts.sent) {
            if (sent.operation != facts.row->operation)
                continue;
            facts.heldUntil = sent.sentAt + facts.row->duration - facts.timing.driftMargin;
            facts.renewAt = sent.sentAt + facts.timing.renewInterval;
        }
    }

    template <LeasePhase phase> struct PhaseState : msm::front::state<> {
        template <typename Event, typename Machine> void on_entry(const Event&, Machine& machine)
        {
            machine.facts.phase = phase;
        }
    };

    struct IsWanted {
        template <typename Event, typename Machine, typename From, typename To>
        bool operator()(const Event&, Machine& machine, From&, To&) const
        {
            return machine.facts.isWanted;
        }
    };

    struct IsUnwanted {
        template <typename Event, typename Machine, typename From, typename To>
        bool operator()(const Event&, Machine& machine, From&, To&) const
        {
            return !machine.facts.isWanted;
        }
    };

    struct IsOwnRow {
        template <typename Machine, typename From, typename To>
        bool operator()(const RowSeen& event, Machine& machine, From&, To&) const
        {
            return isOwn(machine.facts, event.row);
        }
    };

    /// Remembers what was read; another's lease is read again after the watch interval.
    struct Note {
        template <typename Machine, typename From, typename To>
        void operator()(const RowSeen& event, Machine& machine, From&, To&) const
        {
            noteRow(machine.facts, event.version, event.row, event.now);
            machine.facts.readAt = event.now + machine.facts.timing.watchInterval + event.jitter;
        }
    };

    /// Another has the lease.
    struct Lose {
        template <typename Machine, typename From, typename To>
        void operator()(const RowSeen& event, Machine& machine, From& from, To& to) const
        {
            machine.facts.heldUntil = TimePoint {};
            machine.facts.sent.clear();
            Note {}(event, machine, from, to);
        }
    };

    /// The row says that this process holds the lease.
    struct Adopt {
        template <typename Machine, typename From, typename To>
        void operator()(const RowSeen& event, Machine& machine, From&, To&) const
        {
            noteRow(machine.facts, event.version, event.row, event.now);
            countFromRow(machine.facts);
        }
    };

    /// The write was acknowledged. A table that doesn't say the new version adds one with each write.
    struct Gain {
        template <typename Machine, typename From, typename To>
        void operator()(const Committed& event, Machine& machine, From&, To&) const
        {
            auto& facts = machine.facts;
            const auto next = event.version.value_or(RowVersion(facts.version.value() + 1));
            noteRow(facts, next, facts.written, event.now);
            countFromRow(facts);
        }
    };

    struct ReadAtOnce {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event& event, Machine& machine, From&, To&) const
        {
            machine.facts.readAt = event.now;
        }
    };

    /// The row changed while this process held it: nothing is sure until it was read.
    struct Doubt {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event& event, Machine& machine, From&, To&) const
        {
            machine.facts.heldUntil = TimePoint {};
            machine.facts.readAt = event.now;
        }
    };

    struct RetryLater {
        template <typename Machine, typename From, typename To>
        void operator()(const Refused& event, Machine& machine, From&, To&) const
        {
            const auto next = event.now + machine.facts.timing.retryAfter + event.jitter;
            machine.facts.renewAt = next;
            machine.facts.readAt = next;
            machine.facts.releaseAt = next;
        }
    };

    struct GiveUp {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            machine.facts.heldUntil = TimePoint {};
            machine.facts.isKnown = false;
            machine.facts.readAt = TimePoint {};
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

        // Of two rows with the same state and event, the lower one's guard is asked first.
        // clang-format off
        // NOLINTNEXTLINE(readability-identifier-naming): MSM looks for this name
        struct transition_table : boost::mpl::vector<
            //  from                event            to                  action       guard
            Row<Idle,               WantChanged,     Unread,             GiveUp,      IsWanted>,
            Row<Unread,             WantChanged,     Idle,               GiveUp,      IsUnwanted>,
            Row<Unread,             RowSeen,         Watching,           Note>,
            Row<Unread,             RowSeen,         Held,               Adopt,       IsOwnRow>,
            Row<Watching,           WantChanged,     Idle,               GiveUp,      IsUnwanted>,
            Row<Watching,           RowSeen,         Watching,           Note>,
            Row<Watching,           RowSeen,         Held,               Adopt,       IsOwnRow>,
            Row<Watching,           SentAcquisition, Acquiring>,
            Row<Acquiring,          Committed,       Held,               Gain>,
            Row<Acquiring,          Conflicted,      AcquisitionUnknown, ReadAtOnce>,
            Row<Acquiring,          Lost,            AcquisitionUnknown, ReadAtOnce>,
            Row<Acquiring,          Refused,         AcquisitionUnknown, RetryLater>,
            Row<AcquisitionUnknown, RowSeen,         Watching,           Note>,
            Row<AcquisitionUnknown, RowSeen,         Held,               Adopt,       IsOwnRow>,
            Row<Held,               SentRenewal,     Renewing>,
            Row<Held,               SentRelease,     Releasing>,
            Row<Renewing,           Committed,       Held,               Gain>,
            Row<Renewing,           Conflicted,      RenewalUnknown,     Doubt>,
            Row<Renewing,           Lost,            RenewalUnknown,     ReadAtOnce>,
            Row<Renewing,           Refused,         Held,               RetryLater>,
            Row<RenewalUnknown,     RowSeen,         Watching,           Lose>,
            Row<RenewalUnknown,     RowSeen,         Held,               Adopt,       IsOwnRow>,
            Row<Releasing,          Committed,       Idle,               GiveUp>,
            Row<Releasing,          Conflicted,      Idle,               GiveUp>,
            Row<Releasing,          Lost,            Idle,               GiveUp>,
            Row<Releasing,          Refused,         Held,               RetryLater>
        > { };
        // clang-format on

        template <typename Machine, typename Event> void no_transition(const Event&, Machine&, int) { }

        LeaseFacts facts;
    };

    Duration drawJitter(const LeaseTiming& timing, Random& random)
    {
        const auto spread = std::chrono::duration_cast<std::chrono::microseconds>(timing.retryAfter).count();
        return std::chrono::microseconds(random.below(static_cast<std::uint64_t>(spread)));
    }

    bool mayTake(const LeaseFacts& facts, TimePoint now)
    {
        if (!facts.isKnown)
            return false;
        if (facts.version.value() == 0)
            return true;
        if (!facts.row)
            return false;
        return facts.row->isReleased || now >= facts.changedAt + facts.row->duration + facts.timing.driftMargin;
    }

    LeaseStep readIfDue(const LeaseFacts& facts, TimePoint now)
    {
        return now >= facts.readAt ? LeaseStep::Read : LeaseStep::None;
    }

    void remember(LeaseFacts& facts, const OperationId& operation, TimePoint sentAt)
    {
        facts.sent.push_back({ operation, sentAt });
        if (facts.sent.size() > rememberedOperations)
            facts.sent.pop_front();
    }

} // namespace

struct LeaseContender::Machine : msm::back::state_machine<Definition> { };

LeaseContender::LeaseContender(VmIdentity self, LeaseTiming timing)
    : machine(std::make_unique<Machine>())
{
    this->machine->facts.self = std::move(self);
    this->machine->facts.timing = timing;
    this->machine->start();
}

LeaseContender::~LeaseContender() = default;
LeaseContender::LeaseContender(LeaseContender&&) noexcept = default;
LeaseContender& LeaseContender::operator=(LeaseContender&&) noexcept = default;

void LeaseContender::want()
{
    this->machine->facts.isWanted = true;
    this->machine->process_event(WantChanged {});
}

void LeaseContender::unwant()
{
    this->machine->facts.isWanted = false;
    this->machine->process_event(WantChanged {});
}

LeaseStep LeaseContender::due(TimePoint now) const
{
    const auto& facts = this->machine->facts;
    if (facts.isReading)
        return LeaseStep::None;
    switch (facts.phase) {
    case LeasePhase::Unread:
    case LeasePhase::AcquisitionUnknown:
    case LeasePhase::RenewalUnknown:
        return readIfDue(facts, now);
    case LeasePhase::Watching:
        return mayTake(facts, now) ? LeaseStep::Acquire : readIfDue(facts, now);
    case LeasePhase::Held:
        if (!facts.isWanted)
            return now >= facts.releaseAt ? LeaseStep::Release : LeaseStep::None;
        return now >= facts.renewAt ? LeaseStep::Renew : LeaseStep::None;
    case LeasePhase::Idle:
    case LeasePhase::Acquiring:
    case LeasePhase::Renewing:
    case LeasePhase::Releasing:
        break;
    }
    return LeaseStep::None;
}

void LeaseContender::beginRead() { this->machine->facts.isReading = true; }

LeaseWrite LeaseContender::beginCommit(LeaseStep step, const OperationId& operation, TimePoint sentAt)
{
    auto& facts = this->machine->facts;
    const auto lastNumber = facts.row ? facts.row->number.value() : 0;
    const auto number = step == LeaseStep::Acquire ? lastNumber + 1 : facts.number.value();
    facts.written = { facts.self, FencingNumber(number), facts.timing.duration, operation, step == LeaseStep::Release };
    remember(facts, operation, sentAt);
    LeaseWrite write { facts.version, facts.written };
    if (step == LeaseStep::Acquire)
        this->machine->process_event(SentAcquisition {});
    else if (step == LeaseStep::Renew)
        this->machine->process_event(SentRenewal {});
    else
        this->machine->process_event(SentRelease {});
    return write;
}

void LeaseContender::onRow(RowVersion version, const std::optional<LeaseRow>& row, TimePoint now, Random& random)
{
    auto& facts = this->machine->facts;
    facts.isReading = false;
    this->machine->process_event(RowSeen { version, row, now, drawJitter(facts.timing, random) });
    this->machine->process_event(WantChanged {});
}

void LeaseContender::onReadFailed(TimePoint now, Random& random)
{
    auto& facts = this->machine->facts;
    facts.isReading = false;
    facts.readAt = now + facts.timing.retryAfter + drawJitter(facts.timing, random);
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
        this->machine->process_event(Lost { now });
        break;
    case CommitOutcome::Refused:
        this->machine->process_event(Refused { now, drawJitter(this->machine->facts.timing, random) });
        break;
    }
    this->machine->process_event(WantChanged {});
}

std::optional<FencingNumber> LeaseContender::held(TimePoint now) const
{
    const auto& facts = this->machine->facts;
    if (!facts.isWanted || now >= facts.heldUntil)
        return std::nullopt;
    return facts.number;
}

TimePoint LeaseContender::heldUntil() const
{
    return this->machine->facts.isWanted ? this->machine->facts.heldUntil : TimePoint {};
}

FencingNumber LeaseContender::number() const { return this->machine->facts.number; }

LeasePhase LeaseContender::phase() const { return this->machine->facts.phase; }

} // namespace topaztack
