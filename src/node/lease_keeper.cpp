#include <topaztack/node/lease_keeper.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/control/lease.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto tick = 50ms;
    constexpr auto releaseTime = 3s;
    constexpr std::string_view rowPrefix = "lease/";

    RowKey rowOf(const LeaseName& name) { return RowKey(std::string(rowPrefix) + name.value()); }

    /// One lease: the automaton, used on thread 0, and what other threads read of it.
    struct LeaseEntry : boost::intrusive_ref_counter<LeaseEntry> {
        LeaseEntry(LeaseName name, const VmIdentity& self)
            : name(std::move(name))
            , holder(self, LeaseTiming {})
        {
        }

        const LeaseName name;
        LeaseContender holder;
        std::atomic<std::uint64_t> number { 0 };
        std::atomic<TimePoint::rep> heldUntil { 0 };
        std::atomic<LeasePhase> phase { LeasePhase::Idle };
    };

    using LeaseEntryPtr = boost::intrusive_ptr<LeaseEntry>;

    struct LeaseTable : boost::intrusive_ref_counter<LeaseTable> {
        std::vector<LeaseEntryPtr> entries;
    };

    /// Publishes what the automaton says. The number is written between two times, the first of which says "not held"
    /// if it changes, so that a reader never pairs a number with the time of another.
    void publish(LeaseEntry& entry)
    {
        const auto number = entry.holder.number().value();
        if (entry.number.load() != number) {
            entry.heldUntil.store(0);
            entry.number.store(number);
        }
        entry.heldUntil.store(entry.holder.heldUntil().time_since_epoch().count());
        entry.phase.store(entry.holder.phase());
    }

    /// The clock is read last: a pause before that is seen, one after it is what fencing numbers are for.
    std::optional<FencingNumber> readHeld(const LeaseEntry& entry)
    {
        while (true) {
            const auto number = entry.number.load();
            const auto heldUntil = entry.heldUntil.load();
            if (number != entry.number.load())
                continue;
            if (Clock::now().time_since_epoch().count() >= heldUntil)
                return std::nullopt;
            return FencingNumber(number);
        }
    }

    CommitOutcome toOutcome(const Error& error)
    {
        return error.kind == ErrorKind::PlatformAmbiguous ? CommitOutcome::Ambiguous : CommitOutcome::Refused;
    }

    /// Commits under way: the entries and the write of each, in the same order.
    struct Batch {
        std::vector<LeaseEntryPtr> entries;
        std::vector<LeaseWrite> writes;

        TableCommit toCommit(const OperationId& operation) const
        {
            TableCommit commit;
            commit.operation = operation;
            for (std::size_t index = 0; index < this->entries.size(); ++index) {
                const auto key = rowOf(this->entries[index]->name);
                commit.conditions.push_back({ key, this->writes[index].condition });
                commit.writes.push_back({ key, toText(this->writes[index].row) });
            }
            return commit;
        }
    };

} // namespace

struct LeaseKeeper::State {
    explicit State(NodeContext& context)
        : context(context)
        , random(systemSeed())
        , heldLeases(context.metrics.gauge("topaztack_leases_held", "Leases that this VM holds"))
        , commits(context.metrics.counter("topaztack_lease_commits_total", "Commits of lease rows sent"))
        , reads(context.metrics.counter("topaztack_lease_reads_total", "Reads of lease rows sent"))
    {
        this->table.store(boost::intrusive_ptr<const LeaseTable>(new LeaseTable));
    }

    LeaseEntryPtr find(const LeaseName& name) const;
    void want(const LeaseName& name);
    void unwant(const LeaseName& name);
    std::vector<LeaseEntryPtr> due(LeaseStep step) const;
    void reportCommit(LeaseEntry& entry, CommitOutcome outcome);
    void reportRows(const std::vector<LeaseEntryPtr>& entries, const Result<std::vector<TableRow>>& rows);
    Batch begin(LeaseStep step, const OperationId& operation);
    void dropConflicts(Batch& batch, const std::vector<RowKey>& conflicts);
    bool isAnyHeld() const;

