#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/control/route_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// How many servers of a pool to order in each data centre. Pure functions without I/O; docs/design/pool-scaling.md.

namespace topaztack {

/// @brief The servers of a pool that one order is about: those of one kind in one data centre.
struct ServerGroup {
    DataCentre dataCentre;
    bool isReclaimable { false };

    auto operator<=>(const ServerGroup&) const = default;
};

/// @brief The listed servers of a group, each in one of the first five counts.
struct ServerGroupCount {
    std::uint64_t usable { 0 };
    /// Listed, but not serving yet.
    std::uint64_t starting { 0 };
    /// They serve at a fraction of the usual speed.
    std::uint64_t slow { 0 };
    /// They have been failing for longer than a passing disturbance lasts.
    std::uint64_t suspected { 0 };
    std::uint64_t leaving { 0 };
    /// Those of the leaving servers that the platform reclaims.
    std::uint64_t reclaimed { 0 };
};

/// @brief A trainer's step: an open job, or the last one that ended, which its next step resembles.
struct StepDemand {
    ModelName model;
    bool isOpen { true };
    /// All items.
    std::uint64_t items { 0 };
    /// Items that have no result yet, running ones included.
    std::uint64_t remaining { 0 };
    Duration target { 0 };
    /// Time until the results are due; negative if they are late.
    Duration timeLeft { 0 };
};

/// @brief What the deciding VM knows of a pool.
struct PoolObservation {
    std::map<ServerGroup, ServerGroupCount> servers;
    /// Requests that a server takes at once, a mean over the pool.
    double slotsPerServer { 1 };
    /// Callers' requests at servers and waiting for one, of all VMs.
    double running { 0 };
    double waiting { 0 };
    /// Callers' requests that were refused for lack of a server, and the time that one takes.
    double refusedPerSecond { 0 };
    Duration requestTime { 0 };
    std::vector<StepDemand> steps;
    /// Time that an item takes at an engine; 0 if unknown. Nothing is ordered then while steps are open.
    Duration itemTime { 0 };
    /// Items at the pool's engines now.
    double itemsInFlight { 0 };
    /// Models whose weights the pool's engines must hold at the same time.
    std::uint64_t models { 0 };
    /// VMs whose reports are expected, and those whose report is recent.
    std::uint64_t expectedReports { 0 };
    std::uint64_t freshReports { 0 };
    /// Age of what the store said of servers and jobs.
    Duration storeAge { 0 };
};

/// @brief Estimates the time that an item takes: items in flight, over time, divided by the items that finished.
struct ItemTimeEstimate {
    double inFlightSeconds { 0 };
    double finished { 0 };
    /// Items in flight when they were last recorded.
    double inFlight { 0 };
};

/// @brief Records the items in flight during a period and those that finished in it.
void recordItems(ItemTimeEstimate& estimate, double inFlight, std::uint64_t finished, Duration period);

/// @return 0 until enough items have finished: while a pool fills up, far more are in flight than have finished, which
/// says nothing about their time.
Duration itemTimeOf(const ItemTimeEstimate& estimate);

/// @brief What was ordered of a group.
struct GroupOrder {
    /// Number of servers that the platform is to keep; until the first order, the most that were listed.
    std::uint64_t count { 0 };
    /// Whether an order was made.
    bool isOrdered { false };
    /// Whether the platform accepted the last order. Until then the same order is repeated.
    bool isConfirmed { true };
    /// The count before the last order, which stays in force if the platform has no servers.
    std::uint64_t countBefore { 0 };
    /// Servers by which the count was raised and that may still be starting, and those listed when it was raised.
    std::uint64_t raisedBy { 0 };
    std::uint64_t listedAtRaise { 0 };
    TimePoint raisedAt;
    /// No new order is made before this time.
    TimePoint notBefore;
};

/// @brief The state of the decision for one pool. `groups` must outlive the deciding VM, those included of which
/// nothing was ordered: their servers may be lost when the next VM decides, and would count as none.
struct PoolScalingState {
    std::map<ServerGroup, GroupOrder> groups;
    struct Need {
        TimePoint at;
        /// As in ScalingDecision.
        double demand { 0 };
        double needed { 0 };
    };
    /// Nothing is ordered before this time: the servers of a deployment that starts are not all listed yet. Empty
    /// before the first decision.
    std::optional<TimePoint> settlesAt;
    /// Needs of the last decisions, over the time that a lower need must hold.
    std::vector<Need> needs;
    /// When the decisions without a gap began; empty before the first.
    std::optional<TimePoint> decidingSince;
    TimePoint decidedAt;
    TimePoint loweredAt;
};

/// @brief Why a decision is what it is.
enum class ScalingReason : std::uint8_t {
    /// What is there is between what is needed and the most that is kept.
    Enough,
    /// Nothing is known of earlier orders, and servers that are there may not be listed yet.
    Settling,
    /// Too few of the inputs are recent.
    InputsMissing,
    BelowMinimum,
    Shortage,
    /// Something is lacking that no data centre can supply now.
    NoneAvailable,
    Reclaimed,
    Excess,
};

std::string_view reasonName(ScalingReason reason);

struct ScalingDecision {
    ScalingReason reason { ScalingReason::Enough };
    /// Servers that carry the demand, those needed with the margin and the loss of a data centre, and those there or
    /// starting.
    double demand { 0 };
    double needed { 0 };
    double present { 0 };
    /// The orders to send now: the whole number for each group. Includes those that are not confirmed yet.
    std::map<ServerGroup, std::uint64_t> orders;
};

/// @brief How long a lower need must hold before servers are given up.
Duration scaleInDelay(const PoolScalingLimits& limits);

/// @brief Requests and generations that the pool should be able to run at once.
double concurrencyNeeded(const PoolObservation& seen);

/// @brief Decides what to order now and records it in `state`; each order must be followed by recordOrderAccepted() or
/// recordOrderRejected() once its answer is known. While the number of servers is between what is needed and 1.6 times
/// that, and no data centre is below its minimum, there is no new order.
/// @complexity O(groups * ordered servers).
ScalingDecision decidePoolScaling(
    PoolScalingState& state, const PoolScalingLimits& limits, const PoolObservation& seen, TimePoint now);

/// @brief Records that the platform accepted the last order of a group.
void recordOrderAccepted(PoolScalingState& state, const ServerGroup& group);

/// @brief Records that the last order of a group had no effect: its former count stays, and nothing is ordered of it
/// before `notBefore`.
void recordOrderRejected(PoolScalingState& state, const ServerGroup& group, TimePoint notBefore);

} // namespace topaztack
