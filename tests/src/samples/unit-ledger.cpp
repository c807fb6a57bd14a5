#include <topaztack/samples/ledger.hpp>

#include <topaztack/base/random.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <set>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t samplesOfGroup = 3;
constexpr std::uint64_t steps = 3;
constexpr std::uint64_t versionsPosted = 12;
constexpr int maxRounds = 4000;
const StalenessBound bound { 1, 0us };

/// The row of the ledger in the table service, with conditional commits.
struct Table {
    std::uint64_t version { 1 };
    Ledger ledger;

    bool commit(std::uint64_t condition, const Ledger& fresh)
    {
        if (condition != this->version)
            return false;
        // The row stores the encoded ledger.
        this->ledger = decodeLedger(encodeLedger(fresh)).value();
        ++this->version;
        return true;
    }
};

/// A collector that may act on an outdated copy of the row, crash, and repeat commits whose answer was lost. An answer
/// may be lost before or after the commit takes effect.
struct Collector {
    std::uint64_t seen { 0 };
    Ledger copy;
    std::vector<FinishedSample> generated;
    ObjectKey object;

    void read(const Table& table)
    {
        this->seen = table.version;
        this->copy = table.ledger;
    }

    void crash()
    {
        this->generated.clear();
        this->object = ObjectKey();
    }

    void generate(Random& random, WeightVersion engineVersion, std::uint64_t objectNumber)
    {
        if (!this->generated.empty())
            return;
        this->object = ObjectKey("o" + std::to_string(objectNumber));
        for (std::uint64_t step = 1; step <= steps; ++step) {
            for (const auto& [slot, refusal] : missingSlots(this->copy, StepNumber(step))) {
                if (random.below(2) == 0)
                    this->generated.push_back(
                        { slot, static_cast<std::uint32_t>(this->generated.size()), engineVersion, WallTime() });
            }
        }
    }

    void commit(Table& table, Random& random)
    {
        auto fresh = this->copy;
        withdrawStale(fresh, bound, WallTime());
        commitSamples(fresh, this->object, this->generated);
        pruneLedger(fresh);
        const bool isLostBefore = random.below(4) == 0;
        const bool isCommitted = !isLostBefore && table.commit(this->seen, fresh);
        const bool isAnswerLost = isLostBefore || random.below(4) == 0;
        this->read(table);
        // After a lost answer, the same samples are committed again with the same object.
        if (isCommitted && !isAnswerLost)
            this->crash();
    }
};

/// A trainer that repeats fetches and records the samples that it received.
struct Trainer {
    SequenceNumber after;
    std::map<SequenceNumber, SlotName> received;

    void fetch(Table& table, Random& random)
    {
        const auto seen = table.version;
        auto fresh = table.ledger;
        const auto result = handOut(fresh, this->after, 1 + random.below(5), bound, WallTime());
        RC_ASSERT(result.has_value());
        if (result.value().isChanged && !table.commit(seen, fresh))
            return;
        if (random.below(3) == 0)
            return; // The answer is lost.
        auto last = this->after;
        for (const auto& sample : result.value().samples) {
            const auto [entry, isNew] = this->received.emplace(sample.entry.sequence, sample.entry.slot);
            RC_ASSERT(isNew || entry->second == sample.entry.slot);
            const bool isFirst = sample.entry.sequence > result.value().handedOutBefore;
            RC_ASSERT(!isFirst
                || !isStale(bound, sample.entry.oldest, sample.entry.started, table.ledger.newest, WallTime()));
            last = sample.entry.sequence;
        }
        if (random.below(3) != 0)
            this->after = last; // Otherwise it repeats the fetch.
    }
};

std::vector<PostedGroup> postedGroups()
{
    return { { GroupId("a"), "prompt a", samplesOfGroup }, { GroupId("b"), "prompt b", samplesOfGroup } };
}

bool isAllDelivered(const Table& table)
{
    if (currentStep(table.ledger))
        return false;
    return table.ledger.handedOut.value() + 1 == table.ledger.next.value();
}

void simulateFaults(std::uint64_t seed)
{
    Random random(seed);
    Table table;
    for (std::uint64_t step = 1; step <= steps; ++step)
        RC_ASSERT(
            postGroups(table.ledger, StepNumber(step), postedGroups(), ObjectKey("p")).value() == 2U * samplesOfGroup);
    std::vector<Collector> collectors(2);
    Trainer trainer;
    std::uint64_t objects = 0;
    bool isDone = false;
    for (int round = 0; round < maxRounds && !isDone; ++round) {
        auto& collector = collectors[random.below(collectors.size())];
        const auto newest = table.ledger.newest.value();
        switch (random.below(8)) {
        case 0:
            collector.read(table);
            break;
        case 1:
            collector.generate(random, WeightVersion(newest - std::min(newest, random.below(2))), ++objects);
            break;
        case 2:
        case 3:
            collector.commit(table, random);
            break;
        case 4:
            if (random.below(3) == 0)
                collector.crash();
            break;
        case 5:
            if (newest < versionsPosted && random.below(4) == 0) {
                auto fresh = table.ledger;
                RC_ASSERT(postVersion(fresh, WeightVersion(newest + 1), WallTime()).value());
                table.commit(table.version, fresh);
            }
            break;
        default:
            trainer.fetch(table, random);
        }
        isDone = isAllDelivered(table) && trainer.after == table.ledger.handedOut;
        const bool isAllReceived = isAllDelivered(table) && trainer.received.size() == steps * 2 * samplesOfGroup;
        isDone = isDone || isAllReceived;
    }
    RC_ASSERT(isDone);
    std::set<SlotName> slots;
    for (const auto& [sequence, slot] : trainer.received)
        RC_ASSERT(slots.insert(slot).second);
    RC_ASSERT(slots.size() == steps * 2 * samplesOfGroup);
}

} // namespace

