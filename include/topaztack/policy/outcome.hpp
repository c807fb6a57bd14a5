#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// @file
/// What every response states about its request: headers and their values.

namespace topaztack {

/// @brief The value of the header `Topaztack-Outcome`.
enum class Outcome : std::uint8_t {
    /// A backend server's response is relayed, whatever its status.
    Ran,
    /// It is proven that no backend server started the request.
    NotRun,
    /// Neither is proven.
    Unknown,
};

/// @brief The value of the header `Topaztack-Settling`: whether repeating the request with the same idempotency key can
/// resolve an unknown outcome.
enum class Settling : std::uint8_t {
    AskAgain,
    Never,
};

/// @brief Priority classes of queued requests, most urgent first.
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

/// @brief Parses what `outcomeName` printed.
std::optional<Outcome> parseOutcome(std::string_view text);

} // namespace topaztack
