#include <topaztack/samples/load_plan.hpp>

#include <algorithm>
#include <tuple>

namespace topaztack {

namespace {

    WeightVersion versionAt(const PlannedEngine& engine, const ModelName& model)
    {
        const auto found = engine.versions.find(model);
        return found == engine.versions.end() ? WeightVersion(0) : found->second;
    }

    bool hasModel(const PlannedEngine& engine, const ModelName& model) { return engine.versions.contains(model); }

    bool canServe(const PlannedEngine& engine, const ModelName& model, const PlannedModel& wanted, std::uint64_t lag)
    {
        return versionAt(engine, model).value() + lag >= wanted.named.value();
    }

    /// How far a model is from its share.
    struct Progress {
        /// Engines that have the newest version or are loading the model.
        std::size_t fresh { 0 };
        /// Engines that can serve it, at most its share.
        std::size_t serving { 0 };

        auto operator<=>(const Progress& other) const
        {
            return std::tie(this->serving, this->fresh) <=> std::tie(other.serving, other.fresh);
        }
    };

    Progress progressOf(const std::vector<PlannedEngine>& engines, const ModelName& model, const PlannedModel& wanted,
        const LoadLimits& limits, std::size_t share)
    {
        Progress progress;
        for (const auto& engine : engines) {
            const bool isLoading = engine.loading == model;
            progress.fresh += isLoading || versionAt(engine, model) >= wanted.named ? 1 : 0;
            progress.serving += isLoading || canServe(engine, model, wanted, limits.lag) ? 1 : 0;
        }
        progress.serving = std::min(progress.serving, share);
        return progress;
    }

    /// Models that an engine can serve now: loads are spread to engines that serve few.
    std::size_t countServed(
        const PlannedEngine& engine, const std::map<ModelName, PlannedModel>& models, std::uint64_t lag)
    {
        return static_cast<std::size_t>(std::count_if(models.begin(), models.end(), [&](const auto& entry) {
            return hasModel(engine, entry.first) && canServe(engine, entry.first, entry.second, lag);
        }));
    }

    /// An engine's part of the share of each model, at least one.
    std::size_t shareOf(std::size_t engines, std::size_t models)
    {
        return std::max<std::size_t>(1, (engines + models / 2) / std::max<std::size_t>(1, models));
    }

    struct Choice {
        PlannedEngine* engine { nullptr };
        bool serves { false };
        WeightVersion version;
        std::size_t served { 0 };
    };

    bool isBetter(const Choice& one, const Choice& other)
    {
        if (!other.engine)
            return true;
        if (one.serves != other.serves)
            return !one.serves;
        // The engine that served last still has its callers' connections.
        if (one.version != other.version)
            return one.version > other.version;
        return one.served < other.served;
    }

    PlannedEngine* chooseEngine(std::vector<PlannedEngine>& engines, const std::map<ModelName, PlannedModel>& models,
        const ModelName& model, bool mayTakeServing, const LoadLimits& limits)
    {
        const auto& wanted = models.at(model);
        Choice best;
        for (auto& engine : engines) {
            const bool isFree = !engine.loading && !engine.isHeldOff && hasModel(engine, model);
            if (!isFree || versionAt(engine, model) >= wanted.named)
                continue;
            Choice choice;
            choice.engine = &engine;
            choice.serves = canServe(engine, model, wanted, limits.lag);
            choice.version = versionAt(engine, model);
            choice.served = countServed(engine, models, limits.lag);
            if (choice.serves && !mayTakeServing)
                continue;
            if (isBetter(choice, best))
                best = choice;
        }
        return best.engine;
    }

} // namespace

std::vector<PlannedLoad> planLoads(
    const std::vector<PlannedEngine>& given, const std::map<ModelName, PlannedModel>& models, const LoadLimits& limits)
{
    auto engines = given;
    std::vector<PlannedLoad> loads;
    auto running = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(),
        [](const auto& engine) { return engine.loading.has_value() && !engine.isLoadEnding; }));
    const auto share = shareOf(engines.size(), models.size());
    std::map<ModelName, bool> isExhausted;
    while (running < limits.atOnce) {
        const ModelName* next = nullptr;
        Progress least;
        for (const auto& [model, wanted] : models) {
            const auto progress = progressOf(engines, model, wanted, limits, share);
            if (isExhausted[model] || progress.fresh >= share || (next && progress >= least))
                continue;
            next = &model;
            least = progress;
        }
        if (!next)
            break;
        const bool mayTakeServing = !models.at(*next).hasWaiting || least.fresh * 2 < share;
        auto* engine = chooseEngine(engines, models, *next, mayTakeServing, limits);
        if (!engine) {
            isExhausted[*next] = true;
            continue;
        }
        engine->loading = *next;
        loads.push_back({ engine->name, *next, models.at(*next).named });
        ++running;
    }
    return loads;
}

} // namespace topaztack
