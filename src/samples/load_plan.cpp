#include <topaztack/samples/load_plan.hpp>

#include <algorithm>
#include <tuple>

namespace topaztack {

namespace {

    std::optional<WeightVersion> versionAt(const EngineSnapshot& engine, const ModelName& model)
    {
        const auto found = engine.versions.find(model);
        return found == engine.versions.end() ? std::nullopt : std::optional(found->second);
    }

    bool canServe(WeightVersion version, const ModelDemand& demand, std::uint64_t maxVersionLag)
    {
        return version.value() + maxVersionLag >= demand.newestVersion.value();
    }

    /// Number of engines for each model, rounded to the nearest integer; at least one.
    std::size_t shareOf(std::size_t engines, std::size_t models)
    {
        return std::max<std::size_t>(1, (engines + models / 2) / std::max<std::size_t>(1, models));
    }

    /// An engine that may load a model, ordered by preference.
    struct Candidate {
        bool isServing { false };
        WeightVersion version;
        /// Number of models that the engine can serve now; engines that serve few are preferred.
        std::size_t modelsServed { 0 };
        std::size_t engine { 0 };

        bool operator<(const Candidate& other) const
        {
            if (this->isServing != other.isServing)
                return !this->isServing;
            // The engine that served most recently still has connections to its callers.
            if (this->version != other.version)
                return this->version > other.version;
            return std::tie(this->modelsServed, this->engine) < std::tie(other.modelsServed, other.engine);
        }
    };

    /// A model, its progress towards its share, and the engines that may load it.
    struct ModelQueue {
        const ModelName* model { nullptr };
        const ModelDemand* demand { nullptr };
        /// Engines that have the newest version or are loading the model.
        std::size_t upToDate { 0 };
        /// Engines that can serve the model or are loading it.
        std::size_t serving { 0 };
        std::vector<Candidate> candidates;
        std::size_t next { 0 };
        bool isExhausted { false };
    };

    std::vector<ModelQueue> buildQueues(const std::vector<EngineSnapshot>& engines,
        const std::map<ModelName, ModelDemand>& models, const LoadLimits& limits)
    {
        std::vector<ModelQueue> queues;
        for (const auto& [model, demand] : models) {
            queues.emplace_back();
            queues.back().model = &model;
            queues.back().demand = &demand;
        }
        std::vector<std::optional<WeightVersion>> versions(queues.size());
        for (std::size_t index = 0; index < engines.size(); ++index) {
            const auto& engine = engines[index];
            std::size_t modelsServed = 0;
            for (std::size_t queueIndex = 0; queueIndex < queues.size(); ++queueIndex) {
                versions[queueIndex] = versionAt(engine, *queues[queueIndex].model);
                modelsServed += versions[queueIndex]
                        && canServe(*versions[queueIndex], *queues[queueIndex].demand, limits.maxVersionLag)
                    ? 1
                    : 0;
            }
            for (std::size_t queueIndex = 0; queueIndex < queues.size(); ++queueIndex) {
                auto& queue = queues[queueIndex];
                const bool isLoading = engine.loading == *queue.model;
                const bool isUpToDate = versions[queueIndex] && *versions[queueIndex] >= queue.demand->newestVersion;
                const bool isServing
                    = versions[queueIndex] && canServe(*versions[queueIndex], *queue.demand, limits.maxVersionLag);
                queue.upToDate += isLoading || isUpToDate ? 1 : 0;
                queue.serving += isLoading || isServing ? 1 : 0;
                if (versions[queueIndex] && !isUpToDate && !engine.loading && !engine.isInBackoff)
                    queue.candidates.push_back({ isServing, *versions[queueIndex], modelsServed, index });
            }
        }
        for (auto& queue : queues)
            std::sort(queue.candidates.begin(), queue.candidates.end());
        return queues;
    }

    /// The model that is furthest from its share; nullptr if every model either has its share or has no candidate left.
    ModelQueue* furthestBehind(std::vector<ModelQueue>& queues, std::size_t share)
    {
        ModelQueue* furthest = nullptr;
        const auto progressOf = [share](const ModelQueue& queue) {
            return std::pair { std::min(queue.serving, share), queue.upToDate };
        };
        for (auto& queue : queues) {
            if (queue.isExhausted || queue.upToDate >= share)
                continue;
            if (!furthest || progressOf(queue) < progressOf(*furthest))
                furthest = &queue;
        }
        return furthest;
    }

} // namespace

std::vector<PlannedLoad> planLoads(const std::vector<EngineSnapshot>& engines,
    const std::map<ModelName, ModelDemand>& models, const LoadLimits& limits)
{
    std::vector<PlannedLoad> loads;
    auto running = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(),
        [](const auto& engine) { return engine.loading.has_value() && !engine.isLoadEnding; }));
    if (running >= limits.maxConcurrentLoads)
        return loads;
    auto queues = buildQueues(engines, models, limits);
    const auto share = shareOf(engines.size(), models.size());
    std::vector<bool> isTaken(engines.size(), false);
    while (running < limits.maxConcurrentLoads) {
        auto* queue = furthestBehind(queues, share);
        if (!queue)
            break;
        auto& next = queue->next;
        while (next < queue->candidates.size() && isTaken[queue->candidates[next].engine])
            ++next;
        const bool mayTakeServing = !queue->demand->hasWaitingGenerations || queue->upToDate * 2 < share;
        if (next == queue->candidates.size() || (queue->candidates[next].isServing && !mayTakeServing)) {
            queue->isExhausted = true;
            continue;
        }
        const auto& chosen = queue->candidates[next];
        isTaken[chosen.engine] = true;
        ++queue->upToDate;
        queue->serving += chosen.isServing ? 0 : 1;
        loads.push_back({ engines[chosen.engine].name, *queue->model, queue->demand->newestVersion });
        ++running;
    }
    return loads;
}

} // namespace topaztack
