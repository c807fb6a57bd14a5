#include <topaztack/node/sample_collector.hpp>

#include <topaztack/base/log.hpp>

#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;

namespace {

    constexpr auto publishInterval = std::chrono::milliseconds(200);

} // namespace

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

void SampleCollector::setGauges(const TrainerCollection& collection)
{
    const auto& totals = collection.planner.totals;
    const auto label = "trainer=\"" + collection.trainer.value() + "\"";
    const auto set = [this, &label](std::string_view name, std::string_view help, std::uint64_t value) {
        this->context.metrics.gauge(name, help, label).set(static_cast<std::int64_t>(value));
    };
    set("topaztack_samples_committed", "Samples that this VM committed", collection.committed);
    set("topaztack_samples_discarded_stale", "Generations given up as stale", totals.discardedStale);
    set("topaztack_samples_discarded_uncertain", "Generations with uncertain spans", totals.discardedUncertain);
    set("topaztack_samples_moved", "Stragglers moved to another engine", totals.moved);
    set("topaztack_samples_hedged", "Stragglers given a second copy", totals.hedged);
    set("topaztack_sample_tokens_made", "Tokens generated for samples", totals.tokensMade);
    set("topaztack_sample_tokens_wasted", "Tokens that reached no sample", totals.tokensWasted);
}

void SampleCollector::publish(TrainerCollection& collection)
{
    const auto now = Clock::now();
    if (now - collection.publishedAt < publishInterval)
        return;
    collection.publishedAt = now;
    this->setGauges(collection);
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
