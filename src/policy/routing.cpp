#include <topaztack/policy/routing.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr std::size_t maxSampledServers = 4;
    constexpr std::size_t maxSamplingAttempts = 8;
    /// Cost discount per cached block. Costs are in units of the load: 1 means that all slots are in use.
    constexpr double blockDiscount = 0.08;
    /// Limit of the discount, so that even a long prefix does not outweigh a higher load than this.
    constexpr double maxPrefixDiscount = 0.75;
    constexpr double remotePenalty = 0.25;
    constexpr std::size_t maxRendezvousServers = 16;

    struct Candidate {
        ServerIndex server { 0 };
        double cost { 0 };
    };

    bool isUsable(const RoutingTable& table, ServerIndex index, const RouteQuery& query, TimePoint now)
    {
        const auto& server = table.servers[index];
        return isEligible(server, index, query) && freeSlots(server, now) > 0;
    }

    /// The load as a fraction of slots in use: this VM's requests against its share, averaged with the requests of all
    /// VMs against the limit by the last report. A report counts half when fresh and less with its age.
    double loadOf(const ServerState& server, std::uint64_t limit, TimePoint now)
    {
        const auto own = static_cast<double>(server.inFlight);
        const auto share = static_cast<double>(std::max<std::uint32_t>(1, server.share.slots));
        const auto reported = static_cast<double>(server.report.running + server.report.queued);
        const auto weight = reportWeight(server.report, now) / 2;
        return (1 - weight) * own / share + weight * std::max(reported, own) / static_cast<double>(limit);
    }

    std::uint32_t cachedBlocks(std::span<const PrefixMatch> matches, ServerIndex server)
    {
        for (const auto& match : matches) {
            if (match.server == server)
                return match.blocks;
        }
        return 0;
    }

    /// The cost of a server: its load, plus a penalty outside this data centre, less a discount for cached blocks.
    double costOf(const RoutingTable& table, ServerIndex index, std::span<const PrefixMatch> matches, TimePoint now)
    {
        const auto& server = table.servers[index];
        const auto discount = std::min(maxPrefixDiscount, blockDiscount * cachedBlocks(matches, index));
        return loadOf(server, table.limit, now) + (server.isLocal ? 0 : remotePenalty) - discount;
    }

    /// Usable servers: a random sample, then those that cache the prompt's prefix.
    std::vector<ServerIndex> sampleCandidates(const RoutingTable& table, const RouteQuery& query,
        std::span<const PrefixMatch> matches, TimePoint now, Random& random)
    {
        std::vector<ServerIndex> candidates;
        candidates.reserve(maxSampledServers + maxServersPerBlock);
        for (std::size_t attempt = 0; attempt < maxSamplingAttempts && candidates.size() < maxSampledServers;
             ++attempt) {
            const auto index = static_cast<ServerIndex>(random.below(table.servers.size()));
            if (isUsable(table, index, query, now))
                candidates.push_back(index);
        }
        for (const auto& match : matches) {
            if (match.server < table.servers.size() && isUsable(table, match.server, query, now))
                candidates.push_back(match.server);
        }
        return candidates;
    }

    /// The first usable server from a random start, a local one if there is any.
    std::optional<ServerIndex> findFirstUsable(
        const RoutingTable& table, const RouteQuery& query, TimePoint now, Random& random)
    {
        const auto count = table.servers.size();
        const auto start = random.below(count);
        std::optional<ServerIndex> remote;
        for (std::size_t step = 0; step < count; ++step) {
            const auto index = static_cast<ServerIndex>((start + step) % count);
            if (!isUsable(table, index, query, now))
                continue;
            if (table.servers[index].isLocal)
                return index;
            if (!remote)
                remote = index;
        }
        return remote;
    }

    /// The server that all VMs prefer for a prompt, without exchanging messages: the first by rendezvous hash among a
    /// few that the prompt selects. Half of the prompt's blocks, rounded up, are assumed to be cached there.
    PrefixMatch rendezvousServer(const RoutingTable& table, std::span<const std::uint64_t> blocks)
    {
        ServerIndex best = 0;
        std::uint64_t bestHash = 0;
        const auto count = std::min(table.servers.size(), maxRendezvousServers);
        const auto start = table.servers.size() > count ? blocks.back() % table.servers.size() : 0;
        for (std::size_t step = 0; step < count; ++step) {
            const auto index = static_cast<ServerIndex>((start + step) % table.servers.size());
            const auto hash = Random(blocks.back() ^ table.servers[index].nameHash).next();
            if (hash >= bestHash) {
                best = index;
                bestHash = hash;
            }
        }
        return { best, static_cast<std::uint32_t>((blocks.size() + 1) / 2) };
    }

    /// The servers that cache the prompt's prefix, and the one that all VMs prefer.
    std::vector<PrefixMatch> matchesFor(const RoutingTable& table, std::span<const std::uint64_t> blocks)
    {
        auto matches = findPrefix(table.prefixes, blocks);
        if (blocks.empty())
            return matches;
        const auto preferred = rendezvousServer(table, blocks);
        const bool isMatched = std::any_of(
            matches.begin(), matches.end(), [&](const PrefixMatch& match) { return match.server == preferred.server; });
        if (!isMatched)
            matches.push_back(preferred);
        return matches;
    }

    std::optional<ServerIndex> chooseLowestCost(
        const RoutingTable& table, const RouteQuery& query, TimePoint now, Random& random)
    {
        const auto matches = matchesFor(table, query.blocks);
        std::optional<Candidate> best;
        for (const auto index : sampleCandidates(table, query, matches, now, random)) {
            const Candidate candidate { index, costOf(table, index, matches, now) };
            if (!best || candidate.cost < best->cost)
                best = candidate;
        }
        if (!best)
            return findFirstUsable(table, query, now, random);
        return best->server;
    }

    std::optional<ServerIndex> chooseLeastInFlight(const RoutingTable& table, const RouteQuery& query, TimePoint now)
    {
        std::optional<ServerIndex> best;
        for (ServerIndex index = 0; index < table.servers.size(); ++index) {
            if (isUsable(table, index, query, now)
                && (!best || table.servers[index].inFlight < table.servers[*best].inFlight))
                best = index;
        }
        return best;
    }

    std::optional<ServerIndex> chooseRoundRobin(RoutingTable& table, const RouteQuery& query, TimePoint now)
    {
        for (std::size_t step = 0; step < table.servers.size(); ++step) {
            const auto index = static_cast<ServerIndex>(table.nextRoundRobin++ % table.servers.size());
            if (isUsable(table, index, query, now))
                return index;
        }
        return std::nullopt;
    }

    std::optional<ServerIndex> chooseAtRandom(
        const RoutingTable& table, const RouteQuery& query, TimePoint now, Random& random)
    {
        const auto start = random.below(table.servers.size());
        for (std::size_t step = 0; step < table.servers.size(); ++step) {
            const auto index = static_cast<ServerIndex>((start + step) % table.servers.size());
            if (isUsable(table, index, query, now))
                return index;
        }
        return std::nullopt;
    }

} // namespace

