#pragma once

#include <topaztack/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

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

/// @brief Time that may pass between two events before the server counts as stalled. Bytes that complete no event don't
/// extend it; a server that is slow throughout has more.
/// @param interval mean time between two events of the server or the stream, whichever is longer; 0 if unknown.
Duration eventTimeLimit(Duration interval);

/// @brief Time for the first event of a stream for which a caller waits, while another server may be tried.
/// @param objective the route's objective for the first event.
/// @param interval mean time between two events of the server; 0 if unknown.
Duration firstEventTimeLimit(Duration objective, Duration interval);

} // namespace topaztack
