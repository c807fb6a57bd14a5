#include <topaztack/policy/keepers.hpp>

#include <topaztack/base/random.hpp>

#include <algorithm>
#include <set>
#include <tuple>

namespace topaztack {

namespace {

    constexpr std::size_t maxKeepers = 3;

} // namespace

std::vector<std::size_t> rankKeepers(std::string_view key, const std::vector<KeeperCandidate>& vms)
{
    const auto seed = stableHash(key);
    std::vector<std::size_t> order(vms.size());
    std::vector<std::uint64_t> ranks(vms.size());
    for (std::size_t index = 0; index < vms.size(); ++index) {
        order[index] = index;
        ranks[index] = stableHash(vms[index].name.value(), seed);
    }
    std::sort(order.begin(), order.end(), [&](std::size_t one, std::size_t other) {
        return std::tie(ranks[one], vms[one].name) < std::tie(ranks[other], vms[other].name);
    });
    // The best of each data centre go before the others.
    std::set<DataCentre> represented;
    std::stable_partition(order.begin(), order.end(),
        [&](std::size_t index) { return represented.insert(vms[index].dataCentre).second; });
    order.resize(std::min(order.size(), maxKeepers));
    return order;
}

} // namespace topaztack
