#include <topaztack/gateway/gateway.hpp>

#include "call_carrier.hpp"
#include "caller_access.hpp"
#include "context.hpp"
#include "crash_records.hpp"
#include "duty_lease.hpp"
#include "error_responses.hpp"
#include "forwarder.hpp"
#include "item_dispatcher.hpp"
#include "job_calls.hpp"
#include "job_owner.hpp"
#include "job_service.hpp"
#include "job_store.hpp"
#include "peer_directory.hpp"
#include "peer_relay.hpp"
#include "pool_scaler.hpp"
#include "request_queue.hpp"
#include "request_quota.hpp"
#include "requests_in_hand.hpp"
#include "server_identity.hpp"
#include "server_reach.hpp"
#include "server_table.hpp"
#include "software_records.hpp"
#include "store_watch.hpp"
#include "stream_forwarder.hpp"
#include "stream_origins.hpp"
#include "suspect_gate.hpp"
#include "table_follower.hpp"
#include "usage_counter.hpp"
#include "usage_reporter.hpp"
#include "weight_loader.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/wire/http_router.hpp>
#include <topaztack/wire/server_share.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <thread>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    /// Long-poll time of the store's feeds. Together with the time limit of a call it bounds the time for which a
    /// silent connection goes unnoticed.
    constexpr std::chrono::milliseconds configurationFeedWait { 500 };
    constexpr std::chrono::milliseconds serversFeedWait { 500 };
    /// Heartbeats of the backend servers change this table constantly; the pause lets several of them share one
    /// response.
    constexpr std::chrono::milliseconds serversFeedPause { 200 };
    constexpr Duration expiryInterval = 100ms;
    constexpr unsigned statusUnauthorised = 401;
    constexpr Duration shutdownCheckInterval = 10ms;
    constexpr std::chrono::milliseconds overloadRetryAfter { 1000 };

    FollowOptions followOptions(std::string table, std::chrono::milliseconds wait, std::chrono::milliseconds pause)
    {
        FollowOptions options;
        options.table = std::move(table);
        options.parts.emplace_back();
        options.wait = wait;
        options.pause = pause;
        return options;
    }

    json::object dumpConnections(const HttpServer& server)
    {
        return { { "open", server.openConnections() }, { "in_flight", server.inFlight() },
            { "held_bytes", server.heldBytes() } };
    }

    asio::awaitable<void> respondWithText(HttpExchange& exchange, std::string contentType, std::string body)
    {
        HttpResponse response;
        response.headers.push_back({ "Content-Type", std::move(contentType) });
        response.body = std::move(body);
        co_await exchange.respond(std::move(response));
    }

} // namespace

struct Gateway::Parts {
    Parts(VmSettings settings, VmIdentity identity, const GatewayProtocol& protocol);

    void addOperatorRoutes();
    void applyOperatorRows(const std::vector<StoreRow>& rows);
    void applyConfiguration(const StoreRow& row);
    void applyPublishedVersion(const StoreRow& row);
    HttpServerLimits callerLimits() const;
    HttpServerLimits limitsOf(CallOrigin origin) const;
    asio::awaitable<void> handle(HttpExchange& exchange);
    asio::awaitable<void> handlePeer(HttpExchange& exchange);
    std::optional<HttpResponse> refuseWhileDraining(const CallerRequest& call, const Route& route) const;
    asio::awaitable<void> handleRoute(HttpExchange& exchange, CallerRequest call);
    asio::awaitable<void> handleJobCall(HttpExchange& exchange, CallerRequest call);
    asio::awaitable<void> forward(
        HttpExchange& exchange, const CallerRequest& call, const Route& route, CallOrigin origin);
    asio::awaitable<bool> handleCarried(HttpExchange& exchange);
    asio::awaitable<void> expire();
    asio::awaitable<void> handOver(TimePoint deadline);
    DutyLeaseOptions platformDutyOptions() const;
    json::value dump() const;

