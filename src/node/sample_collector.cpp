#include <topaztack/node/sample_collector.hpp>

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto tickInterval = 20ms;
    constexpr auto readInterval = 500ms;
    constexpr auto commitInterval = 1s;
    /// The end of a step is committed sooner: the trainer waits for it.
    constexpr auto lastCommitInterval = 200ms;
    constexpr auto storePatience = 1s;
    constexpr auto generationTime = 21min;

    LeaseName leaseOf(const TrainerName& trainer) { return LeaseName("trainer/" + trainer.value()); }

    GenerationRequest requestFor(const TrainerCollection& collection, const SlotAction& action, RequestId id)
    {
        GenerationRequest request;
        request.id = std::move(id);
        request.pool = collection.pool;
        request.requestClass = action.requestClass;
        request.maxTokens = collection.rules.maxTokens;
        request.deadline = Clock::now() + generationTime;
        request.trainer = collection.trainer;
        const auto newest = collection.planner.newest.value();
        const auto bound = collection.rules.bound.versions;
        request.oldestVersion = WeightVersion(newest > bound ? newest - bound : 0);
        return request;
    }

    void logStoreProblem(std::string_view event, const TrainerCollection& collection, const Error& error)
    {
        logEvent(LogLevel::Warning, event, { { "trainer", collection.trainer.value() }, { "error", toText(error) } });
    }

    void logSlot(std::string_view event, const TrainerCollection& collection, const SlotName& slot, std::string reason)
    {
        logEvent(LogLevel::Info, event,
            { { "trainer", collection.trainer.value() }, { "step", std::to_string(slot.step.value()) },
                { "group", slot.group.value() }, { "index", std::to_string(slot.index.value()) },
                { "reason", std::move(reason) } });
    }

    /// A full queue says nothing of the sample; it is asked for again.
    bool isRefusal(ErrorKind kind) { return kind == ErrorKind::QueueFull || kind == ErrorKind::Overloaded; }

    CommitContent contentOf(const TrainerCollection& collection)
    {
        return { collection.batch, collection.refusals, collection.rules.bound, WallClock::now() };
    }

    /// When an attempt's generation began by the wall clock.
    WallTime startOf(const SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt)
    {
        const auto work = planner.work.find(slot);
        if (work != planner.work.end()) {
            for (const auto& candidate : work->second.attempts) {
                if (candidate.id == attempt)
                    return candidate.startedWall;
            }
        }
        return WallClock::now();
    }

    /// Counts what an engine reports of each chunk.
    ChunkSink countChunks(std::shared_ptr<AttemptProgressCounts> counts)
    {
        return [counts = std::move(counts)](const GenerationChunk& chunk) -> asio::awaitable<bool> {
            const auto oldest = counts->oldest.load(std::memory_order_relaxed);
            if (!chunk.tokens.empty() && (oldest == 0 || chunk.version.value() < oldest))
                counts->oldest.store(chunk.version.value(), std::memory_order_relaxed);
            counts->tokens.fetch_add(chunk.tokens.size(), std::memory_order_relaxed);
            co_return true;
        };
    }

} // namespace

SampleCollector::SampleCollector(
    NodeContext& context, CompletionRelay& completions, LedgerStore& ledgers, LeaseKeeper& leases)
    : context(context)
    , completions(completions)
    , ledgers(ledgers)
    , leases(leases)
{
}

void SampleCollector::start() { asio::co_spawn(this->context.threads.at(0), this->run(), asio::detached); }

void SampleCollector::wake(TrainerName trainer)
{
    asio::post(this->context.threads.at(0), [this, trainer = std::move(trainer)] {
        const auto found = this->collections.find(trainer);
        if (found != this->collections.end())
            found->second->isWoken = true;
    });
}

asio::awaitable<void> SampleCollector::run()
{
    while (true) {
        const auto accepted = this->context.document();
        if (accepted) {
            for (const auto& trainer : accepted->document.trainers) {
                auto& collection = this->collections[trainer.name];
                if (collection)
                    continue;
                collection = std::make_shared<TrainerCollection>();
                collection->trainer = trainer.name;
                this->leases.want(leaseOf(trainer.name));
                asio::co_spawn(this->context.threads.at(0), this->collect(collection), asio::detached);
            }
        }
        co_await waitFor(this->context, readInterval);
    }
}

asio::awaitable<void> SampleCollector::collect(CollectionPtr collection)
{
    while (true) {
        this->takeSettings(*collection);
        const bool mayCollect
            = !collection->pool.value().empty() && !this->context.isDraining && this->mayCollect(*collection);
        if (mayCollect) {
            collection->isCollecting = true;
            co_await this->tick(collection);
        } else if (collection->isCollecting) {
            const bool hasFinished = collection->batch || !collection->finished.empty();
            if (hasFinished && collection->copy && this->mayCollect(*collection))
                co_await this->commit(collection);
            this->stop(*collection);
        }
        this->publish(*collection);
        co_await waitFor(this->context, mayCollect ? tickInterval : readInterval);
    }
}

