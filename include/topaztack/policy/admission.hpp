#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/policy/fair_queue.hpp>
#include <topaztack/policy/send_limit.hpp>

/// @file
/// Whether a request runs now, waits for a server or is refused, while a pool lacks capacity. Pure functions without
/// I/O.

namespace topaztack {

/// @brief The work that a pool took from this VM of late, in seconds of work per second, averaged over about a second.
struct DrainRate {
    double work { 0 };
    std::optional<TimePoint> startedAt;
    TimePoint updatedAt;
};

void recordDrained(DrainRate& drain, Duration work, TimePoint now);

/// @return 0 if nothing was taken of late.
double drainPerSecond(const DrainRate& drain, TimePoint now);

/// @brief Moving average of the time in which servers answered requests; the default before the first one.
struct ServiceTime {
    double seconds { 0 };
    /// Moving average of the deviation from it.
    double deviationSeconds { 0 };
};

void recordServiceTime(ServiceTime& known, Duration measured);

/// @param latencyObjective of the route; its sixth is expected before an answer was measured.
Duration expectedServiceTime(const ServiceTime& known, Duration latencyObjective);

/// @brief Until when a request may wait: its objective less the time that most answers take. Under overload the
/// requests that are served are those that waited longest, so half of them would be late with the expected time alone.
TimePoint latestStart(const ServiceTime& known, Duration latencyObjective, TimePoint arrivedAt);

/// @brief The work that a workspace asked for at this VM of late, in seconds of work per second.
struct WorkspaceDemand {
    DrainRate arrived;
    /// The work that servers did for it.
    DrainRate served;
    /// When other VMs last told of its demand.
    TimePoint heardAt;
};

/// @brief What a VM knows of the waiting requests of one pool.
struct PoolQueue {
    FairQueue waiting;
    std::map<WorkspaceName, SendLimit> limits;
    /// Workspaces of which a request was refused since the last of their results.
    std::set<WorkspaceName> refused;
    DrainRate drain;
    /// For each workspace that was refused: when its share of the pool has served the requests refused so far.
    std::map<WorkspaceName, TimePoint> promisedUntil;
    std::map<WorkspaceName, WorkspaceDemand> demands;
    /// When a request last could not run at once.
    std::optional<TimePoint> lackedRoomAt;
};

/// @brief Counts a request that arrived, whatever becomes of it.
void recordArrival(PoolQueue& pool, const WorkspaceName& workspace, Duration work, TimePoint now);

/// @brief What all VMs together know of a workspace at a pool that lacks room, in seconds of work per second.
struct TotalUse {
    std::uint64_t rank { 0 };
    double demand { 0 };
    double served { 0 };
    /// What the workspace may have: see setLevels().
    double level { 0 };
};

/// @brief The max-min fair level: workspaces that ask for less get all of it, the others get the level.
/// @complexity O(n log n) in the workspaces.
double fairLevel(std::vector<double> demands, double capacity);

/// @brief Sets the level of each workspace: those of the most urgent rank share what the pool serves, those of the next
/// rank what is left.
/// @complexity O(n log n) in the workspaces.
void setLevels(std::map<WorkspaceName, TotalUse>& workspaces);

/// @brief Takes in what all VMs know of a workspace, so that it gets no larger share by sending to many VMs: its
/// requests here count for more, and they are limited if it has more than the level.
void applyTotalUse(PoolQueue& pool, const WorkspaceName& workspace, const TotalUse& total, TimePoint now);

/// @brief Records how a request that was sent ended.
/// @param took time at the server, if answered.
void recordResult(PoolQueue& pool, const WaitingRequest& request, SendOutcome outcome, Duration took,
    Duration latencyObjective, TimePoint now);

/// @brief The part of the workspace's requests that this VM gets; 1 if not known.
double weightOf(const PoolQueue& pool, const WorkspaceName& workspace);

/// @brief Whether servers of the pool lacked room of late: a request had to wait, or its limit is in force.
bool lacksRoom(const PoolQueue& pool, TimePoint now);

/// @brief When the next request of the workspace may be sent; see nextSendAt() of a SendLimit.
TimePoint nextSendAt(const PoolQueue& pool, const WaitingRequest& request, TimePoint now);

/// @brief When the first waiting request may be sent, or is late.
/// @complexity linear in the workspaces that wait.
TimePoint nextEventAt(const PoolQueue& pool, TimePoint now);

/// @brief Drops what is known of workspaces without requests of late, and of refusals whose time has passed.
void expire(PoolQueue& pool, TimePoint now);

enum class AdmissionVerdict : std::uint8_t {
    /// Nobody waits and the limit allows it: a server is to be asked.
    Run,
    Wait,
    Refuse,
};

struct AdmissionDecision {
    AdmissionVerdict verdict { AdmissionVerdict::Run };
    Duration expectedWait {};
    /// The part of the pool that the workspace gets while others wait.
    double share { 1 };
    /// Set with Refuse.
    std::chrono::milliseconds retryAfter { 0 };
    /// Set with Wait if the queue is too long: the request that gives way.
    std::optional<std::uint64_t> displaced;
};

/// @brief Bounds of Retry-After.
inline constexpr std::chrono::milliseconds minRefusalRetryAfter { 100 };
inline constexpr std::chrono::milliseconds maxRefusalRetryAfter { 10000 };

/// @brief Decides on a request that arrives.
/// @param hasServer false if a server was asked and none took it.
/// @complexity as workAhead().
AdmissionDecision decideAdmission(
    PoolQueue& pool, const WaitingRequest& arriving, bool hasServer, TimePoint now, Random& random);

/// @brief Time after which a refused request should come back: when the share of its workspace has served what waits
/// and what was refused before, and up to as much again, so that not all come back at once.
std::chrono::milliseconds retryAfter(PoolQueue& pool, const WaitingRequest& refused, TimePoint now, Random& random);

} // namespace topaztack