    GatewayContext context;
    CallerAccess access;
    PeerDirectory peers;
    RequestQuota quota;
    CrashRecords crashes;
    SoftwareRecords software;
    ServerTable servers;
    SuspectGate suspects;
    ServerReach reach;
    CallCarrier carrier;
    StreamOrigins streamOrigins;
    ServerIdentity identity;
    UsageCounter usage;
    StreamForwarder streams;
    JobStore jobStore;
    ItemDispatcher dispatcher;
    StoreWatch storeWatch;
    JobOwner jobs;
    JobService jobService;
    RequestQueue requestQueue;
    Forwarder forwarder;
    DutyLease lease;
    DutyLease platformDuties;
    UsageReporter usageReporter;
    WeightLoader weights;
    PoolScaler scaler;
    PeerRelay peerRelay;
    JobCalls jobCalls;
    RequestsInHand requestsInHand;
    TableFollower operatorRows;
    TableFollower serverRows;
    HttpRouter operatorRoutes;
    HttpServer callerServer;
    HttpServer operatorServer;
    HttpServer peerServer;
};

Gateway::Parts::Parts(VmSettings settings, VmIdentity identity, const GatewayProtocol& protocol)
    : context(std::move(settings), std::move(identity), protocol)
    , access(this->context, [this] { return this->operatorRows.answeredAt(); })
    , peers(this->context)
    , quota(this->context, this->peers)
    , crashes(this->context, [this](const ServerStart& server) { this->servers.markEnded(server); })
    , software(this->context)
    , servers(this->context, this->quota, this->crashes, this->software, this->peers)
    , suspects(this->context, this->servers, this->crashes)
    , reach(this->context, this->servers, this->peers)
    , carrier(this->context, this->reach)
    , streamOrigins(this->context, this->peers)
    , identity(this->context)
    , usage(this->context, this->peers)
    , streams(this->context, this->servers, this->identity, this->streamOrigins, this->software, this->suspects,
          this->reach, this->carrier, this->usage)
    , jobStore(this->context)
    , dispatcher(this->context, this->servers, this->streams)
    , storeWatch(this->context, this->peers)
    , jobs(this->context, this->servers, this->jobStore, this->dispatcher, this->peers, this->storeWatch)
    , jobService(this->context, this->jobStore, this->jobs)
    , requestQueue(this->context, this->servers, this->suspects, this->reach, this->peers)
    , forwarder(
          this->context, this->servers, this->suspects, this->reach, this->carrier, this->requestQueue, this->usage)
    , lease(this->context, orderLeaseOptions(this->context.settings))
    , platformDuties(this->context, this->platformDutyOptions())
    , usageReporter(this->context, this->peers, this->usage, this->platformDuties)
    , weights(this->context, this->servers, this->jobs, this->lease)
    , scaler(this->context, this->servers, this->jobs, this->peers, this->reach, this->platformDuties,
          [this] { return this->serverRows.answeredAt(); })
    , peerRelay(this->context, this->peers)
    , jobCalls(this->context, this->jobService, this->peerRelay, this->storeWatch, this->access)
    , operatorRows(this->context, followOptions(protocol.storeLayout.operatorTable, configurationFeedWait, 0ms),
          [this](const std::vector<StoreRow>& rows, bool) { this->applyOperatorRows(rows); })
    , serverRows(this->context, followOptions(protocol.storeLayout.serversTable, serversFeedWait, serversFeedPause),
          [this](const std::vector<StoreRow>& rows, bool isFullTable) { this->servers.applyRows(rows, isFullTable); })
    , callerServer(
          this->context.threads, this->context.settings.callers, [this] { return this->limitsOf(CallOrigin::Caller); },
          [this](HttpExchange& exchange) { return this->handle(exchange); }, this->context.metrics, "callers")
    , operatorServer(
          this->context.threads, this->context.settings.operators,
          [this] { return limitToShare({}, ServedPort::Operators, this->context.settings); },
          [this](HttpExchange& exchange) { return this->operatorRoutes.handle(exchange); }, this->context.metrics,
          "operators")
    , peerServer(
          this->context.threads, this->context.settings.peers, [this] { return this->limitsOf(CallOrigin::Peer); },
          [this](HttpExchange& exchange) { return this->handlePeer(exchange); }, this->context.metrics, "peers")
{
    this->addOperatorRoutes();
}

