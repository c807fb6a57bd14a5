#pragma once

#include <topaztack/policy/outcome.hpp>

#include <cstdint>
#include <memory>

/// @file
/// The automaton of one request, from which its outcome is derived. The transition table stands in the source file.

namespace topaztack {

/// @brief What happens to a request.
enum class RequestEvent : std::uint8_t {
    /// An attempt starts: bytes may be written from here on.
    AttemptStarted,
    /// The attempt failed before any byte was written.
    NothingWritten,
    /// The backend server said, in the way that its pool names, that it did not run the request.
    ReportedNotRun,
    /// Bytes were written and no whole answer came back.
    ResponseLost,
    /// A whole answer came back.
    Answered,
    /// No further attempt will be made.
    GivenUp,
};

/// @brief Follows one request through its attempts.
class RequestStateMachine {
public:
    /// @param isRepeatable whether the request may run more than once.
    explicit RequestStateMachine(bool isRepeatable);
    ~RequestStateMachine();
    RequestStateMachine(RequestStateMachine&&) noexcept;
    RequestStateMachine& operator=(RequestStateMachine&&) = delete;
    RequestStateMachine(const RequestStateMachine&) = delete;
    RequestStateMachine& operator=(const RequestStateMachine&) = delete;

    /// @brief Takes one event; an event that has no place in the current state changes nothing.
    void process(RequestEvent event);

    /// @brief What an answer given now may truthfully say.
    Outcome outcome() const;

    /// @brief Whether a further attempt can't break the promise of running at most once.
    bool mayAttempt() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace topaztack
