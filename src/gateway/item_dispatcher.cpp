#include "item_dispatcher.hpp"

#include "item_run.hpp"
#include "job_runner.hpp"
#include "stream_forwarder.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/samples/item_order.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <tuple>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr Duration dispatchInterval = 100ms;
    /// Dispatches that are further apart show that this VM stood still or lacks processor time.
    constexpr Duration maxDispatchDelay = 250ms;
    constexpr Duration waitingLogInterval = 1s;
    /// Time between two events that is assumed before any was measured.
    constexpr Duration defaultUnitTime = 50ms;

    struct WaitingItem {
        JobRunner* runner { nullptr };
        ItemRun* item { nullptr };
        /// When the item has to start to finish in time.
        TimePoint latestStart;
    };

    /// Puts the items into the order in which they start.
    void sortItems(std::vector<WaitingItem>& items, const std::vector<std::shared_ptr<JobRunner>>& open)
    {
        std::set<WorkspaceName> workspaces;
        for (const auto& runner : open)
            workspaces.insert(runner->spec().workspace);
        const bool isShared = workspaces.size() > 1;
        RunningTokens running;
        std::vector<StartCandidate> candidates;
        candidates.reserve(items.size());
        for (const auto& each : items) {
            StartCandidate candidate;
            candidate.latestStart = each.latestStart;
            candidate.isSpare = each.item->isSpare;
            if (isShared) {
                const auto need = each.runner->needOf(*each.item);
                candidate.pool = need.pool;
                candidate.tokens = need.tokens;
                candidate.workspace = each.runner->spec().workspace;
                candidate.rank = each.runner->rank();
            }
            candidates.push_back(std::move(candidate));
        }
        for (const auto& runner : open) {
            if (isShared)
                runner->addRunningTokens(running);
        }
        std::vector<WaitingItem> sorted;
        sorted.reserve(items.size());
        for (const auto index : orderCandidates(candidates, std::move(running)))
            sorted.push_back(items[index]);
        items = std::move(sorted);
    }

    /// What decides which servers can take an item. If there is none for one item, there is none for another with the
    /// same key that needs as much memory or more.
    using NeedKey = std::tuple<PoolName, ModelName, WeightVersion, WeightVersion, std::optional<std::string>>;

    NeedKey keyOf(const ServerRequirements& need)
    {
        return { need.pool, need.model, need.oldestVersion, need.exactVersion, need.softwareVersion };
    }

} // namespace

ItemDispatcher::ItemDispatcher(GatewayContext& context, ServerTable& servers, StreamForwarder& streams)
    : context(context)
    , servers(servers)
    , streams(streams)
{
}

void ItemDispatcher::start() { asio::co_spawn(this->context.loop(), this->dispatch(), asio::detached); }

void ItemDispatcher::add(std::weak_ptr<JobRunner> runner)
{
    this->runners.push_back(std::move(runner));
    this->servers.changed().notify();
}

void ItemDispatcher::recordLength(const ModelName& model, std::uint64_t events, std::uint64_t expectedTokens)
{
    topaztack::recordItemLength(this->lengths[model], events, expectedTokens);
}

std::uint64_t ItemDispatcher::expectedTokens(
    const ModelName& model, const JobItem& item, const ItemProgress& text) const
{
    const auto found = this->lengths.find(model);
    const auto lengths = found == this->lengths.end() ? LengthModel {} : found->second;
    const auto tokens
        = item.promptTokens + expectedFinalTokens(lengths, item.expectedTokens, text.lastEvent.value_or(0));
    return item.tokens > 0 ? std::min(item.tokens, tokens) : tokens;
}

asio::awaitable<void> ItemDispatcher::dispatch()
{
    while (true) {
        // Keeps the runners alive while their items are started.
        const auto open = this->activeRunners();
        this->leaveSilentServers(open);
        this->startWaitingItems(open);
        this->startScoringCalls(open);
        co_await this->servers.changed().waitUntil(Clock::now() + dispatchInterval);
    }
}

std::vector<std::shared_ptr<JobRunner>> ItemDispatcher::activeRunners()
{
    std::vector<std::shared_ptr<JobRunner>> open;
    std::erase_if(this->runners, [&open](const auto& weak) {
        auto runner = weak.lock();
        if (!runner || runner->isStopped())
            return true;
        open.push_back(std::move(runner));
        return false;
    });
    return open;
}

