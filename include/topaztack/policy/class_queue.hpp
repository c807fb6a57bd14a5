#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/policy/outcome.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

/// @file
/// Requests that wait for a slot of one pool in one VM: by class, within a class by trainers' weights, within a trainer
/// in order of arrival.

namespace topaztack {

inline constexpr std::size_t requestClasses = 3;

/// @brief A request that waits.
struct QueuedRequest {
    std::uint64_t id { 0 };
    RequestClass requestClass { RequestClass::Rollout };
    /// Whose share of the class it counts to; empty for callers' own requests.
    TrainerName trainer;
    std::uint64_t weight { 1 };
    TimePoint deadline;
    TimePoint arrived;
};

/// @brief One trainer's requests of a class; served in order of virtual time (start-time fair queueing).
struct TrainerQueue {
    std::deque<QueuedRequest> requests;
    double virtualTime { 0 };
};

struct ClassQueue {
    std::map<TrainerName, TrainerQueue> trainers;
    double virtualTime { 0 };
    std::size_t size { 0 };
};

struct RequestQueue {
    std::array<ClassQueue, requestClasses> classes;
    std::size_t size { 0 };
};

/// @brief Requests that are served before a new one of a class.
std::size_t countQueuedAhead(const RequestQueue& queue, RequestClass requestClass);

void pushRequest(RequestQueue& queue, QueuedRequest request);

/// @brief Takes the next request that `isServable` accepts, the most urgent class first.
/// @param isServable asked for the head of each trainer's queue; a class's other trainers are tried if it refuses.
std::optional<QueuedRequest> popRequest(
    RequestQueue& queue, const std::function<bool(const QueuedRequest&)>& isServable);

/// @brief Takes the request that came last in the least urgent class below `requestClass`, to make room.
std::optional<QueuedRequest> evictLessUrgent(RequestQueue& queue, RequestClass requestClass);

/// @brief Takes a request out; nothing if it is not there.
std::optional<QueuedRequest> removeRequest(
    RequestQueue& queue, RequestClass requestClass, const TrainerName& trainer, std::uint64_t id);

} // namespace topaztack
