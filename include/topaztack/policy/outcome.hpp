#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// @file
/// What every answer says about its request.

namespace topaztack {

/// @brief The value of the header `Topaztack-Outcome`.
enum class Outcome : std::uint8_t {
    /// A backend server's answer is relayed, whatever its status.
    Ran,
    /// There is proof that no backend server began the request.
    NotRun,
    /// Neither can be proved.
    Unknown,
};

/// @brief Whether asking again with the same key can settle an unknown outcome.
enum class Settling : std::uint8_t {
    AskAgain,
    Never,
};

/// @brief Classes of the queues before backend servers, most urgent first.
enum class RequestClass : std::uint8_t {
    Booking,
    Straggler,
    Rollout,
};

inline constexpr std::string_view outcomeHeader = "Topaztack-Outcome";
inline constexpr std::string_view settlingHeader = "Topaztack-Settling";
inline constexpr std::string_view keyHeader = "Idempotency-Key";
inline constexpr std::string_view notRunHeader = "Topaztack-Not-Run";
inline constexpr std::string_view deadlineHeader = "Topaztack-Deadline-Ms";
inline constexpr std::string_view requestIdHeader = "Topaztack-Request-Id";
inline constexpr std::string_view leavingHeader = "Topaztack-Leaving";

/// @brief Prints `ran`, `not-run` or `unknown`.
std::string_view outcomeName(Outcome outcome);

/// @brief Reads what `outcomeName` printed.
std::optional<Outcome> parseOutcome(std::string_view text);

} // namespace topaztack
