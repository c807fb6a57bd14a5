#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/policy/pool_scheduler.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <unordered_map>

/// @file
/// The slots of one pool: the scheduler's state behind a lock that is held for a decision only, and those who wait.

namespace topaztack {

/// @brief Why no slot is given, and when to come back.
struct NoSlot {
    Error error;
    std::chrono::milliseconds retryAfter { std::chrono::seconds(1) };
};

/// @brief A slot given: which backend server.
using SlotAnswer = boost::outcome_v2::basic_result<BackendName, NoSlot, boost::outcome_v2::policy::terminate>;

class SlotPool {
public:
    SlotPool(NodeContext& context, PoolName name);

    /// @brief Puts the backend servers of a document, membership and weight versions in place.
    void refresh(const Document& document);

    /// @brief Waits for a slot; a refusal comes as soon as it is decided.
    boost::asio::awaitable<SlotAnswer> acquire(AdmissionRequest ask);

    void giveBack(const BackendName& server, RequestClass requestClass, const AttemptReport& report);

    /// @brief Settles those who wait as far as time alone decides: ejections that end, deadlines that pass.
    void tick();

    void noteReport(const BackendName& server, const LoadReport& report, bool takesRollouts);
    void noteSign(const BackendName& server, HealthSignal healthSignal, std::chrono::microseconds took);
    void noteLeaving(const BackendName& server);
    void noteCacheEvents(
        const BackendName& server, const std::vector<std::uint64_t>& stored, const std::vector<std::uint64_t>& evicted);

    /// @brief The backend servers that this VM uses.
    std::vector<BackendName> servers() const;

    boost::json::value dump() const;

private:
    /// A request that waits, on its own thread.
    struct Waiter {
        explicit Waiter(boost::asio::io_context& loop)
            : timer(loop)
        {
        }
        boost::asio::steady_timer timer;
        bool isSettled { false };
        std::optional<BackendName> server;
        ErrorKind kind { ErrorKind::DeadlineTooShort };
        std::chrono::milliseconds retryAfter { 1000 };
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    std::vector<ServerState> statesFor(const Document& document, const PoolSettings& settings) const;
    SlotAnswer decide(AdmissionRequest ask, WaiterPtr& waiter);
    void pumpLocked();
    void settle(
        std::uint64_t id, std::optional<BackendName> server, ErrorKind kind, std::chrono::milliseconds retryAfter);
    NoSlot refusal(ErrorKind kind, std::chrono::milliseconds retryAfter) const;
    ServerState* find(const BackendName& server);

    NodeContext& context;
    const PoolName name;
    mutable std::mutex lock;
    PoolScheduler scheduler;
    std::unordered_map<std::uint64_t, WaiterPtr> waiters;
    std::uint64_t nextId { 1 };
    Random random;
    Counter& granted;
    Counter& refused;
    Gauge& waiting;
};

/// @brief Changes if the VMs that share slots do.
std::uint64_t slotHoldersDigest(const NodeContext& context);

/// @brief A slot at a backend server, held for as long as this lives.
class SlotHold {
public:
    SlotHold(std::shared_ptr<SlotPool> pool, BackendName server, RequestClass requestClass)
        : pool(std::move(pool))
        , server(std::move(server))
        , requestClass(requestClass)
        , since(Clock::now())
    {
    }
    ~SlotHold()
    {
        if (this->pool)
            this->pool->giveBack(this->server, this->requestClass, this->report);
    }
    SlotHold(SlotHold&&) = default;
    SlotHold& operator=(SlotHold&&) = delete;
    SlotHold(const SlotHold&) = delete;
    SlotHold& operator=(const SlotHold&) = delete;

    /// @brief Notes what the attempt showed of the backend server.
    void note(HealthSignal healthSignal)
    {
        this->report.healthSignal = healthSignal;
        this->report.took = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - this->since);
    }

    /// @brief Notes that the backend server said that it is leaving.
    void noteLeaving() { this->pool->noteLeaving(this->server); }

private:
    std::shared_ptr<SlotPool> pool;
    BackendName server;
    RequestClass requestClass;
    TimePoint since;
    AttemptReport report;
};

} // namespace topaztack
