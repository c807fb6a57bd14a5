#pragma once

#include <topaztack/base/time.hpp>

/// @file
/// The schedule of a planned stop: until when requests are taken, and which of those that still arrive can be finished.

namespace topaztack {

/// @brief When the steps of a planned stop are due.
struct DrainSchedule {
    /// The load balancer sends no new connections from here on.
    TimePoint outOfRotationAt;
    /// Requests that still run are given up, and answered as possibly run.
    TimePoint abandonAt;
    /// What has no answer yet, for whatever reason, gets one in place of its handler's.
    TimePoint answerAt;
    /// The process ends.
    TimePoint endsAt;
};

/// @brief Schedules a stop.
/// @param now when the process was told to stop.
/// @param shutdownTime time after which the platform kills the process.
DrainSchedule planDrain(TimePoint now, Duration shutdownTime);

/// @brief Whether a request that arrives now may be taken. While new connections are still sent here, all are; later
/// only those that end before the process does, since their callers are served by another VM at once.
/// @param requestEnd the request's time limit.
bool mayTakeRequest(const DrainSchedule& drain, TimePoint now, TimePoint requestEnd);

} // namespace topaztack
