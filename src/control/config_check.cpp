#include <topaztack/control/config_check.hpp>

#include <topaztack/control/document.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <map>
#include <set>

namespace topaztack {

using namespace std::chrono_literals;

namespace {

    using Findings = std::vector<ConfigFinding>;

    std::string quoted(const std::string& name) { return "`" + name + "`"; }

    std::string milliseconds(std::chrono::milliseconds time) { return std::to_string(time.count()) + " ms"; }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
            [](char letter) { return static_cast<char>(std::tolower(static_cast<unsigned char>(letter))); });
        return text;
    }

    /// A name, or the position of an entry that has none.
    std::string entryName(std::string_view kind, const std::string& name, std::size_t index)
    {
        return std::string(kind) + " " + (name.empty() ? "number " + std::to_string(index + 1) : name);
    }

    void addError(Findings& findings, std::string where, std::string what, std::string remedy)
    {
        findings.push_back({ FindingSeverity::Error, std::move(where), std::move(what), std::move(remedy) });
    }

    void addWarning(Findings& findings, std::string where, std::string what, std::string remedy)
    {
        findings.push_back({ FindingSeverity::Warning, std::move(where), std::move(what), std::move(remedy) });
    }

    /// Of routes with the same host and prefix only the first one is matched.
    void checkPrefixes(const RouteTable& table, Findings& findings)
    {
        std::map<std::pair<std::string, std::string>, std::size_t> first;
        std::set<RouteName> names;
        for (std::size_t index = 0; index < table.routes.size(); ++index) {
            const auto& route = table.routes[index];
            const auto where = entryName("route", route.name.value(), index);
            const auto [found, isNew] = first.try_emplace({ lowerCase(route.host), route.prefix }, index);
            if (!isNew)
                addError(findings, where,
                    "never matches: " + entryName("route", table.routes[found->second].name.value(), found->second)
                        + " has the same host and prefix and comes first",
                    "remove one of them or give it another prefix");
            if (!route.prefix.starts_with('/'))
                addError(findings, where, "never matches: its prefix " + quoted(route.prefix) + " doesn't begin with /",
                    "begin the prefix with /");
            else if (!route.prefix.ends_with('/'))
                addWarning(findings, where,
                    "its prefix " + quoted(route.prefix) + " also matches longer names of the last segment",
                    "end the prefix with /");
            if (route.host.empty())
                addError(findings, where, "never matches: it has no host", "name the host");
            if (!route.name.value().empty() && !names.insert(route.name).second)
                addWarning(findings, where, "another route has the same name, so that logs don't tell them apart",
                    "give each route a name of its own");
        }
    }

    /// The most servers that a pool can have, if the configuration states it; 0 if not.
    std::uint64_t maxServers(const PoolRecord& pool)
    {
        if (!pool.scaling || pool.scaling->prices.empty())
            return 0;
        return pool.scaling->max * pool.scaling->prices.size();
    }

    void checkRoutePools(const RouteTable& table, const Route& route, const std::string& where, Findings& findings)
    {
        std::uint64_t weights = 0;
        std::set<PoolName> seen;
        for (const auto& share : route.pools) {
            weights += share.weight;
            const auto* pool = findPool(table, share.pool);
            if (!seen.insert(share.pool).second)
                addWarning(
                    findings, where, "names pool " + quoted(share.pool.value()) + " twice", "add the weights up");
            if (!pool) {
                addError(findings, where, "no pool " + quoted(share.pool.value()), "add the pool or correct the name");
                continue;
            }
            const bool needsEngines = route.kind == RouteKind::Streaming || route.kind == RouteKind::Batch;
            if (needsEngines && !pool->engines)
                addWarning(findings, where,
                    "sends generations to pool " + quoted(share.pool.value()) + ", which has no engines",
                    "name a pool of engines");
            const auto servers = maxServers(*pool);
            if (servers > 0 && route.maxAttempts > servers)
                addWarning(findings, where,
                    "allows " + std::to_string(route.maxAttempts) + " attempts, but pool " + quoted(share.pool.value())
                        + " has at most " + std::to_string(servers) + " servers",
                    "lower the attempts");
        }
        if (route.pools.empty() || weights == 0)
            addError(findings, where, "all weights of its pools are zero, so that no request can be served",
                "give a pool a weight above zero");
    }

    void checkRouteTimes(const Route& route, const std::string& where, Findings& findings)
    {
        if (route.timeout <= 0ms)
            addError(findings, where, "has a time limit of 0, so that no request can be served", "state a time limit");
        else if (route.timeout < route.latencyObjective)
            addError(findings, where,
                "its time limit of " + milliseconds(route.timeout) + " is under its objective of "
                    + milliseconds(route.latencyObjective),
                "raise the time limit or lower the objective");
        const bool takesJobs = route.kind == RouteKind::Batch;
        if (takesJobs && route.retention > 0ms && route.retention < route.jobTarget)
            addError(findings, where,
                "items are abandoned after " + milliseconds(route.retention) + ", before their results are due after "
                    + milliseconds(route.jobTarget),
                "raise the retention or lower the target");
    }

    void checkScaling(const PoolScalingLimits& scaling, const std::string& where, Findings& findings)
    {
        if (scaling.min > scaling.max)
            addError(findings, where,
                "min " + std::to_string(scaling.min) + " is over max " + std::to_string(scaling.max),
                "lower min or raise max");
        else if (scaling.max == 0)
            addWarning(
                findings, where, "max is 0, so that no server is ever ordered", "raise max or remove the scaling");
        if (scaling.reclaimablePrice && (*scaling.reclaimablePrice < 0 || *scaling.reclaimablePrice >= 1))
            addWarning(findings, where, "reclaimable servers are not cheaper than others, so that none is ordered",
                "state their price as a fraction of the price of others");
        for (const auto& [dataCentre, price] : scaling.prices) {
            if (price < 0)
                addError(findings, where, "the price in " + quoted(dataCentre.value()) + " is negative",
                    "state a price of 0 or more");
        }
    }

    void checkPools(const RouteTable& table, Findings& findings)
    {
        std::set<PoolName> used;
        for (const auto& route : table.routes) {
            for (const auto& share : route.pools) {
                if (share.weight > 0)
                    used.insert(share.pool);
            }
        }
        std::set<PoolName> names;
        for (std::size_t index = 0; index < table.pools.size(); ++index) {
            const auto& pool = table.pools[index];
            const auto where = entryName("pool", pool.name.value(), index);
            if (!names.insert(pool.name).second)
                addError(findings, where, "is never used: another pool of that name comes first",
                    "give each pool a name of its own");
            else if (!used.contains(pool.name))
                addWarning(findings, where, "no route sends requests to it", "add a route or remove the pool");
            if (pool.engines && pool.engines->slots == 0)
                addWarning(findings, where, "its engines have no slots", "state the slots of an engine");
            if (pool.scaling)
                checkScaling(*pool.scaling, where, findings);
        }
    }

    void checkWorkspaces(const RouteTable& table, Findings& findings)
    {
        std::set<WorkspaceName> withKey;
        for (const auto& key : table.keys.usable)
            withKey.insert(key.workspace);
        std::set<WorkspaceName> names;
        for (std::size_t index = 0; index < table.workspaces.size(); ++index) {
            const auto& workspace = table.workspaces[index];
            const auto where = entryName("workspace", workspace.name.value(), index);
            if (!names.insert(workspace.name).second)
                addError(findings, where, "is listed twice", "join the entries");
            else if (!withKey.contains(workspace.name))
                addError(findings, where, "has no key of its own, so that nobody can use it", "give it a key");
        }
        for (const auto& key : table.keys.unusable) {
            std::string list;
            for (const auto& workspace : key.workspaces)
                list += (list.empty() ? "" : ", ") + workspace.value();
            addError(findings, "workspace " + list, "a key identifies nobody: " + key.reason,
                "give each workspace keys of its own");
        }
        const bool isAllPublic = !table.routes.empty()
            && std::all_of(table.routes.begin(), table.routes.end(), [](const auto& route) { return route.isPublic; });
        if (table.hasWorkspaces && isAllPublic)
            addWarning(findings, "workspaces", "every route is public, so that no key is needed",
                "remove the workspaces or restrict a route");
    }

    using Entries = std::map<std::string, std::string>;

    std::string_view kindName(RouteKind kind)
    {
        static constexpr std::array<std::string_view, 4> names { "idempotent", "non-idempotent", "streaming", "batch" };
        return names.at(static_cast<std::size_t>(kind));
    }

    Entries describe(const Route& route)
    {
        std::string pools;
        for (const auto& share : route.pools)
            pools += (pools.empty() ? "" : ", ") + share.pool.value() + " " + std::to_string(share.weight);
        return { { "host", route.host }, { "prefix", route.prefix }, { "kind", std::string(kindName(route.kind)) },
            { "time limit", milliseconds(route.timeout) }, { "objective", milliseconds(route.latencyObjective) },
            { "priority", std::to_string(route.priority) }, { "pools", pools },
            { "attempts", std::to_string(route.maxAttempts) }, { "retention", milliseconds(route.retention) },
            { "target", milliseconds(route.jobTarget) }, { "single version", route.isSingleVersion ? "yes" : "no" },
            { "resumable", route.isResumable ? "yes" : "no" }, { "public", route.isPublic ? "yes" : "no" } };
    }

    Entries describe(const PoolRecord& pool)
    {
        Entries entries { { "health path", pool.healthPath }, { "connections", std::to_string(pool.maxConnections) } };
        if (pool.engines) {
            entries["slots"] = std::to_string(pool.engines->slots);
            entries["cache tokens"] = std::to_string(pool.engines->cacheTokens);
            for (const auto& model : pool.engines->models)
                entries["model " + model.value()] = "yes";
        }
        if (pool.scaling) {
            entries["min"] = std::to_string(pool.scaling->min);
            entries["max"] = std::to_string(pool.scaling->max);
            entries["boot time"] = milliseconds(pool.scaling->bootTime);
            if (pool.scaling->reclaimablePrice)
                entries["reclaimable price"] = std::to_string(*pool.scaling->reclaimablePrice);
            for (const auto& [dataCentre, price] : pool.scaling->prices)
                entries["price in " + dataCentre.value()] = std::to_string(price);
        }
        return entries;
    }

    std::set<KeyDigest> keysOf(const RouteTable& table, const WorkspaceName& workspace)
    {
        std::set<KeyDigest> digests;
        for (const auto& key : table.keys.usable) {
            if (key.workspace == workspace)
                digests.insert(key.digest);
        }
        return digests;
    }

    /// @param other the configuration with which this one is compared, if it comes after that one.
    ConfigSections describe(const RouteTable& table, const RouteTable* other)
    {
        ConfigSections sections;
        sections["callers"] = { { "header", std::to_string(table.callers.maxHeader) },
            { "body", std::to_string(table.callers.maxBody) },
            { "header time", milliseconds(table.callers.headerTime) },
            { "idle time", milliseconds(table.callers.idleTime) } };
        for (std::size_t index = 0; index < table.routes.size(); ++index)
            sections[entryName("route", table.routes[index].name.value(), index)] = describe(table.routes[index]);
        for (std::size_t index = 0; index < table.pools.size(); ++index)
            sections[entryName("pool", table.pools[index].name.value(), index)] = describe(table.pools[index]);
        for (const auto& workspace : table.workspaces) {
            const auto keys = keysOf(table, workspace.name);
            auto text = std::to_string(keys.size());
            if (other) {
                const auto before = keysOf(*other, workspace.name);
                text += before.size() == keys.size() && before != keys ? " other keys" : "";
            }
            sections["workspace " + workspace.name.value()] = { { "key count", text },
                { "rank", workspace.rank ? std::to_string(*workspace.rank) : "of the route" } };
        }
        return sections;
    }

    Findings checkDocumentEntries(const Document& document, const std::string& fileName)
    {
        Findings findings;
        for (const auto& pool : document.pools) {
            const auto where = fileName + ": [pool " + pool.name.value() + "]";
            const bool isServing = std::any_of(document.backends.begin(), document.backends.end(),
                [&pool](const auto& backend) { return backend.pool == pool.name && !backend.draining; });
            if (!isServing)
                addWarning(findings, where, "all its backend servers are draining, so that no request can be served",
                    "set draining = no for one");
            if (pool.kind == PoolKind::Service && pool.nonIdempotent && document.limits.retention < pool.deadline)
                addWarning(findings, where, "its deadline is longer than outcomes are kept ([limits] retention)",
                    "raise the retention or lower the deadline");
        }
        for (const auto& trainer : document.trainers) {
            if (trainer.idleWeight == 0 && trainer.stalenessWeight == 0)
                addWarning(findings, fileName + ": [trainer " + trainer.name.value() + "]",
                    "idle_weight and staleness_weight are both 0, so that the straggler rule decides nothing",
                    "give one of them a weight above zero");
        }
        return findings;
    }

} // namespace

