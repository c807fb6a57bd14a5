#include <topaztack/policy/server_pace.hpp>

#include <topaztack/base/random.hpp>

#include <algorithm>
#include <cmath>
#include <string>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    /// Stands for the usual time of a request while it isn't known.
    constexpr Duration unknownExpected = 50ms;
    /// The last VM enters after this time, whatever the number of VMs.
    constexpr Duration maxEntryDelay = 3s;
    /// VMs that enter take at most this part of the server's capacity with their first requests.
    constexpr double entryCapacityFraction = 0.5;
    constexpr double maxInitialWindow = 2;
    constexpr double minWindow = 0.01;
    /// The longest time between two requests of a window below 1, so that the VM learns of a recovery.
    constexpr Duration maxSendInterval = 3s;
    /// Part by which send intervals vary: VMs that were refused together would otherwise send together again.
    constexpr double sendJitter = 0.5;
    /// An answer that takes longer than this multiple of the expected time is late. Service times vary by less between
    /// requests, and a queue at the server delays by more.
    constexpr double lateFactor = 2.5;
    /// Time on the network and in event loops, which doesn't depend on the server. Without it, answers of a server that
    /// takes less than a millisecond are late by chance.
    constexpr Duration lateMargin = 5ms;
    /// While the window doubles, less is late, since the server gets more from all VMs before the answers show it.
    constexpr double doublingFactor = 2;
    /// The window follows the ratio of this multiple of the expected time to the observed one.
    constexpr double gradientFactor = 2;
    constexpr double minGradient = 0.5;
    /// Growth is fast below the share that each VM could have if all had requests, and from 1 on, where answers come
    /// often enough to stop it. In between, hundreds of VMs grow before the first answers of their growth arrive.
    constexpr double maxGradient = 2;
    /// Growth with each round of a window below 1.
    constexpr double sharedGrowthFactor = 1.5;
    /// Weight of a new value of the window.
    constexpr double smoothingFactor = 0.2;
    /// Additive growth, but no more than this part of the window: hundreds of VMs with windows far below 1 would
    /// otherwise add up to more than the server's slots with each answer.
    constexpr double growthFraction = 0.25;
    constexpr double maxGrowth = 0.5;
    /// Two decreases are at least this far apart, since requests in flight together are refused together.
    constexpr Duration minDecreaseInterval = 40ms;
    /// The window doubles after each such time, or longer, without a late answer, refusal or failure.
    constexpr Duration relaxInterval = 500ms;
    /// A warm server is limited again after this many late answers in a row; noise makes fewer late.
    constexpr std::uint32_t lateToLimit = 4;
    /// A server that failed gets nothing for this time, doubled with each failure in a row.
    constexpr Duration minFailurePause = 500ms;
    constexpr std::uint32_t maxFailureDoublings = 4;
    /// Nor before this many requests went elsewhere, doubled likewise: a VM with few requests would otherwise send a
    /// large part of them to a server that fails.
    constexpr std::uint32_t minPassedOver = 5;
    constexpr std::uint32_t maxPassedOver = 40;

    Duration expectedOf(const ServerPace& pace) { return pace.expected > 0ms ? pace.expected : unknownExpected; }

    Duration scaled(Duration duration, double factor)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(duration) * factor);
    }

    double ratio(Duration one, Duration other)
    {
        return static_cast<double>(one.count()) / static_cast<double>(std::max<Duration::rep>(1, other.count()));
    }

    /// The longest time of an answer that is a multiple of the expected time.
    Duration timeLimit(const ServerPace& pace, double factor) { return scaled(expectedOf(pace), factor) + lateMargin; }

    Duration sendInterval(const ServerPace& pace)
    {
        if (pace.window >= 1)
            return 0ms;
        return std::min(maxSendInterval, scaled(expectedOf(pace), pace.jitter / std::max(pace.window, minWindow)));
    }

    PaceChange halve(ServerPace& pace, TimePoint now, std::uint32_t concurrencyAtSend)
    {
        pace.lastBadAt = now;
        if (now - pace.lastDecreaseAt < std::max(minDecreaseInterval, pace.lastTook))
            return PaceChange::None;
        pace.lastDecreaseAt = now;
        pace.lastRelaxedAt = now;
        // A window that was not used up says nothing about what the server can take.
        const auto used = static_cast<double>(std::max(1U, concurrencyAtSend));
        const bool wasLimited = pace.phase != PacePhase::Unlimited;
        pace.window = std::max(minWindow, (wasLimited ? std::min(pace.window, used) : used) / 2);
        pace.phase = PacePhase::Gradient;
        pace.consecutiveLate = 0;
        return PaceChange::Halved;
    }

    PaceChange liftAtLimit(ServerPace& pace)
    {
        if (pace.phase == PacePhase::Unlimited || pace.window < pace.limit)
            return PaceChange::None;
        pace.phase = PacePhase::Unlimited;
        pace.window = pace.limit;
        pace.consecutiveLate = 0;
        return PaceChange::Lifted;
    }

    /// A VM with few requests never uses a window up, so a window that isn't used grows with the time without a bad
    /// answer. One that is used up doesn't: many VMs would double their requests at the same time.
    void relax(ServerPace& pace, TimePoint now)
    {
        // At least two requests are sent in the time.
        const auto interval = std::max(relaxInterval, 2 * sendInterval(pace));
        if (now - std::max(pace.lastBadAt, pace.lastRelaxedAt) < interval)
            return;
        pace.lastRelaxedAt = now;
        pace.window *= 2;
    }

    void growInSlowStart(ServerPace& pace)
    {
        // Below 1, one answer is a round. So many VMs share the server then that the next answers come only after all
        // of them have grown, so the steps are smaller.
        pace.goodInRound += 1;
        if (pace.goodInRound < pace.window)
            return;
        pace.goodInRound = 0;
        pace.window *= pace.window < 1 ? sharedGrowthFactor : 2;
    }

    void followGradient(ServerPace& pace, Duration took)
    {
        const bool mayGrowFast = pace.window < pace.share || pace.window >= 1;
        const auto gradient
            = std::clamp(ratio(timeLimit(pace, gradientFactor), took), minGradient, mayGrowFast ? maxGradient : 1);
        const auto growth = std::min(maxGrowth, growthFraction * pace.window);
        pace.window += smoothingFactor * (pace.window * gradient + growth - pace.window);
        pace.window = std::max(minWindow, pace.window);
    }

} // namespace

