#include "item_run.hpp"
#include "job_runner.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/base/utf8.hpp>
#include <topaztack/policy/crash_evidence.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <iterator>

/// @file
/// Scoring calls: the requests that judge complete texts before they are listed.

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr unsigned statusServerError = 500;
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

    /// Scores are stored and returned as JSON, so an answer whose score is not UTF-8 or very long is none.
    ServiceCallResult withReadableScore(const GatewayProtocol& protocol, ServiceCallResult result)
    {
        if (!hasScore(result))
            return result;
        const auto score = protocol.decodeAnswer(*result.response).serverStamp;
        if (isUtf8(score) && score.size() <= maxScoreBytes)
            return result;
        return { ServiceCallOutcome::Unknown, std::nullopt,
            makeError(ErrorKind::BackendAnswerMalformed,
                isUtf8(score) ? "the score is too long to be stored" : "the score is not UTF-8") };
    }

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
    this->unscored.push_back(&item);
}

std::vector<ItemRun*> JobRunner::scorableItems()
{
    std::vector<ItemRun*> scorable;
    if (this->unscored.empty() || !this->mayStart())
        return scorable;
    const auto now = Clock::now();
    std::copy_if(
        this->unscored.begin(), this->unscored.end(), std::back_inserter(scorable), [now](const ItemRun* item) {
            return item->phase == ItemPhase::Unscored && item->scoringRoute && now >= item->scoring.retryAt;
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
    // The route may be gone by the time the attempt runs.
    const auto& route = *item.scoringRoute;
    const auto now = Clock::now();
    const auto attemptTime = repeatableAttemptTime(route);
    // If too little time is left for another attempt, the call starts anew.
    if (now + attemptTime / 2 > item.scoring.deadline)
        item.scoring.deadline = now + route.timeout;
    const auto attemptDeadline = std::min<TimePoint>(item.scoring.deadline, now + attemptTime);
    item.phase = ItemPhase::Scoring;
    asio::co_spawn(
        this->context.loop(), this->score(item, std::move(*server), std::move(need), attemptDeadline), asio::detached);
    return true;
}

asio::awaitable<void> JobRunner::score(
    ItemRun& item, ServerRecord server, ServerRequirements need, TimePoint attemptDeadline)
{
    const auto self = this->shared_from_this();
    CallControl control;
    item.control = &control;
    const bool isAdmitted = co_await this->servers.admit(server);
    if (!isAdmitted || control.isCancelled()) {
        item.control = nullptr;
        item.phase = ItemPhase::Unscored;
        this->servers.finish(server, ServerOutcome::Cancelled, need);
        co_return;
    }
    const auto sentAt = Clock::now();
    auto request = this->context.protocol.encodeScoringRequest(
        *item.item->scoring, server, std::max(1ms, toMilliseconds(item.scoring.deadline - sentAt)));
    ++item.scoring.attempts;
    auto called = co_await callService(this->context, this->servers, std::move(request), item.item->scoring->id, server,
        attemptDeadline, control, need);
    const auto result = withReadableScore(this->context.protocol, std::move(called));
    item.control = nullptr;
    const auto took = Clock::now() - sentAt;
    this->scoringTime.record(took);
    this->context.metrics.counter("topaztack_scoring_calls_total", "Scoring calls by outcome", resultLabel(result))
        .add();
    const bool hasBroken
        = result.outcome == ServiceCallOutcome::Unknown && result.problem->kind == ErrorKind::BackendBroke;
    if (hasBroken && co_await this->servers.hasEnded(server))
        ++item.scoring.serverEnds;
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
    const auto retryPause = minRetryPause * (1U << std::min(scoring.attempts - 1, maxRetryDoublings));
    scoring.retryAt = Clock::now() + std::max<Duration>(retryPause, pauseAfterEnds(scoring.serverEnds));
    const bool isFailure = result.response && result.response->status == statusServerError;
    scoring.failures += isFailure ? 1 : 0;
    // The routes of the item and of its scoring call may allow different numbers of attempts.
    const auto maxFailures
        = std::max(item.route ? item.route->maxAttempts : 1, item.scoringRoute ? item.scoringRoute->maxAttempts : 1);
    if (isFailure && scoring.failures >= maxFailures)
        this->finish(item, ItemState::Aborted, "its scoring call failed at every attempt");
}

} // namespace topaztack
