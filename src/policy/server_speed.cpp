#include <topaztack/policy/server_speed.hpp>

#include <algorithm>
#include <cmath>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// Weights of a sample below and above the estimate. Their ratio makes the estimate settle near the lower quartile.
    constexpr double weightBelow = 0.15;
    constexpr double weightAbove = 0.05;
    /// A slower sample counts as at most this multiple of the estimate.
    constexpr double maxSampleRatio = 2;
    /// The first samples count as an ordinary mean.
    constexpr std::uint32_t samplesForMean = 4;
    constexpr std::uint32_t samplesForConfidence = 16;
    /// Half of the confidence is lost in this time without a sample.
    constexpr double confidenceHalfLifeSeconds = 60;
    /// A sample beyond this ratio extends a streak.
    constexpr double streakRatio = 1.6;
    /// A streak replaces the estimate if it has this many samples and lasts this long. Servers that are 2.5 times
    /// slower for fractions of a second are back by then.
    constexpr std::uint32_t samplesInStreak = 3;
    constexpr Duration minStreakTime = 380ms;
    /// With another request overdue, and beyond the ratio of usual noise, less is enough.
    constexpr double clearlySlowRatio = 3.5;
    constexpr Duration minClearStreakTime = 150ms;
    /// Samples that show a server to be fast again.
    constexpr std::uint32_t samplesInFastStreak = 3;
    constexpr Duration minFastStreakTime = 200ms;
    /// Ratios to the usual time within this factor count as equal. Each request is work of its own; the events of a
    /// generation come evenly, and there are many.
    constexpr double equalRequestRatio = 1.25;
    constexpr double equalIntervalRatio = 1.05;
    constexpr double maxSlowness = 8;
    constexpr double overdueFactor = 2.5;
    /// Time on the network and in event loops that is no part of the server's work. It varies by as much.
    constexpr double outsideSeconds = 0.002;
    constexpr double overdueMarginSeconds = 2 * outsideSeconds;
    constexpr double maxOverdueSlowness = 4;

    void learn(SpeedEstimate& estimate, double seconds)
    {
        if (estimate.samples < samplesForMean) {
            estimate.seconds += (seconds - estimate.seconds) / (estimate.samples + 1);
            return;
        }
        const auto bounded = std::min(seconds, maxSampleRatio * estimate.seconds);
        estimate.seconds += (bounded < estimate.seconds ? weightBelow : weightAbove) * (bounded - estimate.seconds);
    }

    void extendStreak(SpeedEstimate& estimate, double seconds, Duration took, TimePoint now)
    {
        const bool isSlow = seconds > streakRatio * estimate.seconds + outsideSeconds;
        const bool isFast = seconds * streakRatio + outsideSeconds < estimate.seconds;
        if (!isSlow && !isFast) {
            estimate.streak = 0;
            return;
        }
        if (estimate.streak == 0 || estimate.isStreakSlow != isSlow) {
            estimate.streak = 0;
            estimate.isStreakSlow = isSlow;
            // The work of the first sample was slow from its start on.
            estimate.streakSince = now - (isSlow ? took : Duration(0));
            estimate.streakSeconds = 0;
        }
        ++estimate.streak;
        estimate.streakSeconds += (seconds - estimate.streakSeconds) / estimate.streak;
    }

    bool isSlowDown(const SpeedEstimate& estimate, bool overdue, TimePoint now)
    {
        const auto lasted = now - estimate.streakSince;
        if (estimate.streak >= samplesInStreak && lasted >= minStreakTime)
            return true;
        const bool isClear = estimate.streakSeconds > clearlySlowRatio * estimate.seconds;
        return estimate.streak + (overdue ? 1 : 0) >= samplesInStreak && isClear && lasted >= minClearStreakTime;
    }

} // namespace

bool recordSample(
    SpeedEstimate& estimate, Duration took, std::uint32_t concurrency, std::uint64_t slots, bool overdue, TimePoint now)
{
    const auto room = static_cast<double>(std::max<std::uint64_t>(1, slots));
    const auto seconds
        = std::max(1e-6, std::chrono::duration<double>(took).count() / std::max(1.0, concurrency / room));
    estimate.updatedAt = now;
    if (estimate.samples >= samplesForMean)
        extendStreak(estimate, seconds, took, now);
    if (estimate.streak == 0 || estimate.samples < samplesForMean)
        learn(estimate, seconds);
    estimate.samples = std::min(estimate.samples + 1, samplesForConfidence);
    if (estimate.streak == 0)
        return false;
    const bool isDone = estimate.isStreakSlow
        ? isSlowDown(estimate, overdue, now)
        : estimate.streak >= samplesInFastStreak && now - estimate.streakSince >= minFastStreakTime;
    if (!isDone)
        return false;
    estimate.seconds = estimate.streakSeconds;
    estimate.streak = 0;
    estimate.isSlowedDown = estimate.isStreakSlow;
    return estimate.isSlowedDown;
}

double confidence(const SpeedEstimate& estimate, TimePoint now)
{
    if (estimate.samples == 0)
        return 0;
    const auto age = std::max(0.0, std::chrono::duration<double>(now - estimate.updatedAt).count());
    return std::min(1.0, static_cast<double>(estimate.samples) / samplesForConfidence)
        * std::exp2(-age / confidenceHalfLifeSeconds);
}

double slowness(const SpeedEstimate& estimate, double usualSeconds, TimePoint now, WorkKind kind)
{
    if (estimate.samples == 0 || usualSeconds <= 0)
        return 1;
    const auto ratio = (estimate.seconds + outsideSeconds) / (usualSeconds + outsideSeconds);
    const auto equalRatio = kind == WorkKind::EventInterval ? equalIntervalRatio : equalRequestRatio;
    const auto beyond = ratio > equalRatio ? ratio / equalRatio : (ratio * equalRatio < 1 ? ratio * equalRatio : 1);
    return std::clamp(1 + (beyond - 1) * confidence(estimate, now), 1 / maxSlowness, maxSlowness);
}

std::optional<Duration> overdueAfter(const SpeedEstimate& estimate, double usualSeconds)
{
    const auto seconds = estimate.samples >= samplesForMean ? estimate.seconds : usualSeconds;
    if (seconds <= 0)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds * overdueFactor + overdueMarginSeconds));
}

double overdueSlowness(const SpeedEstimate& estimate, double usualSeconds, Duration age)
{
    const auto limit = overdueAfter(estimate, usualSeconds);
    if (!limit || age <= *limit)
        return 1;
    const auto seconds = estimate.samples >= samplesForMean ? estimate.seconds : usualSeconds;
    return std::min(maxOverdueSlowness, std::chrono::duration<double>(age).count() / (seconds + outsideSeconds));
}

} // namespace topaztack
