#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

/// @file
/// The blocks of a prompt, the unit in which engines cache prefixes.

namespace topaztack {

/// Size of a block in bytes.
inline constexpr std::size_t prefixBlockSize = 64;

/// @brief Computes a hash for each whole block of a prompt. Each hash also covers all preceding blocks, so that equal
/// hashes mean equal prefixes. Cache events of engines name blocks by the same hashes.
/// @complexity linear in the prompt.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

} // namespace topaztack
