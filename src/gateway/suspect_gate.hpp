#pragma once

#include "crash_records.hpp"
#include "server_table.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

/// @file
/// Lets callers' requests to servers according to what is known of servers that ended under them: most at once,
/// suspected ones alone and only where a server can be spared, those that crash servers not at all.

namespace topaztack {

/// @brief One request's way past the gate, over all its attempts. The caller's request must outlive it.
struct SuspectPass {
    SuspectPass(const CallerRequest& call, const HttpRequest& request)
        : content(call, request)
    {
    }

    RequestContent content;
    /// The server that the present attempt runs at, if the request is suspected.
    std::optional<ServerStart> server;
    /// Whether that server is reserved for it.
    bool isReserved { false };
    /// Set with a refusal: when the caller should come back.
    std::optional<std::chrono::milliseconds> retryAfter;
};

class SuspectGate {
public:
    /// @brief A server for an attempt, counted as ServerTable::acquire() does.
    struct Entry {
        std::optional<ServerRecord> server;
        /// Set if the request is kept from servers that could take it.
        std::optional<Error> refusal;
    };

    SuspectGate(GatewayContext& context, ServerTable& servers, CrashRecords& crashes);

    /// @brief Chooses a server for an attempt.
    /// @param waitUntil how long a suspected request may wait for the others.
    boost::asio::awaitable<Entry> enter(SuspectPass& pass, ServerRequirements& requirements, TimePoint waitUntil);

    /// @brief Ends the attempt.
    void release(SuspectPass& pass);

    /// @brief Records that the attempt's connection broke. Counts against the request if the server ended.
    boost::asio::awaitable<void> recordBreak(SuspectPass& pass, ServerRecord server);

    /// @brief Records that a server ran the request and went on.
    void recordRun(SuspectPass& pass) { this->crashes.recordRun(pass.content); }

    /// @brief Ends the request; to be called before its caller is told of a failure.
    boost::asio::awaitable<void> leave(SuspectPass& pass);

private:
    boost::asio::awaitable<Entry> enterAlone(SuspectPass& pass, ServerRequirements& requirements, TimePoint waitUntil);
    static Entry refuse(SuspectPass& pass, std::string message, std::chrono::milliseconds retryAfter);

    GatewayContext& context;
    ServerTable& servers;
    CrashRecords& crashes;
    Counter& heldRefusals;
    Counter& suspectRefusals;
};

} // namespace topaztack
