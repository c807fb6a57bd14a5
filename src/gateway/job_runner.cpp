#include "job_runner.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    /// An unchanged head is written again after this time, so that other VMs know that the job has an owner.
    constexpr Duration heartbeatInterval = 700ms;
    /// Results that are finished within this time are listed in one write.
    constexpr Duration listingInterval = 30ms;
    constexpr Duration retryInterval = 150ms;
    /// Results in one write: the store takes 100 entries and a megabyte.
    constexpr std::size_t resultsPerWrite = 40;
    constexpr std::size_t bytesPerWrite = 384UL * 1024;
    /// Without an answer of the store for this long the job may have been ended or taken over; nothing new is started.
    constexpr Duration longestSilence = 2500ms;
    /// Time for the head of an answer: an engine queues a request before its first token.
    constexpr Duration headTime = 3s;
    /// Time between two events of a generation.
    constexpr Duration eventTime = 2s;
    constexpr Duration dispatchInterval = 100ms;

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusServerError = 500;
    constexpr unsigned statusNeverDone = 422;

} // namespace

enum class ItemPhase : std::uint8_t {
    Waiting,
    Running,
    Finished,
};

/// @brief One item on its way.
struct ItemRun {
    const JobItem* item { nullptr };
    ItemPhase phase { ItemPhase::Waiting };
    std::string output;
    std::vector<WeightVersion> versions;
    std::optional<std::uint64_t> lastEvent;
    /// Answers that said that it failed.
    std::uint64_t failures { 0 };
    std::uint64_t attempts { 0 };
    TimePoint notBefore;
    std::set<BackendName> tried;
    ItemState state { ItemState::Completed };
    /// Set while it runs.
    CallControl* control { nullptr };
};

JobRunner::JobRunner(GatewayContext& context, ServerTable& servers, JobStore& store, JobSpec spec, StoredHead stored,
    const std::vector<ItemResult>& listed)
    : context(context)
    , servers(servers)
    , store(store)
    , job(std::move(spec))
    , head(std::move(stored))
    , toList(context.loop())
    , listedAt(Clock::now())
    , startedAt(Clock::now())
{
    std::set<ItemId> done;
    for (const auto& result : listed)
        done.insert(result.id);
    for (const auto& item : this->job.items) {
        if (done.contains(item.id))
            continue;
        this->items.push_back(std::make_unique<ItemRun>());
        this->items.back()->item = &item;
    }
}

JobRunner::~JobRunner() = default;

void JobRunner::start()
{
    logEvent(LogLevel::Info, "job-started",
        { { "job", this->job.id.value() }, { "model", this->job.model.value() },
            { "step", std::to_string(this->job.step.value()) },
            { "oldest_version", std::to_string(this->job.oldestVersion.value()) },
            { "items", std::to_string(this->items.size()) }, { "listed", std::to_string(this->head.head.listed) } });
    asio::co_spawn(this->context.loop(), this->dispatch(), asio::detached);
    asio::co_spawn(this->context.loop(), this->list(), asio::detached);
}

void JobRunner::stop(RunnerEnd reason)
{
    if (this->end)
        return;
    this->end = reason;
    std::size_t unfinished = 0;
    for (const auto& item : this->items) {
        unfinished += item->phase == ItemPhase::Finished ? 0 : 1;
        if (item->control)
            item->control->cancel();
    }
    static constexpr std::array<std::string_view, 4> names { "complete", "ended", "lost", "released" };
    logEvent(LogLevel::Info, "job-stopped",
        { { "job", this->job.id.value() }, { "reason", std::string(names.at(static_cast<std::size_t>(reason))) },
            { "listed", std::to_string(this->head.head.listed) }, { "unfinished", std::to_string(unfinished) },
            { "took_ms", std::to_string(toMilliseconds(Clock::now() - this->startedAt).count()) } });
    this->toList.notify();
    this->servers.changed().notify();
}

