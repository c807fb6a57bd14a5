#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

/// @file
/// Which engines are believed to cache which prefixes. Events come late and with gaps, so the view also learns from
/// what was sent, and forgets: a wrong belief costs one miss.

namespace topaztack {

/// Index of an engine in its pool's table.
using ServerIndex = std::uint32_t;

/// Engines remembered for one block at most.
inline constexpr std::size_t maxServersPerBlock = 4;

/// @brief Bounded: the blocks noted longest ago are forgotten first.
struct PrefixView {
    struct Holders {
        /// The first `count` are set, the one noted last in front.
        std::array<ServerIndex, maxServersPerBlock> servers {};
        std::size_t count { 0 };
        /// Place in the order of notes; older notes in `order` are out of date.
        std::uint64_t note { 0 };
    };

    std::size_t maxBlocks { 65536 };
    std::unordered_map<std::uint64_t, Holders> blocks;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> order;
    std::uint64_t notes { 0 };
};

/// @brief An engine and the leading blocks of a prompt that it is believed to cache.
struct PrefixMatch {
    ServerIndex server { 0 };
    std::uint32_t blocks { 0 };
};

/// @brief Notes that an engine caches a block, by its own event or because a prompt with it was sent there.
void recordStored(PrefixView& view, std::uint64_t block, ServerIndex server);

/// @brief Notes that an engine no longer caches a block.
void recordEvicted(PrefixView& view, std::uint64_t block, ServerIndex server);

/// @brief Engines that cache the longest leading part of a prompt, best first; at most `maxServersPerBlock`.
/// @complexity binary search over the prompt's blocks, since a block's hash covers all before it.
std::vector<PrefixMatch> findPrefix(const PrefixView& view, std::span<const std::uint64_t> blocks);

} // namespace topaztack
