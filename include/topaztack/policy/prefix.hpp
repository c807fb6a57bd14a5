#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

/// @file
/// Blocks of a prompt by which engines cache prefixes.

namespace topaztack {

/// Characters in one block.
inline constexpr std::size_t prefixBlockSize = 64;

/// @brief A hash for each whole block of a prompt; each covers all that comes before it, so that equal hashes mean
/// equal prefixes. Engines' cache events name blocks by the same hashes.
/// @complexity linear in the prompt.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

} // namespace topaztack