void JobRunner::noteHead(const StoredHead& stored)
{
    if (this->end || stored.version <= this->head.version)
        return;
    if (stored.head.isEnded)
        this->stop(RunnerEnd::Ended);
    else if (stored.head.owner != this->context.identity)
        this->stop(RunnerEnd::Lost);
}

void JobRunner::release()
{
    this->isReleasing = true;
    this->toList.notify();
}

const Route* JobRunner::route() const
{
    return this->context.routes ? matchRoute(*this->context.routes, this->job.host, this->job.path) : nullptr;
}

bool JobRunner::mayStart() const
{
    return !this->isReleasing && Clock::now() - this->listedAt < longestSilence;
}

ServerNeed JobRunner::needOf(const ItemRun& item, const Route& route) const
{
    ServerNeed need;
    const auto* pool = choosePool(route, stableHash(item.item->id.value()));
    if (pool)
        need.pool = *pool;
    need.tried = item.tried;
    need.model = this->job.model;
    need.oldestVersion = this->job.oldestVersion;
    if (route.isSingleVersion && !item.versions.empty())
        need.exactVersion = item.versions.front();
    const auto preferred = this->groupServers.find(item.item->group);
    if (preferred != this->groupServers.end())
        need.preferred = preferred->second;
    return need;
}

void JobRunner::startWhatFits()
{
    const auto* found = this->route();
    if (!found || !this->mayStart())
        return;
    const auto now = Clock::now();
    for (const auto& each : this->items) {
        auto& item = *each;
        if (item.phase != ItemPhase::Waiting || now < item.notBefore)
            continue;
        const auto need = this->needOf(item, *found);
        auto server = this->servers.acquire(need);
        if (!server && need.exactVersion.value() != 0)
            this->restart(item, "no server has its version");
        if (!server)
            break;
        this->groupServers[item.item->group] = server->name;
        item.phase = ItemPhase::Running;
        ++item.attempts;
        asio::co_spawn(this->context.loop(), this->run(item, std::move(*server)), asio::detached);
    }
}

asio::awaitable<void> JobRunner::dispatch()
{
    const auto self = this->shared_from_this();
    while (!this->end) {
        this->startWhatFits();
        co_await this->servers.changed().waitUntil(Clock::now() + dispatchInterval);
    }
}

void JobRunner::restart(ItemRun& item, std::string_view reason)
{
    logEvent(LogLevel::Info, "item-restarted",
        { { "job", this->job.id.value() }, { "item", item.item->id.value() }, { "reason", std::string(reason) } });
    item.output.clear();
    item.versions.clear();
    item.lastEvent.reset();
}

void JobRunner::finish(ItemRun& item, ItemState state, std::string_view reason)
{
    item.phase = ItemPhase::Finished;
    item.state = state;
    this->finished.push_back(&item);
    logEvent(state == ItemState::Completed ? LogLevel::Debug : LogLevel::Warning, "item-finished",
        { { "job", this->job.id.value() }, { "item", item.item->id.value() },
            { "state", state == ItemState::Completed ? "completed" : "aborted" }, { "reason", std::string(reason) },
            { "attempts", std::to_string(item.attempts) } });
    this->toList.notify();
}

asio::awaitable<void> JobRunner::run(ItemRun& item, ServerRecord server)
{
    const auto self = this->shared_from_this();
    CallControl control;
    item.control = &control;
    Duration unitTime {};
    auto outcome = co_await this->generate(item, server, unitTime);
    item.control = nullptr;
    if (control.isCancelled())
        outcome = ServerOutcome::Cancelled;
    if (item.phase == ItemPhase::Running) {
        item.phase = ItemPhase::Waiting;
        if (outcome == ServerOutcome::Failed)
            item.tried.insert(server.name);
    }
    this->servers.finish(server, outcome, unitTime);
}

