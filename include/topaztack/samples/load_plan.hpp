#pragma once

#include <topaztack/base/ids.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// @file
/// Decides which engine loads which weights next, where several trainers share the engines and loading a version into
/// all of them takes longer than the interval between versions. Pure functions without I/O.

namespace topaztack {

/// @brief State of an engine, as input to the plan.
struct EngineSnapshot {
    BackendName name;
    std::map<ModelName, WeightVersion> versions;
    /// The model that it is loading now.
    std::optional<ModelName> loading;
    /// The load is nearly over and no longer uses the weight store's bandwidth.
    bool isLoadEnding { false };
    /// No order may be sent to it now.
    bool isInBackoff { false };
};

/// @brief What is requested of a model.
struct ModelDemand {
    /// The newest version that its trainer has published.
    WeightVersion newestVersion;
    /// Whether generations of the model wait to be started. Running ones continue while weights are loaded.
    bool hasWaitingGenerations { false };
};

struct LoadLimits {
    /// Loads that run at once without slowing each other down.
    std::size_t maxConcurrentLoads { 2 };
    /// Versions by which an engine may lag and still serve the newest job.
    std::uint64_t maxVersionLag { 1 };
};

struct PlannedLoad {
    BackendName engine;
    ModelName model;
    WeightVersion version;

    bool operator==(const PlannedLoad&) const = default;
};

/// @brief Plans the loads to be ordered now. Each model gets its share of the engines for each version. Engines that
/// lag too far to serve come first, and among them those that served most recently. An engine that can still serve is
/// taken only while no generation waits for its model, or while less than half of the share has the newest version.
/// @complexity O(engines * models), plus O(n log n) in the engines that may load a model.
std::vector<PlannedLoad> planLoads(const std::vector<EngineSnapshot>& engines,
    const std::map<ModelName, ModelDemand>& models, const LoadLimits& limits);

} // namespace topaztack