asio::awaitable<void> SampleCollector::tick(CollectionPtr collection)
{
    const bool mustRead = !collection->copy || collection->isWoken || Clock::now() - collection->readAt > readInterval;
    if (mustRead) {
        const bool isRead = co_await this->refresh(collection);
        if (!isRead)
            co_return;
    }
    this->takeProgress(*collection);
    if (this->isDue(*collection))
        co_await this->commit(collection);
    const bool isReady = co_await this->loadPrompts(collection);
    if (!isReady || !this->mayCollect(*collection))
        co_return;
    auto& planner = collection->planner;
    this->perform(
        collection, planSlots(planner, collection->copy->ledger, collection->rules, Clock::now(), WallClock::now()));
}

asio::awaitable<bool> SampleCollector::refresh(CollectionPtr collection)
{
    collection->isWoken = false;
    auto copy = co_await this->ledgers.read(collection->trainer);
    if (!copy) {
        collection->readAt = Clock::now();
        // What is running goes on; new work needs the newest ledger once, not each moment.
        co_return collection->copy.has_value();
    }
    this->takeCopy(collection, std::move(copy).value());
    co_return true;
}

void SampleCollector::takeCopy(const CollectionPtr& collection, LedgerCopy copy)
{
    collection->readAt = Clock::now();
    collection->copy = std::move(copy);
    const auto& ledger = collection->copy->ledger;
    this->perform(collection, handleLedgerUpdate(collection->planner, ledger, Clock::now()));
    std::erase_if(collection->finished,
        [&ledger](const CollectedSample& sample) { return isSlotFilled(ledger, sample.slot.slot); });
}

asio::awaitable<bool> SampleCollector::loadPrompts(CollectionPtr collection)
{
    std::vector<ObjectKey> missing;
    std::set<ObjectKey> used;
    for (const auto& [number, step] : collection->copy->ledger.steps) {
        for (const auto& [id, group] : step) {
            used.insert(group.prompts);
            const bool isOpen = std::find(group.filled.begin(), group.filled.end(), false) != group.filled.end();
            if (isOpen && !collection->prompts.contains(group.prompts))
                missing.push_back(group.prompts);
        }
    }
    std::erase_if(collection->prompts, [&used](const auto& entry) { return !used.contains(entry.first); });
    for (const auto& key : missing) {
        if (collection->prompts.contains(key))
            continue;
        auto text = co_await this->ledgers.get(key, Clock::now() + storePatience);
        if (!text) {
            logStoreProblem("prompts-not-read", *collection, text.error());
            co_return false;
        }
        collection->prompts[key] = decodePrompts(text.value());
    }
    co_return true;
}

bool SampleCollector::mayCollect(const TrainerCollection& collection) const
{
    return this->leases.held(leaseOf(collection.trainer)).has_value();
}

bool SampleCollector::isDue(const TrainerCollection& collection) const
{
    const auto since = Clock::now() - collection.committedAt;
    const auto& ledger = collection.copy->ledger;
    if (collection.batch || !collection.finished.empty()) {
        const auto current = currentStep(ledger);
        const auto open = current ? missingSlots(ledger, *current).size() : 0;
        const auto waiting = collection.finished.size() + (collection.batch ? collection.batch->slots.size() : 0);
        return since > commitInterval || (waiting >= open && since > lastCommitInterval);
    }
    if (since <= commitInterval)
        return false;
    return !collection.refusals.empty() || hasStaleSamples(ledger, collection.rules.bound, WallClock::now());
}

asio::awaitable<void> SampleCollector::commit(CollectionPtr collection)
{
    const auto giveUp = Clock::now() + storePatience;
    if (!collection->batch && !collection->finished.empty())
        collection->batch = makeBatch(collection->finished, this->ledgers.newObject("samples", collection->trainer));
    if (collection->batch && !collection->batch->isStored) {
        auto stored = co_await this->ledgers.put(collection->batch->object, collection->batch->payload, giveUp);
        if (!stored)
            co_return;
        collection->batch->isStored = true;
    }
    auto taken = std::make_shared<std::uint64_t>(0);
    auto change = commitChange(contentOf(*collection), taken);
    collection->refusals.clear();
    auto copy = co_await this->ledgers.update(collection->trainer, std::move(change), collection->copy->row, giveUp);
    collection->committedAt = Clock::now();
    if (!copy) {
        logStoreProblem("samples-not-committed", *collection, copy.error());
        co_return;
    }
    collection->committed += *taken;
    const auto batch = std::move(collection->batch);
    collection->batch.reset();
    if (batch) {
        for (const auto& slot : batch->slots) {
            if (!isSlotFilled(copy.value().ledger, slot.slot))
                reopenSlot(collection->planner, slot.slot);
        }
    }
    this->takeCopy(collection, std::move(copy).value());
}

