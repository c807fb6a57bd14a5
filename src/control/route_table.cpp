#include <topaztack/control/route_table.hpp>

#include <algorithm>
#include <cctype>

namespace topaztack {

namespace {

    bool isSameHost(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char one, char other) {
            return std::tolower(static_cast<unsigned char>(one)) == std::tolower(static_cast<unsigned char>(other));
        });
    }

} // namespace

const Route* matchRoute(const RouteTable& table, std::string_view host, std::string_view path)
{
    const Route* best = nullptr;
    for (const auto& route : table.routes) {
        const bool isLonger = !best || route.prefix.size() > best->prefix.size();
        if (isLonger && path.starts_with(route.prefix) && isSameHost(route.host, host))
            best = &route;
    }
    return best;
}

const PoolName* choosePool(const Route& route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const auto& share : route.pools)
        total += share.weight;
    if (total == 0)
        return nullptr;
    auto offset = draw % total;
    for (const auto& share : route.pools) {
        if (offset < share.weight)
            return &share.pool;
        offset -= share.weight;
    }
    return nullptr;
}

const PoolRecord* findPool(const RouteTable& table, const PoolName& name)
{
    const auto found = std::find_if(
        table.pools.begin(), table.pools.end(), [&name](const PoolRecord& pool) { return pool.name == name; });
    return found == table.pools.end() ? nullptr : &*found;
}

std::uint64_t rankOf(const RouteTable& table, const Route& route, const WorkspaceName& workspace)
{
    if (workspace.value().empty())
        return route.priority;
    const auto found = std::find_if(table.workspaces.begin(), table.workspaces.end(),
        [&workspace](const Workspace& each) { return each.name == workspace; });
    return found == table.workspaces.end() ? route.priority : found->rank.value_or(route.priority);
}

} // namespace topaztack