/// Logs a line for each kind of need that no server meets, at most once a second.
void ItemDispatcher::logWaiting(const std::vector<ServerRequirements>& unmet)
{
    const auto now = Clock::now();
    if (now - this->waitingLoggedAt < waitingLogInterval)
        return;
    this->waitingLoggedAt = now;
    std::map<NeedKey, std::size_t> counts;
    for (const auto& need : unmet)
        ++counts[keyOf(need)];
    for (const auto& [key, count] : counts) {
        const auto& [pool, model, oldest, exact, software] = key;
        const auto engines = this->servers.countEngines(pool, model, oldest);
        logEvent(LogLevel::Info, "items-waiting",
            { { "pool", pool.value() }, { "model", model.value() }, { "items", std::to_string(count) },
                { "oldest_version", std::to_string(oldest.value()) },
                { "exact_version", std::to_string(exact.value()) }, { "software", software.value_or("any") },
                { "engines", std::to_string(engines.known) }, { "with_version", std::to_string(engines.withVersion) },
                { "with_free_slot", std::to_string(engines.withFreeSlot) } });
    }
}

/// Leaves servers that stopped sending, unless this VM itself stood still and did not read what they sent.
void ItemDispatcher::leaveSilentServers(const std::vector<std::shared_ptr<JobRunner>>& open)
{
    const auto now = Clock::now();
    if (now - this->dispatchedAt > maxDispatchDelay)
        this->servers.forgiveSilence();
    this->dispatchedAt = now;
    if (now - this->silenceCheckedAt < dispatchInterval)
        return;
    this->silenceCheckedAt = now;
    const auto silent = this->servers.takeSilentServers();
    if (silent.empty())
        return;
    this->streams.leaveServers(silent);
    for (const auto& runner : open)
        runner->leaveServers(silent);
}

/// Makes scoring calls, those of the job that is due first before the others.
void ItemDispatcher::startScoringCalls(const std::vector<std::shared_ptr<JobRunner>>& open)
{
    std::vector<std::pair<JobRunner*, ItemRun*>> calls;
    for (const auto& runner : open) {
        for (auto* item : runner->scorableItems())
            calls.emplace_back(runner.get(), item);
    }
    std::stable_sort(calls.begin(), calls.end(),
        [](const auto& one, const auto& other) { return one.first->dueAt() < other.first->dueAt(); });
    // If no server takes one call of a route, none takes another.
    std::set<std::pair<JobRunner*, const Route*>> fullRoutes;
    for (const auto& [runner, item] : calls) {
        const std::pair route { runner, item->scoringRoute };
        if (!fullRoutes.contains(route) && !runner->startScoring(*item))
            fullRoutes.insert(route);
    }
}

void ItemDispatcher::startWaitingItems(const std::vector<std::shared_ptr<JobRunner>>& open)
{
    std::vector<WaitingItem> waiting;
    for (const auto& runner : open) {
        const auto items = runner->startableItems();
        const auto unitTime = this->servers.medianEventInterval(runner->pool()).value_or(defaultUnitTime);
        for (auto* item : items) {
            const auto events = remainingEvents(
                this->lengths[runner->spec().model], item->item->expectedTokens, item->text.lastEvent.value_or(0));
            const auto remaining = std::chrono::duration_cast<Duration>(unitTime * events);
            waiting.push_back({ runner.get(), item, runner->dueAt() - remaining });
        }
    }
    sortItems(waiting, open);
    // For each key the smallest number of tokens for which no server was found.
    std::map<NeedKey, std::uint64_t> smallestUnmetTokens;
    std::vector<ServerRequirements> unmet;
    for (const auto& each : waiting) {
        auto need = each.runner->needOf(*each.item);
        const auto found = smallestUnmetTokens.find(keyOf(need));
        const bool isTooLarge = found != smallestUnmetTokens.end() && need.tokens >= found->second;
        if (!isTooLarge && each.runner->startItem(*each.item, need))
            continue;
        if (!isTooLarge)
            smallestUnmetTokens[keyOf(need)] = need.tokens;
        if (!each.item->isSpare)
            unmet.push_back(std::move(need));
    }
    if (!unmet.empty())
        this->logWaiting(unmet);
}

} // namespace topaztack
