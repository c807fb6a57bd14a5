#pragma once

#include "context.hpp"
#include "server_table.hpp"

#include <topaztack/samples/item_length.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <vector>

/// @file
/// Starts the waiting items of all jobs that this VM runs, in the order of their latest start times, spare items last,
/// and makes the scoring calls of complete texts.

namespace topaztack {

class JobRunner;
class StreamForwarder;

class ItemDispatcher {
public:
    ItemDispatcher(GatewayContext& context, ServerTable& servers, StreamForwarder& streams);

    void start();

    /// @brief Starts the runner's items from now on, until it stops.
    void add(std::weak_ptr<JobRunner> runner);

    /// @brief Learns from the length of a finished item of the model.
    void recordLength(const ModelName& model, std::uint64_t events, std::uint64_t expectedTokens);

    /// @brief The tokens of an engine's memory that an item is expected to take when it is complete.
    std::uint64_t expectedTokens(const ModelName& model, const JobItem& item, const ItemProgress& text) const;

private:
    boost::asio::awaitable<void> dispatch();
    std::vector<std::shared_ptr<JobRunner>> activeRunners();
    void startWaitingItems(const std::vector<std::shared_ptr<JobRunner>>& open);
    void leaveSilentServers(const std::vector<std::shared_ptr<JobRunner>>& open);
    void startScoringCalls(const std::vector<std::shared_ptr<JobRunner>>& open);
    void logWaiting(const std::vector<ServerRequirements>& unmet);

    GatewayContext& context;
    ServerTable& servers;
    StreamForwarder& streams;
    std::vector<std::weak_ptr<JobRunner>> runners;
    std::map<ModelName, LengthModel> lengths;
    TimePoint waitingLoggedAt;
    TimePoint dispatchedAt;
    TimePoint silenceCheckedAt;
};

} // namespace topaztack
