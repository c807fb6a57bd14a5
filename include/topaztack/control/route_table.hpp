#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/control/workspace_keys.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Routing configuration of a gateway: which pool serves a request, by host and path, and which limits apply.

namespace topaztack {

/// @brief How a route's requests are executed and repeated.
enum class RouteKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt made by the caller.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless the stream can be resumed.
    Streaming,
    /// Accepts jobs with many items, which run asynchronously.
    Batch,
};

/// @brief A pool and its weight in the distribution of a route's requests.
struct PoolShare {
    PoolName pool;
    std::uint64_t weight { 1 };
};

/// @brief Requests to one host and path prefix, and how they are served.
struct Route {
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind { RouteKind::NonIdempotent };
    /// Maximum time for which a request may wait.
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds latencyObjective { 0 };
    /// 0 is the most urgent.
    std::uint64_t priority { 0 };
    std::vector<PoolShare> pools;
    /// Maximum number of backend servers to which one request is sent. For an item of a job, the maximum number of
    /// answers that report a failure.
    std::uint64_t maxAttempts { 1 };
    /// Time after submission of a job from which its items may be abandoned.
    std::chrono::milliseconds retention { 0 };
    /// Time after submission by which all results of a job should be available.
    std::chrono::milliseconds jobTarget { 0 };
    /// Whether a result must be produced by a single weight version.
    bool isSingleVersion { false };
    /// Whether an interrupted stream can be resumed.
    bool isResumable { false };
    /// Whether callers need no key, though the configuration has workspaces.
    bool isPublic { false };
};

/// @brief Capacity and models of a pool's engines.
struct EngineCapacity {
    std::uint64_t slots { 0 };
    std::uint64_t cacheTokens { 0 };
    std::vector<ModelName> models;
};

/// @brief How many servers of a pool may be ordered in each data centre, and what they cost.
struct PoolScalingLimits {
    std::uint64_t min { 0 };
    std::uint64_t max { 0 };
    /// Time until an ordered server serves.
    std::chrono::milliseconds bootTime { 0 };
    /// Price of a server that may be reclaimed, as a fraction of the price of another one; empty if there are none.
    std::optional<double> reclaimablePrice;
    /// Price of a second of a server.
    std::map<DataCentre, double> prices;
};

/// @brief Configuration of one pool.
struct PoolRecord {
    PoolName name;
    std::string healthPath;
    std::uint64_t maxConnections { 0 };
    /// Present if the pool's backend servers are model engines.
    std::optional<EngineCapacity> engines;
    /// Present if servers of the pool are ordered from the platform.
    std::optional<PoolScalingLimits> scaling;
};

/// @brief Limits on the size of a caller's requests and on the time it takes to send them.
struct CallerBounds {
    std::uint64_t maxHeader { 0 };
    std::uint64_t maxBody { 0 };
    std::chrono::milliseconds headerTime { 0 };
    std::chrono::milliseconds idleTime { 0 };
};

/// @brief Callers that share keys, a rank and their jobs.
struct Workspace {
    WorkspaceName name;
    /// Goes before the priority of a route; empty for the route's.
    std::optional<std::uint64_t> rank;
};

/// @brief One version of the routing configuration. Immutable.
struct RouteTable : boost::intrusive_ref_counter<RouteTable> {
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<PoolRecord> pools;
    CallerBounds callers;
    /// Whether callers identify their workspace, except on public routes.
    bool hasWorkspaces { false };
    std::vector<Workspace> workspaces;
    WorkspaceKeys keys;
};

using RouteTablePtr = boost::intrusive_ptr<const RouteTable>;

/// @brief The route of that host with the longest matching path prefix, or nullptr.
/// @complexity linear in the number of routes.
const Route* matchRoute(const RouteTable& table, std::string_view host, std::string_view path);

/// @brief The pool for a request, chosen in proportion to the weights.
/// @param draw a uniformly distributed random number.
/// @return nullptr if all weights are zero.
const PoolName* choosePool(const Route& route, std::uint64_t draw);

/// @brief The rank of a workspace's requests on a route; 0 is the most urgent.
/// @param workspace empty for none.
std::uint64_t rankOf(const RouteTable& table, const Route& route, const WorkspaceName& workspace);

/// @brief The pool with that name, or nullptr.
const PoolRecord* findPool(const RouteTable& table, const PoolName& name);

} // namespace topaztack
