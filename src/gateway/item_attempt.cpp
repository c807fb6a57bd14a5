#include "item_attempt.hpp"

#include <topaztack/base/log.hpp>

#include <algorithm>
#include <array>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// Time for the head of an answer. An engine that queues a request for longer has more than its slots, and another
    /// may have room.
    constexpr Duration headTime = 600ms;
    /// Time for the body of a refusal.
    constexpr Duration refusalTime = 100ms;
    /// Time between two events, which usually takes 50 ms. Generations go on while weights are loaded.
    constexpr Duration eventTime = 1500ms;
    /// How long a generation stays at a server before it may be moved to a faster one, and how often that is asked.
    constexpr Duration moveInterval = 300ms;
    /// The first event of a generation.
    constexpr std::uint64_t firstEvent = 1;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusServerError = 500;
    constexpr unsigned statusNeverDone = 422;

    void recordVersion(ItemProgress& text, WeightVersion version)
    {
        if (std::find(text.versions.begin(), text.versions.end(), version) == text.versions.end())
            text.versions.push_back(version);
    }

    /// @return false if the event does not follow the last one, or no version is known for it.
    bool takeEvent(ItemProgress& text, const GenerationEvent& event, std::optional<WeightVersion>& version)
    {
        const auto expected = text.lastEvent ? *text.lastEvent + 1 : firstEvent;
        if (event.version)
            version = event.version;
        if (event.number != expected || !version)
            return false;
        recordVersion(text, *version);
        if (text.lastEvent)
            text.output += '\n';
        text.output += event.data;
        text.lastEvent = event.number;
        return true;
    }

    void logBreak(const ItemAttempt& attempt, const ServerRecord& server, std::string_view event, std::string problem)
    {
        const auto& last = attempt.text.lastEvent;
        logEvent(LogLevel::Info, event,
            { { "job", attempt.job.id.value() }, { "item", attempt.item.id.value() }, { "server", server.name.value() },
                { "last_event", last ? std::to_string(*last) : "none" }, { "error", std::move(problem) } });
    }

    /// What the head of an answer decides; Whole if events follow.
    AttemptEnd judgeHead(const GatewayContext& context, const ItemAttempt& attempt, const HttpResponse& head)
    {
        const auto answer = context.protocol.decodeAnswer(head);
        if (answer.isOtherServer)
            return AttemptEnd::Replaced;
        if (answer.saysNotRun)
            return AttemptEnd::Refused;
        if (!answer.hasServerStamp)
            return AttemptEnd::Interrupted;
        if (head.status == statusNeverDone)
            return AttemptEnd::NeverDone;
        if (head.status == statusServerError)
            return AttemptEnd::Failed;
        if (head.status != statusOk)
            return AttemptEnd::Interrupted;
        // A resumed generation that has no events left states no version.
        const bool isTooOld = answer.version && *answer.version < attempt.job.oldestVersion;
        return isTooOld ? AttemptEnd::Refused : AttemptEnd::Whole;
    }

    /// Takes the whole events that have been fed.
    /// @return false if one was not understood or out of order.
    bool takeEvents(const GatewayContext& context, const ItemAttempt& attempt, const ServerRecord& server,
        SseReader& reader, std::optional<WeightVersion>& version, std::uint64_t& count)
    {
        while (const auto event = reader.nextEvent()) {
            const auto decoded = context.protocol.decodeEvent(*event);
            if (!decoded || !takeEvent(attempt.text, decoded.value(), version)) {
                logBreak(attempt, server, "event-refused", decoded ? "out of order" : decoded.error().message);
                return false;
            }
            ++count;
        }
        return true;
    }

    asio::awaitable<AttemptEnd> readEvents(GatewayContext& context, ServerTable& servers, ItemAttempt attempt,
        const ServerRecord& server, HttpStream& stream)
    {
        auto version = context.protocol.decodeAnswer(stream.head()).version;
        SseReader reader;
        std::uint64_t count = 0;
        auto eventAt = Clock::now();
        auto moveAt = eventAt + moveInterval;
        while (true) {
            auto piece = co_await stream.read(Clock::now() + eventTime);
            if (!piece) {
                logBreak(attempt, server, "item-broke-off", piece.error().error.message);
                co_return AttemptEnd::Interrupted;
            }
            if (piece.value().empty())
                break;
            reader.feed(piece.value());
            const auto before = count;
            if (!takeEvents(context, attempt, server, reader, version, count)) {
                stream.cancel();
                co_return AttemptEnd::Interrupted;
            }
            const auto now = Clock::now();
            if (count > before && before > 0)
                servers.recordEventInterval(server.name, (now - eventAt) / (count - before));
            if (count > before)
                eventAt = now;
            if (now < moveAt)
                continue;
            moveAt = now + moveInterval;
            servers.updateTokenReservation(server.name, attempt.need, attempt.expectedTokens());
            if (servers.isWorthMoving(server, attempt.need, attempt.mayMove)) {
                stream.cancel();
                logBreak(attempt, server, "item-moved", "another server is faster");
                co_return AttemptEnd::Moved;
            }
        }
        const bool isWhole = reader.pending() == 0 && attempt.text.lastEvent;
        if (!isWhole)
            logBreak(attempt, server, "item-broke-off", "ended within an event");
        co_return isWhole ? AttemptEnd::Whole : AttemptEnd::Interrupted;
    }

    /// A connection whose answer was read to its end is kept.
    asio::awaitable<void> readToEnd(HttpStream& stream)
    {
        const auto deadline = Clock::now() + refusalTime;
        while (true) {
            const auto piece = co_await stream.read(deadline);
            if (!piece || piece.value().empty())
                co_return;
        }
    }

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    static constexpr std::array<std::string_view, 9> names { "whole", "interrupted", "moved", "failed", "never-done",
        "crowded", "refused", "replaced", "cancelled" };
    return names.at(static_cast<std::size_t>(end));
}

