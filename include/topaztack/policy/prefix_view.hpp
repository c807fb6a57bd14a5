#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

/// @file
/// An approximate index of the engines that cache each prompt prefix. Cache events are late and incomplete, so prompts
/// that were sent to an engine are recorded too, and old entries are evicted. A wrong entry costs one cache miss.

namespace topaztack {

/// Index of an engine in its pool's table.
using ServerIndex = std::uint32_t;

/// The most engines recorded for one block.
inline constexpr std::size_t maxServersPerBlock = 4;

/// @brief A bounded index of blocks; the least recently recorded are evicted first.
struct PrefixView {
    struct Holders {
        /// The first `count` are valid, the most recently recorded one first.
        std::array<ServerIndex, maxServersPerBlock> servers {};
        std::size_t count { 0 };
        /// Sequence number of the last record; entries of `order` with a lower one are stale.
        std::uint64_t sequence { 0 };
    };

    std::size_t maxBlocks { 65536 };
    std::unordered_map<std::uint64_t, Holders> blocks;
    /// Blocks with the sequence numbers of their records, oldest first.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> order;
    std::uint64_t lastSequence { 0 };
};

/// @brief An engine and the number of leading blocks of a prompt that it presumably caches.
struct PrefixMatch {
    ServerIndex server { 0 };
    std::uint32_t blocks { 0 };
};

/// @brief Records that an engine caches a block: it sent an event, or a prompt with the block was sent there.
void recordStored(PrefixView& view, std::uint64_t block, ServerIndex server);

/// @brief Records that an engine no longer caches a block.
void recordEvicted(PrefixView& view, std::uint64_t block, ServerIndex server);

/// @brief Finds the engines that cache the longest prefix of a prompt, the most recently recorded first; at most
/// `maxServersPerBlock`.
/// @complexity binary search over the prompt's blocks, since a block's hash covers all before it.
std::vector<PrefixMatch> findPrefix(const PrefixView& view, std::span<const std::uint64_t> blocks);

} // namespace topaztack
