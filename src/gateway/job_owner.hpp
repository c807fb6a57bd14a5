#pragma once

#include "context.hpp"
#include "job_runner.hpp"
#include "job_store.hpp"
#include "peer_directory.hpp"
#include "table_follower.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <list>
#include <map>
#include <memory>

/// @file
/// Which jobs this VM runs: those it accepted, and those whose owner gave them up or fell silent.

namespace topaztack {

/// @brief Whether a job still has items to list.
inline bool isOpen(const JobHead& head) { return !head.isEnded && head.listed < head.total; }

class JobOwner {
public:
    JobOwner(GatewayContext& context, ServerTable& servers, JobStore& store, ItemDispatcher& dispatcher,
        const PeerDirectory& peers, const StoreWatch& storeWatch);

    void start();

    /// @brief Which VM is to run a new job; no name for the first to claim it.
    VmIdentity preferredOwner(const ModelName& model, std::uint64_t items) const;

    /// @brief A job was accepted here. It is run here, or handed to the owner that its head names; one that does not
    /// take it at once loses it to this VM.
    void place(JobSpec job, const StoredHead& head);

    /// @brief The head as last seen, which may be behind the store; nothing if none was seen.
    const StoredHead* seen(const JobId& id) const;

    /// @brief A head that was read or written apart from the feed.
    void noteHead(const JobId& id, const StoredHead& head);

    /// @brief The runner of a job, or nullptr if this VM does not run it.
    std::shared_ptr<JobRunner> runnerOf(const JobId& id) const;

    /// @brief Told whenever a head changes.
    Notifier& changed() { return this->changeNotifier; }

    /// @brief Gives up every job; done when none is left or `deadline` has passed.
    boost::asio::awaitable<void> releaseAll(TimePoint deadline);

    /// @brief Whether items of any open job wait for an engine with this model, or would not outlast a load of it.
    bool needsEnginesOf(const ModelName& model) const;

    boost::json::value dump() const;

private:
    struct Known {
        StoredHead stored;
        /// When this version was first seen here.
        TimePoint seenAt;
        bool isBeingClaimed { false };
        bool isBeingRemoved { false };
        /// The version of the head at which its owner was last asked whether it lives.
        RowVersion askedAt;
    };

    void applyRows(const std::vector<StoreRow>& rows, bool isWhole);
    boost::asio::awaitable<void> watch();
    std::map<VmName, std::uint64_t> openItems() const;
    VmName lastOwner(const ModelName& model) const;
    Duration claimDelay(const JobId& id, Duration spread) const;
    bool isClaimable(const JobId& id, const Known& known, TimePoint now) const;
    bool isForgettable(const JobId& id, const Known& known) const;
    void adopt(RunnerStart start);
    boost::asio::awaitable<std::optional<StoredHead>> claim(JobId id);
    boost::asio::awaitable<void> claimAndRun(JobId id);
    Duration silenceOf(const Known& known, TimePoint now) const;
    bool isDoubtful(const JobId& id, const Known& known, TimePoint now) const;
    boost::asio::awaitable<void> askOwner(JobId id, StoredHead head);
    boost::asio::awaitable<void> takeOver(JobId id, StoredHead head, bool isHandedOver);
    boost::asio::awaitable<void> watchHandover(JobSpec job, StoredHead head);
    boost::asio::awaitable<void> forget(JobId id);
    void addTexts(RunnerStart& start) const;
    void dropStoppedRunners();

    GatewayContext& context;
    ServerTable& servers;
    JobStore& store;
    ItemDispatcher& dispatcher;
    const PeerDirectory& peers;
    const StoreWatch& storeWatch;
    TableFollower heads;
    std::map<JobId, Known> jobs;
    std::map<JobId, std::shared_ptr<JobRunner>> runners;
    /// Runners of jobs that have ended, for the texts of items that come again.
    std::list<std::shared_ptr<JobRunner>> ended;
    /// VMs that did not take a job they were handed, and when; forgotten after a while.
    std::map<VmName, TimePoint> failedHandovers;
    Notifier changeNotifier;
    Counter& starts;
    Counter& takeovers;
    Counter& deadOwners;
};

} // namespace topaztack
