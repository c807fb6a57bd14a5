#include <topaztack/control/lease.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

/// The row as the table service keeps it, with writes that may arrive late.
struct FakeTable {
    struct Late {
        LeaseWrite write;
        TimePoint arrival;
    };

    bool apply(const LeaseWrite& write)
    {
        if (write.condition != this->version)
            return false;
        this->version = RowVersion(this->version.value() + 1);
        this->row = write.row;
        return true;
    }

    void deliver(TimePoint now)
    {
        for (const auto& late : this->inTransit) {
            if (late.arrival <= now)
                this->apply(late.write);
        }
        std::erase_if(this->inTransit, [&](const Late& late) { return late.arrival <= now; });
    }

    RowVersion version;
    std::optional<LeaseRow> row;
    std::vector<Late> inTransit;
};

/// One VM: its automaton, its own clock (rate and offset), and whether it is paused.
struct Contender {
    VmIdentity identity;
    LeaseContender holder;
    double rate { 1 };
    Duration offset { 0 };
    TimePoint pausedUntil;
    std::uint64_t operations { 0 };

    TimePoint clock(TimePoint now) const
    {
        const auto elapsed = std::chrono::duration<double>(now.time_since_epoch()).count() * this->rate;
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(elapsed)) + this->offset);
    }
};

/// Carries out one due step with a random fault: answer lost before or after taking effect, late, refused.
void step(Contender& vm, FakeTable& table, TimePoint now, Random& random)
{
    const auto local = vm.clock(now);
    const auto due = vm.holder.due(local);
    if (due == LeaseStep::None)
        return;
    const bool isFaulty = random.below(3) == 0;
    if (due == LeaseStep::Read) {
        vm.holder.beginRead();
        if (isFaulty)
            vm.holder.onReadFailed(local, random);
        else
            vm.holder.onRow(table.version, table.row, local, random);
        return;
    }
    const OperationId operation(vm.identity.name.value() + std::to_string(vm.operations++));
    const auto write = vm.holder.beginCommit(due, operation, local);
    const auto fault = isFaulty ? random.below(4) : 4;
    if (fault == 0) {
        vm.holder.onCommit(CommitOutcome::Refused, local, random);
    } else if (fault == 1) {
        table.inTransit.push_back({ write, now + std::chrono::milliseconds(random.below(9000)) });
        vm.holder.onCommit(CommitOutcome::Ambiguous, local, random);
    } else if (fault == 2) {
        vm.holder.onCommit(CommitOutcome::Ambiguous, local, random);
    } else {
        const bool isCommitted = table.apply(write);
        const auto answer = isCommitted ? CommitOutcome::Committed : CommitOutcome::Conflict;
        vm.holder.onCommit(fault == 3 ? CommitOutcome::Ambiguous : answer, local, random);
    }
}

std::vector<Contender> makeContenders(std::size_t count, Random& random)
{
    std::vector<Contender> all;
    for (std::size_t index = 0; index < count; ++index) {
        const VmIdentity identity { VmName("vm-" + std::to_string(index)), Incarnation(random.next()) };
        all.push_back({ identity, LeaseContender(identity, LeaseTiming {}) });
        all.back().rate = 1 + 0.03 * (random.unit() * 2 - 1);
        all.back().offset = std::chrono::milliseconds(random.below(1000000));
        all.back().holder.want();
    }
    return all;
}

/// Runs contenders for ten minutes of their time; asserts exclusion and rising numbers at each moment.
/// @return for how many steps someone held the lease.
std::size_t runContest(std::uint64_t seed)
{
    Random random(seed);
    FakeTable table;
    auto all = makeContenders(3, random);
    TimePoint now(1h);
    FencingNumber last;
    std::size_t heldSteps = 0;
    for (int round = 0; round < 6000; ++round, now += 100ms) {
        table.deliver(now);
        std::vector<FencingNumber> holders;
        for (auto& vm : all) {
            if (random.below(400) == 0)
                vm.pausedUntil = now + std::chrono::milliseconds(random.below(20000));
            if (now >= vm.pausedUntil)
                step(vm, table, now, random);
            if (const auto number = vm.holder.held(vm.clock(now)))
                holders.push_back(*number);
        }
        RC_ASSERT(holders.size() <= 1U);
        if (holders.empty())
            continue;
        RC_ASSERT(holders.front() >= last);
        last = holders.front();
        ++heldSteps;
    }
    return heldSteps;
}

} // namespace

TEST_GROUP(Lease)
{
    VmIdentity self { VmName("a"), Incarnation(1) };
    VmIdentity other { VmName("b"), Incarnation(2) };
    LeaseTiming timing;
    Random random { 7 };
    TimePoint now { 1h };

    LeaseRow othersRow(std::uint64_t number)
    {
        return { other, FencingNumber(number), timing.duration, OperationId("x"), false };
    }

    LeaseContender acquired()
    {
        LeaseContender holder(self, timing);
        holder.want();
        holder.beginRead();
        holder.onRow(RowVersion(0), std::nullopt, now, random);
        holder.beginCommit(LeaseStep::Acquire, OperationId("a1"), now);
        holder.onCommit(CommitOutcome::Committed, now + 100ms, random);
        return holder;
    }
};

