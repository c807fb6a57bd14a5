#pragma once

#include <topaztack/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

/// @file
/// Rules for the events of a generation, whether a caller or a job receives them. The functions are pure.

namespace topaztack {

/// The number of the first event of a generation.
inline constexpr std::uint64_t firstEventNumber = 1;

/// Bytes that may arrive without an event being complete; a server that sends more is not sending events.
inline constexpr std::size_t maxEventSize = 1024 * 1024;

/// @brief Whether an event follows the last one; it may neither be missing nor come twice.
/// @param last number of the last event; empty before the first.
bool isNextEvent(std::optional<std::uint64_t> last, std::uint64_t number);

/// @brief Checks an event that is to become a part of a text. Texts are stored and returned as JSON, which holds UTF-8
/// only.
/// @param last number of the last event; empty before the first.
/// @return what is wrong with it; nothing if it may be appended.
std::optional<std::string_view> checkTextEvent(
    std::optional<std::uint64_t> last, std::uint64_t number, std::string_view data);

/// @brief Time that may pass between two events before the server counts as stalled. Bytes that complete no event don't
/// extend it; a server that is slow throughout has more.
/// @param interval mean time between two events of the server or the stream, whichever is longer; 0 if unknown.
Duration eventTimeLimit(Duration interval);

/// @brief Time for the first event of a stream for which a caller waits, while another server may be tried.
/// @param objective the route's objective for the first event.
/// @param interval mean time between two events of the server; 0 if unknown.
Duration firstEventTimeLimit(Duration objective, Duration interval);

/// @brief How long a generation waits before it is resumed after this many events in a row that no text can hold. After
/// the first it is resumed at once; if other servers send such events in the same place, it has to go on slowly, so
/// that it doesn't keep the servers from sound ones.
Duration pauseAfterRefusedEvents(std::size_t events);

} // namespace topaztack
