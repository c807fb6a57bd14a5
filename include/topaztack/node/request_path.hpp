#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/policy/outcome.hpp>
#include <topaztack/policy/ticket_ledger.hpp>
#include <topaztack/wire/http.hpp>
#include <topaztack/wire/http_server.hpp>

#include <chrono>
#include <optional>
#include <string_view>

/// @file
/// What the filters of the request path share: headers, deadlines, answers with their outcome.

namespace topaztack {

/// Set by a VM on a request that it forwards: the ticket under which the home VM is to run it.
inline constexpr std::string_view ticketHeader = "Topaztack-Ticket";
/// By which callers behind one balancer are told apart.
inline constexpr std::string_view callerHeader = "Topaztack-Caller";

inline constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };

/// @brief One request on its way through the filters.
struct CallInHand {
    RequestId id;
    CallerName caller;
    TimePoint deadline;
    HttpRequest request;
};

/// @brief Adds the outcome header to an answer.
HttpResponse withOutcome(HttpResponse response, Outcome outcome);

/// @brief The answer for an error, with its outcome and, where asking again is the remedy, `Retry-After`.
HttpResponse errorWithOutcome(
    const Error& error, const RequestId& id, Outcome outcome, std::chrono::milliseconds retryAfter = defaultRetryAfter);

/// @brief An `unknown` answer that says whether asking again can settle it.
HttpResponse unknownAnswer(const Error& error, const RequestId& id, Settling settling);

/// @brief The outcome that an answer states; unknown if it states none.
Outcome statedOutcome(const HttpResponse& response);

/// @brief Headers that travel from end to end; those of topaztack itself are dropped from a caller's request.
std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader>& headers);

/// @brief Sets a header in place of all of that name.
void setHeader(std::vector<HttpHeader>& headers, std::string_view name, std::string value);

/// @brief The time that the caller allows (`Topaztack-Deadline-Ms`), else the pool's.
/// @return BadRequest if the header is not a number of milliseconds in 1..86400000.
Result<Duration> allowedTime(const HttpRequest& request, std::chrono::microseconds poolDeadline);

/// @brief Who sent a request: the name in `Topaztack-Caller`, else the address.
CallerName callerOf(const HttpExchange& exchange);

/// @brief Whether a method may be repeated by its meaning.
bool isReadOnly(std::string_view method);

CachedResponsePtr toKept(const HttpResponse& response);
HttpResponse fromKept(const CachedResponse& answer);

} // namespace topaztack
