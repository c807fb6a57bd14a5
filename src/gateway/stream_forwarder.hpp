#pragma once

#include "call_carrier.hpp"
#include "context.hpp"
#include "server_identity.hpp"
#include "server_reach.hpp"
#include "server_table.hpp"
#include "stream_origins.hpp"
#include "suspect_gate.hpp"
#include "usage_counter.hpp"

#include <topaztack/wire/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/intrusive/list.hpp>

#include <memory>
#include <set>

/// @file
/// Forwards callers' streams event by event. A stream that may be resumed goes on within the same answer at another
/// server of the software version that began it, and a caller may take it up at any VM.

namespace topaztack {

class StreamForwarder {
public:
    StreamForwarder(GatewayContext& context, ServerTable& servers, ServerIdentity& identity, StreamOrigins& origins,
        SoftwareRecords& software, SuspectGate& suspects, ServerReach& reach, CallCarrier& carrier,
        UsageCounter& usage);

    boost::asio::awaitable<void> handle(
        HttpExchange& exchange, const CallerRequest& call, const Route& route, CallOrigin origin);

    /// @brief Ends the attempts of streams that may be resumed at servers that stopped sending.
    void leaveServers(const std::set<BackendName>& silent);

    /// @brief Ends all attempts and makes no others: streams that have not begun are answered as possibly run.
    void abandonAll();

private:
    struct Forwarding;
    enum class AttemptEnd : std::uint8_t;

    /// One attempt at a server; listed while it lives.
    struct Attempt : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        explicit Attempt(ServerRecord server)
            : server(std::move(server))
        {
        }

        const ServerRecord server;
        CallControl control;
        TimePoint sentAt;
        bool isResumable { false };
        /// The server stopped sending on all of its streams.
        bool isServerSilent { false };
    };

    boost::asio::awaitable<void> answer(HttpExchange& exchange, Forwarding& forwarding);
    bool mayBeCarried(const Forwarding& forwarding) const;
    boost::asio::awaitable<void> carry(HttpExchange& exchange, Forwarding& forwarding);
    boost::asio::awaitable<bool> findOrigin(HttpExchange& exchange, Forwarding& forwarding);
    boost::asio::awaitable<void> forward(HttpExchange& exchange, Forwarding& forwarding);
    boost::asio::awaitable<SuspectGate::Entry> enter(Forwarding& forwarding, TimePoint waitUntil);
    boost::asio::awaitable<IdentityCheck> checkIdentity(ServerRecord server);
    boost::asio::awaitable<void> recordOrigin(RequestId attempt, ServerRecord server, std::shared_ptr<bool> isProven);
    boost::asio::awaitable<std::optional<ServerRecord>> chooseServer(HttpExchange& exchange, Forwarding& forwarding);
    boost::asio::awaitable<AttemptEnd> attempt(HttpExchange& exchange, Forwarding& forwarding, Attempt& attempt);
    boost::asio::awaitable<AttemptEnd> receive(HttpExchange& exchange, Forwarding& forwarding, Attempt& attempt,
        HttpStream& stream, const ServerResponseHead& answer);
    boost::asio::awaitable<AttemptEnd> passAnswer(
        HttpExchange& exchange, Forwarding& forwarding, Attempt& attempt, HttpStream& stream);
    boost::asio::awaitable<AttemptEnd> passEvents(
        HttpExchange& exchange, Forwarding& forwarding, Attempt& attempt, HttpStream& stream);
    boost::asio::awaitable<bool> passBytes(
        HttpExchange& exchange, Forwarding& forwarding, const HttpStream& stream, std::string_view bytes);
    static ServerOutcome toServerOutcome(AttemptEnd end);
    void recordFirstEvent(Forwarding& forwarding, const Attempt& attempt);
    bool mayContinue(const Forwarding& forwarding, AttemptEnd end) const;
    void finish(const HttpExchange& exchange, const Forwarding& forwarding);

    using OpenAttempts = boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<false>>;

    GatewayContext& context;
    ServerTable& servers;
    ServerIdentity& identity;
    StreamOrigins& origins;
    SoftwareRecords& software;
    SuspectGate& suspects;
    ServerReach& reach;
    CallCarrier& carrier;
    UsageCounter& usage;
    OpenAttempts open;
    bool isAbandoned { false };
    Counter& resumes;
    Counter& takenUp;
    Counter& originsUnknown;
    Counter& originsUnproven;
    LatencyHistogram& firstEventTime;
    LatencyHistogram& eventGap;
};

} // namespace topaztack