double paceRank(std::string_view serverStart, std::string_view vm)
{
    const auto hash = stableHash(vm, stableHash(serverStart));
    return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

void begin(ServerPace& pace, const PaceStart& start, TimePoint now)
{
    pace = ServerPace {};
    const auto slots = static_cast<double>(std::max<std::uint64_t>(1, start.slots));
    const auto vms = static_cast<double>(std::max<std::size_t>(1, start.vms));
    pace.phase = PacePhase::SlowStart;
    pace.limit = std::max(1U, start.limit);
    pace.expected = start.expected;
    pace.share = std::clamp(slots / vms, minWindow, maxInitialWindow);
    pace.window = pace.share;
    pace.lastRelaxedAt = now;
    pace.lastBadAt = now;
    const auto turn = (start.rank * vms - slots) / (slots * entryCapacityFraction);
    const auto delay = start.isSharedStart && turn > 0 ? scaled(expectedOf(pace), turn) : Duration(0);
    pace.seed = static_cast<std::uint64_t>(std::ldexp(start.rank, 53));
    pace.entersAt = now + std::min(delay, maxEntryDelay);
}

void recordSend(ServerPace& pace, TimePoint now)
{
    pace.isHeldBack = pace.window < 1 && now - pace.lastSentAt <= 2 * sendInterval(pace);
    pace.lastSentAt = now;
    const auto ticks = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const auto fraction = std::ldexp(static_cast<double>(Random(ticks ^ pace.seed).next() >> 11U), -53);
    pace.jitter = 1 + sendJitter * (fraction - 0.5);
}

PaceChange recordAnswer(
    ServerPace& pace, TimePoint now, Duration took, Duration expected, std::uint32_t concurrencyAtSend)
{
    if (expected > 0ms)
        pace.expected = expected;
    else if (pace.expected == 0ms)
        pace.expected = took;
    pace.lastTook = took;
    if (pace.consecutiveFailures > 0)
        pace.lastRelaxedAt = now;
    // A single failure may be that of a request; a server that fails some of them still runs the others.
    if (pace.consecutiveFailures == 1) {
        pace.phase = PacePhase::Gradient;
        pace.window = std::max(pace.window, pace.windowBeforeFailures / 2);
    }
    pace.consecutiveFailures = 0;
    pace.passedOver = 0;
    const bool isDoubling = pace.phase == PacePhase::SlowStart;
    const bool isLate = took > timeLimit(pace, isDoubling ? doublingFactor : lateFactor);
    pace.consecutiveLate = isLate ? pace.consecutiveLate + 1 : 0;
    if (pace.phase == PacePhase::Unlimited)
        return pace.consecutiveLate >= lateToLimit ? halve(pace, now, concurrencyAtSend) : PaceChange::None;
    if (isLate) {
        pace.lastBadAt = now;
        if (pace.phase == PacePhase::SlowStart) {
            pace.phase = PacePhase::Gradient;
            return halve(pace, now, concurrencyAtSend);
        }
    }
    // Growth needs a window that is used: more than half of it, or one that allows a single request at times.
    const bool isUsed = pace.window < 1 || concurrencyAtSend * 2 >= pace.window;
    const bool isUsedUp = pace.window < 1 ? pace.isHeldBack : concurrencyAtSend + 1 > pace.window;
    if (pace.phase == PacePhase::SlowStart && isUsed)
        growInSlowStart(pace);
    else if (pace.phase == PacePhase::Gradient && (isUsed || isLate))
        followGradient(pace, took);
    if (!isLate && !isUsedUp)
        relax(pace, now);
    return liftAtLimit(pace);
}

PaceChange recordRefusal(ServerPace& pace, TimePoint now, std::uint32_t concurrencyAtSend)
{
    return halve(pace, now, concurrencyAtSend);
}

PaceChange recordFailure(ServerPace& pace, TimePoint now)
{
    // Requests that were in flight together fail together and count as one failure.
    if (pace.consecutiveFailures > 0 && now < pace.failingUntil) {
        pace.lastBadAt = now;
        return PaceChange::None;
    }
    if (pace.consecutiveFailures == 0)
        pace.windowBeforeFailures = pace.phase == PacePhase::Unlimited ? pace.limit : pace.window;
    const auto doublings = std::min(pace.consecutiveFailures++, maxFailureDoublings);
    pace.failingUntil = now + minFailurePause * (1U << doublings);
    pace.passedOver = 0;
    pace.phase = PacePhase::SlowStart;
    pace.window = std::min(1.0, pace.share);
    pace.goodInRound = 0;
    pace.lastBadAt = now;
    pace.lastRelaxedAt = now;
    pace.lastDecreaseAt = now;
    return PaceChange::Halved;
}

void recordPassedOver(ServerPace& pace) { ++pace.passedOver; }

double window(const ServerPace& pace, TimePoint now)
{
    if (pace.consecutiveFailures > 0) {
        const auto doublings = std::min(pace.consecutiveFailures - 1, maxFailureDoublings);
        if (now < pace.failingUntil || pace.passedOver < std::min(maxPassedOver, minPassedOver << doublings))
            return 0;
        // One request shows whether the server still fails.
        return std::min(1.0, pace.window);
    }
    if (pace.phase == PacePhase::Unlimited)
        return pace.limit;
    return now < pace.entersAt ? 0 : pace.window;
}

bool maySend(const ServerPace& pace, std::uint32_t outstanding, TimePoint now)
{
    const auto allowed = window(pace, now);
    if (pace.phase == PacePhase::Unlimited)
        return allowed > 0;
    if (allowed >= 1)
        return outstanding < static_cast<std::uint32_t>(allowed);
    return allowed > 0 && outstanding == 0 && now - pace.lastSentAt >= sendInterval(pace);
}

bool isHeldByOverload(const ServerPace& pace, std::uint32_t outstanding, TimePoint now)
{
    return pace.phase == PacePhase::Gradient && pace.consecutiveFailures == 0 && !maySend(pace, outstanding, now);
}

TimePoint nextSendAt(const ServerPace& pace, std::uint32_t outstanding, TimePoint now)
{
    const bool isTimed = pace.phase != PacePhase::Unlimited && pace.window < 1 && outstanding == 0;
    return isTimed ? std::max({ now, pace.entersAt, pace.lastSentAt + sendInterval(pace) }) : now;
}

double shortfall(const ServerPace& pace, std::uint32_t outstanding, TimePoint now)
{
    if (maySend(pace, outstanding, now))
        return 0;
    if (pace.consecutiveFailures > 0)
        return 1;
    // The part of this VM's requests that the window doesn't cover: small for a large window.
    return 0.9 * (outstanding + 1) / (outstanding + 1 + std::max(pace.window, minWindow));
}

} // namespace topaztack
