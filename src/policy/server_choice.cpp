#include <topaztack/policy/server_choice.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration shortestSuspicion = 500ms;
    constexpr std::uint32_t mostDoublings = 2;
    /// A server elsewhere is preferred only if it is less loaded by this share of its allowance.
    constexpr double remotePenalty = 0.34;
    /// Text made by the newest weights can be used by the next job too.
    constexpr double behindPenalty = 0.25;
    /// A server without a connection is preferred only if it is less loaded by more than this.
    constexpr double connectPenalty = 0.12;
    /// A running generation is moved where it goes on this many times as fast: a move costs about one event.
    constexpr double moveGain = 1.2;
    /// At a server that is this many times slower a generation stays no longer than it must.
    constexpr double urgentGain = 1.5;
    constexpr double suspicionPenalty = 100;
    constexpr double triedPenalty = 1000;

    /// What the generations of an engine may take together at their ends, as a part of its memory: they don't end at
    /// the same time, and in its midst each takes half.
    constexpr double usableMemory = 1.4;

    double memoryLoad(const ServerLoad& server)
    {
        if (server.capacityTokens == 0)
            return 0;
        return static_cast<double>(server.reservedTokens + server.requestTokens)
            / static_cast<double>(server.capacityTokens);
    }

    double costOf(const ServerLoad& server)
    {
        const double slots = static_cast<double>(server.outstanding + 1) / server.allowance;
        const double load = std::max(slots, memoryLoad(server));
        double cost = server.slowness * (1 + server.slowdownAtFullLoad * load);
        if (!server.isLocal)
            cost += remotePenalty;
        if (!server.hasConnection)
            cost += connectPenalty;
        if (server.hasOlderWeights)
            cost += behindPenalty;
        if (server.isSuspected)
            cost += suspicionPenalty;
        if (server.wasTried)
            cost += triedPenalty;
        return cost;
    }

} // namespace

bool hasCapacity(const ServerLoad& server)
{
    if (server.outstanding >= server.allowance)
        return false;
    return server.outstanding == 0 || memoryLoad(server) <= usableMemory;
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

bool isWorthMoving(double slownessHere, const std::vector<ServerLoad>& servers)
{
    return std::any_of(servers.begin(), servers.end(), [slownessHere](const ServerLoad& server) {
        if (server.isSuspected || server.wasTried || !hasCapacity(server))
            return false;
        // A server that is half full is left to requests that can't go elsewhere, unless much is gained.
        const bool isHalfFree = server.outstanding * 2 < server.allowance;
        return (isHalfFree || isUrgentToMove(slownessHere))
            && server.slowness * (isHalfFree ? moveGain : urgentGain) <= slownessHere;
    });
}

bool couldGainByMoving(double slownessHere, double fastest) { return fastest * moveGain <= slownessHere; }

bool isUrgentToMove(double slownessHere) { return slownessHere >= urgentGain; }

Duration suspicionTime(std::uint32_t failuresInRow)
{
    if (failuresInRow == 0)
        return 0ms;
    return shortestSuspicion * (1U << std::min(failuresInRow - 1, mostDoublings));
}

} // namespace topaztack
