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

    bool canServe(WeightVersion version, const ModelDemand& wanted, std::uint64_t maxVersionLag)
    {
        return version.value() + maxVersionLag >= wanted.named.value();
    }

    /// An engine's part of the share of each model, at least one.
    std::size_t shareOf(std::size_t engines, std::size_t models)
    {
        return std::max<std::size_t>(1, (engines + models / 2) / std::max<std::size_t>(1, models));
    }

    /// An engine that may load a model. The best comes first.
    struct Candidate {
        bool serves { false };
        WeightVersion version;
        /// Models that the engine can serve now: loads are spread to engines that serve few.
        std::size_t served { 0 };
        std::size_t engine { 0 };

        bool operator<(const Candidate& other) const
        {
            if (this->serves != other.serves)
                return !this->serves;
            // The engine that served last still has its callers' connections.
            if (this->version != other.version)
                return this->version > other.version;
            return std::tie(this->served, this->engine) < std::tie(other.served, other.engine);
        }
    };

    /// A model, how far it is from its share, and who can load it.
    struct Queue {
        const ModelName* model { nullptr };
        const ModelDemand* wanted { nullptr };
        /// Engines that have the newest version or are loading the model.
        std::size_t fresh { 0 };
        /// Engines that can serve it or are loading it.
        std::size_t serving { 0 };
        std::vector<Candidate> candidates;
        std::size_t next { 0 };
        bool isExhausted { false };
    };

    std::vector<Queue> queuesOf(const std::vector<EngineSnapshot>& engines,
        const std::map<ModelName, ModelDemand>& models, const LoadLimits& limits)
    {
        std::vector<Queue> queues;
        for (const auto& [model, wanted] : models) {
            queues.emplace_back();
            queues.back().model = &model;
            queues.back().wanted = &wanted;
        }
        std::vector<std::optional<WeightVersion>> versions(queues.size());
        for (std::size_t index = 0; index < engines.size(); ++index) {
            const auto& engine = engines[index];
            std::size_t served = 0;
            for (std::size_t each = 0; each < queues.size(); ++each) {
                versions[each] = versionAt(engine, *queues[each].model);
                served
                    += versions[each] && canServe(*versions[each], *queues[each].wanted, limits.maxVersionLag) ? 1 : 0;
            }
            for (std::size_t each = 0; each < queues.size(); ++each) {
                auto& queue = queues[each];
                const bool isLoading = engine.loading == *queue.model;
                const bool isFresh = versions[each] && *versions[each] >= queue.wanted->named;
                const bool serves = versions[each] && canServe(*versions[each], *queue.wanted, limits.maxVersionLag);
                queue.fresh += isLoading || isFresh ? 1 : 0;
                queue.serving += isLoading || serves ? 1 : 0;
                if (versions[each] && !isFresh && !engine.loading && !engine.isInBackoff)
                    queue.candidates.push_back({ serves, *versions[each], served, index });
            }
        }
        for (auto& queue : queues)
            std::sort(queue.candidates.begin(), queue.candidates.end());
        return queues;
    }

    /// The model that is furthest from its share; nullptr if none lacks anything that can be given.
    Queue* furthestBehind(std::vector<Queue>& queues, std::size_t share)
    {
        Queue* furthest = nullptr;
        const auto progressOf = [share](const Queue& queue) {
            return std::pair { std::min(queue.serving, share), queue.fresh };
        };
        for (auto& queue : queues) {
            if (queue.isExhausted || queue.fresh >= share)
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
    auto queues = queuesOf(engines, models, limits);
    const auto share = shareOf(engines.size(), models.size());
    std::vector<bool> isTaken(engines.size(), false);
    while (running < limits.maxConcurrentLoads) {
        auto* queue = furthestBehind(queues, share);
        if (!queue)
            break;
        auto& next = queue->next;
        while (next < queue->candidates.size() && isTaken[queue->candidates[next].engine])
            ++next;
        const bool mayTakeServing = !queue->wanted->hasWaitingGenerations || queue->fresh * 2 < share;
        if (next == queue->candidates.size() || (queue->candidates[next].serves && !mayTakeServing)) {
            queue->isExhausted = true;
            continue;
        }
        const auto& chosen = queue->candidates[next];
        isTaken[chosen.engine] = true;
        ++queue->fresh;
        queue->serving += chosen.serves ? 0 : 1;
        loads.push_back({ engines[chosen.engine].name, *queue->model, queue->wanted->named });
        ++running;
    }
    return loads;
}

} // namespace topaztack
