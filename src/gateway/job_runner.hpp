#pragma once

#include "context.hpp"
#include "item_attempt.hpp"
#include "item_dispatcher.hpp"
#include "job_store.hpp"
#include "notifier.hpp"
#include "server_table.hpp"
#include "service_call.hpp"
#include "store_watch.hpp"

#include <topaztack/samples/item_order.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <memory>
#include <vector>

/// @file
/// Runs the items of one job that this VM owns, and lists their results in the store.

namespace topaztack {

struct ItemRun;

/// An unchanged head is written again after this time, so that other VMs see that the job's owner is alive.
inline constexpr std::chrono::milliseconds jobHeartbeatInterval { 700 };

/// @brief Why a runner stopped.
enum class RunnerStopReason : std::uint8_t {
    /// Every item is listed.
    Complete,
    /// The trainer ended the job.
    Ended,
    /// Another VM owns the job now.
    Lost,
    /// This VM released the job for another one.
    Released,
};

/// @brief The state of a job that a runner starts or continues.
struct InitialJobState {
    JobSpec job;
    /// As this VM wrote it, or as another VM wrote it when it assigned the job to this one.
    StoredHead head;
    /// Results that are in the store already.
    std::vector<ItemResult> listed;
    /// Texts of earlier jobs, and those that the previous owner saved.
    std::map<ItemId, ItemProgress> texts;
    /// Groups that were part of an earlier step of the trainer.
    std::set<GroupId> carriedGroups;
    /// Whether the job was assigned by another VM, so that the head must be written at once to show that it was taken.
    bool isHandedOver { false };
};

class JobRunner : public std::enable_shared_from_this<JobRunner> {
public:
    JobRunner(GatewayContext& context, ServerTable& servers, JobStore& store, ItemDispatcher& dispatcher,
        const StoreWatch& storeWatch, InitialJobState initial);
    ~JobRunner();

    void start();

    /// @brief Processes a head that was read from the store; stops if the job was ended or has another owner.
    void observeHead(const StoredHead& head);

    /// @brief Releases the job, so that another VM continues it at once.
    void release();

    /// @name For the dispatcher
    /// @{

    /// @brief The pool of the job's route; empty if it has none.
    PoolName pool() const;

    /// @brief When the trainer wants all results.
    TimePoint dueAt() const;

    /// @brief Items that may be started now, in the job's own order.
    std::vector<ItemRun*> startableItems();

    ServerRequirements needOf(const ItemRun& item) const;

    /// @brief The rank of the job's workspace, or of the route if it has none.
    std::uint64_t rank() const;

    /// @brief Adds the tokens of running items to those of the job's workspace at their pools.
    void addRunningTokens(RunningTokens& running) const;

    /// @brief Starts an item if a server can take it.
    bool startItem(ItemRun& item, const ServerRequirements& need);

    /// @brief Cancels the generations at these servers, which are resumed at others.
    void leaveServers(const std::set<BackendName>& silent);

    /// @brief Items whose scoring calls may be made now, those with the oldest texts first.
    std::vector<ItemRun*> scorableItems();

    /// @brief Makes an item's scoring call if a server can take it.
    bool startScoring(ItemRun& item);
    /// @}

    bool isStopped() const { return this->stopReason.has_value(); }
    TimePoint stoppedAt() const { return this->stopTime; }
    const JobSpec& spec() const { return this->job; }
    /// @brief The head as this VM last wrote or read it.
    const StoredHead& stored() const { return this->head; }

    /// @brief Returns the text of an item for a later job, and cancels a running generation of it.
    /// @return nothing if there is no text, or the later job does not allow the versions that made it.
    std::optional<ItemProgress> takeText(const ItemId& id, WeightVersion oldest, bool isSingleVersion);

    boost::json::value dump() const;

private:
    /// A pool and the version of its servers' software.
    using SoftwareKey = std::pair<PoolName, std::string>;

    void initializeItems(const InitialJobState& initial);
    boost::asio::awaitable<void> listResults();
    boost::asio::awaitable<void> writeHead();
    boost::asio::awaitable<void> cancelAttemptsLater();
    boost::asio::awaitable<void> run(ItemRun& item, ServerRecord server, ServerRequirements need);
    void completeText(ItemRun& item, std::string_view reason);
    boost::asio::awaitable<void> score(
        ItemRun& item, ServerRecord server, ServerRequirements need, TimePoint attemptDeadline);
    void handleScoringResult(ItemRun& item, const ServerRecord& server, const ServiceCallResult& result);
    void logScoring(const ItemRun& item, const ServerRecord& server, const ServiceCallResult& result, Duration took);
    void handleAttemptOutcome(ItemRun& item, const ServerRecord& server, AttemptOutcome attemptOutcome);
    void restartItemsWithoutSoftware();
    void restart(ItemRun& item, std::string_view reason);
    void finish(ItemRun& item, ItemState state, std::string_view reason);
    bool mayStart() const;
    std::size_t countWaiting() const;
    void updateRoutes();
    void abortExpiredItems();
    boost::asio::awaitable<void> saveTextsPeriodically();
    boost::asio::awaitable<void> saveTextsForNextOwner();
    boost::asio::awaitable<void> saveTexts(std::uint64_t minEvents);
    boost::asio::awaitable<void> removeTexts(std::uint64_t end);
    void stop(RunnerStopReason reason);
    void cancelAttempts();
    std::vector<ItemResult> takeNextResults();
    JobHead buildNextHead();
    bool applyWriteResult(const JobWriteResult& write, TimePoint sentAt);

    GatewayContext& context;
    ServerTable& servers;
    JobStore& store;
    ItemDispatcher& dispatcher;
    const StoreWatch& storeWatch;
    const JobSpec job;
    StoredHead head;
    /// In the order in which they are started.
    std::vector<std::unique_ptr<ItemRun>> items;
    /// Finished items in the order in which they will be listed.
    std::vector<ItemRun*> finished;
    /// The head and the results of the write in progress, which is repeated unchanged until it is known whether it took
    /// effect.
    std::optional<JobHead> pendingHead;
    std::vector<ItemResult> pendingResults;
    /// Items with complete texts that lack their score, those with the oldest texts first.
    std::vector<ItemRun*> unscored;
    std::map<GroupId, BackendName> groupServers;
    /// Software versions of which no server is usable, and since when.
    std::map<SoftwareKey, TimePoint> softwareMissingSince;
    const std::size_t carriedGroupCount;
    Notifier listingNotifier;
    std::optional<RunnerStopReason> stopReason;
    TimePoint stopTime;
    bool isReleasing { false };
    bool areTextsSaved { false };
    /// One more than the number of the job's newest text object; 0 for none.
    std::uint64_t textObjects { 0 };
    std::uint64_t nextTextObject { 0 };
    /// Text objects below this number were removed.
    std::uint64_t removedTextObjects { 0 };
    /// The configuration that the routes of the job and of its items belong to.
    RouteTablePtr routeTable;
    /// The route of the job itself; nullptr if it has none.
    const Route* route { nullptr };
    /// When the last write that took effect was sent. The time of its answer would be too late, since the trainer may
    /// have ended the job before the answer arrived.
    TimePoint lastWriteSentAt;
    TimePoint startedAt;
    /// When the job was accepted, by the clock of the VM that accepted it.
    TimePoint acceptedAt;
    Counter& attempts;
    LatencyHistogram& scoringTime;
    LatencyHistogram& scoreDelay;
};

} // namespace topaztack
