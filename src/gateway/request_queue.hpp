#pragma once

#include "context.hpp"
#include "notifier.hpp"
#include "server_reach.hpp"
#include "service_call.hpp"
#include "suspect_gate.hpp"
#include "usage_exchange.hpp"

#include <topaztack/policy/admission.hpp>
#include <topaztack/wire/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <memory>

/// @file
/// Lets plain requests wait for a server of their pool while none has capacity, in the order of policy/fair_queue, if
/// the configuration has workspaces.

namespace topaztack {

/// @brief One caller's request on its way to a server, over all its attempts. What it refers to must outlive it.
struct QueuedCall {
    HttpExchange& exchange;
    SuspectPass& pass;
    ServerRequirements& requirements;
    const Route& route;
    RequestId id;
    WorkspaceName workspace;
    std::uint64_t rank { 0 };
    TimePoint arrivedAt;
    TimePoint deadline;
    /// Answers by which servers stated that they did not run it.
    std::uint64_t refusals { 0 };
    bool isCounted { false };
    /// Time for which it waited.
    Duration waited {};
};

class RequestQueue {
public:
    RequestQueue(GatewayContext& context, ServerTable& servers, SuspectGate& suspects, ServerReach& reach,
        const PeerDirectory& peers);

    /// @brief Whether requests may wait: the configuration has workspaces.
    bool isUsed() const { return this->context.routes && this->context.routes->hasWorkspaces; }

    /// @brief Chooses a server as SuspectGate::enter() does, and waits for one within the request's objective if need
    /// be. With a server, recordResult() or cancel() must follow.
    boost::asio::awaitable<SuspectGate::Entry> enter(QueuedCall& call);

    /// @brief Records how an attempt ended.
    /// @param took time from its sending.
    void recordResult(QueuedCall& call, const ServiceCallResult& result, Duration took);

    /// @brief Records that the request was not sent to the server that enter() chose.
    void cancel(const QueuedCall& call);

    /// @brief Drops what is out of date.
    void expire();

    /// @brief Answers another VM's report on what workspaces use.
    HttpResponse answer(const HttpRequest& request) { return this->exchange.answer(request); }

    boost::json::value dump() const;

private:
    enum class WaiterState : std::uint8_t { Waiting, Chosen, Late, Displaced, CallerGone, CutOff };

    struct Waiter {
        explicit Waiter(boost::asio::io_context& loop)
            : signal(loop)
        {
        }

        void end(WaiterState reason)
        {
            this->state = reason;
            this->signal.notify();
        }

        WaiterState state { WaiterState::Waiting };
        WaitingRequest request;
        Notifier signal;
    };

    struct Pool {
        explicit Pool(boost::asio::io_context& loop)
            : turnEnded(loop)
        {
        }

        PoolQueue state;
        std::map<WorkspaceName, std::uint64_t> ranks;
        std::map<RouteName, ServiceTime> serviceTimes;
        std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
        bool isServed { false };
        /// Whether the last request that was chosen found a server.
        bool hasFoundServer { false };
        /// Notified when the chosen request has asked for a server.
        Notifier turnEnded;
        TimePoint refusalLoggedAt;
        std::uint64_t refusalsNotLogged { 0 };
    };

    Pool& poolOf(const PoolName& name);
    WorkspaceUses usesOf(const PoolName& name);
    WaitingRequest describe(const QueuedCall& call, Pool& pool) const;
    boost::asio::awaitable<SuspectGate::Entry> wait(QueuedCall& call, WaitingRequest request);
    boost::asio::awaitable<void> serve(PoolName name);
    bool chooseNext(Pool& pool);
    void endWaiters(Pool& pool, const std::vector<std::uint64_t>& numbers, WaiterState reason);
    SuspectGate::Entry refuse(QueuedCall& call, const WaitingRequest& request, const AdmissionDecision& admission);
    SuspectGate::Entry refuseWaiter(QueuedCall& call, const WaitingRequest& request, WaiterState reason);
    void recordSend(QueuedCall& call, Pool& pool);
    Counter& refusalsOf(const WorkspaceName& workspace);

    GatewayContext& context;
    ServerTable& servers;
    SuspectGate& suspects;
    ServerReach& reach;
    UsageExchange exchange;
    std::map<PoolName, std::unique_ptr<Pool>> pools;
    std::map<WorkspaceName, Counter*> refusalCounters;
    Counter& queued;
    Gauge& length;
    LatencyHistogram& waits;
};

} // namespace topaztack
