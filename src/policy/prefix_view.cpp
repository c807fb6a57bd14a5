#include <topaztack/policy/prefix_view.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    /// A block noted within this part of the view's size is not noted again.
    constexpr std::uint64_t recentPart = 4;

    void forgetOldest(PrefixView& view)
    {
        while (!view.order.empty() && (view.blocks.size() > view.maxBlocks || view.order.size() > 4 * view.maxBlocks)) {
            const auto [block, note] = view.order.front();
            view.order.pop_front();
            const auto found = view.blocks.find(block);
            if (found != view.blocks.end() && found->second.note == note)
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
    const bool isInFront = holders.count > 0 && holders.servers.front() == server;
    if (isInFront && holders.note + view.maxBlocks / recentPart > view.notes)
        return;
    holders.note = ++view.notes;
    view.order.emplace_back(block, holders.note);
    auto place = std::find(begin, end, server);
    if (place == end && holders.count < maxServersPerBlock)
        ++holders.count;
    else if (place == end)
        --place;
    std::rotate(begin, place, place + 1);
    holders.servers.front() = server;
    forgetOldest(view);
}

void recordEvicted(PrefixView& view, std::uint64_t block, ServerIndex server)
{
    const auto found = view.blocks.find(block);
    if (found == view.blocks.end())
        return;
    auto& holders = found->second;
    const auto end = holders.servers.begin() + static_cast<std::ptrdiff_t>(holders.count);
    const auto place = std::find(holders.servers.begin(), end, server);
    if (place == end)
        return;
    std::rotate(place, place + 1, end);
    --holders.count;
}

std::vector<PrefixMatch> findPrefix(const PrefixView& view, std::span<const std::uint64_t> blocks)
{
    std::vector<PrefixMatch> matches;
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
        for (std::size_t place = 0; place < holders->count; ++place) {
            const auto server = holders->servers[place];
            const bool isKnown = std::any_of(
                matches.begin(), matches.end(), [server](const PrefixMatch& match) { return match.server == server; });
            if (!isKnown && matches.size() < maxServersPerBlock)
                matches.push_back({ server, static_cast<std::uint32_t>(length) });
        }
        if (!matches.empty())
            break;
    }
    return matches;
}

} // namespace topaztack
