#include <topaztack/control/document.hpp>

#include <topaztack/detail/read_id.hpp>

#include <algorithm>
#include <map>

namespace topaztack {

using namespace std::chrono_literals;
using detail::readId;

namespace {

    constexpr std::size_t minKeyLength = 16;
    constexpr std::uint64_t mebibyte = 1024 * 1024;

    std::string readPoolKind(std::string_view text, PoolKind& kind)
    {
        if (text != "engine" && text != "service")
            return "`" + std::string(text) + "` is neither engine nor service";
        kind = text == "engine" ? PoolKind::Engine : PoolKind::Service;
        return {};
    }

    std::string readNotRunSign(std::string_view text, NotRunSign& sign)
    {
        if (text != "never" && text != "header")
            return "`" + std::string(text) + "` is neither never nor header";
        sign = text == "header" ? NotRunSign::Header : NotRunSign::Never;
        return {};
    }

    /// Reads keys separated by spaces or commas. The message names no key, since problems are printed and logged.
    std::string readKeys(std::string_view text, std::vector<KeyDigest>& keys)
    {
        keys.clear();
        while (!text.empty()) {
            const auto begin = std::min(text.find_first_not_of(" \t,"), text.size());
            text.remove_prefix(begin);
            const auto key = text.substr(0, text.find_first_of(" \t,"));
            if (!key.empty() && key.size() < minKeyLength)
                return "a key is shorter than " + std::to_string(minKeyLength) + " characters";
            if (!key.empty())
                keys.push_back(digestKey(key));
            text.remove_prefix(key.size());
        }
        return keys.empty() ? "no key" : std::string {};
    }

    template <typename Settings>
    void bindNamed(const IniSection& section, std::string_view fileName, const std::vector<KeyRule<Settings>>& rules,
        std::vector<Settings>& list, std::vector<IniProblem>& problems)
    {
        if (section.name.empty()) {
            problems.push_back({ std::string(fileName), section.line, section.kind, "section has no name",
                "write `[" + section.kind + " NAME]`" });
            return;
        }
        Settings settings;
        settings.name = decltype(settings.name)(section.name);
        bindSection(section, fileName, rules, settings, problems);
        list.push_back(std::move(settings));
    }

    /// Checks references between sections and reports problems with the line of the section in the file.
    class ReferenceChecker {
    public:
        ReferenceChecker(
            const Document& document, const IniFile& file, std::string_view fileName, std::vector<IniProblem>& problems)
            : document(document)
            , file(file)
            , fileName(fileName)
            , problems(problems)
        {
        }

        void check()
        {
            this->checkBackends();
            this->checkTrainers();
            this->checkPools();
            this->checkWorkspaces();
        }

    private:
        std::size_t lineOf(std::string_view kind, std::string_view name) const
        {
            for (const auto& section : this->file.sections) {
                if (section.kind == kind && section.name == name)
                    return section.line;
            }
            return 0;
        }

        void report(
            std::string_view kind, std::string_view name, std::string_view key, std::string message, std::string remedy)
        {
            this->problems.push_back({ std::string(this->fileName), this->lineOf(kind, name), std::string(key),
                std::move(message), std::move(remedy) });
        }

        void checkBackends()
        {
            std::map<Endpoint, BackendName> addresses;
            for (const auto& backend : this->document.backends) {
                const auto& name = backend.name.value();
                if (!findPool(this->document, backend.pool))
                    this->report("backend", name, "pool", "no pool `" + backend.pool.value() + "`",
                        "add `[pool " + backend.pool.value() + "]` or correct the name");
                const auto [found, isUnique] = addresses.emplace(backend.endpoint, backend.name);
                if (!isUnique)
                    this->report("backend", name, "address",
                        toText(backend.endpoint) + " is also the address of backend `" + found->second.value() + "`",
                        "give each backend server an address of its own");
            }
        }

        void checkTrainers()
        {
            for (const auto& trainer : this->document.trainers) {
                const auto* pool = findPool(this->document, trainer.pool);
                if (!pool)
                    this->report("trainer", trainer.name.value(), "pool", "no pool `" + trainer.pool.value() + "`",
                        "add `[pool " + trainer.pool.value() + "]` or correct the name");
                else if (pool->kind != PoolKind::Engine)
                    this->report("trainer", trainer.name.value(), "pool",
                        "pool `" + trainer.pool.value() + "` has no engines", "name a pool with kind = engine");
            }
        }

        void checkPools()
        {
            for (const auto& pool : this->document.pools) {
                bool isUsed = false;
                for (const auto& backend : this->document.backends)
                    isUsed = isUsed || backend.pool == pool.name;
                if (!isUsed)
                    this->report("pool", pool.name.value(), "pool", "pool has no backend servers",
                        "add a `[backend NAME]` with pool = " + pool.name.value());
            }
        }