    asio::awaitable<void> commitDue(LeaseStep step);
    asio::awaitable<void> readDue();
    asio::awaitable<void> renewLoop(std::shared_ptr<State> self);
    asio::awaitable<void> watchLoop(std::shared_ptr<State> self);

    NodeContext& context;
    RcuCell<LeaseTable> table;
    Random random;
    Gauge& heldLeases;
    Counter& commits;
    Counter& reads;
};

LeaseEntryPtr LeaseKeeper::State::find(const LeaseName& name) const
{
    const auto current = this->table.load();
    for (const auto& entry : current->entries) {
        if (entry->name == name)
            return entry;
    }
    return nullptr;
}

void LeaseKeeper::State::want(const LeaseName& name)
{
    auto entry = this->find(name);
    if (!entry) {
        entry = new LeaseEntry(name, this->context.identity);
        auto* fresh = new LeaseTable;
        fresh->entries = this->table.load()->entries;
        fresh->entries.push_back(entry);
        this->table.store(boost::intrusive_ptr<const LeaseTable>(fresh));
    }
    entry->holder.want();
    publish(*entry);
}

void LeaseKeeper::State::unwant(const LeaseName& name)
{
    const auto entry = this->find(name);
    if (!entry)
        return;
    entry->holder.unwant();
    publish(*entry);
}

std::vector<LeaseEntryPtr> LeaseKeeper::State::due(LeaseStep step) const
{
    const auto now = Clock::now();
    const auto current = this->table.load();
    std::vector<LeaseEntryPtr> found;
    for (const auto& entry : current->entries) {
        if (entry->holder.due(now) == step)
            found.push_back(entry);
    }
    return found;
}

void LeaseKeeper::State::reportCommit(LeaseEntry& entry, CommitOutcome outcome)
{
    const auto before = entry.holder.phase();
    entry.holder.onCommit(outcome, Clock::now(), this->random);
    publish(entry);
    const auto after = entry.holder.phase();
    if (before == LeasePhase::Acquiring && after == LeasePhase::Held)
        logEvent(LogLevel::Info, "lease-acquired",
            { { "lease", entry.name.value() }, { "number", std::to_string(entry.holder.number().value()) } });
    else if (after != LeasePhase::Held)
        logEvent(LogLevel::Info, "lease-commit-settled",
            { { "lease", entry.name.value() }, { "phase", std::string(phaseName(after)) } });
}

Batch LeaseKeeper::State::begin(LeaseStep step, const OperationId& operation)
{
    Batch batch;
    batch.entries = this->due(step);
    const auto sentAt = Clock::now();
    for (const auto& entry : batch.entries) {
        batch.writes.push_back(entry->holder.beginCommit(step, operation, sentAt));
        publish(*entry);
    }
    return batch;
}

void LeaseKeeper::State::dropConflicts(Batch& batch, const std::vector<RowKey>& conflicts)
{
    Batch rest;
    for (std::size_t index = 0; index < batch.entries.size(); ++index) {
        const auto& entry = batch.entries[index];
        if (std::find(conflicts.begin(), conflicts.end(), rowOf(entry->name)) != conflicts.end()) {
            this->reportCommit(*entry, CommitOutcome::Conflict);
            continue;
        }
        rest.entries.push_back(entry);
        rest.writes.push_back(batch.writes[index]);
    }
    batch = std::move(rest);
}

/// All leases due for one step in one commit. A lost condition takes only its own lease out; the others are committed
/// again at once, with the same operation, since nothing of the first commit took effect.
asio::awaitable<void> LeaseKeeper::State::commitDue(LeaseStep step)
{
    const auto operation = this->context.newOperation();
    auto batch = this->begin(step, operation);
    while (!batch.entries.empty()) {
        this->commits.add();
        const auto answer = co_await this->context.clients().platform.commit(batch.toCommit(operation));
        const bool isConflict = answer && !answer.value().isCommitted;
        if (isConflict && !answer.value().conflicts.empty()) {
            this->dropConflicts(batch, answer.value().conflicts);
            continue;
        }
        auto outcome = isConflict ? CommitOutcome::Conflict : CommitOutcome::Committed;
        if (!answer)
            outcome = toOutcome(answer.error());
        for (const auto& entry : batch.entries)
            this->reportCommit(*entry, outcome);
        break;
    }
}

