#include <topaztack/node/sample_collector.hpp>

#include <topaztack/base/log.hpp>

#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;

void SampleCollector::takeSettings(TrainerCollection& collection)
{
    const auto accepted = this->context.document();
    const auto* trainer = accepted ? findTrainer(accepted->document, collection.trainer) : nullptr;
    const auto* pool = trainer ? findPool(accepted->document, trainer->pool) : nullptr;
    collection.pool = PoolName();
    if (!pool)
        return;
    collection.pool = trainer->pool;
    auto& rules = collection.rules;
    rules.bound = { trainer->stalenessBound, trainer->stalenessTime };
    rules.idleWeight = trainer->idleWeight;
    rules.stalenessWeight = trainer->stalenessWeight;
    rules.maxTokens = trainer->maxTokens;
    rules.lookahead = lookaheadSteps(rules);
    rules.capacity = 0;
    for (const auto& backend : accepted->document.backends) {
        if (backend.pool == pool->name && !backend.draining)
            rules.capacity += pool->inFlightPerBackend;
    }
}

void SampleCollector::stop(TrainerCollection& collection)
{
    std::vector<std::uint64_t> running;
    for (const auto& [id, attempt] : collection.attempts)
        running.push_back(id);
    for (const auto id : running)
        this->cancelAttempt(collection, id);
    collection.attempts.clear();
    collection.planner.work.clear();
    collection.finished.clear();
    collection.refusals.clear();
    collection.batch.reset();
    collection.copy.reset();
    collection.isCollecting = false;
    logEvent(LogLevel::Info, "collection-stopped", { { "trainer", collection.trainer.value() } });
}

void SampleCollector::publish(const TrainerCollection& collection)
{
    const auto& totals = collection.planner.totals;
    json::value state = json::object {
        { "collecting", collection.isCollecting },
        { "running", collection.attempts.size() },
        { "uncommitted", collection.finished.size() + (collection.batch ? collection.batch->slots.size() : 0) },
        { "committed", collection.committed },
        { "started", totals.started },
        { "finished", totals.finished },
        { "discarded_stale", totals.discardedStale },
        { "discarded_uncertain", totals.discardedUncertain },
        { "failed", totals.failed },
        { "hedged", totals.hedged },
        { "moved", totals.moved },
        { "tokens_made", totals.tokensMade },
        { "tokens_wasted", totals.tokensWasted },
    };
    const std::lock_guard guard(this->lock);
    this->published[collection.trainer] = std::move(state);
}

json::value SampleCollector::dump() const
{
    const std::lock_guard guard(this->lock);
    json::object trainers;
    for (const auto& [name, state] : this->published)
        trainers[name.value()] = state;
    return trainers;
}

} // namespace topaztack
