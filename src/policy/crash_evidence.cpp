#include <topaztack/policy/crash_evidence.hpp>

#include <algorithm>
#include <charconv>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t minEnds = 3;
    /// Of these, ends at servers where no other suspected request ran. The first end is seldom one of them.
    constexpr std::size_t minEndsAlone = 2;
    /// Ends that suffice whatever else ran at the servers.
    constexpr std::size_t sufficientEnds = 5;
    constexpr Duration minHoldTime = 10min;
    constexpr std::size_t maxHoldDoublings = 5;
    constexpr Duration suspicionRetention = 10min;
    constexpr Duration minOwedPause = 1s;
    constexpr std::size_t maxOwedDoublings = 3;

    bool isConvicted(const CrashEvidence& evidence)
    {
        const auto alone = static_cast<std::size_t>(
            std::count_if(evidence.ends.begin(), evidence.ends.end(), [](const auto& end) { return end.second; }));
        return evidence.ends.size() >= sufficientEnds || (evidence.ends.size() >= minEnds && alone >= minEndsAlone);
    }

    Duration holdTime(const CrashEvidence& evidence)
    {
        const auto furtherEnds = evidence.ends.size() - std::min(evidence.ends.size(), minEnds);
        return minHoldTime * (1U << std::min(furtherEnds, maxHoldDoublings));
    }

} // namespace

std::string toText(const ServerStart& start)
{
    return std::to_string(start.startedAt.count()) + "@" + start.name.value();
}

std::optional<ServerStart> parseServerStart(std::string_view text)
{
    std::int64_t startedAt = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), startedAt);
    const auto length = static_cast<std::size_t>(end - text.data());
    if (problem != std::errc {} || length + 1 >= text.size() || text[length] != '@')
        return std::nullopt;
    return ServerStart { BackendName(std::string(text.substr(length + 1))), std::chrono::milliseconds(startedAt) };
}

void recordEnd(CrashEvidence& evidence, const ServerStart& start, bool wasAlone, TimePoint now)
{
    auto& alone = evidence.ends[start];
    alone = alone || wasAlone;
    evidence.lastAt = std::max(evidence.lastAt, now);
}

void mergeEvidence(CrashEvidence& evidence, const CrashEvidence& other)
{
    for (const auto& [start, wasAlone] : other.ends)
        recordEnd(evidence, start, wasAlone, other.lastAt);
}

CrashVerdict judge(const CrashEvidence& evidence, TimePoint now)
{
    if (evidence.ends.empty() || isOutdated(evidence, now))
        return CrashVerdict::Clear;
    return isConvicted(evidence) && now < heldUntil(evidence) ? CrashVerdict::Held : CrashVerdict::Suspected;
}

TimePoint heldUntil(const CrashEvidence& evidence) { return evidence.lastAt + holdTime(evidence); }

bool isOutdated(const CrashEvidence& evidence, TimePoint now)
{
    const auto hold = isConvicted(evidence) ? holdTime(evidence) : Duration(0);
    return now - evidence.lastAt >= hold + suspicionRetention;
}

bool canSpareServer(std::size_t usable, std::size_t largest)
{
    if (largest <= 1)
        return true;
    return usable > std::max<std::size_t>(1, largest / 2);
}

Duration pauseAfterEnds(std::size_t ends)
{
    if (ends < minEnds)
        return Duration(0);
    return minOwedPause * (1U << std::min(ends - minEnds, maxOwedDoublings));
}

} // namespace topaztack
