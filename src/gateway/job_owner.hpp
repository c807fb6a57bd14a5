#pragma once

#include "context.hpp"
#include "job_runner.hpp"
#include "job_store.hpp"
#include "table_follower.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <list>
#include <map>
#include <memory>

/// @file
/// Which jobs this VM runs: those it accepted, and those whose owner gave them up or fell silent.

namespace topaztack {

class JobOwner {
public:
    JobOwner(GatewayContext& context, ServerTable& servers, JobStore& store, ItemDispatcher& dispatcher);

    void start();

    /// @brief Which VM is to run a trainer's next job: the one that ran the last, which has its connections and texts;
    /// else this one, or the first to claim it if this one shuts down.
    VmIdentity preferredOwner(const ModelName& model) const;

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
    bool needsItsEngines(const ModelName& model) const;

    boost::json::value dump() const;

private:
    struct Known {
        StoredHead stored;
        /// When this version was first seen here.
        TimePoint seenAt;
        bool isBeingClaimed { false };
        bool isBeingRemoved { false };
    };

    void takeRows(const std::vector<StoreRow>& rows, bool isWhole);
    boost::asio::awaitable<void> watch();
    bool isClaimable(const JobId& id, const Known& known, TimePoint now) const;
    bool isForgettable(const JobId& id, const Known& known) const;
    void adopt(RunnerStart start);
    boost::asio::awaitable<std::optional<StoredHead>> claim(JobId id);
    boost::asio::awaitable<void> claimAndRun(JobId id);
    boost::asio::awaitable<void> takeOver(JobId id, StoredHead head, bool isHandedOver);
    boost::asio::awaitable<void> watchHandover(JobSpec job, StoredHead head);
    boost::asio::awaitable<void> forget(JobId id);
    void addTexts(RunnerStart& start) const;
    void dropStoppedRunners();

    GatewayContext& context;
    ServerTable& servers;
    JobStore& store;
    ItemDispatcher& dispatcher;
    TableFollower heads;
    std::map<JobId, Known> jobs;
    std::map<JobId, std::shared_ptr<JobRunner>> runners;
    /// Runners of jobs that have ended, for the texts of items that come again.
    std::list<std::shared_ptr<JobRunner>> ended;
    Notifier changeNotifier;
    Counter& starts;
    Counter& takeovers;
};

} // namespace topaztack