void SampleCollector::takeProgress(TrainerCollection& collection)
{
    const auto now = Clock::now();
    for (auto& [id, attempt] : collection.attempts) {
        const auto tokens = attempt.counts->tokens.load(std::memory_order_relaxed);
        const WeightVersion oldest(attempt.counts->oldest.load(std::memory_order_relaxed));
        if (tokens > attempt.tokensSeen && attempt.movesTo == 0)
            handleTokens(collection.planner, attempt.slot, id, tokens - attempt.tokensSeen, oldest, now);
        attempt.tokensSeen = tokens;
    }
}

void SampleCollector::perform(const CollectionPtr& collection, const std::vector<SlotAction>& actions)
{
    for (const auto& action : actions) {
        if (action.kind == SlotActionKind::Cancel) {
            this->cancelAttempt(*collection, action.attempt);
        } else if (action.kind == SlotActionKind::Move && collection->attempts.contains(action.originalAttempt)) {
            collection->attempts[action.originalAttempt].movesTo = action.attempt;
            this->cancelAttempt(*collection, action.originalAttempt);
        } else {
            this->startAttempt(collection, action, {});
        }
    }
}

void SampleCollector::startAttempt(const CollectionPtr& collection, const SlotAction& action, Generation before)
{
    auto request = requestFor(*collection, action, this->context.newRequestId());
    const auto* group = findSlotGroup(collection->copy->ledger, action.slot);
    if (!group) {
        handleAttemptFailed(collection->planner, action.slot, action.attempt, true, Clock::now());
        return;
    }
    request.prompt = collection->prompts[group->prompts][action.slot.group];
    if (!before.backend.value().empty())
        request.avoid.push_back(before.backend);
    request.tokensBefore = std::move(before.tokens);
    request.spansBefore = std::move(before.spans);
    CollectedAttempt attempt;
    attempt.slot = action.slot;
    attempt.textBefore = std::move(before.text);
    attempt.counts = std::make_shared<AttemptProgressCounts>();
    attempt.control = std::make_shared<GenerationControl>();
    attempt.thread = this->nextThread++ % this->context.threads.size();
    request.control = attempt.control;
    collection->attempts[action.attempt] = attempt;
    auto generation = this->generate(collection, action, std::move(request), attempt.counts);
    asio::co_spawn(this->context.threads.at(attempt.thread), std::move(generation), asio::detached);
}

asio::awaitable<void> SampleCollector::generate(CollectionPtr collection, SlotAction action, GenerationRequest request,
    std::shared_ptr<AttemptProgressCounts> counts)
{
    auto sink = countChunks(std::move(counts));
    auto result = co_await this->completions.generate(std::move(request), std::move(sink));
    asio::post(this->context.threads.at(0),
        [this, collection = std::move(collection), action = std::move(action), result = std::move(result)]() mutable {
            this->settle(collection, std::move(action), std::move(result));
        });
}

void SampleCollector::cancelAttempt(TrainerCollection& collection, std::uint64_t attempt)
{
    const auto found = collection.attempts.find(attempt);
    if (found == collection.attempts.end())
        return;
    found->second.isCancelledHere = true;
    asio::post(this->context.threads.at(found->second.thread), [control = found->second.control] {
        control->isCancelled = true;
        if (control->cancel)
            control->cancel();
    });
}

void SampleCollector::settle(const CollectionPtr& collection, SlotAction action, GenerationResult result)
{
    const auto found = collection->attempts.find(action.attempt);
    if (found == collection->attempts.end())
        return;
    this->takeProgress(*collection);
    const auto attempt = found->second;
    collection->attempts.erase(found);
    if (attempt.movesTo != 0) {
        action.attempt = attempt.movesTo;
        action.requestClass = RequestClass::Straggler;
    }
    if (!result && attempt.movesTo != 0) {
        if (!hasAttempt(collection->planner, action.slot, action.attempt))
            return;
        auto before = std::move(result.error().partial);
        before.text.insert(0, attempt.textBefore);
        this->startAttempt(collection, action, std::move(before));
        return;
    }
    if (!result) {
        handleAttemptFailed(collection->planner, action.slot, action.attempt, attempt.isCancelledHere, Clock::now());
        if (!attempt.isCancelledHere && !isRefusal(result.error().error.kind)) {
            collection->refusals[action.slot] = SampleRefusal::GenerationFailed;
            logSlot("sample-failed", *collection, action.slot, toText(result.error().error));
        }
        return;
    }
    auto& generation = result.value();
    generation.text.insert(0, attempt.textBefore);
    const auto startedWall = startOf(collection->planner, action.slot, action.attempt);
    const auto verdict = handleAttemptFinished(collection->planner, action.slot, action.attempt, generation.spans,
        generation.tokens.size(), collection->rules, Clock::now(), WallClock::now());
    if (verdict.isAccepted) {
        const FinishedSample slot { action.slot, 0, *oldestVersion(generation.spans), startedWall };
        collection->finished.push_back({ slot, samplePayload(action.slot, generation) });
    } else if (verdict.refusal != SampleRefusal::None) {
        collection->refusals[action.slot] = verdict.refusal;
        logSlot("sample-discarded", *collection, action.slot, std::string(refusalName(verdict.refusal)));
    }
    this->perform(collection, verdict.actions);
}

} // namespace topaztack
