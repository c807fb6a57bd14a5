#pragma once

#include <topaztack/base/ids.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// @file
/// Which engine loads which weights next, where several trainers share engines and loading is slower than versions
/// come. Pure.

namespace topaztack {

/// @brief An engine as the plan sees it.
struct EngineSnapshot {
    BackendName name;
    std::map<ModelName, WeightVersion> versions;
    /// The model that it is loading now.
    std::optional<ModelName> loading;
    /// The load is nearly over: it takes no part of the weight store's speed any more.
    bool isLoadEnding { false };
    /// It takes no order now.
    bool isInBackoff { false };
};

/// @brief A model and what is asked of it.
struct ModelDemand {
    /// The newest version that its trainer named.
    WeightVersion named;
    /// Whether generations of it wait to be started. Those that run go on while weights are loaded.
    bool hasWaitingGenerations { false };
};

struct LoadLimits {
    /// Loads that run at once without slowing each other down.
    std::size_t maxConcurrentLoads { 2 };
    /// Versions by which engines may lag and still serve the newest job.
    std::uint64_t maxVersionLag { 1 };
};

struct PlannedLoad {
    BackendName engine;
    ModelName model;
    WeightVersion version;

    bool operator==(const PlannedLoad&) const = default;
};

/// @brief Loads to be ordered now. Each model gets its share of the engines for each version. Engines that are too far
/// behind to serve come first, of these the ones that served last; one that still serves is taken only while nothing
/// waits for its model, or as long as at most half of the share has the newest version.
/// @complexity linear in engines times models, and n log n in the engines that may load a model.
std::vector<PlannedLoad> planLoads(const std::vector<EngineSnapshot>& engines,
    const std::map<ModelName, ModelDemand>& models, const LoadLimits& limits);

} // namespace topaztack
