#include "item_attempt.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/policy/event_stream.hpp>

#include <array>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// Time limit for the head of a response. An engine that queues a request for longer has more requests than slots,
    /// and another engine may have room.
    constexpr Duration responseHeadTimeout = 600ms;
    /// Time limit for the body of a refusal.
    constexpr Duration refusalBodyTimeout = 100ms;
    /// How long a generation stays at a server before it may be moved to a faster one, and how often this is checked.
    constexpr Duration moveCheckInterval = 300ms;

    constexpr unsigned statusServerError = 500;
    constexpr unsigned statusUnprocessable = 422;

    struct RefusedEvent {
        AttemptOutcome outcome { AttemptOutcome::Malformed };
        std::string reason;
    };

    /// What an attempt keeps from one event to the next.
    struct EventState {
        /// The version that generates the events now.
        std::optional<WeightVersion> version;
        /// Bytes of the text and its versions as JSON.
        std::size_t textBytes { 0 };
        std::uint64_t count { 0 };
    };

    /// @return nothing if the event was appended.
    std::optional<RefusedEvent> takeEvent(ItemProgress& text, const GenerationEvent& event, EventState& state)
    {
        if (event.version)
            state.version = event.version;
        if (const auto problem = checkTextEvent(text.lastEvent, event.number, event.data))
            return RefusedEvent { AttemptOutcome::Malformed, std::string(*problem) };
        if (!state.version)
            return RefusedEvent { AttemptOutcome::Malformed, "no weight version is known for it" };
        if (!appendEvent(text, event.number, event.data, *state.version, state.textBytes))
            return RefusedEvent { AttemptOutcome::TooLong, "the text would be too long to be stored" };
        ++state.count;
        return std::nullopt;
    }

    void logInterruption(
        const ItemAttempt& attempt, const ServerRecord& server, std::string_view event, std::string problem)
    {
        const auto& last = attempt.text.lastEvent;
        logEvent(LogLevel::Info, event,
            { { "job", attempt.job.id.value() }, { "item", attempt.item.id.value() }, { "server", server.name.value() },
                { "last_event", last ? std::to_string(*last) : "none" }, { "error", std::move(problem) } });
    }

    /// The outcome that the head of a response decides; Whole if events follow.
    AttemptOutcome classifyResponse(
        const ServerResponseHead& answer, const ItemAttempt& attempt, const HttpResponse& head)
    {
        if (answer.isOtherServer)
            return AttemptOutcome::Replaced;
        if (answer.saysNotRun)
            return AttemptOutcome::Refused;
        if (answer.serverStamp.empty())
            return AttemptOutcome::Interrupted;
        if (head.status == statusUnprocessable)
            return AttemptOutcome::NeverDone;
        if (head.status == statusServerError)
            return AttemptOutcome::Failed;
        if (!isEventStream(head))
            return AttemptOutcome::Interrupted;
        // A resumed generation that has no events left states no version.
        const bool isTooOld = answer.version && *answer.version < attempt.job.oldestVersion;
        return isTooOld ? AttemptOutcome::Refused : AttemptOutcome::Whole;
    }

    /// Appends the complete events that the reader holds to the text.
    /// @return the outcome of the attempt if one was refused.
    std::optional<AttemptOutcome> takeEvents(GatewayContext& context, const ItemAttempt& attempt,
        const ServerRecord& server, SseReader& reader, EventState& state)
    {
        while (const auto event = reader.nextEvent()) {
            const auto decoded = context.protocol.decodeEvent(*event);
            auto refused = decoded ? takeEvent(attempt.text, decoded.value(), state)
                                   : RefusedEvent { AttemptOutcome::Malformed, decoded.error().message };
            if (refused) {
                context.metrics
                    .counter("topaztack_item_events_refused_total",
                        "Events of generations that could not be appended to their text")
                    .add();
                logInterruption(attempt, server, "event-refused", std::move(refused->reason));
                return refused->outcome;
            }
            attempt.text.softwareVersion = server.softwareVersion;
            attempt.need.softwareVersion = server.softwareVersion;
        }
        return std::nullopt;
    }

    asio::awaitable<AttemptOutcome> readEvents(GatewayContext& context, ServerTable& servers, ItemAttempt attempt,
        const ServerRecord& server, HttpStream& stream, TimePoint sentAt)
    {
        EventState state;
        state.version = context.protocol.decodeAnswer(stream.head()).version;
        state.textBytes = jsonSize(attempt.text);
        SseReader reader;
        BudgetShare share(context.httpClient.answerBudget());
        auto eventAt = Clock::now();
        auto nextMoveCheckAt = eventAt + moveCheckInterval;
        while (true) {
            auto piece = co_await stream.read(eventAt + eventTimeLimit(servers.eventInterval(server.name)));
            if (!piece) {
                logInterruption(attempt, server, "item-broke-off", piece.error().error.message);
                co_return AttemptOutcome::Interrupted;
            }
            if (piece.value().empty())
                break;
            servers.recordActivity(server.name);
            reader.feed(piece.value());
            const auto before = state.count;
            const auto refused = takeEvents(context, attempt, server, reader, state);
            if (refused) {
                stream.cancel();
                co_return *refused;
            }
            const auto held = reader.sinceLastEvent();
            if (held > maxEventSize || !share.resize(held) || reader.hasForeignText()) {
                stream.cancel();
                logInterruption(attempt, server, "item-broke-off", "its bytes make no event");
                co_return AttemptOutcome::Interrupted;
            }
            const auto now = Clock::now();
            const auto count = state.count;
            if (count > 0 && before == 0)
                servers.recordFirstEvent(server, now - sentAt);
            if (count > before && before > 0)
                servers.recordEventInterval(server.name, (now - eventAt) / (count - before));
            if (count > before)
                eventAt = now;
            if (now < nextMoveCheckAt)
                continue;
            nextMoveCheckAt = now + moveCheckInterval;
            servers.updateTokenReservation(server.name, attempt.need, attempt.expectedTokens());
            if (servers.isWorthMoving(server, attempt.need, attempt.mayMove)) {
                stream.cancel();
                logInterruption(attempt, server, "item-moved", "another server is faster");
                co_return AttemptOutcome::Moved;
            }
        }
        const bool isWhole = reader.pending() == 0 && attempt.text.lastEvent;
        if (!isWhole)
            logInterruption(attempt, server, "item-broke-off", "the stream ended within an event or without any");
        co_return isWhole ? AttemptOutcome::Whole : AttemptOutcome::Interrupted;
    }

    /// Reads the rest of a body: a connection is reused only if its response was read to the end.
    asio::awaitable<void> drainBody(HttpStream& stream)
    {
        const auto deadline = Clock::now() + refusalBodyTimeout;
        while (true) {
            const auto piece = co_await stream.read(deadline);
            if (!piece || piece.value().empty())
                co_return;
        }
    }

} // namespace

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    static constexpr std::array<std::string_view, 12> names { "whole", "interrupted", "malformed", "too-long", "moved",
        "failed", "never-done", "crowded", "refused", "not-admitted", "replaced", "cancelled" };
    return names.at(static_cast<std::size_t>(outcome));
}

