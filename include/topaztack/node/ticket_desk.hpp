#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/node/request_path.hpp>
#include <topaztack/policy/ticket_ledger.hpp>
#include <topaztack/wire/http_router.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

/// @file
/// Issues tickets and runs each request that uses one at most once: the ledger of this incarnation, with its lock.

namespace topaztack {

/// @brief Runs a request; called at most once for a ticket unless the answer before stated `not-run`.
using TicketWork = std::function<boost::asio::awaitable<HttpResponse>(CallInHand)>;

class TicketDesk {
public:
    explicit TicketDesk(NodeContext& context);

    /// @brief Adds `POST /v1/tickets` to the callers' paths.
    void addRoutes(HttpRouter& callers);

    /// @brief One ticket for a request of this VM's own callers.
    TicketId issue();

    /// @brief Runs a request under a ticket of this incarnation, or repeats what became of it.
    ///
    /// A repeat that comes while the first is running waits for its answer until its own deadline.
    /// @return an answer that states its outcome.
    boost::asio::awaitable<HttpResponse> runOnce(std::uint64_t counter, CallInHand call, TicketWork work);

    /// @brief Forgets answers whose retention is over.
    void expire();

    /// @brief Answers kept that nobody can ask for once this process has ended.
    std::size_t kept() const;

    boost::json::value dump() const;

private:
    /// A repeat that waits for the first answer, on its own thread.
    struct Waiter {
        boost::asio::steady_timer timer;
        bool isWoken { false };
    };

    TicketLimits limits() const;
    TicketDecision claim(std::uint64_t counter, const CallInHand& call, std::shared_ptr<Waiter>& waiter);
    void settle(std::uint64_t counter, const HttpResponse& response);
    void wake(const std::vector<std::shared_ptr<Waiter>>& waiters);
    boost::asio::awaitable<void> waitFor(std::shared_ptr<Waiter> waiter, TimePoint deadline);
    boost::asio::awaitable<void> handleIssue(HttpExchange& exchange);

    NodeContext& context;
    mutable std::mutex lock;
    TicketLedger ledger;
    std::unordered_map<std::uint64_t, std::vector<std::shared_ptr<Waiter>>> waiting;
    Counter& repeats;
};

} // namespace topaztack
