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
/// The backend servers as the platform's store lists them, and for how long a missing one is still believed in.

namespace topaztack {

/// @brief A model at a backend server and the weights it has.
struct LoadedModel {
    ModelName model;
    WeightVersion version;

    bool operator==(const LoadedModel&) const = default;
};

/// @brief What a backend server says of itself.
struct ServerRecord {
    BackendName name;
    PoolName pool;
    Endpoint endpoint;
    DataCentre dataCentre;
    std::uint64_t slots { 1 };
    bool isLeaving { false };
    std::vector<LoadedModel> models;
    /// Its start, in milliseconds of Unix time; a new one under the same name knows nothing of before. 0 if unknown.
    std::chrono::milliseconds startedAt { 0 };

    bool operator==(const ServerRecord&) const = default;
};

/// @brief The version of a model at a backend server; nothing if it does not have that model.
std::optional<WeightVersion> versionOf(const ServerRecord& server, const ModelName& model);

/// Time after the store's return in which records that lapsed during its outage are written again.
inline constexpr std::chrono::milliseconds lapseGrace { 2200 };

/// @brief The records by name. A record that vanishes while the store works means that the server is gone; one that
/// vanishes around an outage is kept until the grace is over.
struct ServerRegistry {
    struct Entry {
        ServerRecord record;
        /// When its absence is to be believed.
        std::optional<TimePoint> goneAt;
    };

    std::map<BackendName, Entry> entries;
    /// Until when an absence may only be a lapse.
    TimePoint graceUntil {};
};

/// @brief The store answers again after an outage.
void noteStoreRecovery(ServerRegistry& registry, TimePoint now);

void putServer(ServerRegistry& registry, ServerRecord record);

/// @brief The record is absent from the store.
void markServerAbsent(ServerRegistry& registry, const BackendName& name, TimePoint now);

/// @brief The whole table was read: what is not among `present` is absent.
void retainServers(ServerRegistry& registry, const std::vector<BackendName>& present, TimePoint now);

/// @brief Drops the records whose grace is over.
/// @param isStoreAway nothing is dropped then.
/// @return the names dropped.
std::vector<BackendName> removeExpiredServers(ServerRegistry& registry, TimePoint now, bool isStoreAway);

} // namespace topaztack
