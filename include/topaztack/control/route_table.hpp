#pragma once

#include <topaztack/base/ids.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The configuration of a gateway: which pool serves a request, by host and path, and under which limits.

namespace topaztack {

/// @brief What may be done with a route's requests.
enum class RouteKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered by a stream of events; at most once unless it can be resumed.
    Streaming,
    /// Takes jobs of many items that run later.
    Batch,
};

/// @brief A pool and its share of a route's requests.
struct PoolShare {
    PoolName pool;
    std::uint64_t weight { 1 };
};

struct Route {
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind { RouteKind::NonIdempotent };
    /// The longest time for which a request is kept waiting.
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds latencyObjective { 0 };
    /// 0 is the most urgent.
    std::uint64_t priority { 0 };
    std::vector<PoolShare> pools;
    /// Backend servers that one request may be sent to; for an item, answers that say it failed.
    std::uint64_t maxAttempts { 1 };
    /// Time after its submission at which an item of a job may be given up.
    std::chrono::milliseconds retention { 0 };
    /// Time after its submission at which all results of a job are due.
    std::chrono::milliseconds jobTarget { 0 };
    /// A result must come from one weight version.
    bool isSingleVersion { false };
    bool isResumable { false };
};

/// @brief What a pool's model engines can do.
struct EngineCapacity {
    std::uint64_t slots { 0 };
    std::uint64_t cacheTokens { 0 };
    std::vector<ModelName> models;
};

struct PoolRecord {
    PoolName name;
    std::string healthPath;
    std::uint64_t maxConnections { 0 };
    std::optional<EngineCapacity> engines;
};

/// @brief What a caller may send, and how long it may take.
struct CallerBounds {
    std::uint64_t maxHeader { 0 };
    std::uint64_t maxBody { 0 };
    std::chrono::milliseconds headerTime { 0 };
    std::chrono::milliseconds idleTime { 0 };
};

struct RouteTable : boost::intrusive_ref_counter<RouteTable> {
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<PoolRecord> pools;
    CallerBounds callers;
};

using RouteTablePtr = boost::intrusive_ptr<const RouteTable>;

/// @brief The route of that host with the longest prefix of the path, or nullptr.
/// @complexity linear in the routes.
const Route* matchRoute(const RouteTable& table, std::string_view host, std::string_view path);

/// @brief The pool for a request, drawn by the weights.
/// @param draw a number of any size, uniformly drawn.
/// @return nullptr if no pool has any weight.
const PoolName* choosePool(const Route& route, std::uint64_t draw);

/// @brief The pool of that name, or nullptr.
const PoolRecord* findPool(const RouteTable& table, const PoolName& name);

} // namespace topaztack
