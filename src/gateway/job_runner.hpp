#pragma once

#include "context.hpp"
#include "job_store.hpp"
#include "notifier.hpp"
#include "server_table.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <memory>
#include <vector>

/// @file
/// Runs the items of one job that this VM owns, and lists their results in the store.

namespace topaztack {

struct ItemRun;

/// @brief Why a runner stopped.
enum class RunnerEnd : std::uint8_t {
    /// Every item is listed.
    Complete,
    /// The trainer ended the job, or its route is gone.
    Ended,
    /// Another VM owns the job now.
    Lost,
    /// This VM gave it up for another one.
    Released,
};

class JobRunner : public std::enable_shared_from_this<JobRunner> {
public:
    /// @param head as this VM wrote it.
    /// @param listed results that stand in the store already.
    JobRunner(GatewayContext& context, ServerTable& servers, JobStore& store, JobSpec job, StoredHead head,
        const std::vector<ItemResult>& listed);
    ~JobRunner();

    void start();

    /// @brief The head as read from the store.
    void noteHead(const StoredHead& head);

    /// @brief Gives the job up, so that another VM goes on with it at once.
    void release();

    bool isStopped() const { return this->end.has_value(); }
    const JobSpec& spec() const { return this->job; }
    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> dispatch();
    boost::asio::awaitable<void> list();
    boost::asio::awaitable<void> listOnce();
    boost::asio::awaitable<void> run(ItemRun& item, ServerRecord server);
    boost::asio::awaitable<ServerOutcome> generate(ItemRun& item, const ServerRecord& server, Duration& unitTime);
    boost::asio::awaitable<ServerOutcome> readEvents(
        ItemRun& item, const ServerRecord& server, HttpStream& stream, Duration& unitTime);
    ServerOutcome takeStatus(ItemRun& item, const ServerRecord& server, const HttpResponse& head);
    bool takeEvent(ItemRun& item, const SseEvent& event, WeightVersion& version);
    void restart(ItemRun& item, std::string_view reason);
    void finish(ItemRun& item, ItemState state, std::string_view reason);
    void startWhatFits();
    bool mayStart() const;
    ServerNeed needOf(const ItemRun& item, const Route& route) const;
    const Route* route() const;
    void stop(RunnerEnd reason);
    std::vector<ItemResult> nextResults();
    JobHead nextHead();
    bool takeWrite(const JobWrite& write);

    GatewayContext& context;
    ServerTable& servers;
    JobStore& store;
    const JobSpec job;
    StoredHead head;
    std::vector<std::unique_ptr<ItemRun>> items;
    /// Finished items in the order in which they will be listed.
    std::vector<ItemRun*> finished;
    /// The write under way, repeated as it is until it is known what became of it.
    std::optional<JobHead> pendingHead;
    std::vector<ItemResult> beingListed;
    std::map<GroupId, BackendName> groupServers;
    Notifier toList;
    std::optional<RunnerEnd> end;
    bool isReleasing { false };
    TimePoint listedAt;
    TimePoint startedAt;
};

} // namespace topaztack
