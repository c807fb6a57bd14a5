#include "job_runner.hpp"

#include "item_run.hpp"

#include <topaztack/base/log.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// Results that are finished within this time are listed in one write.
    constexpr Duration listingInterval = 30ms;
    constexpr Duration retryInterval = 150ms;
    /// Results in one write: the store takes 100 entries and a megabyte.
    constexpr std::size_t resultsPerWrite = 40;
    constexpr std::size_t bytesPerWrite = 384UL * 1024;

} // namespace

/// Takes finished items for the next write.
std::vector<ItemResult> JobRunner::nextResults()
{
    std::vector<ItemResult> results;
    std::size_t bytes = 0;
    for (auto* item : this->finished) {
        bytes += item->text.output.size();
        if (results.size() == resultsPerWrite || (!results.empty() && bytes > bytesPerWrite))
            break;
        results.push_back({ item->item->id, item->state, item->text.output, item->text.versions });
    }
    this->finished.erase(this->finished.begin(), this->finished.begin() + static_cast<std::ptrdiff_t>(results.size()));
    return results;
}

JobHead JobRunner::nextHead()
{
    auto next = this->head.head;
    this->beingListed = this->nextResults();
    next.listed += this->beingListed.size();
    ++next.writes;
    next.inFlight = this->servers.inFlight(this->pool());
    next.textObjects = this->textObjects;
    next.waiting = this->countWaiting();
    if (this->isReleasing && this->finished.empty())
        next.owner = VmIdentity {};
    return next;
}

/// @return whether the pending write is known to have taken effect.
bool JobRunner::takeWrite(const JobWrite& write, TimePoint sentAt)
{
    const bool isOwn = write.end == JobWriteEnd::Written
        || (write.end == JobWriteEnd::Conflict && write.current && write.current->head == *this->pendingHead);
    if (isOwn) {
        this->head = *write.current;
        this->listedAt = sentAt;
        this->beingListed.clear();
        this->pendingHead.reset();
        return true;
    }
    if (write.end != JobWriteEnd::Conflict)
        return false;
    const bool isEnded = !write.current || write.current->head.isEnded;
    if (!isEnded)
        logEvent(LogLevel::Warning, "job-lost",
            { { "job", this->job.id.value() }, { "owner", write.current->head.owner.name.value() },
                { "writes", std::to_string(write.current->head.writes) },
                { "expected_writes", std::to_string(this->pendingHead->writes) },
                { "listed", std::to_string(write.current->head.listed) } });
    this->stop(isEnded ? RunnerEnd::Ended : RunnerEnd::Lost);
    return false;
}

asio::awaitable<void> JobRunner::listOnce()
{
    if (this->isReleasing && !this->areTextsLeft && !this->pendingHead)
        co_await this->leaveTexts();
    if (this->end)
        co_return;
    if (!this->pendingHead)
        this->pendingHead = this->nextHead();
    const auto sentAt = Clock::now();
    const auto write = co_await this->store.write(
        this->job.id, this->head.version, *this->pendingHead, this->head.head.listed, this->beingListed);
    if (this->end)
        co_return;
    if (!this->takeWrite(write, sentAt)) {
        if (!this->end)
            co_await pauseFor(retryInterval);
        co_return;
    }
    if (this->head.head.listed == this->head.head.total)
        this->stop(RunnerEnd::Complete);
    else if (this->head.head.owner != this->context.identity)
        this->stop(RunnerEnd::Released);
}

asio::awaitable<void> JobRunner::list()
{
    const auto self = this->shared_from_this();
    while (!this->end) {
        const bool isDue = !this->finished.empty() || this->pendingHead || this->isReleasing
            || Clock::now() - this->listedAt >= jobHeartbeatInterval;
        if (!isDue) {
            co_await this->toList.waitUntil(this->listedAt + jobHeartbeatInterval);
            if (!this->end && !this->isReleasing)
                co_await pauseFor(listingInterval);
            continue;
        }
        co_await this->listOnce();
    }
}

} // namespace topaztack