void LeaseKeeper::State::reportRows(
    const std::vector<LeaseEntryPtr>& entries, const Result<std::vector<TableRow>>& rows)
{
    const auto now = Clock::now();
    for (std::size_t index = 0; index < entries.size(); ++index) {
        auto& holder = entries[index]->holder;
        if (!rows || index >= rows.value().size()) {
            holder.onReadFailed(now, this->random);
        } else {
            const auto& row = rows.value()[index];
            holder.onRow(row.version, parseLeaseRow(row.value), now, this->random);
        }
        publish(*entries[index]);
    }
}

asio::awaitable<void> LeaseKeeper::State::readDue()
{
    const auto entries = this->due(LeaseStep::Read);
    if (entries.empty())
        co_return;
    std::vector<RowKey> keys;
    for (const auto& entry : entries) {
        entry->holder.beginRead();
        keys.push_back(rowOf(entry->name));
    }
    this->reads.add();
    const auto rows = co_await this->context.clients().platform.read(std::move(keys));
    this->reportRows(entries, rows);
}

bool LeaseKeeper::State::isAnyHeld() const
{
    const auto current = this->table.load();
    return std::any_of(current->entries.begin(), current->entries.end(), [](const LeaseEntryPtr& entry) {
        const auto phase = entry->holder.phase();
        return phase == LeasePhase::Held || phase == LeasePhase::Renewing || phase == LeasePhase::Releasing;
    });
}

/// Renewals have a loop of their own, so that no slow read or acquisition delays one.
asio::awaitable<void> LeaseKeeper::State::renewLoop(std::shared_ptr<State> self)
{
    asio::steady_timer timer(self->context.threads.at(0));
    while (true) {
        co_await self->commitDue(LeaseStep::Renew);
        co_await self->commitDue(LeaseStep::Release);
        std::int64_t held = 0;
        const auto current = self->table.load();
        for (const auto& entry : current->entries)
            held += readHeld(*entry) ? 1 : 0;
        self->heldLeases.set(held);
        timer.expires_after(tick);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> LeaseKeeper::State::watchLoop(std::shared_ptr<State> self)
{
    asio::steady_timer timer(self->context.threads.at(0));
    while (true) {
        co_await self->readDue();
        co_await self->commitDue(LeaseStep::Acquire);
        timer.expires_after(tick);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

LeaseKeeper::LeaseKeeper(NodeContext& context)
    : state(std::make_shared<State>(context))
{
}

LeaseKeeper::~LeaseKeeper() = default;

void LeaseKeeper::want(LeaseName name)
{
    asio::post(
        this->state->context.threads.at(0), [state = this->state, name = std::move(name)] { state->want(name); });
}

void LeaseKeeper::unwant(const LeaseName& name)
{
    asio::post(this->state->context.threads.at(0), [state = this->state, name] { state->unwant(name); });
}

std::optional<FencingNumber> LeaseKeeper::held(const LeaseName& name) const
{
    const auto entry = this->state->find(name);
    if (!entry)
        return std::nullopt;
    return readHeld(*entry);
}

void LeaseKeeper::start()
{
    auto& loop = this->state->context.threads.at(0);
    asio::co_spawn(loop, this->state->renewLoop(this->state), asio::detached);
    asio::co_spawn(loop, this->state->watchLoop(this->state), asio::detached);
}

asio::awaitable<void> LeaseKeeper::releaseAll()
{
    const auto state = this->state;
    const auto current = state->table.load();
    for (const auto& entry : current->entries) {
        entry->holder.unwant();
        publish(*entry);
    }
    asio::steady_timer timer(state->context.threads.at(0));
    const auto end = Clock::now() + releaseTime;
    while (state->isAnyHeld() && Clock::now() < end) {
        timer.expires_after(tick);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

json::value LeaseKeeper::dump() const
{
    json::object leases;
    const auto current = this->state->table.load();
    for (const auto& entry : current->entries) {
        const auto number = readHeld(*entry);
        leases[entry->name.value()] = json::object { { "phase", phaseName(entry->phase.load()) },
            { "held", number.has_value() }, { "number", entry->number.load() } };
    }
    return leases;
}

} // namespace topaztack