ServerOutcome outcomeOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Whole:
    case AttemptEnd::NeverDone:
        return ServerOutcome::Answered;
    case AttemptEnd::Interrupted:
    case AttemptEnd::Failed:
        return ServerOutcome::Failed;
    case AttemptEnd::Crowded:
    case AttemptEnd::Refused:
        return ServerOutcome::Refused;
    case AttemptEnd::Replaced:
        return ServerOutcome::Replaced;
    case AttemptEnd::Moved:
    case AttemptEnd::Cancelled:
        break;
    }
    return ServerOutcome::Cancelled;
}

asio::awaitable<AttemptEnd> attemptItem(
    GatewayContext& context, ServerTable& servers, ItemAttempt attempt, const ServerRecord& server)
{
    auto request = context.protocol.encodeItemRequest(attempt.job, attempt.item, server, attempt.text.lastEvent);
    CallOptions options;
    options.control = &attempt.control;
    options.accepts = [&context, &attempt](const HttpResponse& response) {
        const auto answered = context.protocol.decodeAnswer(response).request.value();
        return answered.empty() || answered == attempt.item.id.value();
    };
    auto opened = co_await context.httpClient.open(
        server.endpoint, std::move(request), Clock::now() + headTime, std::move(options));
    if (attempt.control.isCancelled())
        co_return AttemptEnd::Cancelled;
    if (!opened && opened.error().error.kind == ErrorKind::BackendTimeout) {
        logBreak(attempt, server, "item-queued-too-long", opened.error().error.message);
        co_return AttemptEnd::Crowded;
    }
    if (!opened) {
        logBreak(attempt, server, "item-not-answered", opened.error().error.message);
        co_return AttemptEnd::Interrupted;
    }
    auto& stream = *opened.value();
    auto end = judgeHead(context, attempt, stream.head());
    if (end == AttemptEnd::Whole)
        end = co_await readEvents(context, servers, attempt, server, stream);
    else
        co_await readToEnd(stream);
    co_return attempt.control.isCancelled() ? AttemptEnd::Cancelled : end;
}

} // namespace topaztack
