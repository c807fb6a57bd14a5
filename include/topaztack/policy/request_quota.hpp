#pragma once

#include <topaztack/base/time.hpp>

#include <cstddef>
#include <optional>

/// @file
/// How VMs share the requests per second that a backend server takes from all of them together. For each server one VM
/// keeps a token bucket, and the others ask it before each request. The functions are pure.

namespace topaztack {

/// @brief What a server last stated about its limit.
struct LimitStatement {
    /// Requests per second from all VMs together; empty for no limit.
    std::optional<double> perSecond;
    /// When the statement was made at the earliest; the default precedes all others.
    TimePoint madeAt { TimePoint::min() };
};

/// @brief Takes in a statement if it is newer than the known one.
/// @return whether the limit changed.
bool applyStatement(LimitStatement& known, const LimitStatement& heard);

/// @brief The rate at which requests are sent to a server with this limit. It is above 0, since only an answer shows
/// that the limit has ended.
double admissibleRate(double perSecond);

/// @brief The requests that may be sent to one server.
struct RequestBudget {
    double tokens { 0 };
    /// Empty before the first use: a VM that begins to keep a budget doesn't know what was sent before.
    std::optional<TimePoint> filledAt;
};

/// @brief Takes one request from the budget.
/// @param rate requests per second with which the budget fills.
/// @return whether there was one.
bool takeRequest(RequestBudget& budget, double rate, TimePoint now);

/// @brief Takes one request that is sent in any case; the requests after it wait until the budget has recovered.
void chargeRequest(RequestBudget& budget, double rate, TimePoint now);

/// @brief Time after the last use of the budget until it holds a request.
Duration timeUntilRequest(const RequestBudget& budget, double rate);

/// @brief The part of the limit that a keeper may hand out. Those after the first one may be asked while it goes on, so
/// theirs are small.
/// @param rank its place in the order of rankKeepers(), from 0.
double keeperShare(std::size_t rank);

} // namespace topaztack
