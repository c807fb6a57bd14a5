#pragma once

#include <topaztack/base/time.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// The tickets of one incarnation of one VM: which may be dispatched, and what became of those that were.
///
/// Memory is bounded by the window of tickets (one bit each), by the bytes of kept answers, and by the retention.
/// A ticket below the low-water mark is never dispatched.

namespace topaztack {

/// @brief A header of a kept answer.
struct CachedHeader {
    std::string name;
    std::string value;
};

/// @brief A whole answer, shared by all who repeat its request.
struct CachedResponse : boost::intrusive_ref_counter<CachedResponse> {
    unsigned status { 0 };
    std::vector<CachedHeader> headers;
    std::string body;
};

using CachedResponsePtr = boost::intrusive_ptr<const CachedResponse>;

/// @brief Bytes that a kept answer counts for.
std::size_t accountedSize(const CachedResponse& cachedResponse);

/// @brief 128 bits by which a request is recognised as the same one.
struct RequestDigest {
    std::uint64_t high { 0 };
    std::uint64_t low { 0 };

    bool operator==(const RequestDigest&) const = default;
};

/// @brief The digest of a method, target and body.
/// @complexity linear in the three texts.
RequestDigest digestOf(std::string_view method, std::string_view target, std::string_view body);

/// @brief Bounds of a ledger.
struct TicketLimits {
    /// Time for which an answer is kept after its request finished.
    std::chrono::microseconds retention { std::chrono::minutes(10) };
    /// Bytes of answers kept at most; a request that comes above it is refused before it is dispatched.
    std::size_t maxResponseBytes { 128ULL * 1024 * 1024 };
};

/// Tickets that can still be dispatched: the newest so many.
inline constexpr std::uint64_t ticketWindow = 1ULL << 19;

/// @brief What became of one dispatched ticket.
struct TicketEntry {
    RequestDigest digest;
    bool isFinished { false };
    CachedResponsePtr cachedResponse;
};

/// @brief A finished ticket and the time from which its answer need not be kept.
struct TicketExpiry {
    TimePoint at;
    std::uint64_t counter { 0 };
};

/// @brief State of the ledger.
struct TicketLedger {
    std::uint64_t issued { 0 };
    /// One bit for each of the newest 2 * ticketWindow tickets: whether it was dispatched.
    std::vector<std::uint64_t> dispatched;
    std::unordered_map<std::uint64_t, TicketEntry> entries;
    std::deque<TicketExpiry> expiries;
    std::size_t bytes { 0 };
};

/// @brief What a request with a ticket is to be told or may do.
enum class TicketVerdict : std::uint8_t {
    /// Nobody dispatched it: the asker may, and must report back by `finishTicket` or `releaseTicket`.
    Dispatch,
    /// The first request is still running.
    Running,
    /// The answer is kept.
    Finished,
    /// Another request used this ticket.
    KeyReused,
    /// This incarnation issued no such ticket.
    NeverIssued,
    /// It was dispatched, or may have been, and its answer is no longer kept.
    RetentionOver,
    /// It was never dispatched and is below the low-water mark: it never will be.
    BelowLowWaterMark,
    /// It was not dispatched: there is no room to keep its answer until `retryAt`.
    ResponseStoreFull,
};

struct TicketDecision {
    TicketVerdict verdict { TicketVerdict::NeverIssued };
    CachedResponsePtr cachedResponse;
    TimePoint retryAt;
};

/// @brief Issues a block of tickets.
/// @return the counter of the first; the others follow it.
std::uint64_t issueTickets(TicketLedger& ledger, std::uint64_t count);

/// @brief Tickets below this counter are never dispatched.
std::uint64_t lowWaterMark(const TicketLedger& ledger);

/// @brief Decides on a request with a ticket; marks it dispatched if the verdict is Dispatch.
/// @complexity amortised constant.
TicketDecision claimTicket(TicketLedger& ledger, const TicketLimits& limits, std::uint64_t counter,
    const RequestDigest& digest, TimePoint now);

/// @brief Keeps the answer of a dispatched ticket.
void finishTicket(TicketLedger& ledger, const TicketLimits& limits, std::uint64_t counter,
    CachedResponsePtr cachedResponse, TimePoint now);

/// @brief Takes a dispatch back after proof that nothing ran; the ticket may be dispatched again.
void releaseTicket(TicketLedger& ledger, std::uint64_t counter);

/// @brief Forgets answers whose retention is over.
void expireTickets(TicketLedger& ledger, TimePoint now);

} // namespace topaztack
