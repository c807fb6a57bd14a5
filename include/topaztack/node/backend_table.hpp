#pragma once

#include <topaztack/node/slot_pool.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

/// @file
/// Slots at the backend servers of all pools, and what the backend servers report of themselves.

namespace topaztack {

/// @brief A chosen backend server and the slot held there.
struct ChosenBackend {
    BackendSettings backend;
    SlotHold hold;
};

/// @brief What a request asks of a pool.
struct SlotRequest {
    PoolName pool;
    RequestClass requestClass { RequestClass::Rollout };
    /// Empty for a caller's own request.
    TrainerName trainer;
    TimePoint deadline;
    /// Prompt's blocks, for the prefix cache.
    std::vector<std::uint64_t> blocks;
    std::vector<BackendName> avoid;
    bool mayUseAvoided { false };
    WeightVersion oldestVersion;
    bool isRollout { false };
};

using SlotResult = boost::outcome_v2::basic_result<ChosenBackend, NoSlot, boost::outcome_v2::policy::terminate>;

class BackendTable {
public:
    explicit BackendTable(NodeContext& context);

    /// @brief Starts to follow the document and the engines' reports, on thread 0.
    void start();

    /// @brief Waits for a slot at a backend server of the pool.
    /// @return NoBackendServer, QueueFull, Overloaded or DeadlineTooShort, at once when it is decided.
    boost::asio::awaitable<SlotResult> acquire(SlotRequest request);

    boost::json::value dump() const;

private:
    std::shared_ptr<SlotPool> poolOf(const PoolName& name);
    void takeDocument(const AcceptedDocument& accepted);
    std::vector<std::shared_ptr<SlotPool>> allPools(const AcceptedDocument& accepted);
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> pollEngines();
    boost::asio::awaitable<void> pollEngine(std::shared_ptr<SlotPool> pool, BackendSettings backend);
    boost::asio::awaitable<void> pollEvents(std::shared_ptr<SlotPool> pool, BackendSettings backend);
    boost::asio::awaitable<void> pollVmList();

    NodeContext& context;
    mutable std::mutex lock;
    std::map<PoolName, std::shared_ptr<SlotPool>> pools;
    ConfigVersion refreshedFor;
    /// Used on thread 0 only: where each engine's events go on, and engines with a poll under way.
    std::unordered_map<BackendName, std::uint64_t> nextEvent;
    std::unordered_map<BackendName, bool> isPolled;
};

} // namespace topaztack
