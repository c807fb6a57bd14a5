#pragma once

#include <optional>
#include <string>
#include <string_view>

/// @file
/// Server-sent events: a reader for pieces cut anywhere, and a printer.

namespace topaztack {

/// @brief Collects pieces of a stream and gives out the data of whole events.
class SseReader {
public:
    /// @brief Adds a piece.
    void feed(std::string_view piece);

    /// @brief The data of the next whole event; nothing until more is fed. Comments and other fields are passed over.
    std::optional<std::string> next();

    /// @brief Bytes held that make no whole event yet.
    std::size_t pending() const { return this->buffer.size() - this->start; }

private:
    std::string buffer;
    std::size_t start { 0 };
};

/// @brief Prints one event with this data; the data must hold no line breaks.
std::string sseEvent(std::string_view data);

} // namespace topaztack
