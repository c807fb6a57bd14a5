#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Numbered errors, grouped by kind, and the result type that carries them. docs/ERRORS.md explains each.

namespace topaztack {

/// @brief What went wrong. The hundreds digit is the group; docs/ERRORS.md has a section for each value.
enum class ErrorKind : std::uint16_t {
    // 1xx: input that can't be accepted
    BadRequest = 101,
    RequestTooLarge = 102,
    UnknownPool = 103,
    UnknownTrainer = 104,
    UnknownPath = 105,
    KeyReused = 106,
    BadDocument = 107,
    BadSettings = 108,
    BadFrame = 109,
    SlowCaller = 110,
    CallerNotIdentified = 111,
    // 2xx: limits
    Overloaded = 201,
    CallerLimit = 202,
    DeadlineTooShort = 203,
    RetryBudgetSpent = 204,
    QueueFull = 205,
    // 3xx: backend servers
    NoBackendServer = 301,
    BackendUnreachable = 302,
    BackendBroke = 303,
    BackendTimeout = 304,
    BackendAnswerMalformed = 305,
    RequestHeld = 306,
    // 4xx: the platform's services
    PlatformUnreachable = 401,
    PlatformAmbiguous = 402,
    PlatformConflict = 403,
    PlatformThrottled = 404,
    ObjectMissing = 405,
    // 5xx: other VMs
    HomeUnreachable = 501,
    IncarnationGone = 502,
    RetentionOver = 503,
    PeerUnreachable = 504,
    StillRunning = 505,
    // 6xx: control
    ConfigConflict = 601,
    LeaseLost = 602,
    FencedOff = 603,
    NotAuthorised = 604,
    StaleWeights = 605,
    UncertainSpan = 606,
    // 7xx: this VM
    ShuttingDown = 701,
    NotReady = 702,
    Internal = 703,
};

/// @brief An error of one kind. `message` says what is wrong, `remedy` what to do about it.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string message;
    std::string remedy;

    bool operator==(const Error&) const = default;
};

/// @brief A value or an Error. Reading the absent alternative ends the process.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// @brief The kind's name as printed in JSON and logs, such as `queue-full`.
std::string_view kindName(ErrorKind kind);

/// @brief The remedy printed when the place of the error has none that is more precise.
std::string_view defaultRemedy(ErrorKind kind);

/// @brief Makes an error with the kind's default remedy.
Error makeError(ErrorKind kind, std::string message);

/// @brief Makes an error with a remedy of its own.
Error makeError(ErrorKind kind, std::string message, std::string remedy);

/// @brief Prints `kind: message; remedy`.
std::string toText(const Error& error);

} // namespace topaztack
