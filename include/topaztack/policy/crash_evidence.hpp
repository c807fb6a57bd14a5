#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Which requests crash the backend servers that run them. Servers end for other causes too, with many requests on
/// them, so a request is first suspected, then run where no other suspected request runs, and held only once servers
/// have ended under it there as well. The functions are pure.

namespace topaztack {

/// @brief One start of a backend server's process.
struct ServerStart {
    BackendName name;
    /// In milliseconds of Unix time; 0 if unknown.
    std::chrono::milliseconds startedAt { 0 };

    auto operator<=>(const ServerStart&) const = default;
};

/// @brief Prints a start as `<milliseconds>@<name>`.
std::string toText(const ServerStart& start);

/// @return nothing if the text is no start.
std::optional<ServerStart> parseServerStart(std::string_view text);

/// @brief The servers that ended while they ran one request, since it last ran to its end.
struct CrashEvidence {
    /// Whether the request was the only suspected one at the server that ended.
    std::map<ServerStart, bool> ends;
    TimePoint lastAt {};
};

enum class CrashVerdict : std::uint8_t {
    /// Nothing speaks against the request.
    Clear,
    /// A server ended under it: it runs only where no other suspected request does, and where a server can be spared.
    Suspected,
    /// It crashes the servers that run it.
    Held,
};

/// @brief Records that a server ended while it ran the request.
void recordEnd(CrashEvidence& evidence, const ServerStart& start, bool wasAlone, TimePoint now);

/// @brief Adds what another VM saw.
void mergeEvidence(CrashEvidence& evidence, const CrashEvidence& other);

/// @brief Judges a request. One that was held is run once more after a while, and held for twice as long if another
/// server ends under it.
/// @complexity linear in the number of servers that ended.
CrashVerdict judge(const CrashEvidence& evidence, TimePoint now);

/// @brief When a request that is held may be run again.
TimePoint heldUntil(const CrashEvidence& evidence);

/// @brief Whether the evidence is too old to count.
bool isOutdated(const CrashEvidence& evidence, TimePoint now);

/// @brief Whether a pool can do without one more server, so that a request that may crash it can be run.
/// @param usable servers that can take requests now.
/// @param largest the most servers that the pool had lately; one without others is risked, since nothing else tells
/// whether the request is sound.
bool canSpareServer(std::size_t usable, std::size_t largest);

/// @brief How long accepted work waits before it runs again after this many servers ended under it. It is owed, so it
/// is never held.
Duration pauseAfterEnds(std::size_t ends);

} // namespace topaztack
