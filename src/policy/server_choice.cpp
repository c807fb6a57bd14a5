#include <topaztack/policy/server_choice.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration minSuspicionTime = 500ms;
    constexpr std::uint32_t maxDoublings = 2;
    /// A server in another data centre is preferred only if it is less loaded by more than this fraction of its
    /// allowance.
    constexpr double remotePenalty = 0.34;
    /// Newer weights are preferred: text generated with them can be reused by the next job.
    constexpr double olderWeightsPenalty = 0.25;
    /// A server without a connection is preferred only if it is less loaded by more than this fraction of its
    /// allowance.
    constexpr double connectPenalty = 0.12;
    /// A running generation is moved only if it becomes faster by this factor: a move costs about the time of one
    /// event.
    constexpr double minMoveSpeedup = 1.2;
    /// From this slowness on, a generation leaves its server as soon as one with capacity is faster by this factor.
    constexpr double urgentSlowness = 1.5;
    /// Larger than any load: a server whose pace holds the request back is chosen if no other has room, before
    /// suspected ones.
    constexpr double pacePenalty = 20;
    /// Costs that differ by less count as equal; less than one more request at a server costs.
    constexpr double nearlyEqualCosts = 0.06;
    /// Larger than any load: suspected servers come last, and after them those already tried.
    constexpr double suspicionPenalty = 100;
    constexpr double triedPenalty = 1000;

    /// Limit of the memory that the generations of an engine need at their ends, as a multiple of its capacity. It may
    /// exceed 1: they don't end at the same time, and halfway through each takes half.
    constexpr double maxMemoryLoad = 1.4;

    double memoryLoad(const ServerLoad& server)
    {
        if (server.capacityTokens == 0)
            return 0;
        return static_cast<double>(server.reservedTokens + server.requestTokens)
            / static_cast<double>(server.capacityTokens);
    }

    double costOf(const ServerLoad& server)
    {
        const double slotLoad = static_cast<double>(server.outstanding + 1) / server.allowance;
        const double load = std::max(slotLoad, memoryLoad(server));
        double cost = server.slowness * (1 + server.slowdownAtFullLoad * load);
        if (!server.isLocal)
            cost += remotePenalty;
        if (!server.hasConnection)
            cost += connectPenalty;
        if (server.hasOlderWeights)
            cost += olderWeightsPenalty;
        if (server.paceShortfall > 0)
            cost += pacePenalty * (1 + server.paceShortfall);
        if (server.isSuspected)
            cost += suspicionPenalty;
        if (server.wasTried)
            cost += triedPenalty;
        return cost;
    }

} // namespace

std::uint32_t backgroundAllowance(std::uint64_t slots, std::uint32_t background, std::uint32_t outstanding)
{
    const auto share = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, slots - slots / 3));
    return background == 0 ? std::max(share, outstanding + 1) : share;
}

bool hasCapacity(const ServerLoad& server)
{
    if (server.outstanding >= server.allowance)
        return false;
    return server.outstanding == 0 || memoryLoad(server) <= maxMemoryLoad;
}

std::optional<std::size_t> chooseServer(const std::vector<ServerLoad>& servers, Random& random)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    std::uint64_t ties = 0;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        const auto& server = servers[index];
        if (!hasCapacity(server))
            continue;
        const double cost = costOf(server);
        const bool isTie = best && cost == bestCost;
        ties = isTie ? ties + 1 : 1;
        if (!best || cost < bestCost || (isTie && random.below(ties) == 0)) {
            best = index;
            bestCost = cost;
        } else if (!isTie) {
            ties = 1;
        }
    }
    return best;
}

std::optional<std::size_t> chooseNearlyBest(const std::vector<ServerLoad>& servers, Random& random)
{
    std::optional<double> lowest;
    for (const auto& server : servers) {
        if (hasCapacity(server))
            lowest = std::min(lowest.value_or(costOf(server)), costOf(server));
    }
    std::optional<std::size_t> chosen;
    std::uint64_t nearlyEqual = 0;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        if (!hasCapacity(servers[index]) || costOf(servers[index]) > *lowest + nearlyEqualCosts)
            continue;
        if (random.below(++nearlyEqual) == 0)
            chosen = index;
    }
    return chosen;
}

bool isWorthMoving(double slownessHere, const std::vector<ServerLoad>& servers)
{
    return std::any_of(servers.begin(), servers.end(), [slownessHere](const ServerLoad& server) {
        if (server.isSuspected || server.wasTried || server.paceShortfall > 0 || !hasCapacity(server))
            return false;
        // The free slots of a server that is half full are left to requests that can't run elsewhere, unless the move
        // is urgent.
        const bool isHalfFree = server.outstanding * 2 < server.allowance;
        return (isHalfFree || isUrgentToMove(slownessHere))
            && server.slowness * (isHalfFree ? minMoveSpeedup : urgentSlowness) <= slownessHere;
    });
}

bool couldGainByMoving(double slownessHere, double fastest) { return fastest * minMoveSpeedup <= slownessHere; }

bool isUrgentToMove(double slownessHere) { return slownessHere >= urgentSlowness; }

Duration suspicionTime(std::uint32_t consecutiveFailures)
{
    if (consecutiveFailures == 0)
        return 0ms;
    return minSuspicionTime * (1U << std::min(consecutiveFailures - 1, maxDoublings));
}

} // namespace topaztack