void Gateway::Parts::addOperatorRoutes()
{
    this->operatorRoutes.add("GET", std::string(this->context.protocol.readinessPath),
        [this](HttpExchange& exchange) -> asio::awaitable<void> {
            if (this->context.routes && !this->context.isDraining)
                co_await respondWithText(exchange, "text/plain", "ready\n");
            else
                co_await exchange.respond(
                    errorResponse(makeError(ErrorKind::NotReady, "no configuration yet, or draining")));
        });
    this->operatorRoutes.add("GET", "/metrics", [this](HttpExchange& exchange) {
        this->context.metrics.gauge("topaztack_log_lines_dropped", "Log lines dropped because the reader was slow")
            .set(static_cast<std::int64_t>(droppedLogLines()));
        this->context.metrics.gauge("topaztack_backend_connections", "Connections made to backend servers so far")
            .set(static_cast<std::int64_t>(this->context.httpClient.connectionsMade()));
        this->context.metrics
            .gauge("topaztack_answer_bytes_held", "Bytes of answers that are being read and not passed on")
            .set(static_cast<std::int64_t>(this->context.httpClient.answerBudget()->used));
        return respondWithText(exchange, "text/plain; version=0.0.4", this->context.metrics.prometheusText());
    });
    this->operatorRoutes.add("GET", "/debug/state", [this](HttpExchange& exchange) {
        return respondWithText(exchange, "application/json", json::serialize(this->dump()));
    });
}

/// Few VMs, in different data centres, watch the lease closely.
DutyLeaseOptions Gateway::Parts::platformDutyOptions() const
{
    auto options = platformDutyLeaseOptions(this->context.settings);
    options.isPreferred = [this] {
        const auto preferred = this->peers.keepersOf("platform-duties");
        return std::any_of(preferred.begin(), preferred.end(),
            [this](const auto& vm) { return vm.vm.name == this->context.identity.name; });
    };
    return options;
}

json::value Gateway::Parts::dump() const
{
    json::object dump { { "vm", this->context.identity.name.value() },
        { "incarnation", toHex(this->context.identity.incarnation.value()) },
        { "configuration", this->context.routes ? this->context.routes->version.value() : 0 },
        { "draining", this->context.isDraining },
        { "connections",
            json::object { { "callers", dumpConnections(this->callerServer) },
                { "operators", dumpConnections(this->operatorServer) },
                { "peers", dumpConnections(this->peerServer) } } },
        { "servers", this->servers.dump() }, { "limits", this->quota.dump() }, { "queues", this->requestQueue.dump() },
        { "suspects", this->crashes.dump() }, { "software", this->software.dump() }, { "cut_off", this->reach.dump() },
        { "jobs", this->jobs.dump() }, { "lease", this->lease.dump() }, { "weights", this->weights.dump() },
        { "peers", this->peers.dump() } };
    const auto& duties = this->context.settings.duties;
    if (duties.reportsUsage || duties.ordersServers)
        dump["duties"] = json::object { { "lease", this->platformDuties.dump() }, { "counts", this->usage.dump() },
            { "reports", this->usageReporter.dump() } };
    if (duties.ordersServers)
        dump["scaling"] = this->scaler.dump();
    return dump;
}

HttpServerLimits Gateway::Parts::callerLimits() const
{
    HttpServerLimits limits;
    if (!this->context.routes)
        return limits;
    const auto& bounds = this->context.routes->callers;
    if (bounds.maxHeader > 0)
        limits.maxHeader = bounds.maxHeader;
    if (bounds.maxBody > 0)
        limits.maxBody = bounds.maxBody;
    if (bounds.idleTime > 0ms)
        limits.idle = bounds.idleTime;
    return limits;
}

HttpServerLimits Gateway::Parts::limitsOf(CallOrigin origin) const
{
    const auto port = origin == CallOrigin::Caller ? ServedPort::Callers : ServedPort::Peers;
    return limitToShare(this->callerLimits(), port, this->context.settings);
}

