#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/policy/prefix_view.hpp>
#include <topaztack/policy/server_health.hpp>
#include <topaztack/policy/slot_share.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/// @file
/// The choice of a backend server with a free slot. The cost of a server is its load, less a discount for a cached
/// prefix, plus a penalty outside this data centre. Only a few random candidates are compared, so that VMs with the
/// same outdated load reports don't all choose the same server (thundering herd).

namespace topaztack {

/// @brief The state of one backend server as one VM knows it.
struct ServerState {
    BackendName name;
    std::uint64_t nameHash { 0 };
    DataCentre dataCentre;
    bool isLocal { false };
    bool isDraining { false };
    /// Whether rollouts may start there: its weight version is known and no weights are being swapped.
    bool takesRollouts { true };
    /// The same, according to its own last report.
    bool reportsReady { true };
    /// Nothing if the version is not known.
    std::optional<WeightVersion> version;
    SlotShare share;
    /// Slots used beyond the share.
    std::uint32_t borrowed { 0 };
    /// Requests of this VM in flight there.
    std::uint32_t inFlight { 0 };
    LoadReport report;
    ServerHealth health;
};

/// @brief The rule by which a backend server is chosen. All but `LowestCost` are baselines for benchmarks.
enum class RoutingRule : std::uint8_t {
    LowestCost,
    LeastInFlight,
    RoundRobin,
    RandomChoice,
};

/// @brief The request-specific input of the choice.
struct RouteQuery {
    /// Hashes of the prompt's blocks.
    std::span<const std::uint64_t> blocks;
    /// Backend servers that must not be chosen.
    std::span<const ServerIndex> avoid;
    /// For rollouts, engines with a known older version are skipped.
    WeightVersion oldestVersion;
    bool isRollout { false };
};

/// @brief The backend servers of a pool and the state of the choice.
struct RoutingTable {
    std::vector<ServerState> servers;
    /// Slots of each backend server, shared by all VMs.
    std::uint64_t limit { 8 };
    PoolHealth health;
    PrefixView prefixes;
    RoutingRule rule { RoutingRule::LowestCost };
    std::size_t nextRoundRobin { 0 };
};

/// @brief The number of slots that are free for this VM at a backend server.
std::uint32_t freeSlots(const ServerState& server, TimePoint now);

/// @brief Whether a request may go to a backend server, regardless of free slots.
bool isEligible(const ServerState& server, ServerIndex index, const RouteQuery& query);

/// @brief Chooses a backend server with a free slot.
/// @return nothing if no eligible server has a free slot.
/// @complexity for `LowestCost`, constant while slots are free, linear in the number of backend servers when almost
/// none is.
std::optional<ServerIndex> chooseServer(RoutingTable& table, const RouteQuery& query, TimePoint now, Random& random);

} // namespace topaztack
