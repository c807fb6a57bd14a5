#pragma once

#include "duty_lease.hpp"
#include "usage_counter.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

/// @file
/// Reports the use of each workspace to the platform, window by window. Only the holder of the lease of the platform's
/// duties does so. A report is fixed in the store before it is sent, so that there is only one version of it.

namespace topaztack {

class UsageReporter {
public:
    UsageReporter(GatewayContext& context, const PeerDirectory& peers, UsageCounter& counter, DutyLease& lease);

    /// @brief Starts to report, if the settings say so.
    void start();

    boost::json::value dump() const;

private:
    /// State of a holder; it begins anew with each acquisition of the lease.
    struct Progress {
        FencingNumber fence;
        /// The oldest window that is neither reported nor given up.
        std::uint64_t next { 0 };
        /// Reports as the store has them.
        std::map<std::uint64_t, UsageCounts> fixed;
        unsigned failures { 0 };
        /// Nothing is tried before this time.
        TimePoint retryAt;
        /// Since when the platform can't be connected to.
        std::optional<TimePoint> unreachedSince;
        std::string lastProblem;
    };
    struct Collection;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> step(std::chrono::milliseconds now);
    boost::asio::awaitable<void> takeOver(FencingNumber fence, std::chrono::milliseconds now);
    boost::asio::awaitable<bool> fixNext(std::chrono::milliseconds now);
    boost::asio::awaitable<std::shared_ptr<Collection>> collect(std::uint64_t window);
    boost::asio::awaitable<void> askVms(std::shared_ptr<Collection> collection);
    boost::asio::awaitable<void> askKeepers(std::shared_ptr<Collection> collection);
    void assess(Collection& collection) const;
    boost::asio::awaitable<bool> fix(std::uint64_t window, UsageCounts counts);
    boost::asio::awaitable<void> send(std::uint64_t window);
    void backOff(std::string problem);
    void finishWindow();
    void recordMissed(std::uint64_t window, std::string_view reason);

    GatewayContext& context;
    const PeerDirectory& peers;
    UsageCounter& counter;
    DutyLease& lease;
    std::optional<Progress> progress;
    /// Counts of each VM in the last window that was collected.
    std::map<VmName, UsageCounts> lastCounts;
    /// How many VMs were asked for the last report, and how many of them did not answer.
    std::size_t lastAsked { 0 };
    std::size_t lastMissing { 0 };
    std::uint64_t sentReports { 0 };
    std::uint64_t missedReports { 0 };
    Counter& sent;
    Counter& missed;
    Counter& retries;
    LatencyHistogram& reportAge;
};

} // namespace topaztack