TEST_GROUP(Ledger)
{
    Ledger ledger;

    void setup() override { postGroups(this->ledger, StepNumber(1), postedGroups(), ObjectKey("p")).value(); }

    SlotName slot(std::uint32_t index) { return { StepNumber(1), GroupId("a"), SampleIndex(index) }; }

    void fill(std::uint32_t index, std::uint64_t version, const std::string& object)
    {
        commitSamples(
            this->ledger, ObjectKey(object), { { this->slot(index), 0, WeightVersion(version), WallTime() } });
    }
};

TEST(Ledger, SamplesAreNeitherLostNorDuplicatedDespiteCrashesAndLostAnswers)
{
    CHECK_TRUE(
        rc::check("each slot reaches the trainer once, fresh", [](std::uint64_t seed) { simulateFaults(seed); }));
}

TEST(Ledger, RepeatedPostChangesNothingAndADifferentPromptIsRefused)
{
    const auto before = this->ledger;
    LONGS_EQUAL(0, postGroups(this->ledger, StepNumber(1), postedGroups(), ObjectKey("q")).value());
    CHECK_TRUE(before == this->ledger);
    auto groups = postedGroups();
    groups[1].prompt = "another";
    CHECK_TRUE(postGroups(this->ledger, StepNumber(1), groups, ObjectKey("q")).error().kind == ErrorKind::KeyReused);
    CHECK_TRUE(before == this->ledger);
}

TEST(Ledger, FirstSampleOfASlotWins)
{
    this->fill(0, 1, "first");
    const auto before = this->ledger;
    this->fill(0, 1, "second");
    CHECK_TRUE(before == this->ledger);
}

TEST(Ledger, CommittedSampleThatTurnsStaleIsWithdrawnAndItsSlotOpened)
{
    this->fill(0, 1, "old");
    postVersion(this->ledger, WeightVersion(3), WallTime()).value();
    const auto result = handOut(this->ledger, SequenceNumber(0), 10, bound, WallTime());
    LONGS_EQUAL(0, result.value().samples.size());
    CHECK_TRUE(missingSlots(this->ledger, StepNumber(1)).front() == std::pair(this->slot(0), SampleRefusal::Stale));
    this->fill(0, 3, "fresh");
    const auto again = handOut(this->ledger, SequenceNumber(0), 10, bound, WallTime());
    LONGS_EQUAL(1, again.value().samples.size());
    LONGS_EQUAL(2, again.value().samples[0].entry.sequence.value());
}

TEST(Ledger, HandedOutSampleIsNeverWithdrawn)
{
    this->fill(0, 1, "old");
    LONGS_EQUAL(1, handOut(this->ledger, SequenceNumber(0), 10, bound, WallTime()).value().samples.size());
    postVersion(this->ledger, WeightVersion(9), WallTime()).value();
    LONGS_EQUAL(0, withdrawStale(this->ledger, bound, WallTime()));
    LONGS_EQUAL(1, handOut(this->ledger, SequenceNumber(0), 10, bound, WallTime()).value().samples.size());
}

TEST(Ledger, SampleOlderThanTheTimeBoundIsNotHandedOut)
{
    const StalenessBound timed { 1, 10s };
    this->fill(0, 1, "old");
    const auto result = handOut(this->ledger, SequenceNumber(0), 10, timed, WallTime() + 11s);
    LONGS_EQUAL(0, result.value().samples.size());
}

TEST(Ledger, CursorCannotPassWhatWasNeverHandedOut)
{
    this->fill(0, 1, "a");
    CHECK_TRUE(handOut(this->ledger, SequenceNumber(1), 10, bound, WallTime()).error().kind == ErrorKind::BadRequest);
}

TEST(Ledger, EncodedLedgerDecodesToAnEqualLedger)
{
    this->fill(1, 4, "a");
    recordRefusal(this->ledger, this->slot(2), SampleRefusal::UncertainSpan);
    recordOperation(this->ledger, OperationId("op"));
    const auto read = decodeLedger(encodeLedger(this->ledger));
    CHECK_TRUE(read.value() == this->ledger);
    CHECK_TRUE(decodeLedger("{\"next\": []}").has_error());
}

TEST(Ledger, DeliveredStepsArePrunedAndTheirGroupsRefused)
{
    Ledger fresh;
    for (std::uint64_t step = 1; step <= 40; ++step) {
        const std::vector<PostedGroup> groups { { GroupId("g"), "p", 1 } };
        postGroups(fresh, StepNumber(step), groups, ObjectKey("p")).value();
        commitSamples(fresh, ObjectKey("o" + std::to_string(step)),
            { { { StepNumber(step), GroupId("g"), SampleIndex(0) }, 0, WeightVersion(1), WallTime() } });
        handOut(fresh, SequenceNumber(step - 1), 10, bound, WallTime()).value();
        pruneLedger(fresh);
    }
    CHECK_TRUE(fresh.steps.size() <= 20);
    CHECK_TRUE(fresh.batches.size() <= 20);
    const auto late = postGroups(fresh, StepNumber(1), { { GroupId("g"), "p", 1 } }, ObjectKey("p"));
    CHECK_TRUE(late.error().kind == ErrorKind::RetentionOver);
}
