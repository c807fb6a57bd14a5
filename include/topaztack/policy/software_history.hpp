#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Which software versions can have begun a stream. What servers of two versions generate doesn't fit together, so a
/// stream is continued only by the version that began it.

namespace topaztack {

/// @brief A software version that servers of a pool had.
struct SoftwareSpan {
    std::string version;
    /// When its last server was found gone, by the store's clock; empty while it is in service.
    std::optional<std::chrono::milliseconds> leftAt;

    bool operator==(const SoftwareSpan&) const = default;
};

/// @brief The only version that can have begun a stream of which nothing else is known.
/// @param now time by the store's clock.
/// @param maxStreamAge longest time for which a stream can go on.
/// @return empty if there are several, or none.
std::optional<std::string> onlyPossibleSoftware(
    const std::vector<SoftwareSpan>& history, std::chrono::milliseconds now, std::chrono::milliseconds maxStreamAge);

/// @brief Whether a version left so long ago that its record is of no use any more.
bool isForgettable(const SoftwareSpan& span, std::chrono::milliseconds now, std::chrono::milliseconds maxStreamAge);

} // namespace topaztack