std::uint32_t freeSlots(const ServerState& server, TimePoint now)
{
    const auto allowed
        = limitByHealth(server.health, slotAllowance(server.share, server.borrowed, server.report, now), now);
    return allowed > server.inFlight ? allowed - server.inFlight : 0;
}

bool isEligible(const ServerState& server, ServerIndex index, const RouteQuery& query)
{
    if (server.isDraining)
        return false;
    const bool takesRollouts = server.takesRollouts && server.reportsReady;
    const bool isOld = server.version && *server.version < query.oldestVersion;
    if (query.isRollout && (!takesRollouts || isOld))
        return false;
    return std::find(query.avoid.begin(), query.avoid.end(), index) == query.avoid.end();
}

std::optional<ServerIndex> chooseServer(RoutingTable& table, const RouteQuery& query, TimePoint now, Random& random)
{
    if (table.servers.empty())
        return std::nullopt;
    switch (table.rule) {
    case RoutingRule::LeastInFlight:
        return chooseLeastInFlight(table, query, now);
    case RoutingRule::RoundRobin:
        return chooseRoundRobin(table, query, now);
    case RoutingRule::RandomChoice:
        return chooseAtRandom(table, query, now, random);
    case RoutingRule::LowestCost:
        break;
    }
    return chooseLowestCost(table, query, now, random);
}

} // namespace topaztack