void Gateway::Parts::applyOperatorRows(const std::vector<StoreRow>& rows)
{
    for (const auto& row : rows) {
        if (row.isRemoved)
            continue;
        if (row.place.key == this->context.protocol.storeLayout.configurationKey)
            this->applyConfiguration(row);
        else if (row.place.key.starts_with(this->context.protocol.storeLayout.publishedVersionPrefix))
            this->applyPublishedVersion(row);
    }
}

void Gateway::Parts::applyConfiguration(const StoreRow& row)
{
    auto decoded = this->context.protocol.decodeConfiguration(row.value);
    if (!decoded) {
        logEvent(LogLevel::Error, "configuration-refused", { { "error", decoded.error().message } });
        return;
    }
    const auto known = this->context.routes ? this->context.routes->version.value() : 0;
    const auto newVersion = decoded.value()->version.value();
    if (newVersion <= known)
        return;
    logEvent(LogLevel::Info, "configuration-taken",
        { { "version", std::to_string(newVersion) }, { "before", std::to_string(known) },
            { "routes", std::to_string(decoded.value()->routes.size()) } });
    for (const auto& key : decoded.value()->keys.unusable) {
        std::string workspaces;
        for (const auto& name : key.workspaces)
            workspaces += (workspaces.empty() ? "" : ",") + name.value();
        logEvent(LogLevel::Warning, "workspace-key-unusable",
            { { "configuration", std::to_string(newVersion) }, { "workspaces", workspaces },
                { "reason", key.reason } });
    }
    this->context.routes = std::move(decoded).value();
    this->servers.changed().notify();
}

void Gateway::Parts::applyPublishedVersion(const StoreRow& row)
{
    const auto decoded = this->context.protocol.decodePublishedVersion(row.place.key, row.value);
    if (!decoded) {
        logEvent(LogLevel::Error, "published-version-refused", { { "error", decoded.error().message } });
        return;
    }
    auto& known = this->context.publishedVersions[decoded.value().model];
    if (decoded.value().version <= known)
        return;
    known = decoded.value().version;
    logEvent(LogLevel::Info, "version-published",
        { { "model", decoded.value().model.value() }, { "version", std::to_string(known.value()) } });
}

asio::awaitable<void> Gateway::Parts::handle(HttpExchange& exchange)
{
    const auto call = this->context.protocol.decodeCall(exchange.request());
    if (!call)
        co_await exchange.respond(errorResponse(call.error()));
    else if (call.value().action == CallerAction::Route)
        co_await this->handleRoute(exchange, call.value());
    else
        co_await this->handleJobCall(exchange, call.value());
}

asio::awaitable<void> Gateway::Parts::handleJobCall(HttpExchange& exchange, CallerRequest call)
{
    auto response = this->access.admit(call, nullptr);
    if (!response)
        response = co_await this->jobCalls.answer(exchange, call, nullptr);
    const bool lacksKey = response->status == statusUnauthorised && call.access != AccessVerdict::Admitted;
    if (lacksKey)
        response = this->access.refuse(call);
    co_await exchange.respond(std::move(*response));
}