std::string toText(const ConfigFinding& finding)
{
    return (finding.severity == FindingSeverity::Warning ? "warning: " : "") + finding.where + ": " + finding.what
        + "; " + finding.remedy;
}

std::vector<ConfigFinding> checkRouteTable(const RouteTable& table)
{
    Findings findings;
    if (table.routes.empty())
        addWarning(findings, "routes", "there is none, so that every request is refused", "add a route");
    checkPrefixes(table, findings);
    for (std::size_t index = 0; index < table.routes.size(); ++index) {
        const auto& route = table.routes[index];
        const auto where = entryName("route", route.name.value(), index);
        checkRoutePools(table, route, where, findings);
        checkRouteTimes(route, where, findings);
    }
    checkPools(table, findings);
    checkWorkspaces(table, findings);
    return findings;
}

std::vector<ConfigFinding> checkReplacement(const RouteTable& inForce, const RouteTable& table)
{
    Findings findings;
    const bool differs = !diffRouteTables(inForce, table).empty();
    if (differs && table.version <= inForce.version)
        addError(findings, "version",
            std::to_string(table.version.value()) + " is not above version " + std::to_string(inForce.version.value())
                + " in force, so that VMs ignore the changes",
            "raise the version");
    return findings;
}

std::vector<ConfigFinding> checkDocument(std::string_view text, std::string_view fileName)
{
    std::vector<IniProblem> problems;
    const auto document = parseDocument(text, fileName, problems);
    Findings findings;
    for (const auto& problem : problems)
        addError(findings, problem.file + ":" + std::to_string(problem.line) + ": " + problem.key, problem.message,
            problem.remedy);
    // What a document with errors says can't be relied on.
    return findings.empty() ? checkDocumentEntries(document, std::string(fileName)) : findings;
}

std::vector<DocumentChange> diffRouteTables(const RouteTable& before, const RouteTable& after)
{
    return diffSections(describe(before, nullptr), describe(after, &before));
}

} // namespace topaztack
