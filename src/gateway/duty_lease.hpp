#pragma once

#include "context.hpp"

#include <topaztack/control/lease.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <functional>

/// @file
/// A lease that lets one VM at a time make calls that must not come from two VMs: orders to engines, or calls to the
/// platform. It is a row of the store; see control/lease.hpp for what exclusion relies on.

namespace topaztack {

/// @brief What a lease is for, and how far apart the calls of two holders lie.
struct DutyLeaseOptions {
    StoreRowKey row;
    /// Prefix of its log events, such as `order-lease`.
    std::string logName;
    /// Minimum time between the arrival of the last call of one holder and the first call of the next one.
    Duration silence { 0 };
    /// Calls are made only within this time after a renewal was sent, so that the last call of a holder that stopped
    /// renewing was made at most this long after the last change of the row.
    Duration callWindow { std::chrono::milliseconds(600) };
    /// Maximum time between the check of the fencing number and the arrival of the call; a call that takes longer has
    /// to be abandoned and its connection closed.
    Duration transitTime { std::chrono::milliseconds(200) };
    /// No call is made within this time after this process was suspended or stopped; 0 if only the age of the last
    /// renewal counts.
    Duration thawTime { 0 };
    /// How often a VM that waits for the lease reads its row.
    std::chrono::milliseconds watchInterval { 400 };
    /// Whether this VM is one of the few that watch the lease closely. The others read its row at longer intervals, and
    /// take it if those don't. Empty for always.
    std::function<bool()> isPreferred;
    /// Whether this VM tries to get the lease.
    bool competes { true };
};

/// @brief The options of the lease for orders to engines.
DutyLeaseOptions orderLeaseOptions(const VmSettings& settings);

/// @brief The options of the lease for calls to the platform: reports of use and orders for servers. The VM competes
/// for it if its settings name such a duty.
DutyLeaseOptions platformDutyLeaseOptions(const VmSettings& settings);

/// @brief Time limit of a call to the platform made under platformDutyLeaseOptions().
inline constexpr Duration dutyCallTimeout = std::chrono::milliseconds(800);

class DutyLease {
public:
    DutyLease(GatewayContext& context, DutyLeaseOptions options);

    /// @brief Starts to compete for the lease, unless the options say that this VM doesn't.
    void start();

    /// @brief The fencing number for a call; empty if none may be made now. Ask for it immediately before each call.
    ///
    /// It is higher for each new holder, and higher when the same VM holds the lease anew. No number is given within
    /// the silence after another holder, within the thaw time after a suspension of this process, or under a renewal
    /// that was not confirmed.
    std::optional<FencingNumber> fencingNumber() const;

    /// @brief The VM that holds the lease, as this VM last read it or holds it; empty if unknown or released.
    std::optional<VmIdentity> knownHolder() const;

    /// @brief Releases the lease, and doesn't compete for it for a time: for a holder that can't carry out the duty.
    void yieldFor(Duration time);

    /// @brief Releases the lease for good. Returns once the store has recorded that, or at the deadline.
    boost::asio::awaitable<void> release(TimePoint deadline);

    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> watchSuspension();
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> commit(LeaseStep step);
    void updateHeldNumber();
    void updateDemand();
    bool isThawed(TimePoint now) const;

    GatewayContext& context;
    const DutyLeaseOptions options;
    LeaseContender holder;
    bool isReleasing { false };
    bool isWanted { false };
    /// A lease that another VM holds is not read before this time.
    TimePoint watchesFrom;
    /// The lease is not competed for before this time.
    TimePoint competesFrom;
    /// Whether no VM held the lease before this one; then there is no earlier call to wait for.
    bool isFirstHolder { false };
    /// Fencing number under which the lease is held; empty if it is not held.
    std::optional<FencingNumber> number;
    /// The row when it was last read.
    std::optional<LeaseRow> seenRow;
    /// When another VM's change of the lease row was last seen.
    TimePoint changedByOtherAt;
    /// Version of the row when it was last read.
    RowVersion seenVersion;
    /// When the last acquisition or renewal that took effect was sent.
    TimePoint renewalSentAt;
    /// When suspensions were last checked for, by the clock that counts them and by the one that doesn't.
    TimePoint checkedAt;
    TimePoint checkedSteadyAt;
    /// When the last suspension was noticed.
    std::optional<TimePoint> suspensionSeenAt;
    std::uint64_t operations { 0 };
};

} // namespace topaztack
