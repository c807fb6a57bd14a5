#pragma once

#include <topaztack/base/ids.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <map>
#include <optional>

/// @file
/// Which weight version each engine is known to serve, and the newest that each pool should serve.

namespace topaztack {

/// @brief What an engine reported of itself, as last read back.
struct EngineVersion {
    /// Nothing while the engine's version is not known: new rollouts pass it over.
    std::optional<WeightVersion> version;
    /// Whether an order to load another version is under way.
    bool isSwapping { false };
};

/// @brief Immutable; read through NodeContext::weights.
struct WeightView : boost::intrusive_ref_counter<WeightView> {
    std::map<BackendName, EngineVersion> engines;
    std::map<PoolName, WeightVersion> newest;
};

using WeightViewPtr = boost::intrusive_ptr<const WeightView>;

} // namespace topaztack
