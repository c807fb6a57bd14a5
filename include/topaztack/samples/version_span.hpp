#pragma once

#include <topaztack/base/ids.hpp>

#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// Which weight versions produced which tokens of an answer.

namespace topaztack {

/// @brief Tokens [from, to) of one answer came from one weight version.
struct VersionSpan {
    WeightVersion version;
    std::uint32_t from { 0 };
    std::uint32_t to { 0 };

    auto operator<=>(const VersionSpan&) const = default;
};

using VersionSpans = std::vector<VersionSpan>;

/// @brief Adds a chunk's tokens at the end, joined to the last span if the version is the same.
void appendChunk(VersionSpans& spans, WeightVersion version, std::uint32_t tokens);

/// @brief The oldest version that produced a token; nothing if there are no tokens.
std::optional<WeightVersion> oldestVersion(const VersionSpans& spans);

/// @brief Whether the spans cover [0, tokens) in order, without gaps or overlaps.
bool coversAllTokens(const VersionSpans& spans, std::uint32_t tokens);

} // namespace topaztack
