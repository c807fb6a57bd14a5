#pragma once

#include <topaztack/base/ids.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <map>
#include <optional>

/// @file
/// The weight version that each engine is known to serve, and the newest version that each pool should serve.

namespace topaztack {

/// @brief State of an engine's weights as last read from the engine.
struct EngineVersion {
    /// Empty while the engine's version is unknown; the engine then gets no new rollouts.
    std::optional<WeightVersion> version;
    /// Whether an order to load another version is in progress.
    bool isSwapping { false };
};

/// @brief Weight versions of all engines and pools. Immutable; read through NodeContext::weights.
struct WeightView : boost::intrusive_ref_counter<WeightView> {
    std::map<BackendName, EngineVersion> engines;
    std::map<PoolName, WeightVersion> newest;
};

using WeightViewPtr = boost::intrusive_ptr<const WeightView>;

} // namespace topaztack
