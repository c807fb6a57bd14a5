#pragma once

#include "context.hpp"
#include "crash_records.hpp"
#include "server_table.hpp"

#include <boost/asio/awaitable.hpp>

/// @file
/// One request to a server of a plain service, and what its answer proves.

namespace topaztack {

enum class ServiceCallOutcome : std::uint8_t {
    /// The server's own answer, of any status.
    Answered,
    /// The server stated that it did not run the request.
    Refused,
    /// No byte of the request was written.
    NotReached,
    /// The request may have run: no answer, or one that is not valid.
    Unknown,
};

struct ServiceCallResult {
    ServiceCallOutcome outcome { ServiceCallOutcome::Unknown };
    /// Set if answered.
    std::optional<HttpResponse> response;
    /// Set unless answered.
    std::optional<Error> problem;
};

/// @brief Whether a status reports that the server failed.
inline bool isServerError(unsigned status) { return status >= 500; }

/// @brief Whether a status reports success.
inline bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

/// Servers that can't be reached don't count as attempts; after this many of them the request fails.
inline constexpr std::uint64_t maxUnreachedServers = 4;

/// @brief The response to a request for which no server's answer can be delivered.
/// @param mayHaveRun if false, the response says that it did not run, and when to come back.
/// @param problem of the last attempt; empty if no server was free.
/// @param retryAfter when the caller should come back, if the problem says so; empty for when a server may be free.
HttpResponse failureResponse(ServerTable& servers, const PoolName& pool, bool mayHaveRun,
    const std::optional<Error>& problem, const RequestId& id, std::optional<std::chrono::milliseconds> retryAfter = {});

/// @brief Time after which an attempt that may be repeated is abandoned for another server.
Duration repeatableAttemptTime(const Route& route);

/// @brief Logs an attempt that ended without a usable answer though the server may have run it.
void logBrokenAttempt(const RequestId& id, RequestContent& content, const ServerRecord& server,
    const ServerTable& servers, const std::optional<Error>& problem);

/// @brief Sends a request to a server that ServerTable::acquire() chose, and ends the request that was counted there.
/// @param id the request's id; an answer that carries another one is not accepted.
/// @param deadline end of the attempt.
/// @param requirements as passed to acquire().
boost::asio::awaitable<ServiceCallResult> callService(GatewayContext& context, ServerTable& servers,
    HttpRequest request, RequestId id, ServerRecord server, TimePoint deadline, CallControl& control,
    const ServerRequirements& requirements);

} // namespace topaztack
