#pragma once

#include "peer_directory.hpp"

#include <topaztack/policy/usage_windows.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// @file
/// Counts the requests of each workspace that servers began to run, by windows of true time. A VM sends its changed
/// counts to a few other VMs, which keep them in case it ends before they are reported.

namespace topaztack {

/// Paths at which VMs send each other counts, and ask for those of a window.
inline constexpr std::string_view usageCountsPath = "/usage-counts";
inline constexpr std::string_view usageQueryPath = "/usage-query";

/// @brief What a VM knows about the counts of another one.
struct KeptUsage {
    VmIdentity origin;
    /// True time until which the counts are complete, as the origin stated it.
    std::chrono::milliseconds through { 0 };
    /// Whether it has counts of the window that was asked for.
    bool hasCounts { false };
};

/// @brief A VM's answer about one window.
struct UsageAnswer {
    VmIdentity vm;
    /// True time since when its process has counted; empty if it doesn't know the true time.
    std::optional<std::chrono::milliseconds> since;
    /// Requests that it can't assign to a window yet, or had to drop.
    std::uint64_t unassigned { 0 };
    /// Its own counts.
    UsageCounts counts;
    std::vector<KeptUsage> kept;
    /// Counts of the origins that were asked for.
    std::map<VmIdentity, UsageCounts> keptCounts;
};

class UsageCounter {
public:
    UsageCounter(GatewayContext& context, const PeerDirectory& peers);

    /// @brief Starts to count, if the settings say that use is reported.
    void start();

    /// @brief Counts a request that a server began to run. Call it once for each request of a caller.
    /// @param workspace empty if the caller has none; then nothing is counted.
    void recordBegin(const WorkspaceName& workspace, TimePoint begunAt);

    /// @brief Counts a request by a server's answer. A server may have queued it: it is taken to have begun as long
    /// before the answer as the pool's requests take when they don't wait.
    void recordAnswer(const WorkspaceName& workspace, const PoolName& pool, TimePoint sentAt, TimePoint answeredAt);

    /// @brief The time of day on which the VMs agree; empty while it is unknown.
    std::optional<std::chrono::milliseconds> trueTime() const;

    /// @brief Answers another VM that sends counts or asks for them.
    HttpResponse answer(const HttpRequest& request);

    /// @brief What this VM answers about a window.
    /// @param origins processes whose kept counts are wanted.
    UsageAnswer describe(std::uint64_t window, const std::vector<VmIdentity>& origins) const;

    /// @brief Asks another VM about a window.
    boost::asio::awaitable<CallResult<UsageAnswer>> query(
        Endpoint peer, std::uint64_t window, std::vector<VmIdentity> origins);

    boost::json::value dump() const;

private:
    /// A process that sends its counts here.
    struct Origin {
        std::chrono::milliseconds through { 0 };
        TimePoint heardAt;
    };

    std::optional<std::chrono::milliseconds> trueTimeOf(TimePoint time) const;
    boost::asio::awaitable<void> run();
    void updateClock();
    void assignHeld();
    void expire();
    void count(const WorkspaceName& workspace, std::chrono::milliseconds at, std::uint64_t requests);
    void publish();
    std::vector<PeerRecord> recipients() const;
    boost::asio::awaitable<void> send(PeerRecord keeper, std::string body, UsageWindows sent);
    void receive(const HttpRequest& request);

    GatewayContext& context;
    const PeerDirectory& peers;
    const TimePoint startedAt;
    UsageWindows own;
    /// Counts that have changed since they were last sent.
    UsageWindows unsent;
    TimePoint publishedAt;
    /// Counts of other VMs.
    UsageWindows kept;
    std::map<VmIdentity, Origin> origins;
    /// Requests that began before the true time was known, by the time at which they began.
    std::map<TimePoint, UsageCounts> held;
    std::uint64_t heldRequests { 0 };
    std::uint64_t dropped { 0 };
    TimePoint droppedAt;
    /// VMs that did not take counts, and when they are sent some again.
    std::map<VmName, TimePoint> avoidedUntil;
    std::map<PoolName, Duration> serviceTimes;
    Counter& counted;
    Counter& unsentMessages;
};

} // namespace topaztack