asio::awaitable<void> Gateway::Parts::handlePeer(HttpExchange& exchange)
{
    const auto path = targetPath(exchange.request().target);
    if (path == requestQuotaPath) {
        co_await exchange.respond(this->quota.answer(exchange.request()));
        co_return;
    }
    if (path == workspaceUsePath) {
        co_await exchange.respond(this->requestQueue.answer(exchange.request()));
        co_return;
    }
    if (path == streamOriginPath) {
        co_await exchange.respond(this->streamOrigins.answer(exchange.request()));
        co_return;
    }
    if (path == poolUsagePath) {
        co_await exchange.respond(this->scaler.answer());
        co_return;
    }
    if (path == usageCountsPath || path == usageQueryPath) {
        co_await exchange.respond(this->usage.answer(exchange.request()));
        co_return;
    }
    if (path == serverReachPath) {
        auto response = co_await this->reach.answer(exchange.request());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const bool isForwarded = co_await this->handleCarried(exchange);
    if (!isForwarded)
        co_await this->jobCalls.handlePeer(exchange);
}

/// Forwards a request that another VM passed on since it reaches no server.
/// @return false if it is no such request.
asio::awaitable<bool> Gateway::Parts::handleCarried(HttpExchange& exchange)
{
    const auto decoded = this->context.protocol.decodeCall(exchange.request());
    if (!decoded || decoded.value().action != CallerAction::Route)
        co_return false;
    const auto table = this->context.routes;
    auto call = decoded.value();
    const auto* route = table ? matchRoute(*table, call.host, targetPath(exchange.request().target)) : nullptr;
    if (!route || route->kind == RouteKind::Batch)
        co_return false;
    auto refusal = this->access.admitFromPeer(exchange.request(), call);
    if (refusal) {
        co_await exchange.respond(std::move(*refusal));
        co_return true;
    }
    if (this->context.isDraining) {
        const auto error = makeError(ErrorKind::ShuttingDown, "this VM is leaving");
        co_await exchange.respond(notRunResponse(error, call.id, notReadyRetryAfter));
        co_return true;
    }
    co_await this->forward(exchange, call, *route, CallOrigin::Peer);
    co_return true;
}

asio::awaitable<void> Gateway::Parts::forward(
    HttpExchange& exchange, const CallerRequest& call, const Route& route, CallOrigin origin)
{
    const RequestsInHand::Entry entry(this->requestsInHand, route.name, this->limitsOf(origin).maxConnections);
    if (!entry.isAdmitted()) {
        co_await exchange.respond(
            notRunResponse(makeError(ErrorKind::Overloaded, "too many requests of the route are in hand"), call.id,
                overloadRetryAfter));
        co_return;
    }
    if (route.kind == RouteKind::Streaming)
        co_await this->streams.handle(exchange, call, route, origin);
    else
        co_await this->forwarder.handle(exchange, call, route, origin);
}

/// A response if the request might be cut off because this VM is about to end; its caller retries it at another one.
std::optional<HttpResponse> Gateway::Parts::refuseWhileDraining(const CallerRequest& call, const Route& route) const
{
    const auto now = Clock::now();
    const auto requestEnd = now + std::min(call.timeLimit.value_or(route.timeout), route.timeout);
    if (!this->context.drain || mayTakeRequest(*this->context.drain, now, requestEnd))
        return std::nullopt;
    const auto error = makeError(ErrorKind::ShuttingDown, "this VM ends before the request's time limit");
    return notRunResponse(error, call.id, 0ms);
}

asio::awaitable<void> Gateway::Parts::handleRoute(HttpExchange& exchange, CallerRequest call)
{
    // Keeps the table alive for the whole request: a newer configuration may replace it meanwhile.
    const auto table = this->context.routes;
    const auto* route = table ? matchRoute(*table, call.host, targetPath(exchange.request().target)) : nullptr;
    if (!route && table && !this->access.isConfigurationStale()) {
        co_await exchange.respond(errorResponse(
            makeError(ErrorKind::UnknownPath, "no route for this host and path", "use a route of the configuration"),
            call.id.value()));
        co_return;
    }
    if (!route) {
        co_await exchange.respond(
            notRunResponse(makeError(ErrorKind::NotReady, "no configuration of late"), call.id, notReadyRetryAfter));
        co_return;
    }
    auto refusal = this->access.admit(call, route);
    if (refusal) {
        co_await exchange.respond(std::move(*refusal));
        co_return;
    }
    if (route->kind == RouteKind::Batch && exchange.request().method == "POST") {
        co_await exchange.respond(co_await this->jobCalls.answer(exchange, call, route));
        co_return;
    }
    refusal = this->refuseWhileDraining(call, *route);
    if (refusal)
        co_await exchange.respond(std::move(*refusal));
    else
        co_await this->forward(exchange, call, *route, CallOrigin::Caller);
}

asio::awaitable<void> Gateway::Parts::expire()
{
    while (true) {
        this->servers.expire();
        this->quota.expire();
        this->crashes.expire();
        this->streamOrigins.expire();
        this->requestQueue.expire();
        co_await pauseFor(expiryInterval);
    }
}

asio::awaitable<void> Gateway::Parts::handOver(TimePoint deadline)
{
    co_await this->lease.release(deadline);
    co_await this->platformDuties.release(deadline);
    co_await this->jobs.releaseAll(deadline);
    co_await this->peers.withdraw();
}

Gateway::Gateway(VmSettings settings, VmIdentity identity, const GatewayProtocol& protocol)
    : parts(std::make_unique<Parts>(std::move(settings), std::move(identity), protocol))
{
}

Gateway::~Gateway() { this->parts->context.threads.stop(); }

Result<void> Gateway::start()
{
    auto& parts = *this->parts;
    BOOST_OUTCOME_TRYV(parts.callerServer.start());
    BOOST_OUTCOME_TRYV(parts.operatorServer.start());
    BOOST_OUTCOME_TRYV(parts.peerServer.start());
    parts.operatorRows.start();
    parts.serverRows.start();
    parts.dispatcher.start();
    parts.jobs.start();
    parts.lease.start();
    parts.platformDuties.start();
    parts.usage.start();
    parts.usageReporter.start();
    parts.weights.start();
    parts.scaler.start();
    parts.peers.start();
    parts.crashes.start();
    parts.storeWatch.start();
    asio::co_spawn(parts.context.loop(), parts.expire(), asio::detached);
    parts.context.threads.start();
    logEvent(LogLevel::Info, "serving",
        { { "callers", toText(parts.context.settings.callers) },
            { "operators", toText(parts.context.settings.operators) },
            { "store", toText(parts.context.settings.platform) } });
    return boost::outcome_v2::success();
}

void Gateway::shutDown()
{
    auto& parts = *this->parts;
    auto& loop = parts.context.loop();
    const auto drain = planDrain(Clock::now(), parts.context.settings.gateway.shutdownTime);
    logEvent(LogLevel::Info, "draining", { { "in_flight", std::to_string(parts.callerServer.inFlight()) } });
    asio::post(loop, [&parts, drain] {
        parts.context.isDraining = true;
        parts.context.drain = drain;
    });
    // Callers with kept connections leave with their next answer, before requests are refused here.
    parts.callerServer.announceClose();
    asio::co_spawn(loop, parts.handOver(drain.outOfRotationAt), asio::use_future).wait();
    std::this_thread::sleep_until(drain.outOfRotationAt);
    parts.callerServer.stopAccepting();
    const auto isAnswering = [&parts] { return parts.callerServer.inFlight() > 0 || parts.peerServer.inFlight() > 0; };
    const auto isServing
        = [&] { return parts.callerServer.isAccepting() || parts.callerServer.openConnections() > 0 || isAnswering(); };
    while (isServing() && Clock::now() < drain.abandonAt)
        std::this_thread::sleep_for(shutdownCheckInterval);
    const auto abandoned = parts.callerServer.inFlight() + parts.peerServer.inFlight();
    asio::post(loop, [&parts] {
        parts.forwarder.abandonAll();
        parts.streams.abandonAll();
    });
    const auto stopped = makeError(ErrorKind::ShuttingDown, "this VM stopped before there was an answer");
    const auto unanswered = mayHaveRunResponse(stopped, RequestId());
    while (isAnswering() && Clock::now() < drain.endsAt) {
        std::this_thread::sleep_for(shutdownCheckInterval);
        if (Clock::now() < drain.answerAt)
            continue;
        parts.callerServer.answerPending(unanswered);
        parts.peerServer.answerPending(unanswered);
    }
    logEvent(LogLevel::Info, "stopped",
        { { "abandoned", std::to_string(abandoned) }, { "cut_off", std::to_string(parts.callerServer.inFlight()) } });
    parts.operatorServer.stopAccepting();
    parts.peerServer.stopAccepting();
    parts.context.threads.stop();
}

} // namespace topaztack
