#pragma once

#include "context.hpp"
#include "item_attempt.hpp"
#include "item_dispatcher.hpp"
#include "job_store.hpp"
#include "notifier.hpp"
#include "server_table.hpp"
#include "store_watch.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <memory>
#include <vector>

/// @file
/// Runs the items of one job that this VM owns, and lists their results in the store.

namespace topaztack {

struct ItemRun;

/// An unchanged head is written again after this time, so that other VMs know that the job has an owner.
inline constexpr std::chrono::milliseconds jobHeartbeatInterval { 700 };

/// @brief Why a runner stopped.
enum class RunnerEnd : std::uint8_t {
    /// Every item is listed.
    Complete,
    /// The trainer ended the job.
    Ended,
    /// Another VM owns the job now.
    Lost,
    /// This VM gave it up for another one.
    Released,
};

/// @brief What a runner starts from.
struct RunnerStart {
    JobSpec job;
    /// As this VM wrote it, or as another VM wrote it for this one.
    StoredHead head;
    /// Results that stand in the store already.
    std::vector<ItemResult> listed;
    /// Texts of earlier jobs, and those that the VM before left.
    std::map<ItemId, ItemProgress> texts;
    /// Whether other VMs are still to be told that this VM runs the job.
    bool isHandedOver { false };
};

class JobRunner : public std::enable_shared_from_this<JobRunner> {
public:
    JobRunner(GatewayContext& context, ServerTable& servers, JobStore& store, ItemDispatcher& dispatcher,
        const StoreWatch& storeWatch, RunnerStart start);
    ~JobRunner();

    void start();

    /// @brief The head as read from the store.
    void noteHead(const StoredHead& head);

    /// @brief Gives the job up, so that another VM goes on with it at once.
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

    /// @brief Starts an item if a server can take it.
    bool startItem(ItemRun& item, const ServerRequirements& need);
    /// @}

    bool isStopped() const { return this->end.has_value(); }
    TimePoint stoppedAt() const { return this->endedAt; }
    const JobSpec& spec() const { return this->job; }
    /// @brief The head as this VM last wrote or read it.
    const StoredHead& stored() const { return this->head; }

    /// @brief Takes the text of an item for a later job; a generation of it under way is stopped.
    /// @return nothing if there is none that fits.
    std::optional<ItemProgress> takeText(const ItemId& id, WeightVersion oldest, bool isSingleVersion);

    boost::json::value dump() const;

private:
    void takeStart(const RunnerStart& start);
    boost::asio::awaitable<void> list();
    boost::asio::awaitable<void> listOnce();
    boost::asio::awaitable<void> linger();
    boost::asio::awaitable<void> run(ItemRun& item, ServerRecord server, ServerRequirements need);
    void takeEnd(ItemRun& item, const ServerRecord& server, AttemptEnd attemptEnd);
    void restart(ItemRun& item, std::string_view reason);
    void finish(ItemRun& item, ItemState state, std::string_view reason);
    bool mayStart() const;
    std::size_t countWaiting() const;
    void followRoutes();
    void giveUpOldItems();
    boost::asio::awaitable<void> keepTexts();
    boost::asio::awaitable<void> leaveTexts();
    boost::asio::awaitable<void> putTexts(std::uint64_t fewestEvents);
    boost::asio::awaitable<void> dropTexts(std::uint64_t end);
    void stop(RunnerEnd reason);
    void cancelRuns();
    std::vector<ItemResult> nextResults();
    JobHead nextHead();
    bool takeWrite(const JobWrite& write, TimePoint sentAt);

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
    /// The write under way, repeated as it is until it is known what became of it.
    std::optional<JobHead> pendingHead;
    std::vector<ItemResult> beingListed;
    std::map<GroupId, BackendName> groupServers;
    Notifier toList;
    std::optional<RunnerEnd> end;
    TimePoint endedAt;
    bool isReleasing { false };
    bool areTextsLeft { false };
    /// One more than the number of the newest object that holds texts of the job.
    std::uint64_t textObjects { 0 };
    std::uint64_t nextTextObject { 0 };
    /// Objects below this number were dropped.
    std::uint64_t droppedTextObjects { 0 };
    /// The configuration that the routes below are of.
    RouteTablePtr table;
    /// The route of the job itself; nullptr if it has none.
    const Route* route { nullptr };
    /// When the last write that took effect was sent: the trainer may have ended the job right after it.
    TimePoint listedAt;
    TimePoint startedAt;
    /// As the accepting VM's clock had it.
    TimePoint acceptedAt;
    Counter& attempts;
};

} // namespace topaztack
