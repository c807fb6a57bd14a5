#pragma once

#include <topaztack/node/context.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

/// @file
/// This VM's own view of each backend server: requests in flight.

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

/// @brief A chosen backend server and the count it is under.
struct ChosenBackend {
    BackendSettings backend;
    InFlightHold hold;
};

class BackendTable {
public:
    explicit BackendTable(NodeContext& context);

    /// @brief Chooses the backend server of a pool with the least in flight here, own data centre first.
    /// @return NoBackendServer if the pool has none in use.
    Result<ChosenBackend> choose(const Document& document, const PoolName& pool);

private:
    std::shared_ptr<BackendLoad> loadOf(const BackendName& name);

    NodeContext& context;
    std::mutex lock;
    std::map<BackendName, std::shared_ptr<BackendLoad>> loads;
};

} // namespace topaztack
