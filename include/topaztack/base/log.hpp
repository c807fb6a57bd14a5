#pragma once

#include <topaztack/base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// @file
/// Logs: one line of key=value pairs for each event, on standard output.

namespace topaztack {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogField {
    std::string_view key;
    std::string value;
};

/// @brief Opens the log; `process` and `incarnation` stand in every line. Lines are written by a thread of their own: a
/// reader that does not keep up costs lines, never time.
void openLog(std::string_view process, Incarnation incarnation, LogLevel least = LogLevel::Info);

/// @brief Writes what is queued, for this long at most, and closes the log.
void closeLog(std::chrono::milliseconds longest);

/// @brief Lines dropped because the reader did not keep up.
std::uint64_t droppedLogLines();

/// @brief Writes one line: time, level, event, process, incarnation, then the fields; values are quoted where needed.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// @brief Quotes a value as `logEvent` does: spaces, quotes, control characters and `=` are escaped.
std::string quoteLogValue(std::string_view value);

} // namespace topaztack
