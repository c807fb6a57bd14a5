#include "weight_loader.hpp"

#include "notifier.hpp"

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

    constexpr Duration planInterval = 50ms;
    /// Added for each engine: a plan examines all of them and should take only a few per cent of a slow VM's time.
    constexpr Duration planIntervalPerEngine = 50us;
    constexpr Duration orderTimeout = 1s;
    constexpr Duration reportTimeout = 500ms;
    /// An engine that gave no answer may carry the order out later, so it is asked for its state before the next order.
    constexpr Duration firstRetryDelay = 1s;
    constexpr unsigned maxRetryDoublings = 3;
    constexpr Duration maxLoadTime = 6s;
    constexpr Duration loadCheckInterval = 50ms;
    constexpr Duration minLoadTime = 200ms;

    std::string_view outcomeName(OrderResponse outcome)
    {
        static constexpr std::array<std::string_view, 7> names { "accepted", "holds", "conflict", "fenced-off",
            "refused", "other-server", "unknown" };
        return names.at(static_cast<std::size_t>(outcome));
    }

} // namespace

WeightLoader::WeightLoader(GatewayContext& context, ServerTable& servers, JobOwner& jobs, DutyLease& lease)
    : context(context)
    , servers(servers)
    , jobs(jobs)
    , lease(lease)
    , orders(context.metrics.counter("topaztack_load_orders_total", "Orders to load weights"))
    , orderFailures(context.metrics.counter("topaztack_load_order_failures_total", "Orders that were not accepted"))
    , loadTime(context.metrics.latency("topaztack_load_seconds", "Time from an order to the new weights"))
{
}

void WeightLoader::start() { asio::co_spawn(this->context.loop(), this->plan(), asio::detached); }

WeightLoader::Engine& WeightLoader::engineOf(const ServerRecord& server)
{
    auto& engine = this->engines[server.name];
    if (engine.startedAt != server.startedAt) {
        engine = Engine {};
        engine.startedAt = server.startedAt;
    }
    return engine;
}

asio::awaitable<void> WeightLoader::plan()
{
    while (true) {
        if (this->context.routes && !this->context.isDraining && this->lease.fencingNumber()) {
            this->removeGoneEngines();
            for (const auto& pool : this->context.routes->pools) {
                if (pool.engines)
                    this->planPool(pool);
            }
        }
        co_await pauseFor(planInterval + planIntervalPerEngine * this->engines.size());
    }
}

/// Removes engines that no longer have a record, unless a load is still in progress there.
void WeightLoader::removeGoneEngines()
{
    std::erase_if(this->engines,
        [this](const auto& engine) { return !engine.second.loading && !this->servers.find(engine.first); });
}

std::size_t WeightLoader::countLoadingEngines() const
{
    return static_cast<std::size_t>(std::count_if(
        this->engines.begin(), this->engines.end(), [](const auto& engine) { return engine.second.loading; }));
}

std::map<ModelName, ModelDemand> WeightLoader::publishedModels() const
{
    std::map<ModelName, ModelDemand> models;
    for (const auto& [model, version] : this->context.publishedVersions)
        models[model] = { version, this->jobs.needsEnginesOf(model) };
    return models;
}

void WeightLoader::planPool(const PoolRecord& pool)
{
    const auto now = Clock::now();
    const auto published = this->publishedModels();
    std::vector<EngineSnapshot> planned;
    std::map<ModelName, ModelDemand> models;
    for (const auto& [name, entry] : this->servers.registry().entries) {
        const auto& server = entry.record;
        if (server.pool != pool.name || server.isLeaving)
            continue;
        const auto& engine = this->engineOf(server);
        EngineSnapshot each;
        each.name = name;
        each.loading = engine.loading;
        each.isLoadEnding = now >= engine.expectedLoadEnd;
        each.isInBackoff = now < engine.retryAt;
        for (const auto& loaded : server.models) {
            each.versions[loaded.model] = loaded.version;
            const auto wanted = published.find(loaded.model);
            if (wanted != published.end())
                models.insert(*wanted);
        }
        planned.push_back(std::move(each));
    }
    auto& pace = this->paces[pool.name];
    // Set again until the first load: servers may become known after the first plans.
    if (!pace.isBaselineMeasured && pace.loadsInWindow == 0)
        pace = initialLoadConcurrency(planned.size());
    LoadLimits limits;
    limits.maxConcurrentLoads = pace.maxConcurrentLoads;
    auto running = static_cast<std::size_t>(
        std::count_if(planned.begin(), planned.end(), [](const auto& engine) { return engine.loading.has_value(); }));
    for (auto& load : planLoads(planned, models, limits)) {
        const auto* server = this->servers.find(load.engine);
        if (!server)
            continue;
        auto& engine = this->engineOf(*server);
        engine.loading = load.model;
        engine.expectedLoadEnd = now + std::clamp(pace.baselineLoadTime, minLoadTime, maxLoadTime);
        engine.concurrentLoads = ++running;
        engine.round = pace.round;
        asio::co_spawn(this->context.loop(), this->load(*server, std::move(load)), asio::detached);
    }
}

