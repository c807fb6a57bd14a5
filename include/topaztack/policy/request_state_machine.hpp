#pragma once

#include <topaztack/policy/outcome.hpp>

#include <cstdint>
#include <memory>

/// @file
/// The state machine of one request, from which its outcome is derived. The transition table is in the source file.

namespace topaztack {

/// @brief An event in the life of a request.
enum class RequestEvent : std::uint8_t {
    /// An attempt starts: bytes may be written from here on.
    AttemptStarted,
    /// The attempt failed before any byte was written.
    NothingWritten,
    /// The backend server reported, in the way configured for its pool, that it did not run the request.
    ReportedNotRun,
    /// Bytes were written and no complete response was received.
    ResponseLost,
    /// A complete response was received.
    Answered,
    /// No further attempt will be made.
    GivenUp,
};

/// @brief Tracks one request through its attempts.
class RequestStateMachine {
public:
    /// @param isIdempotent whether the request may run more than once.
    explicit RequestStateMachine(bool isIdempotent);
    ~RequestStateMachine();
    RequestStateMachine(RequestStateMachine&&) noexcept;
    RequestStateMachine& operator=(RequestStateMachine&&) = delete;
    RequestStateMachine(const RequestStateMachine&) = delete;
    RequestStateMachine& operator=(const RequestStateMachine&) = delete;

    /// @brief Processes one event. An event without a transition from the current state is ignored.
    void process(RequestEvent event);

    /// @brief The outcome that a response sent now may state.
    Outcome outcome() const;

    /// @brief Whether a further attempt keeps the guarantee: a request that is not idempotent runs at most once.
    bool mayAttempt() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace topaztack
