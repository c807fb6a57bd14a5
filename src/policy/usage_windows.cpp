#include <topaztack/policy/usage_windows.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace json = boost::json;

namespace {

    /// Limits on what other VMs can make this one store: more than 350 VMs with 100 workspaces in the windows of a
    /// minute need.
    constexpr std::size_t maxWindows = 64;
    constexpr std::size_t maxOrigins = 1000;
    constexpr std::size_t maxWorkspaces = 1000;

} // namespace

void mergeCounts(UsageCounts& counts, const UsageCounts& others)
{
    for (const auto& [workspace, count] : others) {
        const auto found = counts.find(workspace);
        if (found != counts.end())
            found->second = std::max(found->second, count);
        else if (counts.size() < maxWorkspaces)
            counts.emplace(workspace, count);
    }
}

void mergeUsage(UsageWindows& usage, std::uint64_t window, const VmIdentity& origin, const UsageCounts& counts)
{
    if (!usage.windows.contains(window) && usage.windows.size() >= maxWindows)
        return;
    auto& origins = usage.windows[window];
    if (origins.contains(origin) || origins.size() < maxOrigins)
        mergeCounts(origins[origin], counts);
}

UsageCounts usageOf(const UsageWindows& usage, std::uint64_t window, const VmIdentity& origin)
{
    const auto origins = usage.windows.find(window);
    if (origins == usage.windows.end())
        return {};
    const auto counts = origins->second.find(origin);
    return counts == origins->second.end() ? UsageCounts {} : counts->second;
}

UsageCounts sumUsage(const std::map<VmIdentity, UsageCounts>& origins)
{
    UsageCounts sum;
    for (const auto& [origin, counts] : origins) {
        for (const auto& [workspace, count] : counts)
            sum[workspace] += count;
    }
    return sum;
}

std::uint64_t totalOf(const UsageCounts& counts)
{
    std::uint64_t total = 0;
    for (const auto& [workspace, count] : counts)
        total += count;
    return total;
}

void expireUsage(UsageWindows& usage, std::uint64_t oldest)
{
    usage.windows.erase(usage.windows.begin(), usage.windows.lower_bound(oldest));
}

bool mayExceedTolerance(const UsageCounts& counted, const std::vector<UsageCounts>& missing, double tolerance)
{
    UsageCounts absent;
    for (const auto& counts : missing) {
        for (const auto& [workspace, count] : counts)
            absent[workspace] += count;
    }
    return std::any_of(absent.begin(), absent.end(), [&](const auto& entry) {
        const auto found = counted.find(entry.first);
        const auto known = found == counted.end() ? 0 : found->second;
        return static_cast<double>(entry.second) > tolerance * static_cast<double>(known + entry.second);
    });
}

std::string toText(const UsageCounts& counts)
{
    json::object object;
    for (const auto& [workspace, count] : counts)
        object[workspace.value()] = count;
    return json::serialize(object);
}

std::optional<UsageCounts> parseUsageCounts(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        UsageCounts counts;
        for (const auto& [workspace, count] : value.as_object())
            counts[WorkspaceName(std::string(workspace))] = count.to_number<std::uint64_t>();
        return counts;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace topaztack