/// Asks an engine for its state. Its record doesn't contain the number of orders, and its versions in the record lag
/// behind by up to a heartbeat.
/// @return whether it answered and is not busy.
asio::awaitable<bool> WeightLoader::queryEngine(ServerRecord server)
{
    co_await this->servers.charge(server);
    const auto sentAt = Clock::now();
    auto answered = co_await this->context.httpClient.call(
        server.endpoint, this->context.protocol.encodeReportQuery(server), Clock::now() + reportTimeout);
    if (!answered) {
        logEvent(LogLevel::Info, "engine-report-failed",
            { { "server", server.name.value() }, { "error", answered.error().error.message } });
        co_return false;
    }
    this->servers.recordAnswer(server, this->context.protocol.decodeAnswer(answered.value()), sentAt);
    const auto report = this->context.protocol.decodeReport(answered.value());
    if (!report) {
        logEvent(LogLevel::Warning, "engine-report-refused",
            { { "server", server.name.value() }, { "error", report.error().message } });
        co_return false;
    }
    this->engineOf(server).orders = report.value().orders;
    for (const auto& loaded : report.value().models)
        this->servers.recordVersion(server.name, loaded.model, loaded.version);
    co_return !report.value().isBusy;
}

asio::awaitable<OrderResponse> WeightLoader::sendOrder(ServerRecord server, PlannedLoad load)
{
    // Before the lease is looked at, since another VM may be asked.
    co_await this->servers.charge(server);
    const auto fencingNumber = this->lease.fencingNumber();
    if (!fencingNumber)
        co_return OrderResponse::FencedOff;
    LoadOrder order;
    order.model = load.model;
    order.version = load.version;
    order.mode = LoadMode::Continue;
    order.holder = this->context.identity.name;
    order.fencingNumber = *fencingNumber;
    order.expectedOrders = this->engineOf(server).orders.value_or(0);
    this->orders.add();
    const auto sentAt = Clock::now();
    const auto answered = co_await this->context.httpClient.call(
        server.endpoint, this->context.protocol.encodeOrder(order, server), Clock::now() + orderTimeout);
    if (answered)
        this->servers.recordAnswer(server, this->context.protocol.decodeAnswer(answered.value()), sentAt);
    const auto outcome = answered ? this->context.protocol.decodeOrder(answered.value()) : OrderResponse::Unknown;
    logEvent(LogLevel::Info, "load-ordered",
        { { "server", server.name.value() }, { "model", load.model.value() },
            { "version", std::to_string(load.version.value()) }, { "fence", std::to_string(fencingNumber->value()) },
            { "expected_orders", std::to_string(order.expectedOrders) },
            { "verdict", std::string(outcomeName(outcome)) },
            { "error", answered ? "" : answered.error().error.message } });
    co_return outcome;
}

/// Waits until the engine's record shows the version. The record lags behind the engine's state by at most one
/// heartbeat.
asio::awaitable<bool> WeightLoader::waitUntilLoaded(ServerRecord server, PlannedLoad load)
{
    const auto end = Clock::now() + maxLoadTime;
    co_await pauseFor(minLoadTime);
    while (Clock::now() < end) {
        const auto* current = this->servers.find(server.name);
        if (!current || current->startedAt != server.startedAt)
            co_return false;
        if (versionOf(*current, load.model) >= load.version)
            co_return true;
        co_await pauseFor(loadCheckInterval);
    }
    co_return false;
}

asio::awaitable<void> WeightLoader::load(ServerRecord server, PlannedLoad load)
{
    const auto startedAt = Clock::now();
    bool isReady = this->engineOf(server).orders.has_value();
    if (!isReady)
        isReady = co_await this->queryEngine(server);
    // The engine may have announced its departure since the load was planned.
    const auto* current = this->servers.find(server.name);
    isReady = isReady && current && !current->isLeaving;
    const auto outcome = isReady ? co_await this->sendOrder(server, load) : OrderResponse::Unknown;
    auto& engine = this->engineOf(server);
    bool isLoaded = outcome == OrderResponse::AlreadyLoaded;
    if (outcome == OrderResponse::Accepted) {
        engine.orders = engine.orders.value_or(0) + 1;
        isLoaded = co_await this->waitUntilLoaded(server, load);
    }
    if (isLoaded) {
        const auto took = Clock::now() - startedAt;
        this->loadTime.record(took);
        const auto pace = this->paces.find(server.pool);
        if (outcome == OrderResponse::Accepted && pace != this->paces.end()) {
            const auto before = pace->second.maxConcurrentLoads;
            recordLoad(pace->second, took, std::max(engine.concurrentLoads, this->countLoadingEngines()), engine.round,
                this->engines.size());
            if (pace->second.maxConcurrentLoads != before)
                logEvent(LogLevel::Info, "load-limit-changed",
                    { { "pool", server.pool.value() }, { "at_once", std::to_string(pace->second.maxConcurrentLoads) },
                        { "before", std::to_string(before) },
                        { "usual_ms", std::to_string(toMilliseconds(pace->second.baselineLoadTime).count()) } });
        }
        this->servers.recordVersion(server.name, load.model, load.version);
        engine.failures = 0;
    } else {
        this->orderFailures.add();
        const auto doublings = std::min(engine.failures, maxRetryDoublings);
        ++engine.failures;
        engine.retryAt = Clock::now() + firstRetryDelay * (1U << doublings);
        // The order may still be carried out, so the next attempt first queries the engine.
        engine.orders.reset();
    }
    engine.loading.reset();
}

json::value WeightLoader::dump() const
{
    json::object list;
    for (const auto& [name, engine] : this->engines)
        list[name.value()] = json::object { { "orders", engine.orders.value_or(0) },
            { "loading", engine.loading ? engine.loading->value() : "" }, { "failures", engine.failures } };
    json::object limits;
    for (const auto& [pool, pace] : this->paces)
        limits[pool.value()] = json::object { { "at_once", pace.maxConcurrentLoads },
            { "usual_ms", toMilliseconds(pace.baselineLoadTime).count() } };
    return json::object { { "engines", std::move(list) }, { "pools", std::move(limits) } };
}

} // namespace topaztack
