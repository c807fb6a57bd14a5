#include <topaztack/policy/claim_batch.hpp>

#include <topaztack/base/random.hpp>

#include <algorithm>
#include <charconv>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t secondHashSeed = 0x636c61696dULL;
    /// One data centre's share of the table service's writes is 10 batches per second.
    constexpr std::chrono::microseconds dataCentreCommitInterval = 100ms;

    /// Removes the first word from a text and returns it.
    std::string_view nextWord(std::string_view& text)
    {
        const auto end = std::min(text.find(' '), text.size());
        const auto word = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        return word;
    }

    bool isOpen(const Claim& claim) { return claim.verdict == ClaimVerdict::Open; }

    /// Ends all open claims.
    void abandon(ClaimBatch& batch)
    {
        for (auto& claim : batch.claims) {
            if (isOpen(claim))
                claim.verdict = ClaimVerdict::StoreUnavailable;
        }
    }

    void countFailure(ClaimBatch& batch)
    {
        ++batch.failures;
        if (batch.failures >= maxClaimFailures)
            abandon(batch);
    }

} // namespace

std::string toText(const ClaimRow& row)
{
    const auto expires = std::chrono::duration_cast<std::chrono::milliseconds>(row.expires.time_since_epoch());
    return toText(row.ticket) + " " + row.operation.value() + " " + std::to_string(expires.count());
}

std::optional<ClaimRow> parseClaimRow(std::string_view text)
{
    const auto ticket = parseTicketId(nextWord(text));
    const auto operation = nextWord(text);
    std::int64_t expires = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), expires);
    if (!ticket || operation.empty() || error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return ClaimRow { *ticket, OperationId(std::string(operation)), WallTime(std::chrono::milliseconds(expires)) };
}

RowKey claimRowKey(const PoolName& pool, const IdempotencyKey& key)
{
    const auto text = pool.value() + "/" + key.value();
    return RowKey("claim/" + toHex(stableHash(text)) + toHex(stableHash(text, secondHashSeed)));
}

ClaimStep nextStep(const ClaimBatch& batch)
{
    auto step = ClaimStep::Done;
    for (const auto& claim : batch.claims) {
        if (!isOpen(claim))
            continue;
        if (claim.needsRead)
            return ClaimStep::Read;
        step = ClaimStep::Commit;
    }
    return step;
}

void onCommit(ClaimBatch& batch, CommitResult result, const std::vector<RowKey>& conflicts)
{
    ++batch.commits;
    if (result == CommitResult::Refused) {
        abandon(batch);
        return;
    }
    for (auto& claim : batch.claims) {
        if (!isOpen(claim))
            continue;
        if (result == CommitResult::Done)
            claim.verdict = ClaimVerdict::Bound;
        else if (result == CommitResult::Ambiguous)
            claim.needsRead = true;
        else
            claim.needsRead = std::find(conflicts.begin(), conflicts.end(), claim.row) != conflicts.end();
    }
    if (result == CommitResult::Ambiguous)
        countFailure(batch);
}

void onRow(ClaimBatch& batch, const RowKey& row, std::string_view text)
{
    const auto found = parseClaimRow(text);
    for (auto& claim : batch.claims) {
        if (!isOpen(claim) || claim.row != row)
            continue;
        claim.needsRead = false;
        if (!found)
            continue;
        claim.winner = found->ticket;
        claim.verdict = found->ticket == claim.wanted.ticket ? ClaimVerdict::Bound : ClaimVerdict::Taken;
    }
}

void onReadFailed(ClaimBatch& batch) { countFailure(batch); }

std::chrono::microseconds claimInterval(std::uint32_t vmsInDataCentre)
{
    return dataCentreCommitInterval * std::max<std::uint32_t>(1, vmsInDataCentre);
}

} // namespace topaztack
