#include <topaztack/policy/ticket_ledger.hpp>

#include <topaztack/base/random.hpp>

namespace topaztack {

namespace {

    /// Twice the window, so that tickets below the low-water mark can still be told apart as dispatched or not.
    constexpr std::uint64_t trackedTickets = 2 * ticketWindow;
    constexpr std::uint64_t bitsPerWord = 64;
    constexpr std::uint64_t lowDigestSeed = 0x746f7061ULL;
    /// Bytes that an entry takes besides its response.
    constexpr std::size_t entryOverhead = 128;

    std::uint64_t& wordOf(TicketLedger& ledger, std::uint64_t counter)
    {
        return ledger.dispatched[counter % trackedTickets / bitsPerWord];
    }

    std::uint64_t bitOf(std::uint64_t counter) { return 1ULL << (counter % bitsPerWord); }

    /// Whether the bit of a ticket is still its own, not yet reused by a newer one.
    bool isTracked(const TicketLedger& ledger, std::uint64_t counter)
    {
        return counter + trackedTickets > ledger.issued;
    }

    TicketDecision decisionOf(TicketVerdict verdict) { return { verdict, nullptr, {} }; }

} // namespace

std::size_t accountedSize(const CachedResponse& response)
{
    std::size_t size = entryOverhead + response.body.size();
    for (const auto& header : response.headers)
        size += header.name.size() + header.value.size() + 2 * sizeof(std::string);
    return size;
}

RequestDigest digestOf(std::string_view method, std::string_view target, std::string_view body)
{
    RequestDigest digest;
    digest.high = stableHash(body, stableHash(target, stableHash(method)));
    digest.low = stableHash(body, stableHash(target, stableHash(method, lowDigestSeed)));
    return digest;
}

std::uint64_t issueTickets(TicketLedger& ledger, std::uint64_t count)
{
    if (ledger.dispatched.empty())
        ledger.dispatched.resize(trackedTickets / bitsPerWord);
    const auto first = ledger.issued + 1;
    for (std::uint64_t index = 0; index < count; ++index) {
        ++ledger.issued;
        wordOf(ledger, ledger.issued) &= ~bitOf(ledger.issued);
    }
    return first;
}

std::uint64_t lowWaterMark(const TicketLedger& ledger)
{
    return ledger.issued < ticketWindow ? 1 : ledger.issued - ticketWindow + 1;
}

TicketDecision claimTicket(
    TicketLedger& ledger, const TicketLimits& limits, std::uint64_t counter, const RequestDigest& digest, TimePoint now)
{
    if (counter == 0 || counter > ledger.issued)
        return decisionOf(TicketVerdict::NeverIssued);
    expireTickets(ledger, now);
    const auto found = ledger.entries.find(counter);
    if (found != ledger.entries.end()) {
        if (found->second.digest != digest)
            return decisionOf(TicketVerdict::KeyReused);
        if (!found->second.isFinished)
            return decisionOf(TicketVerdict::Running);
        return { TicketVerdict::Finished, found->second.cachedResponse, {} };
    }
    if (!isTracked(ledger, counter) || (wordOf(ledger, counter) & bitOf(counter)) != 0)
        return decisionOf(TicketVerdict::RetentionOver);
    if (counter < lowWaterMark(ledger))
        return decisionOf(TicketVerdict::BelowLowWaterMark);
    if (ledger.bytes >= limits.maxResponseBytes)
        return { TicketVerdict::ResponseStoreFull, nullptr,
            ledger.expiries.empty() ? now : ledger.expiries.front().at };
    wordOf(ledger, counter) |= bitOf(counter);
    ledger.entries[counter].digest = digest;
    return decisionOf(TicketVerdict::Dispatch);
}

void finishTicket(
    TicketLedger& ledger, const TicketLimits& limits, std::uint64_t counter, CachedResponsePtr response, TimePoint now)
{
    const auto found = ledger.entries.find(counter);
    if (found == ledger.entries.end() || found->second.isFinished)
        return;
    ledger.bytes += accountedSize(*response);
    found->second.isFinished = true;
    found->second.cachedResponse = std::move(response);
    ledger.expiries.push_back({ now + limits.retention, counter });
}

void releaseTicket(TicketLedger& ledger, std::uint64_t counter)
{
    const auto found = ledger.entries.find(counter);
    if (found == ledger.entries.end() || found->second.isFinished)
        return;
    ledger.entries.erase(found);
    if (isTracked(ledger, counter))
        wordOf(ledger, counter) &= ~bitOf(counter);
}

void expireTickets(TicketLedger& ledger, TimePoint now)
{
    while (!ledger.expiries.empty() && ledger.expiries.front().at <= now) {
        const auto found = ledger.entries.find(ledger.expiries.front().counter);
        ledger.expiries.pop_front();
        if (found == ledger.entries.end())
            continue;
        ledger.bytes -= accountedSize(*found->second.cachedResponse);
        ledger.entries.erase(found);
    }
}

} // namespace topaztack
