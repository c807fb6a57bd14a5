#include "item_run.hpp"
#include "job_runner.hpp"

#include <topaztack/base/log.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// A VM that takes a job over regenerates what was generated after texts were last saved.
    constexpr Duration saveInterval = 1500ms;
    /// Shorter texts are regenerated in less than a second.
    constexpr std::uint64_t minEventsToSave = 16;

} // namespace

/// Saves the texts of unfinished items to the store. The next head that is written refers to them.
asio::awaitable<void> JobRunner::saveTexts(std::uint64_t minEvents)
{
    std::map<ItemId, ItemProgress> texts;
    for (const auto& item : this->items) {
        if (item->phase != ItemPhase::Finished && item->text.lastEvent.value_or(0) >= minEvents)
            texts.emplace(item->item->id, item->text);
    }
    if (texts.empty())
        co_return;
    const auto number = this->nextTextObject++;
    const auto put = co_await this->store.putTexts(this->job.id, this->job.workspace, number, toText(texts));
    const bool isSaved = put && put.value();
    if (isSaved)
        this->textObjects = std::max(this->textObjects, number + 1);
    // A previous owner may have stored an object with this number without the head referring to it.
    logEvent(isSaved ? LogLevel::Debug : LogLevel::Warning, isSaved ? "texts-saved" : "texts-not-saved",
        { { "job", this->job.id.value() }, { "texts", std::to_string(texts.size()) },
            { "number", std::to_string(number) },
            { "error", put ? (isSaved ? "" : "the object exists already") : put.error().message } });
}

/// Removes text objects with numbers below `end`. Only the newest one that the head refers to is read, and none once
/// the job is over.
asio::awaitable<void> JobRunner::removeTexts(std::uint64_t end)
{
    while (this->removedTextObjects < end) {
        const auto removed
            = co_await this->store.removeTexts(this->job.id, this->job.workspace, this->removedTextObjects);
        if (!removed) {
            logEvent(LogLevel::Info, "texts-not-removed",
                { { "job", this->job.id.value() }, { "error", removed.error().message } });
            co_return;
        }
        ++this->removedTextObjects;
    }
}

asio::awaitable<void> JobRunner::saveTextsPeriodically()
{
    const auto self = this->shared_from_this();
    while (true) {
        co_await pauseFor(saveInterval);
        const bool isOver
            = this->stopReason == RunnerStopReason::Complete || this->stopReason == RunnerStopReason::Ended;
        if (isOver)
            co_await this->removeTexts(this->nextTextObject);
        if (this->stopReason || this->isReleasing)
            co_return;
        if (isStoreAway(this->context.store.contact(), Clock::now()))
            continue;
        co_await this->saveTexts(minEventsToSave);
        co_await this->removeTexts(std::max<std::uint64_t>(1, this->head.head.textObjects) - 1);
    }
}

/// Saves texts of any length before the job is released. The next owner continues where they end.
asio::awaitable<void> JobRunner::saveTextsForNextOwner()
{
    this->areTextsSaved = true;
    co_await this->saveTexts(1);
}

} // namespace topaztack
