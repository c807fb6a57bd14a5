#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Decides which engines of one pool are ordered to load a weight version, and when. A limit on concurrent swaps keeps
/// the pool serving, and a rate limit on orders adapts to the throttling of the weight store. An engine's version is
/// always the one that it reported. Pure functions without I/O.

namespace topaztack {

/// @brief What an engine does with running generations when it swaps weights.
enum class SwapMode : std::uint8_t {
    Finish,
    Interrupt,
    InPlace,
};

std::string_view swapModeName(SwapMode mode);

struct RolloutRules {
    SwapMode mode { SwapMode::InPlace };
    /// Share of the pool's engines that may swap at once.
    double maxSwappingShare { 0.34 };
    /// Period over which the orders of a rollout are spread if the weight store admits them all.
    Duration orderSpread { std::chrono::seconds(12) };
    /// Time after a confirmed order during which the engine's reports are ignored, because reports lag.
    Duration maxReportLag { std::chrono::seconds(2) };
    /// Interval between reads of one engine.
    Duration readInterval { std::chrono::seconds(2) };
    /// Doubled for each failure in a row, up to maxBackoff.
    Duration baseBackoff { std::chrono::milliseconds(200) };
    Duration maxBackoff { std::chrono::seconds(2) };
};

/// @brief State of one engine in a rollout.
struct EngineSwap {
    /// The version that it last reported, or confirmed when an order succeeded; empty if unknown.
    std::optional<WeightVersion> reported;
    /// The version of the order in flight; empty if there is none.
    std::optional<WeightVersion> ordered;
    bool isReading { false };
    /// The version that the last order successfully loaded.
    std::optional<WeightVersion> confirmed;
    TimePoint confirmedAt;
    /// No order is sent before this time.
    TimePoint notBefore;
    TimePoint readAt;
    unsigned failures { 0 };
    /// Orders repeated because the engine reported another version than it had confirmed.
    std::uint64_t reasserted { 0 };
};

struct RolloutState {
    /// The version to roll out.
    WeightVersion wanted;
    std::map<BackendName, EngineSwap> engines;
    /// Rate limit; raised by each success, lowered at most once a second while the weight store throttles.
    double ordersPerSecond { 0 };
    /// Orders that may be sent now.
    double availableOrders { 0 };
    /// When availableOrders was last refilled.
    TimePoint refilledAt;
    /// When the rate was last lowered.
    TimePoint slowedAt;
};

enum class RolloutActionKind : std::uint8_t {
    Order,
    Read,
};

struct RolloutAction {
    RolloutActionKind kind { RolloutActionKind::Read };
    BackendName engine;
    /// The version to load.
    WeightVersion version;
};

/// @brief How an order ended.
enum class OrderOutcome : std::uint8_t {
    Done,
    /// The engine has seen a newer fencing number.
    FencedOff,
    /// The weight store's limit was reached.
    Throttled,
    /// The engine failed part way, or gave no answer: its version is unknown until it is read.
    Failed,
};

/// @brief Updates the engines to those of the document, and raises the wanted version.
void updateEngines(RolloutState& state, const std::vector<BackendName>& engines, WeightVersion wanted);

/// @brief Plans the actions to take now, and records them as in progress.
/// @complexity Linear in the engines.
std::vector<RolloutAction> planRollout(RolloutState& state, const RolloutRules& rules, TimePoint now, Random& random);

/// @brief Handles the end of an order.
void handleOrderOutcome(RolloutState& state, const BackendName& engine, OrderOutcome outcome, const RolloutRules& rules,
    TimePoint now, Random& random);

/// @brief Handles the end of a read.
/// @param version empty if the read failed or the engine does not state its version.
void handleVersionReport(RolloutState& state, const BackendName& engine, std::optional<WeightVersion> version,
    const RolloutRules& rules, TimePoint now);

/// @brief Whether every engine reports the wanted version and has no order in flight.
bool isRolledOut(const RolloutState& state);

/// @brief The version that an engine reported or confirmed; empty if an order is in flight or one has failed since.
std::optional<WeightVersion> knownVersion(const EngineSwap& engine);

} // namespace topaztack
