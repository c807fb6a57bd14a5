#include <topaztack/control/lease.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

/// The row as stored by the table service, with writes that may arrive late.
struct FakeTable {
    struct DelayedWrite {
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
        for (const auto& delayed : this->inTransit) {
            if (delayed.arrival <= now)
                this->apply(delayed.write);
        }
        std::erase_if(this->inTransit, [&](const DelayedWrite& delayed) { return delayed.arrival <= now; });
    }

    RowVersion version;
    std::optional<LeaseRow> row;
    std::vector<DelayedWrite> inTransit;
};

/// One VM: its lease contender, its own clock (rate and offset), and the end of its pause.
struct Contender {
    VmIdentity identity;
    LeaseContender contender;
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

/// Performs the step that is due, with a random fault: read failed, write delayed or refused, or answer lost before or
/// after the write took effect.
void step(Contender& vm, FakeTable& table, TimePoint now, Random& random)
{
    const auto local = vm.clock(now);
    const auto due = vm.contender.due(local);
    if (due == LeaseStep::None)
        return;
    const bool isFaulty = random.below(3) == 0;
    if (due == LeaseStep::Read) {
        vm.contender.beginRead();
        if (isFaulty)
            vm.contender.onReadFailed(local, random);
        else
            vm.contender.onRow(table.version, table.row, local, random);
        return;
    }
    const OperationId operation(vm.identity.name.value() + std::to_string(vm.operations++));
    const auto write = vm.contender.beginCommit(due, operation, local);
    const auto fault = isFaulty ? random.below(4) : 4;
    if (fault == 0) {
        vm.contender.onCommit(CommitOutcome::Refused, local, random);
    } else if (fault == 1) {
        table.inTransit.push_back({ write, now + std::chrono::milliseconds(random.below(9000)) });
        vm.contender.onCommit(CommitOutcome::Ambiguous, local, random);
    } else if (fault == 2) {
        vm.contender.onCommit(CommitOutcome::Ambiguous, local, random);
    } else {
        const bool isCommitted = table.apply(write);
        const auto answer = isCommitted ? CommitOutcome::Committed : CommitOutcome::Conflict;
        vm.contender.onCommit(fault == 3 ? CommitOutcome::Ambiguous : answer, local, random);
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
        all.back().contender.want();
    }
    return all;
}

/// Simulates ten minutes of contention; asserts at every step that at most one contender holds the lease and that the
/// fencing number does not decrease.
/// @return the number of steps in which the lease was held.
std::size_t runContention(std::uint64_t seed)
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
            if (const auto number = vm.contender.held(vm.clock(now)))
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
        LeaseContender contender(self, timing);
        contender.want();
        contender.beginRead();
        contender.onRow(RowVersion(0), std::nullopt, now, random);
        contender.beginCommit(LeaseStep::Acquire, OperationId("a1"), now);
        contender.onCommit(CommitOutcome::Committed, now + 100ms, random);
        return contender;
    }
};

TEST(Lease, AcquiredLeaseGetsTheNextNumberAndRunsFromTheTimeOfTheRequest)
{
    auto contender = acquired();
    CHECK_TRUE(contender.held(now) == FencingNumber(1));
    CHECK_TRUE(contender.held(now + timing.duration - timing.driftMargin - 1ms).has_value());
    CHECK_FALSE(contender.held(now + timing.duration - timing.driftMargin).has_value());
}

TEST(Lease, RivalAcquiresOnlyAfterDurationAndMarginSinceTheLastObservedChange)
{
    LeaseContender contender(self, timing);
    contender.want();
    contender.beginRead();
    contender.onRow(RowVersion(4), othersRow(9), now, random);
    const auto expiry = now + timing.duration + timing.driftMargin;
    CHECK_TRUE(contender.due(expiry - 1ms) != LeaseStep::Acquire);
    CHECK_TRUE(contender.due(expiry) == LeaseStep::Acquire);
    contender.beginRead();
    contender.onRow(RowVersion(5), othersRow(9), now + 1s, random);
    CHECK_TRUE(contender.due(expiry) != LeaseStep::Acquire);
    const auto write = contender.beginCommit(LeaseStep::Acquire, OperationId("a1"), expiry + 1s);
    LONGS_EQUAL(5, write.condition.value());
    LONGS_EQUAL(10, write.row.number.value());
}

TEST(Lease, AmbiguousAcquisitionIsHeldOnlyAfterItWasReadBack)
{
    LeaseContender contender(self, timing);
    contender.want();
    contender.beginRead();
    contender.onRow(RowVersion(0), std::nullopt, now, random);
    const auto write = contender.beginCommit(LeaseStep::Acquire, OperationId("a1"), now);
    contender.onCommit(CommitOutcome::Ambiguous, now + 1s, random);
    CHECK_FALSE(contender.held(now + 1s).has_value());
    CHECK_TRUE(contender.due(now + 1s) == LeaseStep::Read);
    contender.beginRead();
    contender.onRow(RowVersion(1), write.row, now + 2s, random);
    CHECK_TRUE(contender.held(now + 2s) == FencingNumber(1));
    CHECK_FALSE(contender.held(now + timing.duration).has_value());
}

TEST(Lease, HolderResumedAfterExpiryHoldsNothingAndYieldsToTheNewHolder)
{
    auto contender = acquired();
    const auto resumedAt = now + 20s;
    CHECK_FALSE(contender.held(resumedAt).has_value());
    contender.beginCommit(LeaseStep::Renew, OperationId("a2"), resumedAt);
    contender.onCommit(CommitOutcome::Conflict, resumedAt, random);
    contender.beginRead();
    contender.onRow(RowVersion(2), othersRow(2), resumedAt, random);
    CHECK_FALSE(contender.held(resumedAt).has_value());
    CHECK_TRUE(contender.phase() == LeasePhase::Watching);
}

TEST(Lease, UnwantedLeaseIsReleasedAndARivalAcquiresItImmediately)
{
    auto contender = acquired();
    contender.unwant();
    CHECK_FALSE(contender.held(now + 200ms).has_value());
    CHECK_TRUE(contender.due(now + 200ms) == LeaseStep::Release);
    const auto write = contender.beginCommit(LeaseStep::Release, OperationId("a2"), now + 200ms);
    contender.onCommit(CommitOutcome::Committed, now + 300ms, random);
    LeaseContender rival(other, timing);
    rival.want();
    rival.beginRead();
    rival.onRow(RowVersion(2), write.row, now + 400ms, random);
    CHECK_TRUE(rival.due(now + 400ms) == LeaseStep::Acquire);
    LONGS_EQUAL(2, rival.beginCommit(LeaseStep::Acquire, OperationId("b1"), now + 400ms).row.number.value());
}

TEST(Lease, LeaseWithAnUnparsableRowIsNeverAcquired)
{
    LeaseContender contender(self, timing);
    contender.want();
    contender.beginRead();
    contender.onRow(RowVersion(3), parseLeaseRow("{}"), now, random);
    CHECK_TRUE(contender.due(now + 1h) == LeaseStep::Read);
}

TEST(Lease, RowRoundTripsThroughText)
{
    const auto row = othersRow(12);
    CHECK_TRUE(parseLeaseRow(toText(row)) == row);
}

TEST(Lease, AtMostOneHolderAndNoDecreasingNumbersUnderPausesAndLostAnswers)
{
    CHECK_TRUE(rc::check("exclusion", [] {
        const auto heldSteps = runContention(*rc::gen::arbitrary<std::uint64_t>());
        RC_ASSERT(heldSteps > 1000U);
    }));
}
