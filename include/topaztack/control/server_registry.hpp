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
    /// Whether the platform may reclaim it at any time.
    bool isReclaimable { false };
    /// Set while the platform reclaims it: the time that it has left, as of its record.
    std::optional<std::chrono::milliseconds> leavesIn;
    /// Version of its software; empty if unknown. What servers of two versions generate doesn't fit together.
    std::string softwareVersion;
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

/// Time for which an announced departure is remembered; a server that leaves ends within seconds.
inline constexpr std::chrono::hours departureRetention { 1 };

/// @brief Server records by name. A record that disappears while the store is available means that the server is gone.
/// One that disappears around an outage may merely have expired, and is kept until the grace period ends.
struct ServerRegistry {
    struct Entry {
        ServerRecord record;
        /// When the record is removed unless it reappears; empty while the store lists it.
        std::optional<TimePoint> removeAt;
    };

    /// A process that announced its departure in an answer.
    struct Departure {
        /// Start of the latest process of that name that did so.
        std::chrono::milliseconds startedAt { 0 };
        TimePoint announcedAt;
    };

    std::map<BackendName, Entry> entries;
    /// Departures announced in answers. They outlive the store's records, which may be stale or missing.
    std::map<BackendName, Departure> departures;
    /// Until then, a missing record may have expired during an outage.
    TimePoint graceUntil {};
};

/// @brief Starts the grace period: the store answers again after an outage.
void noteStoreRecovery(ServerRegistry& registry, TimePoint now);

/// @brief Records that a server announced its departure in an answer. Its records of this start and of earlier ones
/// count as leaving from now on, whatever the store lists; a later start does not.
/// @param startedAt start of the process that the answer came from, as in its record.
/// @return whether the departure was not known before.
bool noteDeparture(
    ServerRegistry& registry, const BackendName& name, std::chrono::milliseconds startedAt, TimePoint now);

/// @brief Marks a record as leaving if that start of the server, or a later one, announced its departure.
void applyDeparture(const ServerRegistry& registry, ServerRecord& record);

/// @brief Inserts or replaces a record, marked as leaving if the server announced its departure.
void putServer(ServerRegistry& registry, ServerRecord record);

/// @brief Handles a record that is missing in the store: removes it at once, or at the end of the grace period if it
/// may have expired during an outage.
void markServerAbsent(ServerRegistry& registry, const BackendName& name, TimePoint now);

/// @brief Applies a full read of the table: marks every server that is not in `present` as absent.
void retainServers(ServerRegistry& registry, const std::vector<BackendName>& present, TimePoint now);

/// @brief Removes the absent records whose grace period is over, and forgets departures after their retention.
/// @param isStoreUnavailable if true, nothing is removed.
/// @return the names of the removed records.
std::vector<BackendName> removeExpiredServers(ServerRegistry& registry, TimePoint now, bool isStoreUnavailable);

} // namespace topaztack
