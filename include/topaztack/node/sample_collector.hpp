#pragma once

#include <topaztack/node/completion_relay.hpp>
#include <topaztack/node/lease_keeper.hpp>
#include <topaztack/node/sample_batch.hpp>
#include <topaztack/samples/slot_planner.hpp>

#include <boost/json/value.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// @file
/// Generates the samples that a trainer's ledger asks for and commits them in batches, about one a second. One VM
/// collects for a trainer, by lease, for thrift; the ledger's row keeps two of them from losing or doubling.

namespace topaztack {

/// @brief What an attempt's stream shows while it runs; written by its thread, read by the collector's.
struct AttemptProgressCounts {
    std::atomic<std::uint64_t> tokens { 0 };
    std::atomic<std::uint64_t> oldest { 0 };
};

/// @brief One generation under way, as the collector keeps it.
struct CollectedAttempt {
    SlotName slot;
    std::shared_ptr<AttemptProgressCounts> counts;
    std::shared_ptr<GenerationControl> control;
    std::size_t thread { 0 };
    std::uint64_t tokensSeen { 0 };
    bool isCancelledHere { false };
    /// Text of the attempts that this one goes on from.
    std::string textBefore;
    /// The attempt that goes on from this one's tokens; 0 if none.
    std::uint64_t movesTo { 0 };
};

/// @brief One trainer's collection; used on thread 0.
struct TrainerCollection {
    TrainerName trainer;
    PoolName pool;
    PlannerRules rules;
    SlotPlanner planner;
    std::optional<LedgerCopy> copy;
    TimePoint readAt;
    TimePoint committedAt;
    TimePoint publishedAt;
    std::map<ObjectKey, std::map<GroupId, std::string>> prompts;
    std::map<std::uint64_t, CollectedAttempt> attempts;
    std::vector<CollectedSample> finished;
    std::map<SlotName, SampleRefusal> refusals;
    std::optional<CollectedBatch> batch;
    std::uint64_t committed { 0 };
    bool isCollecting { false };
    bool isWoken { false };
};

class SampleCollector {
public:
    SampleCollector(NodeContext& context, CompletionRelay& completions, LedgerStore& ledgers, LeaseKeeper& leases);

    void start();

    /// @brief The trainer's ledger changed here; thread-safe.
    void wake(TrainerName trainer);

    boost::json::value dump() const;

private:
    using CollectionPtr = std::shared_ptr<TrainerCollection>;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> collect(CollectionPtr collection);
    boost::asio::awaitable<void> tick(CollectionPtr collection);
    boost::asio::awaitable<bool> refresh(CollectionPtr collection);
    boost::asio::awaitable<bool> loadPrompts(CollectionPtr collection);
    boost::asio::awaitable<void> commit(CollectionPtr collection);
    boost::asio::awaitable<void> generate(CollectionPtr collection, SlotAction action, GenerationRequest request,
        std::shared_ptr<AttemptProgressCounts> counts);

    bool mayCollect(const TrainerCollection& collection) const;
    bool isDue(const TrainerCollection& collection) const;
    void takeSettings(TrainerCollection& collection);
    void takeProgress(TrainerCollection& collection);
    void takeCopy(const CollectionPtr& collection, LedgerCopy copy);
    void perform(const CollectionPtr& collection, const std::vector<SlotAction>& actions);
    void startAttempt(const CollectionPtr& collection, const SlotAction& action, Generation before);
    void cancelAttempt(TrainerCollection& collection, std::uint64_t attempt);
    void settle(const CollectionPtr& collection, SlotAction action, GenerationResult result);
    void stop(TrainerCollection& collection);
    void setGauges(const TrainerCollection& collection);
    void publish(TrainerCollection& collection);

    NodeContext& context;
    CompletionRelay& completions;
    LedgerStore& ledgers;
    LeaseKeeper& leases;
    std::map<TrainerName, CollectionPtr> collections;
    std::size_t nextThread { 0 };
    mutable std::mutex lock;
    std::map<TrainerName, boost::json::value> published;
};

} // namespace topaztack
