#include "item_run.hpp"
#include "job_runner.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>

/// @file
/// Scoring calls: the requests that judge complete texts before they are listed.

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr unsigned statusServerError = 500;
    /// An attempt is abandoned for another server after this many latency objectives of the call's route.
    constexpr int latencyObjectivesPerAttempt = 2;
    constexpr std::chrono::milliseconds minAttemptTime { 50 };
    /// Pause after an attempt without a score, doubled with each further one.
    constexpr Duration minRetryPause = 25ms;
    constexpr std::uint64_t maxRetryDoublings = 5;

    std::string_view outcomeName(ServiceCallOutcome outcome)
    {
        static constexpr std::array<std::string_view, 4> names { "answered", "refused", "not-reached", "unknown" };
        return names.at(static_cast<std::size_t>(outcome));
    }

    std::string resultLabel(const ServiceCallResult& result)
    {
        const bool hasFailed = result.response && !isSuccess(result.response->status);
        return R"(outcome=")" + std::string(hasFailed ? "failed" : outcomeName(result.outcome)) + R"(")";
    }

    bool hasScore(const ServiceCallResult& result) { return result.response && isSuccess(result.response->status); }

} // namespace

/// Lists an item with its complete text or, if it is scored, lets its scoring call be made first.
void JobRunner::completeText(ItemRun& item, std::string_view reason)
{
    if (isListable(*item.item, item.text)) {
        this->finish(item, ItemState::Completed, reason);
        return;
    }
    item.phase = ItemPhase::Unscored;
    item.scoring = ScoringProgress {};
    item.scoring.textCompletedAt = Clock::now();
}

std::vector<ItemRun*> JobRunner::scorableItems()
{
    std::vector<ItemRun*> scorable;
    if (!this->mayStart())
        return scorable;
    const auto now = Clock::now();
    for (const auto& item : this->items) {
        if (item->phase == ItemPhase::Unscored && item->scoringRoute && now >= item->scoring.retryAt)
            scorable.push_back(item.get());
    }
    std::stable_sort(scorable.begin(), scorable.end(), [](const ItemRun* one, const ItemRun* other) {
        return one->scoring.textCompletedAt < other->scoring.textCompletedAt;
    });
    return scorable;
}

bool JobRunner::startScoring(ItemRun& item)
{
    ServerRequirements need;
    const auto* pool = choosePool(*item.scoringRoute, this->context.random.next());
    if (!pool)
        return false;
    need.pool = *pool;
    need.tried = item.scoring.tried;
    need.isBackground = true;
    auto server = this->servers.acquire(need);
    if (!server)
        return false;
    item.phase = ItemPhase::Scoring;
    asio::co_spawn(this->context.loop(), this->score(item, std::move(*server), std::move(need)), asio::detached);
    return true;
}

asio::awaitable<void> JobRunner::score(ItemRun& item, ServerRecord server, ServerRequirements need)
{
    const auto self = this->shared_from_this();
    const auto& route = *item.scoringRoute;
    const auto sentAt = Clock::now();
    const auto attemptTime = std::max<Duration>(minAttemptTime, latencyObjectivesPerAttempt * route.latencyObjective);
    // Too little time is left for another attempt, so the call starts anew.
    if (sentAt + attemptTime / 2 > item.scoring.deadline)
        item.scoring.deadline = sentAt + route.timeout;
    const auto deadline = item.scoring.deadline;
    auto request = this->context.protocol.encodeScoringRequest(
        *item.item->scoring, server, std::max(1ms, toMilliseconds(deadline - sentAt)));
    ++item.scoring.attempts;
    CallControl control;
    item.control = &control;
    const auto result = co_await callService(this->context, this->servers, std::move(request), item.item->scoring->id,
        server, std::min<TimePoint>(deadline, sentAt + attemptTime), control, need);
    item.control = nullptr;
    const auto took = Clock::now() - sentAt;
    this->scoringTime.record(took);
    this->context.metrics.counter("topaztack_scoring_calls_total", "Scoring calls by outcome", resultLabel(result))
        .add();
    this->logScoring(item, server, result, took);
    this->handleScoringResult(item, server, result);
}

void JobRunner::logScoring(
    const ItemRun& item, const ServerRecord& server, const ServiceCallResult& result, Duration took)
{
    logEvent(hasScore(result) ? LogLevel::Debug : LogLevel::Info, "scoring-attempted",
        { { "job", this->job.id.value() }, { "item", item.item->id.value() },
            { "call", item.item->scoring->id.value() }, { "server", server.name.value() },
            { "attempt", std::to_string(item.scoring.attempts) }, { "end", std::string(outcomeName(result.outcome)) },
            { "status", result.response ? std::to_string(result.response->status) : "" },
            { "took_ms", std::to_string(toMilliseconds(took).count()) },
            { "text_age_ms", std::to_string(toMilliseconds(Clock::now() - item.scoring.textCompletedAt).count()) },
            { "error", result.problem ? result.problem->message : "" } });
}

void JobRunner::handleScoringResult(ItemRun& item, const ServerRecord& server, const ServiceCallResult& result)
{
    auto& scoring = item.scoring;
    item.phase = ItemPhase::Unscored;
    if (hasScore(result)) {
        item.text.score
            = ItemScore { item.item->scoring->id, this->context.protocol.decodeAnswer(*result.response).serverStamp };
        this->scoreDelay.record(Clock::now() - scoring.textCompletedAt);
        this->finish(item, ItemState::Completed, "scored");
        return;
    }
    if (result.outcome == ServiceCallOutcome::Refused)
        return;
    scoring.tried.insert(server.name);
    scoring.retryAt = Clock::now() + minRetryPause * (1U << std::min(scoring.attempts - 1, maxRetryDoublings));
    const bool isFailure = result.response && result.response->status == statusServerError;
    scoring.failures += isFailure ? 1 : 0;
    // The routes of the item and of its scoring call may allow different numbers of attempts.
    const auto maxFailures
        = std::max(item.route ? item.route->maxAttempts : 1, item.scoringRoute ? item.scoringRoute->maxAttempts : 1);
    if (isFailure && scoring.failures >= maxFailures)
        this->finish(item, ItemState::Aborted, "its scoring call failed at every attempt");
}

} // namespace topaztack
