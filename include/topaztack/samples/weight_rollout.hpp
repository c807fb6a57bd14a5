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
/// Decides which engines of one pool to order to a weight version, and when: a sliding window keeps the pool serving,
/// and a pace of orders a second follows the weight store's limit. Pure. An engine's version is only ever what it
/// reported.

namespace topaztack {

/// @brief What an engine does with running generations when it swaps.
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
    /// Time in which the orders of a rollout are given if the weight store admits them all.
    Duration orderSpread { std::chrono::seconds(12) };
    /// Time after an order before the engine's report counts: reports lag.
    Duration maxReportLag { std::chrono::seconds(2) };
    /// Time between two reads of an engine.
    Duration readInterval { std::chrono::seconds(2) };
    Duration baseBackoff { std::chrono::milliseconds(200) };
    Duration maxBackoff { std::chrono::seconds(2) };
};

/// @brief One engine's part in a rollout.
struct EngineSwap {
    /// As last reported; nothing if not known.
    std::optional<WeightVersion> reported;
    /// What the order under way asks for.
    std::optional<WeightVersion> ordered;
    bool isReading { false };
    /// The last order was answered with success for this version.
    std::optional<WeightVersion> confirmed;
    TimePoint confirmedAt;
    /// Not to be ordered again before.
    TimePoint notBefore;
    TimePoint readAt;
    unsigned failures { 0 };
    /// Orders given again because the engine reported another version than it had confirmed.
    std::uint64_t reasserted { 0 };
};

struct RolloutState {
    WeightVersion wanted;
    std::map<BackendName, EngineSwap> engines;
    /// Orders a second; rises with each success, falls at most once a second while the weight store refuses.
    double ordersPerSecond { 0 };
    /// Orders that may be given now.
    double availableOrders { 0 };
    TimePoint refilledAt;
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
    /// The engine knows a newer fencing number.
    FencedOff,
    /// The weight store's limit was reached.
    Throttled,
    /// The engine said that it failed part way, or no answer came: its version is not known until it is read.
    Failed,
};

/// @brief Keeps the engines to those of the document and raises the wanted version.
void updateEngines(RolloutState& state, const std::vector<BackendName>& engines, WeightVersion wanted);

/// @brief What to do now. Actions are noted as under way.
/// @complexity linear in the engines.
std::vector<RolloutAction> planRollout(RolloutState& state, const RolloutRules& rules, TimePoint now, Random& random);

/// @brief An order ended.
void handleOrderOutcome(RolloutState& state, const BackendName& engine, OrderOutcome end, const RolloutRules& rules,
    TimePoint now, Random& random);

/// @brief An engine was read; nothing if it could not be, or does not say its version.
void handleVersionReport(RolloutState& state, const BackendName& engine, std::optional<WeightVersion> version,
    const RolloutRules& rules, TimePoint now);

/// @brief Whether each engine confirmed and reports the wanted version.
bool isRolledOut(const RolloutState& state);

/// @brief An engine's version if it is known: reported, with no order under way and none failed since.
std::optional<WeightVersion> knownVersion(const EngineSwap& engine);

} // namespace topaztack
