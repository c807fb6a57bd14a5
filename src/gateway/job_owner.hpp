#pragma once

#include "context.hpp"
#include "job_runner.hpp"
#include "job_store.hpp"
#include "peer_directory.hpp"
#include "table_follower.hpp"

#include <topaztack/policy/pool_scaling.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <list>
#include <map>
#include <memory>

/// @file
/// Decides which jobs this VM runs: those that it accepted or was assigned, and those whose owner released them or
/// stopped writing their heads.

namespace topaztack {

/// @brief Whether a job has not been ended and still has results to list.
inline bool isOpen(const JobHead& head) { return !head.isEnded && head.listed < head.total; }

class JobOwner {
public:
    JobOwner(GatewayContext& context, ServerTable& servers, JobStore& store, ItemDispatcher& dispatcher,
        const PeerDirectory& peers, const StoreWatch& storeWatch);

    void start();

    /// @brief The VM that is to run a new job; an empty name if the first VM that claims it is to run it.
    VmIdentity preferredOwner(const ModelName& model, std::uint64_t items) const;

    /// @brief Runs a job that was accepted here, or hands it over to the owner that its head names. If that VM does not
    /// take it at once, this one claims it.
    void runOrHandOver(JobSpec job, const StoredHead& head);

    /// @brief The head that was seen last, which may be older than the stored one; nullptr if none was seen.
    const StoredHead* lastSeenHead(const JobId& id) const;

    /// @brief Processes a head that was read or written outside the change feed.
    void observeHead(const JobId& id, const StoredHead& head);

    /// @brief The runner of a job, or nullptr if this VM does not run it.
    std::shared_ptr<JobRunner> runnerOf(const JobId& id) const;

    /// @brief Notified whenever a head changes.
    Notifier& changed() { return this->changeNotifier; }

    /// @brief Releases every job; completes when none is left or `deadline` has passed.
    boost::asio::awaitable<void> releaseAll(TimePoint deadline);

    /// @brief Whether an open job has items that wait for an engine with this model, or generations that would be lost
    /// if its engines loaded new weights.
    bool needsEnginesOf(const ModelName& model) const;

    /// @brief The steps of the jobs whose route leads to a pool: open ones, and those that ended lately.
    std::vector<StepDemand> stepsOf(const PoolName& pool) const;

    /// @brief Generations at engines, and listed results of all known jobs, as their heads state them. The number of
    /// results decreases when a job is removed.
    std::pair<std::uint64_t, std::uint64_t> countItems(const PoolName& pool) const;

    boost::json::value dump() const;

private:
    struct KnownJob {
        StoredHead stored;
        /// When this VM first saw this version of the head.
        TimePoint seenAt;
        /// Set by beginClaim(). This VM then doesn't claim the job, probe its owner or start an assigned run.
        bool isBeingClaimed { false };
        bool isBeingRemoved { false };
        /// The version of the head at which its owner was last probed.
        RowVersion probedVersion;
    };

    void applyRows(const std::vector<StoreRow>& rows, bool isWhole);
    boost::asio::awaitable<void> watch();
    std::map<VmName, std::uint64_t> countOpenItems() const;
    const Route* routeTo(const JobHead& head, const PoolName& pool) const;
    VmName lastOwner(const ModelName& model) const;
    Duration claimDelay(const JobId& id, Duration spread) const;
    bool isClaimable(const JobId& id, const KnownJob& known, TimePoint now) const;
    bool isExpired(const JobId& id, const KnownJob& known) const;
    void startRunner(InitialJobState initial);
    bool beginClaim(const JobId& id);
    void endClaim(const JobId& id);
    boost::asio::awaitable<JobWriteResult> claim(JobId id);
    boost::asio::awaitable<bool> claimAndRun(JobId id, std::optional<JobSpec> job);
    boost::asio::awaitable<void> runAssigned(JobId id, StoredHead head);
    Duration timeUnchanged(const KnownJob& known, TimePoint now) const;
    bool isOwnerSuspected(const JobId& id, const KnownJob& known, TimePoint now) const;
    boost::asio::awaitable<void> probeOwner(JobId id, StoredHead head);
    boost::asio::awaitable<void> takeOver(JobId id, StoredHead head, bool isHandedOver);
    boost::asio::awaitable<void> watchHandover(JobSpec job, StoredHead head);
    boost::asio::awaitable<void> removeExpired(JobId id);
    void addEarlierWork(InitialJobState& initial) const;
    void dropStoppedRunners();
    boost::json::object dumpOpen(const JobId& id, const KnownJob& known, TimePoint now) const;

    GatewayContext& context;
    ServerTable& servers;
    JobStore& store;
    ItemDispatcher& dispatcher;
    const PeerDirectory& peers;
    const StoreWatch& storeWatch;
    TableFollower heads;
    std::map<JobId, KnownJob> jobs;
    std::map<JobId, std::shared_ptr<JobRunner>> runners;
    /// Runners that have stopped, kept for the texts of items that are submitted again.
    std::list<std::shared_ptr<JobRunner>> stoppedRunners;
    /// VMs that did not take a job that was handed over to them, and when; removed after a while.
    std::map<VmName, TimePoint> failedHandovers;
    Notifier changeNotifier;
    Counter& starts;
    Counter& takeovers;
    Counter& deadOwners;
};

} // namespace topaztack