ServerOutcome toServerOutcome(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Whole:
    case AttemptOutcome::NeverDone:
        return ServerOutcome::Answered;
    case AttemptOutcome::Interrupted:
    case AttemptOutcome::Malformed:
    case AttemptOutcome::TooLong:
    case AttemptOutcome::Failed:
        return ServerOutcome::Failed;
    case AttemptOutcome::Crowded:
    case AttemptOutcome::Refused:
        return ServerOutcome::Refused;
    case AttemptOutcome::Replaced:
        return ServerOutcome::Replaced;
    case AttemptOutcome::Moved:
    case AttemptOutcome::NotAdmitted:
    case AttemptOutcome::Cancelled:
        break;
    }
    return ServerOutcome::Cancelled;
}

asio::awaitable<AttemptOutcome> attemptItem(
    GatewayContext& context, ServerTable& servers, ItemAttempt attempt, const ServerRecord& server)
{
    if (!co_await servers.admit(server))
        co_return AttemptOutcome::NotAdmitted;
    if (attempt.control.isCancelled())
        co_return AttemptOutcome::Cancelled;
    const auto sentAt = Clock::now();
    auto request = context.protocol.encodeItemRequest(attempt.job, attempt.item, server, attempt.text.lastEvent);
    CallOptions options;
    options.control = &attempt.control;
    options.accepts = [&context, &attempt](const HttpResponse& response) {
        const auto answered = context.protocol.decodeAnswer(response).request.value();
        return answered.empty() || answered == attempt.item.id.value();
    };
    auto opened = co_await context.httpClient.open(
        server.endpoint, std::move(request), Clock::now() + responseHeadTimeout, std::move(options));
    if (attempt.control.isCancelled())
        co_return AttemptOutcome::Cancelled;
    if (!opened && opened.error().error.kind == ErrorKind::BackendTimeout) {
        logInterruption(attempt, server, "item-queued-too-long", opened.error().error.message);
        co_return AttemptOutcome::Crowded;
    }
    if (!opened) {
        logInterruption(attempt, server, "item-not-answered", opened.error().error.message);
        co_return AttemptOutcome::Interrupted;
    }
    auto& stream = *opened.value();
    const auto answer = context.protocol.decodeAnswer(stream.head());
    servers.recordAnswer(server, answer, sentAt);
    auto outcome = classifyResponse(answer, attempt, stream.head());
    if (outcome == AttemptOutcome::Whole)
        outcome = co_await readEvents(context, servers, attempt, server, stream, sentAt);
    else
        co_await drainBody(stream);
    co_return attempt.control.isCancelled() ? AttemptOutcome::Cancelled : outcome;
}

} // namespace topaztack