/// What the head of an answer decides; Answered if events follow.
ServerOutcome JobRunner::takeStatus(ItemRun& item, const ServerRecord& server, const HttpResponse& response)
{
    const auto answer = this->context.protocol.decodeAnswer(response);
    if (answer.isOtherServer)
        return ServerOutcome::Replaced;
    if (answer.saysNotRun)
        return ServerOutcome::Refused;
    if (!answer.isSigned)
        return ServerOutcome::Failed;
    if (response.status == statusNeverDone) {
        this->finish(item, ItemState::Aborted, "server says it can't be done");
        return ServerOutcome::Cancelled;
    }
    if (response.status == statusServerError) {
        ++item.failures;
        const auto* found = this->route();
        if (found && item.failures >= found->maxAttempts)
            this->finish(item, ItemState::Aborted, "failed at every attempt");
        return ServerOutcome::Failed;
    }
    if (response.status != statusOk)
        return ServerOutcome::Failed;
    const auto version = answer.version.value_or(WeightVersion(0));
    if (version < this->job.oldestVersion) {
        logEvent(LogLevel::Warning, "item-version-too-old",
            { { "item", item.item->id.value() }, { "server", server.name.value() },
                { "version", std::to_string(version.value()) } });
        return ServerOutcome::Refused;
    }
    return ServerOutcome::Answered;
}

/// @return false if the event does not follow the last one.
bool JobRunner::takeEvent(ItemRun& item, const SseEvent& event, WeightVersion& version)
{
    auto decoded = this->context.protocol.decodeEvent(event);
    if (!decoded) {
        logEvent(LogLevel::Warning, "event-refused",
            { { "item", item.item->id.value() }, { "error", decoded.error().message } });
        return false;
    }
    auto& next = decoded.value();
    if (item.lastEvent && next.number != *item.lastEvent + 1)
        return false;
    version = next.version.value_or(version);
    if (item.versions.empty() || std::find(item.versions.begin(), item.versions.end(), version) == item.versions.end())
        item.versions.push_back(version);
    if (item.lastEvent)
        item.output += '\n';
    item.output += next.data;
    item.lastEvent = next.number;
    return true;
}

asio::awaitable<ServerOutcome> JobRunner::readEvents(
    ItemRun& item, const ServerRecord& server, HttpStream& stream, Duration& unitTime)
{
    const auto answer = this->context.protocol.decodeAnswer(stream.head());
    auto version = answer.version.value_or(WeightVersion(0));
    SseReader reader;
    const auto firstAt = Clock::now();
    std::uint64_t events = 0;
    while (true) {
        auto piece = co_await stream.read(Clock::now() + eventTime);
        if (!piece) {
            logEvent(LogLevel::Info, "item-broke-off",
                { { "job", this->job.id.value() }, { "item", item.item->id.value() },
                    { "server", server.name.value() },
                    { "last_event", item.lastEvent ? std::to_string(*item.lastEvent) : "none" },
                    { "error", piece.error().error.message } });
            co_return ServerOutcome::Failed;
        }
        if (piece.value().empty())
            break;
        reader.feed(piece.value());
        while (const auto event = reader.nextEvent()) {
            if (!this->takeEvent(item, *event, version)) {
                stream.cancel();
                co_return ServerOutcome::Failed;
            }
            ++events;
        }
    }
    if (events > 1)
        unitTime = (Clock::now() - firstAt) / events;
    if (reader.pending() > 0 || !item.lastEvent)
        co_return ServerOutcome::Failed;
    this->finish(item, ItemState::Completed, "whole");
    co_return ServerOutcome::Answered;
}