        void checkWorkspaces()
        {
            std::vector<std::pair<KeyDigest, WorkspaceName>> known;
            for (const auto& workspace : this->document.workspaces) {
                for (const auto& key : workspace.keys) {
                    const auto isSame = [&key](const auto& each) { return areEqualDigests(each.first, key); };
                    const auto found = std::find_if(known.begin(), known.end(), isSame);
                    if (found != known.end())
                        this->report("workspace", workspace.name.value(), "keys",
                            "workspace `" + found->second.value() + "` lists a key of this one, or it is listed twice",
                            "give each workspace keys of its own");
                    known.emplace_back(key, workspace.name);
                }
            }
        }

        const Document& document;
        const IniFile& file;
        std::string_view fileName;
        std::vector<IniProblem>& problems;
    };

} // namespace

const std::vector<KeyRule<PoolSettings>>& poolRules()
{
    static const std::vector<KeyRule<PoolSettings>> rules {
        { "kind", requiredKey, "engine or service",
            [](PoolSettings& pool, std::string_view text) { return readPoolKind(text, pool.kind); } },
        { "in_flight_per_backend", "8", "concurrent requests to one backend server from all VMs together, 1..4096",
            [](PoolSettings& pool, std::string_view text) {
                return readWhole(text, 1, 4096, pool.inFlightPerBackend);
            } },
        { "queue", "1000", "requests that may wait in one VM, 0..100000",
            [](PoolSettings& pool, std::string_view text) { return readWhole(text, 0, 100000, pool.queueLimit); } },
        { "deadline", "30s", "time a request may take when the caller states none, 1ms..24h",
            [](PoolSettings& pool, std::string_view text) { return readDuration(text, 1ms, 24h, pool.deadline); } },
        { "non_idempotent", "yes", "yes if requests other than GET and HEAD must run at most once, else no",
            [](PoolSettings& pool, std::string_view text) { return readBool(text, pool.nonIdempotent); } },
        { "not_run_sign", "never",
            "how a backend server reports that it did not run a request: never, or header (503 with Topaztack-Not-Run: "
            "1)",
            [](PoolSettings& pool, std::string_view text) { return readNotRunSign(text, pool.notRunSign); } },
    };
    return rules;
}

const std::vector<KeyRule<BackendSettings>>& backendRules()
{
    static const std::vector<KeyRule<BackendSettings>> rules {
        { "pool", requiredKey, "name of a pool of this document",
            [](BackendSettings& backend, std::string_view text) { return readId(text, backend.pool); } },
        { "address", requiredKey, "IP:PORT of the backend server",
            [](BackendSettings& backend, std::string_view text) { return readEndpoint(text, backend.endpoint); } },
        { "data_centre", requiredKey, "data centre of the backend server",
            [](BackendSettings& backend, std::string_view text) { return readId(text, backend.dataCentre); } },
        { "checks_fencing", "yes", "yes if it rejects orders with an outdated fencing number, else no",
            [](BackendSettings& backend, std::string_view text) { return readBool(text, backend.checksFencing); } },
        { "draining", "no", "yes to give it no new work, else no",
            [](BackendSettings& backend, std::string_view text) { return readBool(text, backend.draining); } },
    };
    return rules;
}

const std::vector<KeyRule<TrainerSettings>>& trainerRules()
{
    static const std::vector<KeyRule<TrainerSettings>> rules {
        { "pool", requiredKey, "name of an engine pool of this document",
            [](TrainerSettings& trainer, std::string_view text) { return readId(text, trainer.pool); } },
        { "staleness_bound", "2", "versions by which a delivered sample may lag behind the newest, 0..1000",
            [](TrainerSettings& trainer, std::string_view text) {
                return readWhole(text, 0, 1000, trainer.stalenessBound);
            } },
        { "staleness_time", "0s", "maximum age of a delivered sample, 0s..24h; 0s for no limit",
            [](TrainerSettings& trainer, std::string_view text) {
                return readDuration(text, 0s, 24h, trainer.stalenessTime);
            } },
        { "weight", "1", "share of the pool relative to other trainers, 1..1000",
            [](TrainerSettings& trainer, std::string_view text) { return readWhole(text, 1, 1000, trainer.weight); } },
        { "max_tokens", "256", "maximum number of tokens generated for one sample, 1..1000000",
            [](TrainerSettings& trainer, std::string_view text) {
                return readWhole(text, 1, 1000000, trainer.maxTokens);
            } },
        { "idle_weight", "0.5", "weight of trainer idle time in the straggler rule, 0..1",
            [](TrainerSettings& trainer, std::string_view text) {
                return readFraction(text, 0, 1, trainer.idleWeight);
            } },
        { "staleness_weight", "0.5", "weight of staleness in the straggler rule, 0..1",
            [](TrainerSettings& trainer, std::string_view text) {
                return readFraction(text, 0, 1, trainer.stalenessWeight);
            } },
    };
    return rules;
}

const std::vector<KeyRule<WorkspaceSettings>>& workspaceRules()
{
    static const std::vector<KeyRule<WorkspaceSettings>> rules {
        { "keys", requiredKey, "keys of its callers, at least 16 characters each, separated by spaces",
            [](WorkspaceSettings& workspace, std::string_view text) { return readKeys(text, workspace.keys); } },
        { "rank", "0", "urgency of its requests, 0..1000; 0 is the most urgent",
            [](WorkspaceSettings& workspace, std::string_view text) {
                return readWhole(text, 0, 1000, workspace.rank);
            } },
    };
    return rules;
}

const std::vector<KeyRule<LimitsSettings>>& limitsRules()
{
    static const std::vector<KeyRule<LimitsSettings>> rules {
        { "max_body", "1MiB", "maximum size of a request's body, 1KiB..64MiB",
            [](LimitsSettings& limits, std::string_view text) {
                return readSize(text, 1024, 64 * mebibyte, limits.maxBody);
            } },
        { "caller_in_flight", "256", "concurrent requests of one caller in one VM, 1..100000",
            [](LimitsSettings& limits, std::string_view text) {
                return readWhole(text, 1, 100000, limits.callerInFlight);
            } },
        { "caller_connections", "10000", "maximum number of callers' connections to one VM, 1..100000",
            [](LimitsSettings& limits, std::string_view text) {
                return readWhole(text, 1, 100000, limits.callerConnections);
            } },
        { "caller_idle", "30s", "time a caller may take to send a request or to read a response, 100ms..1h",
            [](LimitsSettings& limits, std::string_view text) {
                return readDuration(text, 100ms, 1h, limits.callerIdle);
            } },
        { "retention", "10min", "time for which outcomes of non-idempotent requests are kept, 1s..24h",
            [](LimitsSettings& limits, std::string_view text) {
                return readDuration(text, 1s, 24h, limits.retention);
            } },
        { "retry_budget", "10", "retries allowed, as a percentage of first attempts, 0..100",
            [](LimitsSettings& limits, std::string_view text) {
                return readWhole(text, 0, 100, limits.retryBudgetPercent);
            } },
        { "drain_time", "30s", "time for which a VM waits for requests in flight at shutdown, 0s..1h",
            [](LimitsSettings& limits, std::string_view text) {
                return readDuration(text, 0s, 1h, limits.drainTime);
            } },
    };
    return rules;
}

Document parseDocument(std::string_view text, std::string_view fileName, std::vector<IniProblem>& problems)
{
    const auto file = parseIni(text, fileName, problems);
    Document document;
    document.text = std::string(text);
    IniSection limits { "limits", "", 1, {} };
    for (const auto& section : file.sections) {
        if (section.kind == "pool")
            bindNamed(section, fileName, poolRules(), document.pools, problems);
        else if (section.kind == "backend")
            bindNamed(section, fileName, backendRules(), document.backends, problems);
        else if (section.kind == "trainer")
            bindNamed(section, fileName, trainerRules(), document.trainers, problems);
        else if (section.kind == "workspace")
            bindNamed(section, fileName, workspaceRules(), document.workspaces, problems);
        else if (section.kind == "limits" && section.name.empty())
            limits = section;
        else
            problems.push_back({ std::string(fileName), section.line, section.kind, "unknown section",
                "use [pool NAME], [backend NAME], [trainer NAME], [workspace NAME] or [limits]" });
    }
    bindSection(limits, fileName, limitsRules(), document.limits, problems);
    for (const auto& workspace : document.workspaces) {
        for (const auto& key : workspace.keys)
            addKey(document.workspaceKeys, workspace.name, key);
    }
    ReferenceChecker(document, file, fileName, problems).check();
    return document;
}

const PoolSettings* findPool(const Document& document, const PoolName& name)
{
    for (const auto& pool : document.pools) {
        if (pool.name == name)
            return &pool;
    }
    return nullptr;
}

const TrainerSettings* findTrainer(const Document& document, const TrainerName& name)
{
    for (const auto& trainer : document.trainers) {
        if (trainer.name == name)
            return &trainer;
    }
    return nullptr;
}

} // namespace topaztack
