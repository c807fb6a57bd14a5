#include "item_run.hpp"
#include "job_runner.hpp"

#include <topaztack/base/log.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// A VM that takes a job over generates anew what was made since the last time that texts were kept.
    constexpr Duration keepInterval = 1500ms;
    /// Shorter texts are made again in less than a second.
    constexpr std::uint64_t fewestEventsKept = 16;

} // namespace

/// Writes the texts of unfinished items to the store. The next head that is written names them.
asio::awaitable<void> JobRunner::putTexts(std::uint64_t fewestEvents)
{
    std::map<ItemId, ItemProgress> texts;
    for (const auto& item : this->items) {
        if (item->phase != ItemPhase::Finished && item->text.lastEvent.value_or(0) >= fewestEvents)
            texts.emplace(item->item->id, item->text);
    }
    if (texts.empty())
        co_return;
    const auto number = this->nextTextObject++;
    const auto put = co_await this->store.putTexts(this->job.id, number, toText(texts));
    const bool isKept = put && put.value();
    if (isKept)
        this->textObjects = std::max(this->textObjects, number + 1);
    // The owner before may have put an object of that number that its head does not name.
    logEvent(isKept ? LogLevel::Debug : LogLevel::Warning, isKept ? "texts-kept" : "texts-not-kept",
        { { "job", this->job.id.value() }, { "texts", std::to_string(texts.size()) },
            { "number", std::to_string(number) },
            { "error", put ? (isKept ? "" : "the object stands there already") : put.error().message } });
}

/// Once the head names a later object, nobody reads those before it; once the job is over, nobody reads any.
asio::awaitable<void> JobRunner::dropTexts(std::uint64_t end)
{
    while (this->droppedTextObjects < end) {
        const auto dropped = co_await this->store.dropTexts(this->job.id, this->droppedTextObjects);
        if (!dropped) {
            logEvent(LogLevel::Info, "texts-not-dropped",
                { { "job", this->job.id.value() }, { "error", dropped.error().message } });
            co_return;
        }
        ++this->droppedTextObjects;
    }
}

asio::awaitable<void> JobRunner::keepTexts()
{
    const auto self = this->shared_from_this();
    while (true) {
        co_await pauseFor(keepInterval);
        const bool isOver = this->end == RunnerEnd::Complete || this->end == RunnerEnd::Ended;
        if (isOver)
            co_await this->dropTexts(this->nextTextObject);
        if (this->end || this->isReleasing)
            co_return;
        if (isStoreAway(this->context.store.contact(), Clock::now()))
            continue;
        co_await this->putTexts(fewestEventsKept);
        co_await this->dropTexts(std::max<std::uint64_t>(1, this->head.head.textObjects) - 1);
    }
}

/// The next owner goes on where these texts end.
asio::awaitable<void> JobRunner::leaveTexts()
{
    this->areTextsLeft = true;
    co_await this->putTexts(1);
}

} // namespace topaztack
