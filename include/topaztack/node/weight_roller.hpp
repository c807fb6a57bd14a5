#pragma once

#include <topaztack/node/lease_keeper.hpp>
#include <topaztack/node/row_updater.hpp>
#include <topaztack/samples/weight_rollout.hpp>

#include <boost/json/value.hpp>

#include <memory>
#include <mutex>

/// @file
/// Rolls weight versions out to the engines of each pool. The wanted version and what each engine reports stand in the
/// row `weights/<pool>`; the holder of the pool's lease gives the orders; every VM publishes the row as WeightView.

namespace topaztack {

/// @brief The content of `weights/<pool>`.
struct PoolWeights {
    WeightVersion wanted;
    /// Nothing for an engine whose version is not known.
    std::map<BackendName, std::optional<WeightVersion>> engines;

    bool operator==(const PoolWeights&) const = default;
};

std::string encodePoolWeights(const PoolWeights& weights, const OperationId& operation);

/// @return Internal if the text is not such a row; the empty text wants nothing.
Result<PoolWeights> decodePoolWeights(std::string_view text);

/// @brief An order for an engine beside a weight version.
struct EngineOrder {
    /// `load-weights`, `load-adapter` or `set-role`.
    std::string order { "load-weights" };
    WeightVersion version;
    SwapMode mode { SwapMode::InPlace };
    /// The adapter or role.
    std::string name;
};

class WeightRoller {
public:
    WeightRoller(NodeContext& context, LeaseKeeper& leases);

    void start();

    /// @brief Records the version that a pool should serve; a newer one already recorded stays.
    boost::asio::awaitable<Result<void>> want(PoolName pool, WeightVersion version, TimePoint giveUp);

    /// @brief Sends one order to an engine, with the fencing number checked at that moment.
    boost::asio::awaitable<OrderOutcome> order(BackendSettings engine, EngineOrder order);

    boost::json::value dump() const;

private:
    /// One pool's rollout; used on thread 0.
    struct Roll {
        PoolName pool;
        RolloutState state;
        RolloutRules rules;
        PoolWeights row;
        std::optional<RowCopy> copy;
        TimePoint readAt;
        TimePoint writtenAt;
        bool isOrdering { false };
        std::optional<TimePoint> begunAt;
        Duration lastTook { 0 };
    };
    using RollPtr = std::shared_ptr<Roll>;

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> roll(RollPtr roll);
    boost::asio::awaitable<void> refresh(RollPtr roll);
    boost::asio::awaitable<void> writeReports(RollPtr roll);
    boost::asio::awaitable<void> carryOut(RollPtr roll, RolloutAction action, BackendSettings engine);
    boost::asio::awaitable<std::optional<WeightVersion>> readEngine(BackendSettings engine);
    void direct(const RollPtr& roll);
    void publish();
    boost::json::value describe(const Roll& roll) const;

    NodeContext& context;
    LeaseKeeper& leases;
    RowUpdater rows;
    Random random;
    std::map<PoolName, RollPtr> rolls;
    mutable std::mutex lock;
    std::map<PoolName, boost::json::value> published;
};

} // namespace topaztack
