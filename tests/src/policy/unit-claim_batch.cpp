#include <topaztack/base/random.hpp>
#include <topaztack/policy/claim_batch.hpp>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

TicketId makeTicket(std::uint64_t vm, std::uint64_t counter)
{
    return { { VmName("vm-" + std::to_string(vm)), Incarnation(vm + 1) }, counter };
}

Claim makeClaim(std::uint64_t key, const TicketId& ticket)
{
    Claim claim;
    claim.row = RowKey("claim/" + std::to_string(key));
    claim.wanted = { ticket, OperationId("op"), WallTime(1h) };
    return claim;
}

/// A table service that loses responses, refuses calls, and applies some lost commits later.
struct FaultyTable {
    std::map<RowKey, std::string> rows;
    std::vector<std::vector<Claim>> delayedCommits;

    std::vector<RowKey> conflictsOf(const std::vector<Claim>& claims) const
    {
        std::vector<RowKey> conflicts;
        for (const auto& claim : claims) {
            if (this->rows.contains(claim.row))
                conflicts.push_back(claim.row);
        }
        return conflicts;
    }

    void apply(const std::vector<Claim>& claims)
    {
        if (!this->conflictsOf(claims).empty())
            return;
        for (const auto& claim : claims)
            this->rows[claim.row] = toText(claim.wanted);
    }

    void applyDelayed()
    {
        for (const auto& claims : this->delayedCommits)
            this->apply(claims);
        this->delayedCommits.clear();
    }
};

std::vector<Claim> openClaims(const ClaimBatch& batch)
{
    std::vector<Claim> open;
    for (const auto& claim : batch.claims) {
        if (claim.verdict == ClaimVerdict::Open)
            open.push_back(claim);
    }
    return open;
}

void step(ClaimBatch& batch, FaultyTable& table, Random& random)
{
    const auto fault = random.below(6);
    if (nextStep(batch) == ClaimStep::Read) {
        if (fault == 0) {
            onReadFailed(batch);
            return;
        }
        for (const auto& claim : openClaims(batch)) {
            if (claim.needsRead)
                onRow(batch, claim.row, table.rows.contains(claim.row) ? table.rows[claim.row] : std::string {});
        }
        return;
    }
    const auto open = openClaims(batch);
    const auto conflicts = table.conflictsOf(open);
    if (fault == 0) {
        onCommit(batch, CommitResult::Refused, {});
    } else if (fault == 1) {
        table.apply(open);
        onCommit(batch, CommitResult::Ambiguous, {});
    } else if (fault == 2) {
        table.delayedCommits.push_back(open);
        onCommit(batch, CommitResult::Ambiguous, {});
    } else {
        table.apply(open);
        onCommit(batch, conflicts.empty() ? CommitResult::Done : CommitResult::Conflict, conflicts);
    }
    if (random.below(2) == 0)
        table.applyDelayed();
}

} // namespace

TEST_GROUP(ClaimBatchTest) {};

TEST(ClaimBatchTest, ClaimRowRoundTripsAndMalformedTextIsRejected)
{
    const ClaimRow row { makeTicket(1, 7), OperationId("vm.1.2"), WallTime(123456ms) };
    const auto back = parseClaimRow(toText(row));
    CHECK_TRUE(back && back->ticket == row.ticket && back->operation == row.operation && back->expires == row.expires);
    for (const auto* text : { "", "x", "tkt-1-1-vm", "tkt-1-1-vm op", "tkt-1-1-vm op x", "tkt-1-1-vm op 1x" })
        CHECK_FALSE(parseClaimRow(text).has_value());
}

TEST(ClaimBatchTest, ConflictOfOneClaimDoesNotPreventTheOthers)
{
    ClaimBatch batch { { makeClaim(1, makeTicket(1, 1)), makeClaim(2, makeTicket(1, 2)) } };
    onCommit(batch, CommitResult::Conflict, { RowKey("claim/1") });
    CHECK_TRUE(nextStep(batch) == ClaimStep::Read);
    onRow(batch, RowKey("claim/1"), toText(ClaimRow { makeTicket(2, 9), OperationId("op"), WallTime(1h) }));
    CHECK_TRUE(batch.claims[0].verdict == ClaimVerdict::Taken && batch.claims[0].winner == makeTicket(2, 9));
    CHECK_TRUE(nextStep(batch) == ClaimStep::Commit);
    onCommit(batch, CommitResult::Done, {});
    CHECK_TRUE(batch.claims[1].verdict == ClaimVerdict::Bound);
    CHECK_TRUE(nextStep(batch) == ClaimStep::Done);
}

// Three VMs claim the same keys through a table that loses responses, refuses calls and delays commits. Every VM whose
// claim is bound has the ticket that the row names, so no two VMs dispatch under different tickets.
TEST(ClaimBatchTest, AKeyIsBoundToOneTicketUnderRandomFaults)
{
    CHECK_TRUE(rc::check("one ticket a key", [](std::uint64_t seed) {
        Random random(seed);
        FaultyTable table;
        std::vector<ClaimBatch> batches(3);
        for (std::uint64_t vm = 0; vm < batches.size(); ++vm) {
            for (std::uint64_t key = 0; key < 4; ++key) {
                if (random.below(4) != 0)
                    batches[vm].claims.push_back(makeClaim(key, makeTicket(vm, key + 1)));
            }
        }
        std::uint64_t steps = 0;
        while (std::any_of(batches.begin(), batches.end(),
            [](const ClaimBatch& batch) { return nextStep(batch) != ClaimStep::Done; })) {
            auto& batch = batches[random.below(batches.size())];
            if (nextStep(batch) != ClaimStep::Done)
                step(batch, table, random);
            RC_ASSERT(++steps < 1000U);
        }
        table.applyDelayed();
        std::map<RowKey, std::set<TicketId>> ticketsByRow;
        for (const auto& batch : batches) {
            for (const auto& claim : batch.claims) {
                if (claim.verdict == ClaimVerdict::Bound)
                    ticketsByRow[claim.row].insert(claim.wanted.ticket);
                if (claim.verdict == ClaimVerdict::Taken)
                    ticketsByRow[claim.row].insert(claim.winner);
            }
        }
        for (const auto& [row, tickets] : ticketsByRow) {
            RC_ASSERT(tickets.size() == 1U);
            RC_ASSERT(parseClaimRow(table.rows.at(row))->ticket == *tickets.begin());
        }
    }));
}

TEST(ClaimBatchTest, CommitIntervalGrowsWithTheVmsOfTheDataCentre)
{
    CHECK_TRUE(claimInterval(1) == 100ms);
    CHECK_TRUE(claimInterval(25) == 2500ms);
}
