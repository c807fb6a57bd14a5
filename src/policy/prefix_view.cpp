#include <topaztack/policy/prefix_view.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    /// A block is not recorded again for the same engine if its last record names that engine and is one of the last
    /// `maxBlocks / recentDivisor`.
    constexpr std::uint64_t recentDivisor = 4;

    /// Evicts blocks, and drops stale entries of the order, until both are within their bounds.
    void evictOldest(PrefixView& view)
    {
        while (!view.order.empty() && (view.blocks.size() > view.maxBlocks || view.order.size() > 4 * view.maxBlocks)) {
            const auto [block, sequence] = view.order.front();
            view.order.pop_front();
            const auto found = view.blocks.find(block);
            if (found != view.blocks.end() && found->second.sequence == sequence)
                view.blocks.erase(found);
        }
    }

    const PrefixView::Holders* holdersOf(const PrefixView& view, std::uint64_t block)
    {
        const auto found = view.blocks.find(block);
        return found == view.blocks.end() || found->second.count == 0 ? nullptr : &found->second;
    }

} // namespace

void recordStored(PrefixView& view, std::uint64_t block, ServerIndex server)
{
    auto& holders = view.blocks[block];
    const auto begin = holders.servers.begin();
    const auto end = begin + static_cast<std::ptrdiff_t>(holders.count);
    const bool isFirst = holders.count > 0 && holders.servers.front() == server;
    if (isFirst && holders.sequence + view.maxBlocks / recentDivisor > view.lastSequence)
        return;
    holders.sequence = ++view.lastSequence;
    view.order.emplace_back(block, holders.sequence);
    auto position = std::find(begin, end, server);
    if (position == end && holders.count < maxServersPerBlock)
        ++holders.count;
    else if (position == end)
        --position;
    std::rotate(begin, position, position + 1);
    holders.servers.front() = server;
    evictOldest(view);
}

void recordEvicted(PrefixView& view, std::uint64_t block, ServerIndex server)
{
    const auto found = view.blocks.find(block);
    if (found == view.blocks.end())
        return;
    auto& holders = found->second;
    const auto end = holders.servers.begin() + static_cast<std::ptrdiff_t>(holders.count);
    const auto position = std::find(holders.servers.begin(), end, server);
    if (position == end)
        return;
    std::rotate(position, position + 1, end);
    --holders.count;
}

std::vector<PrefixMatch> findPrefix(const PrefixView& view, std::span<const std::uint64_t> blocks)
{
    std::vector<PrefixMatch> matches;
    // Binary search for the longest prefix whose last block is cached: a block's hash covers all before it.
    std::size_t low = 0;
    std::size_t high = blocks.size();
    while (low < high) {
        const auto middle = (low + high + 1) / 2;
        if (holdersOf(view, blocks[middle - 1]))
            low = middle;
        else
            high = middle - 1;
    }
    for (auto length = low; length > 0 && matches.size() < maxServersPerBlock; --length) {
        const auto* holders = holdersOf(view, blocks[length - 1]);
        if (!holders)
            continue;
        for (std::size_t position = 0; position < holders->count; ++position) {
            const auto server = holders->servers[position];
            const bool isMatched = std::any_of(
                matches.begin(), matches.end(), [server](const PrefixMatch& match) { return match.server == server; });
            if (!isMatched && matches.size() < maxServersPerBlock)
                matches.push_back({ server, static_cast<std::uint32_t>(length) });
        }
        if (!matches.empty())
            break;
    }
    return matches;
}

} // namespace topaztack
