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
/// The choice of a backend server with a free slot: prefix affinity weighed against load, own data centre first, a few
/// candidates drawn at random so that VMs with the same late reports don't flock to one.

namespace topaztack {

/// @brief One backend server as one VM sees it.
struct ServerState {
    BackendName name;
    std::uint64_t nameHash { 0 };
    DataCentre dataCentre;
    bool isLocal { false };
    bool isDraining { false };
    /// Whether rollouts may start there: its weight version is known and no swap is under way.
    bool takesRollouts { true };
    /// The same by its own last report.
    bool reportsReady { true };
    /// Nothing if it is not known.
    std::optional<WeightVersion> version;
    SlotShare share;
    /// Slots used beyond the share.
    std::uint32_t borrowed { 0 };
    /// Requests of this VM in flight there.
    std::uint32_t inFlight { 0 };
    LoadReport report;
    ServerHealth health;
};

/// @brief The rule by which a backend server is chosen. All but `LowestCost` are baselines for measurements.
enum class RoutingRule : std::uint8_t {
    LowestCost,
    LeastInFlight,
    RoundRobin,
    RandomChoice,
};

/// @brief What the choice depends on beside the table.
struct RouteQuery {
    std::span<const std::uint64_t> blocks;
    std::span<const ServerIndex> avoid;
    /// Engines whose version is known to be older are passed over.
    WeightVersion oldestVersion;
    bool isRollout { false };
};

struct RoutingTable {
    std::vector<ServerState> servers;
    std::uint64_t limit { 8 };
    PoolHealth health;
    PrefixView prefixes;
    RoutingRule rule { RoutingRule::LowestCost };
    std::size_t nextRoundRobin { 0 };
};

/// @brief Slots free for this VM at a backend server now.
std::uint32_t freeSlots(const ServerState& server, TimePoint now);

/// @brief Whether a request may go to a backend server, its slots apart.
bool isEligible(const ServerState& server, ServerIndex index, const RouteQuery& query);

/// @brief Chooses a backend server with a free slot.
/// @return nothing if none has one.
/// @complexity constant while slots are free; linear in the VM's backend servers when almost none is.
std::optional<ServerIndex> chooseServer(RoutingTable& table, const RouteQuery& query, TimePoint now, Random& random);

} // namespace topaztack
