#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The backend servers listed in the platform's store, and how long a server whose record is missing is still used.

namespace topaztack {

/// @brief A model loaded by a backend server and the version of its weights.
struct LoadedModel {
    ModelName model;
    WeightVersion version;

    bool operator==(const LoadedModel&) const = default;
};

/// @brief What a backend server publishes about itself.
struct ServerRecord {
    BackendName name;
    PoolName pool;
    Endpoint endpoint;
    DataCentre dataCentre;
    std::uint64_t slots { 1 };
    bool isLeaving { false };
    std::vector<LoadedModel> models;
    /// Start time of the process in milliseconds of Unix time, 0 if unknown. A later start under the same name is a new
    /// process that has no state of the previous one.
    std::chrono::milliseconds startedAt { 0 };

    bool operator==(const ServerRecord&) const = default;
};

/// @brief The weight version of a model at a backend server, empty if it has not loaded that model.
std::optional<WeightVersion> versionOf(const ServerRecord& server, const ModelName& model);

/// Time after the end of a store outage within which records that expired during the outage are written again.
inline constexpr std::chrono::milliseconds outageGracePeriod { 2200 };

/// @brief Server records by name. A record that disappears while the store is available means that the server is gone.
/// One that disappears around an outage may merely have expired, and is kept until the grace period ends.
struct ServerRegistry {
    struct Entry {
        ServerRecord record;
        /// When the record is removed unless it reappears; empty while the store lists it.
        std::optional<TimePoint> removeAt;
    };

    std::map<BackendName, Entry> entries;
    /// Until then, a missing record may have expired during an outage.
    TimePoint graceUntil {};
};

/// @brief Starts the grace period: the store answers again after an outage.
void noteStoreRecovery(ServerRegistry& registry, TimePoint now);

/// @brief Inserts or replaces a record.
void putServer(ServerRegistry& registry, ServerRecord record);

/// @brief Handles a record that is missing in the store: removes it at once, or at the end of the grace period if it
/// may have expired during an outage.
void markServerAbsent(ServerRegistry& registry, const BackendName& name, TimePoint now);

/// @brief Applies a full read of the table: marks every server that is not in `present` as absent.
void retainServers(ServerRegistry& registry, const std::vector<BackendName>& present, TimePoint now);

/// @brief Removes the absent records whose grace period is over.
/// @param isStoreUnavailable if true, nothing is removed.
/// @return the names of the removed records.
std::vector<BackendName> removeExpiredServers(ServerRegistry& registry, TimePoint now, bool isStoreUnavailable);

} // namespace topaztack
