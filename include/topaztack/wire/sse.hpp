#pragma once

#include <topaztack/wire/http.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Server-sent events: a reader for pieces cut anywhere, and a printer.

namespace topaztack {

/// @brief One `name: value` line of an event.
struct SseField {
    std::string name;
    std::string value;
};

/// @brief A whole event.
struct SseEvent {
    std::string id;
    /// The data lines, joined by line feeds.
    std::string data;
    /// Fields other than id and data, names as sent.
    std::vector<SseField> others;
};

/// @brief Collects pieces of a stream and gives out whole events.
class SseReader {
public:
    /// @brief Adds a piece.
    void feed(std::string_view piece);

    /// @brief The next whole event that has data; nothing until more is fed. Comments are passed over.
    std::optional<SseEvent> nextEvent();

    /// @brief The bytes of the event that nextEvent() returned last and of the comments before it, as received; after
    /// nextEvent() returned nothing, those of comments that no event has followed yet. Valid until the next call.
    std::string_view bytes() const;

    /// @brief The data of the next whole event; nothing until more is fed.
    std::optional<std::string> next();

    /// @brief Whether a whole block held text that no stream of events has: a line that is neither a field nor a
    /// comment, or fields of an event that has no data.
    bool hasForeignText() const { return this->isForeign; }

    /// @brief Bytes held that make no whole event yet.
    std::size_t pending() const { return this->buffer.size() - this->start; }

    /// @brief Bytes received since the last event. A sender may never complete another one, so callers limit them.
    std::size_t sinceLastEvent() const { return this->buffer.size() - (this->hasEvent ? this->start : this->first); }

private:
    std::optional<std::string_view> nextBlock();

    std::string buffer;
    /// End of the blocks that were read.
    std::size_t start { 0 };
    /// No block that begins at `start` ends before this place.
    std::size_t searched { 0 };
    /// Start of what bytes() returns.
    std::size_t first { 0 };
    /// Whether bytes() ends with an event.
    bool hasEvent { false };
    bool isForeign { false };
};

/// @brief Whether the head of a response announces events as they are: an error may have the status 200, too.
bool isEventStream(const HttpResponse& head);

/// @brief Prints one event with this data; the data must hold no line breaks.
std::string sseEvent(std::string_view data);

} // namespace topaztack
