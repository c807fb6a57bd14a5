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
/// The queue of requests that wait for a slot of one pool in one VM. Classes are served in order of priority, the
/// trainers of a class by weighted fair queueing, the requests of a trainer in order of arrival.

namespace topaztack {

inline constexpr std::size_t requestClasses = 3;

/// @brief A request that waits for a slot.
struct QueuedRequest {
    std::uint64_t id { 0 };
    RequestClass requestClass { RequestClass::Rollout };
    /// The trainer whose share of the class it uses; empty for callers' own requests.
    TrainerName trainer;
    std::uint64_t weight { 1 };
    TimePoint deadline;
    TimePoint arrived;
};

/// @brief One trainer's requests of a class. Trainers are served in order of virtual time (start-time fair queueing).
struct TrainerQueue {
    std::deque<QueuedRequest> requests;
    double virtualTime { 0 };
};

/// @brief The requests of one class, by trainer.
struct ClassQueue {
    std::map<TrainerName, TrainerQueue> trainers;
    /// Virtual time of the request served last.
    double virtualTime { 0 };
    std::size_t size { 0 };
};

/// @brief The requests of all classes; indexed by `RequestClass`.
struct RequestQueue {
    std::array<ClassQueue, requestClasses> classes;
    std::size_t size { 0 };
};

/// @brief Counts the requests that are served before a new one of a class.
std::size_t countQueuedAhead(const RequestQueue& queue, RequestClass requestClass);

/// @brief Appends a request to the queue of its class and trainer.
void pushRequest(RequestQueue& queue, QueuedRequest request);

/// @brief Removes and returns the next request that `isServable` accepts, from the most urgent class that has one.
/// @param isServable called for the head of each trainer's queue; if it is false, the other trainers are tried.
/// @return nothing if no head is servable.
std::optional<QueuedRequest> popRequest(
    RequestQueue& queue, const std::function<bool(const QueuedRequest&)>& isServable);

/// @brief Removes and returns the newest request of the least urgent class below `requestClass`, to make room for one
/// of that class.
/// @return nothing if no less urgent request waits.
std::optional<QueuedRequest> evictLessUrgent(RequestQueue& queue, RequestClass requestClass);

/// @brief Removes and returns a request; nothing if it is not queued.
std::optional<QueuedRequest> removeRequest(
    RequestQueue& queue, RequestClass requestClass, const TrainerName& trainer, std::uint64_t id);

} // namespace topaztack
