#include <topaztack/policy/ticket_ledger.hpp>

#include <topaztack/base/random.hpp>

namespace topaztack {

namespace {

    constexpr std::uint64_t rememberedTickets = 2 * ticketWindow;
    constexpr std::uint64_t bitsPerWord = 64;
    constexpr std::uint64_t lowSeed = 0x746f7061ULL;
    /// Bookkeeping of one entry beside its answer.
    constexpr std::size_t entrySize = 128;

    std::uint64_t& wordOf(TicketLedger& ledger, std::uint64_t counter)
    {
        return ledger.dispatched[counter % rememberedTickets / bitsPerWord];
    }

    std::uint64_t bitOf(std::uint64_t counter) { return 1ULL << (counter % bitsPerWord); }

    bool isRemembered(const TicketLedger& ledger, std::uint64_t counter)
    {
        return counter + rememberedTickets > ledger.issued;
    }

    TicketDecision verdict(TicketVerdict value) { return { value, nullptr, {} }; }

} // namespace

std::size_t accountedSize(const CachedResponse& cachedResponse)
{
    std::size_t size = entrySize + cachedResponse.body.size();
    for (const auto& header : cachedResponse.headers)
        size += header.name.size() + header.value.size() + 2 * sizeof(std::string);
    return size;
}

RequestDigest digestOf(std::string_view method, std::string_view target, std::string_view body)
{
    RequestDigest digest;
    digest.high = stableHash(body, stableHash(target, stableHash(method)));
    digest.low = stableHash(body, stableHash(target, stableHash(method, lowSeed)));
    return digest;
}

std::uint64_t issueTickets(TicketLedger& ledger, std::uint64_t count)
{
    if (ledger.dispatched.empty())
        ledger.dispatched.resize(rememberedTickets / bitsPerWord);
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
        return verdict(TicketVerdict::NeverIssued);
    expireTickets(ledger, now);
    const auto found = ledger.entries.find(counter);
    if (found != ledger.entries.end()) {
        if (found->second.digest != digest)
            return verdict(TicketVerdict::KeyReused);
        if (!found->second.isFinished)
            return verdict(TicketVerdict::Running);
        return { TicketVerdict::Finished, found->second.cachedResponse, {} };
    }
    if (!isRemembered(ledger, counter) || (wordOf(ledger, counter) & bitOf(counter)) != 0)
        return verdict(TicketVerdict::RetentionOver);
    if (counter < lowWaterMark(ledger))
        return verdict(TicketVerdict::BelowLowWaterMark);
    if (ledger.bytes >= limits.maxResponseBytes)
        return { TicketVerdict::ResponseStoreFull, nullptr,
            ledger.expiries.empty() ? now : ledger.expiries.front().at };
    wordOf(ledger, counter) |= bitOf(counter);
    ledger.entries[counter].digest = digest;
    return verdict(TicketVerdict::Dispatch);
}

void finishTicket(TicketLedger& ledger, const TicketLimits& limits, std::uint64_t counter,
    CachedResponsePtr cachedResponse, TimePoint now)
{
    const auto found = ledger.entries.find(counter);
    if (found == ledger.entries.end() || found->second.isFinished)
        return;
    ledger.bytes += accountedSize(*cachedResponse);
    found->second.isFinished = true;
    found->second.cachedResponse = std::move(cachedResponse);
    ledger.expiries.push_back({ now + limits.retention, counter });
}

void releaseTicket(TicketLedger& ledger, std::uint64_t counter)
{
    const auto found = ledger.entries.find(counter);
    if (found == ledger.entries.end() || found->second.isFinished)
        return;
    ledger.entries.erase(found);
    if (isRemembered(ledger, counter))
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
