#include "job_runner.hpp"

#include "item_run.hpp"

#include <topaztack/base/log.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// Items that finish within this time are listed in one write.
    constexpr Duration listingInterval = 30ms;
    constexpr Duration retryInterval = 150ms;
    /// Limits of one write: a transaction of the store takes at most 100 entries and one megabyte. Results are JSON,
    /// and stored as base64.
    constexpr std::size_t resultsPerWrite = 40;
    constexpr std::size_t bytesPerWrite = maxStoredTextBytes;

} // namespace

/// Removes finished items from the queue and returns their results for the next write.
std::vector<ItemResult> JobRunner::takeNextResults()
{
    std::vector<ItemResult> results;
    std::size_t bytes = 0;
    for (auto* item : this->finished) {
        const bool isScored = item->state == ItemState::Completed && item->item->scoring && item->text.score;
        ItemResult result { item->item->id, item->state, item->text.output, item->text.versions,
            isScored ? item->text.score->value : "" };
        bytes += jsonSize(result);
        if (results.size() == resultsPerWrite || (!results.empty() && bytes > bytesPerWrite))
            break;
        results.push_back(std::move(result));
    }
    this->finished.erase(this->finished.begin(), this->finished.begin() + static_cast<std::ptrdiff_t>(results.size()));
    return results;
}

JobHead JobRunner::buildNextHead()
{
    auto next = this->head.head;
    this->pendingResults = this->takeNextResults();
    next.listed += this->pendingResults.size();
    ++next.writes;
    next.inFlight = this->servers.inFlight(this->pool());
    next.textObjects = this->textObjects;
    next.waiting = this->countWaiting();
    if (this->isReleasing && this->finished.empty())
        next.owner = VmIdentity {};
    return next;
}

/// @return whether the pending write is known to have taken effect.
bool JobRunner::applyWriteResult(const JobWriteResult& write, TimePoint sentAt)
{
    const bool isOwn = write.outcome == JobWriteOutcome::Written
        || (write.outcome == JobWriteOutcome::Conflict && write.current && write.current->head == *this->pendingHead);
    if (isOwn) {
        this->head = *write.current;
        this->lastWriteSentAt = sentAt;
        this->pendingResults.clear();
        this->pendingHead.reset();
        return true;
    }
    if (write.outcome != JobWriteOutcome::Conflict)
        return false;
    const bool isEnded = !write.current || write.current->head.isEnded;
    if (!isEnded)
        logEvent(LogLevel::Warning, "job-lost",
            { { "job", this->job.id.value() }, { "owner", write.current->head.owner.name.value() },
                { "writes", std::to_string(write.current->head.writes) },
                { "expected_writes", std::to_string(this->pendingHead->writes) },
                { "listed", std::to_string(write.current->head.listed) } });
    this->stop(isEnded ? RunnerStopReason::Ended : RunnerStopReason::Lost);
    return false;
}

asio::awaitable<void> JobRunner::writeHead()
{
    if (this->isReleasing && !this->areTextsSaved && !this->pendingHead)
        co_await this->saveTextsForNextOwner();
    if (this->stopReason)
        co_return;
    if (!this->pendingHead)
        this->pendingHead = this->buildNextHead();
    const auto sentAt = Clock::now();
    const auto write = co_await this->store.write(
        this->job.id, this->head.version, *this->pendingHead, this->head.head.listed, this->pendingResults);
    if (this->stopReason)
        co_return;
    if (!this->applyWriteResult(write, sentAt)) {
        if (!this->stopReason)
            co_await pauseFor(retryInterval);
        co_return;
    }
    if (this->head.head.listed == this->head.head.total)
        this->stop(RunnerStopReason::Complete);
    else if (this->head.head.owner != this->context.identity)
        this->stop(RunnerStopReason::Released);
}

asio::awaitable<void> JobRunner::listResults()
{
    const auto self = this->shared_from_this();
    while (!this->stopReason) {
        const bool isDue = !this->finished.empty() || this->pendingHead || this->isReleasing
            || Clock::now() - this->lastWriteSentAt >= jobHeartbeatInterval;
        if (!isDue) {
            co_await this->listingNotifier.waitUntil(this->lastWriteSentAt + jobHeartbeatInterval);
            if (!this->stopReason && !this->isReleasing)
                co_await pauseFor(listingInterval);
            continue;
        }
        co_await this->writeHead();
    }
}

} // namespace topaztack
