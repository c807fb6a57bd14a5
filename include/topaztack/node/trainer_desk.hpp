#pragma once

#include <topaztack/node/ledger_store.hpp>
#include <topaztack/node/sample_collector.hpp>
#include <topaztack/node/weight_roller.hpp>
#include <topaztack/wire/http_router.hpp>

#include <boost/json/value.hpp>

#include <map>
#include <mutex>

/// @file
/// The trainers' calls, at any VM: `/v1/trainers/{t}/groups`, `samples`, `versions` and `steps/{n}`.

namespace topaztack {

/// @brief What one VM delivered to one trainer.
struct DeliveryTotals {
    std::uint64_t delivered { 0 };
    /// Sum and greatest of the versions by which samples lagged when they were handed out.
    std::uint64_t lagSum { 0 };
    std::uint64_t lagMost { 0 };
    /// Time for which the trainer's calls waited with nothing to give.
    Duration idle { 0 };
    /// The last ledger seen.
    std::uint64_t withdrawn { 0 };
};

class TrainerDesk {
public:
    TrainerDesk(NodeContext& context, LedgerStore& ledgers, SampleCollector& collector, WeightRoller& roller);

    void addRoutes(HttpRouter& callers);

    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> handleGroups(HttpExchange& exchange);
    boost::asio::awaitable<void> handleSamples(HttpExchange& exchange);
    boost::asio::awaitable<void> handleVersions(HttpExchange& exchange);
    boost::asio::awaitable<void> handleStep(HttpExchange& exchange);
    boost::asio::awaitable<Result<std::string>> postGroups(TrainerName trainer, std::string body);
    boost::asio::awaitable<Result<std::string>> postVersion(TrainerSettings trainer, std::string body);
    boost::asio::awaitable<Result<HandOutResult>> takeSamples(TrainerSettings trainer, std::string target);
    boost::asio::awaitable<Result<std::string>> loadSamples(HandOutResult handOut);
    Result<TrainerSettings> trainerOf(const HttpExchange& exchange) const;
    void countDelivery(const TrainerName& trainer, const HandOutResult& handOut, const Ledger& ledger);
    void countIdle(const TrainerName& trainer, Duration idle);

    NodeContext& context;
    LedgerStore& ledgers;
    SampleCollector& collector;
    WeightRoller& roller;
    mutable std::mutex lock;
    std::map<TrainerName, DeliveryTotals> totals;
};

} // namespace topaztack