asio::awaitable<ServerOutcome> JobRunner::generate(ItemRun& item, const ServerRecord& server, Duration& unitTime)
{
    auto request = this->context.protocol.encodeItemRequest(this->job, *item.item, server, item.lastEvent);
    CallOptions options;
    options.control = item.control;
    options.accepts = [this, &item](const HttpResponse& response) {
        const auto answer = this->context.protocol.decodeAnswer(response);
        return answer.request.value().empty() || answer.request.value() == item.item->id.value();
    };
    logEvent(LogLevel::Debug, "item-sent",
        { { "job", this->job.id.value() }, { "item", item.item->id.value() }, { "server", server.name.value() },
            { "attempt", std::to_string(item.attempts) } });
    auto opened = co_await this->context.backends.open(
        server.endpoint, std::move(request), Clock::now() + headTime, std::move(options));
    if (!opened) {
        logEvent(LogLevel::Info, "item-not-answered",
            { { "job", this->job.id.value() }, { "item", item.item->id.value() }, { "server", server.name.value() },
                { "error", opened.error().error.message } });
        co_return ServerOutcome::Failed;
    }
    auto& stream = *opened.value();
    const auto outcome = this->takeStatus(item, server, stream.head());
    if (outcome != ServerOutcome::Answered)
        co_return outcome;
    co_return co_await this->readEvents(item, server, stream, unitTime);
}

/// Takes finished items for the next write.
std::vector<ItemResult> JobRunner::nextResults()
{
    std::vector<ItemResult> results;
    std::size_t bytes = 0;
    for (auto* item : this->finished) {
        bytes += item->output.size();
        if (results.size() == resultsPerWrite || (!results.empty() && bytes > bytesPerWrite))
            break;
        results.push_back({ item->item->id, item->state, item->output, item->versions });
    }
    this->finished.erase(this->finished.begin(), this->finished.begin() + static_cast<std::ptrdiff_t>(results.size()));
    return results;
}

JobHead JobRunner::nextHead()
{
    auto next = this->head.head;
    this->beingListed = this->nextResults();
    next.listed += this->beingListed.size();
    ++next.writes;
    if (this->isReleasing && this->finished.empty())
        next.owner = VmIdentity {};
    return next;
}

/// @return whether the pending write is known to have taken effect.
bool JobRunner::takeWrite(const JobWrite& write)
{
    const bool isOwn = write.end == JobWriteEnd::Written
        || (write.end == JobWriteEnd::Conflict && write.current && write.current->head == *this->pendingHead);
    if (isOwn) {
        this->head = *write.current;
        this->listedAt = Clock::now();
        this->beingListed.clear();
        this->pendingHead.reset();
        return true;
    }
    if (write.end != JobWriteEnd::Conflict)
        return false;
    const bool isEnded = !write.current || write.current->head.isEnded;
    this->stop(isEnded ? RunnerEnd::Ended : RunnerEnd::Lost);
    return false;
}

asio::awaitable<void> JobRunner::listOnce()
{
    if (!this->pendingHead)
        this->pendingHead = this->nextHead();
    const auto write = co_await this->store.write(
        this->job.id, this->head.version, *this->pendingHead, this->head.head.listed, this->beingListed);
    if (this->end)
        co_return;
    if (!this->takeWrite(write)) {
        if (!this->end)
            co_await pauseFor(retryInterval);
        co_return;
    }
    if (this->head.head.listed == this->head.head.total)
        this->stop(RunnerEnd::Complete);
    else if (this->head.head.owner != this->context.identity)
        this->stop(RunnerEnd::Released);
}

asio::awaitable<void> JobRunner::list()
{
    const auto self = this->shared_from_this();
    while (!this->end) {
        const bool isDue = !this->finished.empty() || this->pendingHead || this->isReleasing
            || Clock::now() - this->listedAt >= heartbeatInterval;
        if (!isDue) {
            co_await this->toList.waitUntil(this->listedAt + heartbeatInterval);
            if (!this->end && !this->isReleasing)
                co_await pauseFor(listingInterval);
            continue;
        }
        co_await this->listOnce();
    }
}

json::value JobRunner::dump() const
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    for (const auto& item : this->items) {
        running += item->phase == ItemPhase::Running ? 1 : 0;
        waiting += item->phase == ItemPhase::Waiting ? 1 : 0;
    }
    return json::object { { "job", this->job.id.value() }, { "step", this->job.step.value() },
        { "listed", this->head.head.listed }, { "total", this->head.head.total }, { "running", running },
        { "waiting", waiting } };
}

} // namespace topaztack
