#include <topaztack/policy/prefix_view.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    void forgetOldest(PrefixView& view)
    {
        while (
            !view.order.empty() && (view.blocks.size() > view.mostBlocks || view.order.size() > 4 * view.mostBlocks)) {
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
        return found == view.blocks.end() || found->second.servers.empty() ? nullptr : &found->second;
    }

} // namespace

void noteStored(PrefixView& view, std::uint64_t block, ServerIndex server)
{
    auto& holders = view.blocks[block];
    holders.note = ++view.notes;
    view.order.emplace_back(block, holders.note);
    auto& servers = holders.servers;
    const auto known = std::find(servers.begin(), servers.end(), server);
    if (known != servers.end())
        servers.erase(known);
    servers.insert(servers.begin(), server);
    if (servers.size() > mostHoldersOfBlock)
        servers.pop_back();
    forgetOldest(view);
}

void noteEvicted(PrefixView& view, std::uint64_t block, ServerIndex server)
{
    const auto found = view.blocks.find(block);
    if (found != view.blocks.end())
        std::erase(found->second.servers, server);
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
    for (auto length = low; length > 0 && matches.size() < mostHoldersOfBlock; --length) {
        const auto* holders = holdersOf(view, blocks[length - 1]);
        if (!holders)
            continue;
        for (const auto server : holders->servers) {
            const bool isKnown = std::any_of(
                matches.begin(), matches.end(), [server](const PrefixMatch& match) { return match.server == server; });
            if (!isKnown && matches.size() < mostHoldersOfBlock)
                matches.push_back({ server, static_cast<std::uint32_t>(length) });
        }
        if (!matches.empty())
            break;
    }
    return matches;
}

} // namespace topaztack