TEST(Lease, AFreeRowIsTakenWithTheNextNumberAndCountedFromBeforeTheRequest)
{
    auto holder = acquired();
    CHECK_TRUE(holder.held(now) == FencingNumber(1));
    CHECK_TRUE(holder.held(now + timing.duration - timing.driftMargin - 1ms).has_value());
    CHECK_FALSE(holder.held(now + timing.duration - timing.driftMargin).has_value());
}

TEST(Lease, ARivalWaitsAFullDurationAndMarginAfterTheLastChangeItSaw)
{
    LeaseContender holder(self, timing);
    holder.want();
    holder.beginRead();
    holder.onRow(RowVersion(4), othersRow(9), now, random);
    const auto free = now + timing.duration + timing.driftMargin;
    CHECK_TRUE(holder.due(free - 1ms) != LeaseStep::Acquire);
    CHECK_TRUE(holder.due(free) == LeaseStep::Acquire);
    holder.beginRead();
    holder.onRow(RowVersion(5), othersRow(9), now + 1s, random);
    CHECK_TRUE(holder.due(free) != LeaseStep::Acquire);
    const auto write = holder.beginCommit(LeaseStep::Acquire, OperationId("a1"), free + 1s);
    LONGS_EQUAL(5, write.condition.value());
    LONGS_EQUAL(10, write.row.number.value());
}

TEST(Lease, AnAmbiguousAcquisitionCountsOnlyOnceReadBack)
{
    LeaseContender holder(self, timing);
    holder.want();
    holder.beginRead();
    holder.onRow(RowVersion(0), std::nullopt, now, random);
    const auto write = holder.beginCommit(LeaseStep::Acquire, OperationId("a1"), now);
    holder.onCommit(CommitOutcome::Ambiguous, now + 1s, random);
    CHECK_FALSE(holder.held(now + 1s).has_value());
    CHECK_TRUE(holder.due(now + 1s) == LeaseStep::Read);
    holder.beginRead();
    holder.onRow(RowVersion(1), write.row, now + 2s, random);
    CHECK_TRUE(holder.held(now + 2s) == FencingNumber(1));
    CHECK_FALSE(holder.held(now + timing.duration).has_value());
}

TEST(Lease, AHolderThatWakesAfterItsTimeHoldsNothingAndStepsBackForTheNewHolder)
{
    auto holder = acquired();
    const auto woken = now + 20s;
    CHECK_FALSE(holder.held(woken).has_value());
    holder.beginCommit(LeaseStep::Renew, OperationId("a2"), woken);
    holder.onCommit(CommitOutcome::Conflict, woken, random);
    holder.beginRead();
    holder.onRow(RowVersion(2), othersRow(2), woken, random);
    CHECK_FALSE(holder.held(woken).has_value());
    CHECK_TRUE(holder.phase() == LeasePhase::Watching);
}

TEST(Lease, UnwantedIsReleasedSoThatARivalNeedNotWait)
{
    auto holder = acquired();
    holder.unwant();
    CHECK_FALSE(holder.held(now + 200ms).has_value());
    CHECK_TRUE(holder.due(now + 200ms) == LeaseStep::Release);
    const auto write = holder.beginCommit(LeaseStep::Release, OperationId("a2"), now + 200ms);
    holder.onCommit(CommitOutcome::Committed, now + 300ms, random);
    LeaseContender rival(other, timing);
    rival.want();
    rival.beginRead();
    rival.onRow(RowVersion(2), write.row, now + 400ms, random);
    CHECK_TRUE(rival.due(now + 400ms) == LeaseStep::Acquire);
    LONGS_EQUAL(2, rival.beginCommit(LeaseStep::Acquire, OperationId("b1"), now + 400ms).row.number.value());
}

TEST(Lease, ARowThatIsNotUnderstoodIsNeverTaken)
{
    LeaseContender holder(self, timing);
    holder.want();
    holder.beginRead();
    holder.onRow(RowVersion(3), parseLeaseRow("{}"), now, random);
    CHECK_TRUE(holder.due(now + 1h) == LeaseStep::Read);
}

TEST(Lease, RowsSurviveTheirText)
{
    const auto row = othersRow(12);
    CHECK_TRUE(parseLeaseRow(toText(row)) == row);
}

TEST(Lease, NeverTwoHoldersAndNumbersOnlyRiseUnderPausesAndLostAnswers)
{
    CHECK_TRUE(rc::check("exclusion", [] {
        const auto heldSteps = runContest(*rc::gen::arbitrary<std::uint64_t>());
        RC_ASSERT(heldSteps > 1000U);
    }));
}
