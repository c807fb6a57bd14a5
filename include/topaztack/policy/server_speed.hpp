#pragma once

#include <topaztack/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

/// @file
/// How fast a backend server works, learned by one VM from the server's answers for each kind of work. A server that
/// becomes slow is recognised within half a second; shorter noise doesn't count. Pure functions without I/O.

namespace topaztack {

enum class WorkKind : std::uint8_t {
    /// A plain request that a caller waits for.
    Request,
    /// A plain request that no caller waits for, such as a scoring call.
    BackgroundRequest,
    /// Time between two events of a generation.
    EventInterval,
    /// Time to the first event of a generation.
    FirstEvent,
};

inline constexpr std::size_t workKinds = 4;

/// @brief A server's time for one kind of work.
struct SpeedEstimate {
    /// Long-term estimate, near the lower quartile of the samples: what a queue at the server or a pause adds hardly
    /// enters. 0 if there is no sample.
    double seconds { 0 };
    /// Mean of the samples of the current streak.
    double streakSeconds { 0 };
    /// Samples that the estimate rests on, counted up to those that give full confidence.
    std::uint32_t samples { 0 };
    /// Consecutive samples that differ from the estimate by much, all slower or all faster.
    std::uint32_t streak { 0 };
    bool isStreakSlow { false };
    TimePoint streakSince;
    /// Whether a streak replaced the estimate and the server has not been faster since.
    bool isSlowedDown { false };
    TimePoint updatedAt;
};

/// @brief Estimates by kind of work.
using ServerSpeed = std::array<SpeedEstimate, workKinds>;

/// @brief The place of a kind of work in an array.
constexpr std::size_t indexOf(WorkKind kind) { return static_cast<std::size_t>(kind); }

/// @brief Records the time that a server took.
/// @param concurrency this VM's requests at the server when the request was sent, itself included; what exceeds the
/// slots waited there and is taken out of the time. 0 if the time doesn't depend on it.
/// @param overdue whether another request at the server is overdue, the second kind of evidence for a slow-down beside
/// slow answers.
/// @return whether the server was found to have become slow.
bool recordSample(SpeedEstimate& estimate, Duration took, std::uint32_t concurrency, std::uint64_t slots, bool overdue,
    TimePoint now);

/// @brief How much the estimate can be relied on, 0 to 1: few or old samples count little.
double confidence(const SpeedEstimate& estimate, TimePoint now);

/// @brief The server's time relative to the pool's usual one, drawn to 1 by lack of confidence. Differences that noise
/// explains give 1, so that equal servers stay equal.
/// @param usualSeconds the median over the pool's servers; 0 if not known.
double slowness(const SpeedEstimate& estimate, double usualSeconds, TimePoint now, WorkKind kind);

/// @brief The time that a request at the server should take at most: answers that take longer are overdue.
/// @return empty if nothing is known.
std::optional<Duration> overdueAfter(const SpeedEstimate& estimate, double usualSeconds);

/// @brief Slowness that an answer shows which has not arrived.
/// @param age time since the oldest request in flight was sent.
/// @return 1 if it isn't overdue.
double overdueSlowness(const SpeedEstimate& estimate, double usualSeconds, Duration age);

} // namespace topaztack
