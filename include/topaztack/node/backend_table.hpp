#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/policy/outcome.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

/// @file
/// Slots at backend servers: admission, queues and the choice of the backend server.

namespace topaztack {

struct BackendLoad {
    std::atomic<std::uint32_t> inFlight { 0 };
};

/// @brief Counts one request in flight at a backend server for as long as it lives.
class InFlightHold {
public:
    explicit InFlightHold(std::shared_ptr<BackendLoad> load)
        : load(std::move(load))
    {
        this->load->inFlight.fetch_add(1, std::memory_order_relaxed);
    }
    ~InFlightHold()
    {
        if (this->load)
            this->load->inFlight.fetch_sub(1, std::memory_order_relaxed);
    }
    InFlightHold(InFlightHold&&) = default;
    InFlightHold& operator=(InFlightHold&&) = delete;
    InFlightHold(const InFlightHold&) = delete;
    InFlightHold& operator=(const InFlightHold&) = delete;

private:
    std::shared_ptr<BackendLoad> load;
};

/// @brief A chosen backend server and the slot held there.
struct ChosenBackend {
    BackendSettings backend;
    InFlightHold hold;
};

/// @brief What a request asks of a pool.
struct SlotRequest {
    PoolName pool;
    RequestClass requestClass { RequestClass::Rollout };
    /// Empty for a caller's own request.
    TrainerName trainer;
    CallerName caller;
    TimePoint deadline;
    /// Prompt's blocks, for the prefix cache.
    std::vector<std::uint64_t> blocks;
    std::vector<BackendName> avoid;
    WeightVersion oldestVersion;
};

/// @brief Why no slot is given, and when to come back.
struct SlotRefusal {
    Error error;
    std::chrono::milliseconds retryAfter { std::chrono::seconds(1) };
};

using SlotResult = boost::outcome_v2::basic_result<ChosenBackend, SlotRefusal, boost::outcome_v2::policy::terminate>;

class BackendTable {
public:
    explicit BackendTable(NodeContext& context);

    /// @brief Waits for a slot at a backend server of the pool.
    /// @return NoBackendServer, QueueFull, Overloaded or DeadlineTooShort, at once when it is decided.
    boost::asio::awaitable<SlotResult> acquire(SlotRequest request);

private:
    std::shared_ptr<BackendLoad> loadOf(const BackendName& name);

    NodeContext& context;
    std::mutex lock;
    std::map<BackendName, std::shared_ptr<BackendLoad>> loads;
};

} // namespace topaztack
