#pragma once

#include <topaztack/samples/slot_planner.hpp>
#include <topaztack/samples/weight_rollout.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// A small discrete-event run of one trainer on simulated engines, driven by the planner and the ledger themselves.

namespace topaztack::bench {

/// @brief The synthetic workload; times are scaled down.
struct SamplesWorkload {
    std::size_t engines { 8 };
    std::size_t slotsPerEngine { 8 };
    std::uint32_t groups { 32 };
    std::uint32_t samplesPerGroup { 8 };
    std::uint64_t steps { 40 };
    /// Steps that the trainer posts ahead of the one it works on.
    std::uint64_t postedAhead { 3 };
    /// Steps generated ahead; nothing for the planner's own rule.
    std::optional<std::uint64_t> lookahead;
    std::uint64_t maxTokens { 2048 };
    double medianTokens { 200 };
    /// Spreads of the logarithm of lengths, among groups and within one.
    double groupSpread { 0.6 };
    double sampleSpread { 0.5 };
    /// Share of attempts that run slowly, and by what factor.
    double stragglerShare { 0.05 };
    double stragglerFactor { 8 };
    std::chrono::milliseconds tokenTime { 10 };
    std::chrono::milliseconds firstTokenTime { 150 };
    std::chrono::milliseconds trainingTime { 14000 };
    /// Time from posting a version until the last engine has it.
    std::chrono::milliseconds swapTime { 1500 };
    SwapMode swap { SwapMode::InPlace };
};

/// @brief What one run measured.
struct SamplesResult {
    double idleShare { 0 };
    double lagMean { 0 };
    std::uint64_t lagP99 { 0 };
    std::uint64_t lagMost { 0 };
    /// Mean and greatest lag when the trainer begins to train on a sample; it may have fetched it earlier.
    double lagInUseMean { 0 };
    std::uint64_t lagInUseMost { 0 };
    std::uint64_t delivered { 0 };
    std::uint64_t discarded { 0 };
    std::uint64_t hedged { 0 };
    std::uint64_t moved { 0 };
    double wastedShare { 0 };
    double seconds { 0 };
    /// Whether every step was delivered whole within the longest time.
    bool isWhole { false };
};

/// @brief Runs the workload under the planner's rules; capacity, length limit and lookahead are set here.
/// @complexity ticks of 20 ms times the open slots.
SamplesResult simulateSamples(
    const SamplesWorkload& workload, PlannerRules rules, bool isFirstCome, std::uint64_t seed);

/// @brief A rollout to simulated engines under the weight store's limit.
struct RolloutWorkload {
    std::size_t engines { 321 };
    /// Fetches a second that the weight store admits.
    double fetchesPerSecond { 20 };
    /// Time to load the weights once fetched.
    std::chrono::milliseconds loadTime { 2000 };
    /// Longest time for running generations to end, for SwapMode::Finish.
    std::chrono::milliseconds finishTime { 20000 };
    double failedShare { 0.02 };
    SwapMode mode { SwapMode::InPlace };
};

struct RolloutResult {
    double seconds { 0 };
    std::uint64_t throttled { 0 };
    std::uint64_t failed { 0 };
    std::size_t mostAtOnce { 0 };
    bool isWhole { false };
};

RolloutResult simulateRollout(const RolloutWorkload& workload, std::uint64_t seed);

} // namespace topaztack::bench
