#pragma once

#include <topaztack/node/completion_relay.hpp>
#include <topaztack/wire/http_router.hpp>

#include <boost/json/value.hpp>

#include <map>
#include <mutex>
#include <vector>

/// @file
/// Groups in, samples out: `/v1/trainers/{t}/...`.

namespace topaztack {

/// @brief A finished sample as it is delivered.
struct DeliveredSample {
    SequenceNumber sequence;
    StepNumber step;
    GroupId group;
    SampleIndex index;
    Generation generation;
};

class TrainerDesk {
public:
    TrainerDesk(NodeContext& context, CompletionRelay& completions);

    void addRoutes(HttpRouter& callers);

    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> handleGroups(HttpExchange& exchange);
    boost::asio::awaitable<void> handleSamples(HttpExchange& exchange);
    boost::asio::awaitable<void> fillSlot(TrainerName trainer, DeliveredSample slot, GenerationRequest request);

    NodeContext& context;
    CompletionRelay& completions;
    mutable std::mutex lock;
    std::map<TrainerName, std::vector<DeliveredSample>> delivered;
};

} // namespace topaztack
