#pragma once

#include <topaztack/node/backend_table.hpp>
#include <topaztack/node/caller_limits.hpp>
#include <topaztack/node/claim_desk.hpp>
#include <topaztack/node/crash_memory.hpp>
#include <topaztack/node/forwarder.hpp>
#include <topaztack/node/request_path.hpp>
#include <topaztack/node/retry_desk.hpp>
#include <topaztack/node/ticket_desk.hpp>
#include <topaztack/wire/http_router.hpp>

#include <atomic>

/// @file
/// The request path of plain services: `/v1/services/{pool}/{path}`.

namespace topaztack {

class RequestStateMachine;

class ServiceRelay {
public:
    ServiceRelay(NodeContext& context, BackendTable& backends, TicketDesk& tickets, ClaimDesk& claims,
        Forwarder& forwarder, RetryDesk& retries, CallerLimits& callerLimits, CrashMemory& crashes);

    void addRoutes(HttpRouter& callers);

    /// @brief Settles a request that another VM sent here because this one issued its ticket.
    boost::asio::awaitable<HttpResponse> handleForwarded(ForwardedCall forwarded);

    /// @brief Requests of other VMs that have no answer yet.
    std::size_t forwardedInHand() const { return this->forwardedCount.load(std::memory_order_relaxed); }

private:
    /// What one attempt came to.
    struct Attempt {
        HttpResponse response;
        bool wasFree { false };
    };

    boost::asio::awaitable<void> handle(HttpExchange& exchange);
    boost::asio::awaitable<HttpResponse> settleForwarded(ForwardedCall forwarded);
    boost::asio::awaitable<HttpResponse> answer(CallInHand call);
    boost::asio::awaitable<HttpResponse> relay(CallInHand call);
    boost::asio::awaitable<HttpResponse> attemptAll(CallInHand call, AcceptedDocumentPtr accepted, PoolName poolName);
    boost::asio::awaitable<Attempt> attempt(
        const CallInHand& call, const PoolSettings& pool, ChosenBackend& chosen, RequestStateMachine& machine);
    boost::asio::awaitable<HttpResponse> settleOwnKey(IdempotencyKey key, CallInHand call);
    boost::asio::awaitable<HttpResponse> answerStoreOut(RowKey row, CallInHand call);
    boost::asio::awaitable<HttpResponse> settleTicket(TicketId ticket, CallInHand call);

    NodeContext& context;
    BackendTable& backends;
    TicketDesk& tickets;
    ClaimDesk& claims;
    Forwarder& forwarder;
    RetryDesk& retries;
    CallerLimits& callerLimits;
    CrashMemory& crashes;
    std::atomic<std::size_t> forwardedCount { 0 };
};

} // namespace topaztack
