#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

/// @file
/// The order in which waiting requests of several workspaces are served: by rank, then start-time fair queueing between
/// workspaces by expected work, then the earliest objective within a workspace. Pure functions without I/O.

namespace topaztack {

/// @brief One request that waits for a server.
struct WaitingRequest {
    WorkspaceName workspace;
    /// 0 is the most urgent.
    std::uint64_t rank { 0 };
    /// The time that a server is expected to need for it.
    Duration work {};
    /// From this time on it can no longer be served within its objective.
    TimePoint latestStart;
};

/// @brief The waiting requests of one pool.
struct FairQueue {
    /// The waiting requests of one workspace and rank.
    struct Flow {
        /// Virtual time at which its next request starts: the flow with the lowest one is served next.
        double start { 0 };
        Duration work {};
        /// By latest start, then in the order of arrival.
        std::set<std::pair<TimePoint, std::uint64_t>> order;
    };

    /// The flows of one rank.
    struct Level {
        /// Start of the request that was served last, in seconds of work.
        double virtualTime { 0 };
        /// Includes flows without waiting requests whose start is ahead of the virtual time.
        std::map<WorkspaceName, Flow> flows;
        /// Flows with waiting requests, by start.
        std::set<std::pair<double, WorkspaceName>> waiting;
    };

    std::map<std::uint64_t, Level> levels;
    std::map<std::uint64_t, WaitingRequest> requests;
    std::set<std::pair<TimePoint, std::uint64_t>> byLatestStart;
    /// Work of a workspace's requests counts this many times, for one that uses the pool through several VMs; 1 for
    /// those not listed.
    std::map<WorkspaceName, double> costFactors;
    std::uint64_t lastNumber { 0 };
};

/// @brief A request that left the queue, with its number.
struct FairQueueEntry {
    std::uint64_t number { 0 };
    WaitingRequest request;
};

/// @brief Limit of the requests that one VM holds for one pool.
inline constexpr std::size_t maxQueueLength = 512;

/// @brief Adds a request.
/// @return the number that identifies it in the queue.
/// @complexity logarithmic in the requests and workspaces that wait.
std::uint64_t enqueue(FairQueue& queue, const WaitingRequest& request);

/// @brief Removes the request that is served next and counts its work towards its workspace's share.
/// @param maySend whether a workspace's first request may be sent now; workspaces for which it may not are passed over.
/// @return empty if none waits that may be sent.
/// @complexity logarithmic in the requests that wait, linear in the workspaces that are passed over.
std::optional<FairQueueEntry> takeNext(
    FairQueue& queue, const std::function<bool(const WaitingRequest&)>& maySend = {});

/// @brief The first waiting request of each workspace.
/// @complexity linear in the workspaces that wait.
std::vector<WaitingRequest> firstRequests(const FairQueue& queue);

/// @brief Puts back a request that takeNext() returned and no server ran. Its work no longer counts.
/// @complexity logarithmic in the requests and workspaces that wait.
void putBack(FairQueue& queue, const FairQueueEntry& entry);

/// @brief Removes a request that is not to be served; its work doesn't count.
/// @return false if it doesn't wait.
/// @complexity logarithmic in the requests and workspaces that wait.
bool removeRequest(FairQueue& queue, std::uint64_t number);

/// @brief Removes the requests that can't be served within their objectives any more.
/// @return their numbers.
/// @complexity logarithmic for each removed request.
std::vector<std::uint64_t> dropLate(FairQueue& queue, TimePoint now);

/// @brief The earliest time at which a waiting request can't be in time any more; empty if none waits.
std::optional<TimePoint> nextLateAt(const FairQueue& queue);

/// @brief The request that gives way if there are too many: of the least urgent rank, the last one of the workspace
/// with the most waiting work.
/// @return its number; empty if none waits.
/// @complexity linear in the workspaces that wait.
std::optional<std::uint64_t> leastEntitled(const FairQueue& queue);

/// @brief Work of waiting requests that is served before a request that arrives now: everything of more urgent ranks,
/// and of each workspace of its rank as much as its own workspace gets up to then.
/// @param maySend whether a workspace's first request may be sent now; workspaces for which it may not are not ahead.
/// @complexity linear in the workspaces that wait, constant in their requests.
Duration workAhead(const FairQueue& queue, const WaitingRequest& arriving,
    const std::function<bool(const WaitingRequest&)>& maySend = {});

/// @brief Work of the workspace's waiting requests of a rank.
Duration waitingWork(const FairQueue& queue, std::uint64_t rank, const WorkspaceName& workspace);

/// @brief The part of the pool's work that a workspace of the rank gets while all that wait now go on to wait: one
/// over their number, itself included.
/// @complexity logarithmic in the workspaces.
double shareOf(const FairQueue& queue, std::uint64_t rank, const WorkspaceName& workspace);

} // namespace topaztack
