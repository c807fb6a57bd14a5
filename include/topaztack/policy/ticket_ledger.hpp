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
/// The tickets that one incarnation of one VM issued: whether each may still be dispatched, and the responses of those
/// that were.
///
/// Memory is bounded by the window of tickets (one bit each), the bytes of cached responses, and the retention.
/// A ticket below the low-water mark is never dispatched.

namespace topaztack {

/// @brief A header of a cached response.
struct CachedHeader {
    std::string name;
    std::string value;
};

/// @brief A complete response, shared by all repeats of its request.
struct CachedResponse : boost::intrusive_ref_counter<CachedResponse> {
    unsigned status { 0 };
    std::vector<CachedHeader> headers;
    std::string body;
};

using CachedResponsePtr = boost::intrusive_ptr<const CachedResponse>;

/// @brief The bytes that a cached response counts against the limit, including bookkeeping.
std::size_t accountedSize(const CachedResponse& response);

/// @brief A 128-bit digest by which a repeated request is recognised.
struct RequestDigest {
    std::uint64_t high { 0 };
    std::uint64_t low { 0 };

    bool operator==(const RequestDigest&) const = default;
};

/// @brief Computes the digest of a method, target and body.
/// @complexity linear in the three texts.
RequestDigest digestOf(std::string_view method, std::string_view target, std::string_view body);

/// @brief Bounds of a ledger.
struct TicketLimits {
    /// Time for which a response is kept after its request finished.
    std::chrono::microseconds retention { std::chrono::minutes(10) };
    /// Limit of the bytes of cached responses. Once it is reached, new requests are refused before dispatch.
    std::size_t maxResponseBytes { 128ULL * 1024 * 1024 };
};

/// Only this many of the newest tickets can still be dispatched.
inline constexpr std::uint64_t ticketWindow = 1ULL << 19;

/// @brief The state of one dispatched ticket.
struct TicketEntry {
    RequestDigest digest;
    bool isFinished { false };
    CachedResponsePtr cachedResponse;
};

/// @brief A finished ticket and the time when the retention of its response ends.
struct TicketExpiry {
    TimePoint at;
    std::uint64_t counter { 0 };
};

/// @brief The tickets of one incarnation.
struct TicketLedger {
    /// Counter of the newest ticket.
    std::uint64_t issued { 0 };
    /// One bit for each of the newest 2 * ticketWindow tickets: whether it was dispatched.
    std::vector<std::uint64_t> dispatched;
    std::unordered_map<std::uint64_t, TicketEntry> entries;
    std::deque<TicketExpiry> expiries;
    /// Bytes of cached responses.
    std::size_t bytes { 0 };
};

/// @brief The decision on a request with a ticket.
enum class TicketVerdict : std::uint8_t {
    /// Not dispatched before: the request may be dispatched now; `finishTicket` or `releaseTicket` must follow.
    Dispatch,
    /// The first request is still running.
    Running,
    /// The response is cached.
    Finished,
    /// A different request already used this ticket.
    KeyReused,
    /// This incarnation issued no such ticket.
    NeverIssued,
    /// It was or may have been dispatched, and its response is no longer kept.
    RetentionOver,
    /// It was never dispatched and, being below the low-water mark, never will be.
    BelowLowWaterMark,
    /// It was not dispatched: the cached responses are at their limit until `retryAt`.
    ResponseStoreFull,
};

/// @brief A decision with its details.
struct TicketDecision {
    TicketVerdict verdict { TicketVerdict::NeverIssued };
    /// Set if the verdict is Finished.
    CachedResponsePtr cachedResponse;
    /// Set if the verdict is ResponseStoreFull.
    TimePoint retryAt;
};

/// @brief Issues a block of tickets.
/// @return the counter of the first; the others follow it.
std::uint64_t issueTickets(TicketLedger& ledger, std::uint64_t count);

/// @brief The counter of the oldest ticket that can still be dispatched.
std::uint64_t lowWaterMark(const TicketLedger& ledger);

/// @brief Decides on a request with a ticket; marks it dispatched if the verdict is Dispatch.
/// @complexity amortised constant.
TicketDecision claimTicket(TicketLedger& ledger, const TicketLimits& limits, std::uint64_t counter,
    const RequestDigest& digest, TimePoint now);

/// @brief Caches the response of a dispatched ticket.
void finishTicket(
    TicketLedger& ledger, const TicketLimits& limits, std::uint64_t counter, CachedResponsePtr response, TimePoint now);

/// @brief Undoes a dispatch once it is proven that nothing ran; the ticket may be dispatched again.
void releaseTicket(TicketLedger& ledger, std::uint64_t counter);

/// @brief Drops responses whose retention has ended.
void expireTickets(TicketLedger& ledger, TimePoint now);

} // namespace topaztack
