#include "pool_scaler.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr Duration decisionInterval = 1s;
    constexpr Duration reportTimeout = 300ms;
    /// A question and its answer take about 900 bytes with their packets, so that 16 a second stay well under the
    /// traffic that a VM may cause.
    constexpr std::size_t maxAskedPerStep = 16;
    /// Decisions rest on the VMs that were asked during this time; in a larger deployment they are a sample.
    constexpr Duration reportLifetime = 6s;
    constexpr std::size_t maxExpectedReports = maxAskedPerStep * 5;
    /// Orders take at most this part of the calls that the platform takes from all VMs; the rest is for reports.
    constexpr double orderCallFraction = 0.5;
    constexpr Duration minOrderInterval = 1s;
    constexpr Duration limitedPause = 1s;
    /// A data centre that has no servers of a kind is not asked again for this long.
    constexpr Duration unavailablePause = 5s;
    /// An order that the platform calls malformed would be refused again.
    constexpr Duration refusedPause = 60s;
    constexpr unsigned maxFailureDoublings = 3;
    /// After this many calls without an answer another VM may reach the platform.
    constexpr unsigned failuresToYield = 6;
    constexpr Duration yieldTime = 10s;
    /// Least time between two writes of counts that were not ordered: servers are listed one after the other.
    constexpr Duration unorderedSaveInterval = 5s;
    constexpr unsigned statusOk = 200;

    std::string_view responseName(DutyResponse response)
    {
        static constexpr std::array<std::string_view, 5> names { "accepted", "unavailable", "limited", "refused",
            "unknown" };
        return names.at(static_cast<std::size_t>(response));
    }

    std::string_view kindName(const ServerGroup& group) { return group.isReclaimable ? "reclaimable" : "regular"; }

    StoreRange ordersRange()
    {
        StoreRange range;
        range.table = std::string(serverOrdersTable);
        return range;
    }

    StoreRowKey rowKeyOf(const PoolName& pool, const ServerGroup& group)
    {
        return { std::string(serverOrdersTable), "",
            pool.value() + "/" + group.dataCentre.value() + "/" + std::string(kindName(group)) };
    }

    std::string encodeOrder(const PoolName& pool, const ServerGroup& group, const GroupOrder& order,
        std::chrono::milliseconds raisedAt, FencingNumber fence)
    {
        return json::serialize(json::object { { "pool", pool.value() }, { "data_centre", group.dataCentre.value() },
            { "reclaimable", group.isReclaimable }, { "count", order.count }, { "before", order.countBefore },
            { "confirmed", order.isConfirmed }, { "ordered", order.isOrdered }, { "raised_by", order.raisedBy },
            { "listed", order.listedAtRaise }, { "raised_ms", raisedAt.count() }, { "fence", fence.value() } });
    }

    struct DecodedOrder {
        PoolName pool;
        ServerGroup group;
        GroupOrder order;
        /// By the store's steady clock; 0 if unknown.
        std::chrono::milliseconds raisedAt { 0 };
    };

    std::optional<DecodedOrder> decodeOrder(std::string_view text)
    {
        try {
            const auto value = json::parse(text);
            DecodedOrder decoded;
            decoded.pool = PoolName(json::value_to<std::string>(value.at("pool")));
            decoded.group.dataCentre = DataCentre(json::value_to<std::string>(value.at("data_centre")));
            decoded.group.isReclaimable = value.at("reclaimable").as_bool();
            decoded.order.count = value.at("count").to_number<std::uint64_t>();
            decoded.order.countBefore = value.at("before").to_number<std::uint64_t>();
            decoded.order.isConfirmed = value.at("confirmed").as_bool();
            decoded.order.isOrdered = value.at("ordered").as_bool();
            decoded.order.raisedBy = value.at("raised_by").to_number<std::uint64_t>();
            decoded.order.listedAtRaise = value.at("listed").to_number<std::uint64_t>();
            decoded.raisedAt = std::chrono::milliseconds(value.at("raised_ms").to_number<std::int64_t>());
            return decoded;
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

    json::object encodeUsage(const PoolUsage& usage)
    {
        return { { "running", usage.running }, { "waiting", usage.waiting }, { "refused", usage.refusedPerSecond },
            { "answer_us", std::chrono::duration_cast<std::chrono::microseconds>(usage.answerTime).count() },
            { "generations", usage.generations }, { "tokens", usage.tokens } };
    }

    PoolUsage decodeUsage(const json::value& value)
    {
        PoolUsage usage;
        usage.running = value.at("running").to_number<std::uint64_t>();
        usage.waiting = value.at("waiting").to_number<std::uint64_t>();
        usage.refusedPerSecond = value.at("refused").to_number<double>();
        usage.answerTime = std::chrono::microseconds(value.at("answer_us").to_number<std::int64_t>());
        usage.generations = value.at("generations").to_number<std::uint64_t>();
        usage.tokens = value.at("tokens").to_number<std::uint64_t>();
        return usage;
    }

    /// @return nothing if the text is malformed.
    std::optional<std::map<PoolName, PoolUsage>> decodeUsages(std::string_view text)
    {
        try {
            std::map<PoolName, PoolUsage> usages;
            const auto value = json::parse(text);
            for (const auto& [pool, usage] : value.as_object())
                usages[PoolName(std::string(pool))] = decodeUsage(usage);
            return usages;
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

    /// Sums the load of the VMs that reported. The mean time of an answer is weighted by the requests.
    class UsageSum {
    public:
        void add(const PoolUsage& usage)
        {
            this->sum.running += usage.running;
            this->sum.waiting += usage.waiting;
            this->sum.refusedPerSecond += usage.refusedPerSecond;
            this->sum.generations += usage.generations;
            this->sum.tokens += usage.tokens;
            const auto weight = static_cast<double>(usage.running) + usage.refusedPerSecond;
            this->weights += weight;
            this->answerSeconds += weight * std::chrono::duration<double>(usage.answerTime).count();
        }

        PoolUsage total() const
        {
            auto result = this->sum;
            if (this->weights > 0)
                result.answerTime = std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(this->answerSeconds / this->weights));
            return result;
        }

    private:
        PoolUsage sum;
        double weights { 0 };
        double answerSeconds { 0 };
    };

    /// Generations that an engine takes at once: its slots, or fewer if its memory is full before.
    double slotsOf(const PoolRecord& pool, double slots, const PoolUsage& usage)
    {
        if (!pool.engines || pool.engines->cacheTokens == 0 || usage.generations == 0 || usage.tokens == 0)
            return slots;
        const auto meanTokens = static_cast<double>(usage.tokens) / static_cast<double>(usage.generations);
        return std::clamp(static_cast<double>(pool.engines->cacheTokens) / meanTokens, 1.0, std::max(1.0, slots));
    }

    /// With one decimal; the values are not negative.
    std::string formatNumber(double value)
    {
        const auto tenths = std::lround(value * 10);
        return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
    }

} // namespace

PoolScaler::PoolScaler(GatewayContext& context, ServerTable& servers, JobOwner& jobs, const PeerDirectory& peers,
    const ServerReach& reach, DutyLease& lease, std::function<TimePoint()> storeAnsweredAt)
    : context(context)
    , servers(servers)
    , jobs(jobs)
    , peers(peers)
    , reach(reach)
    , lease(lease)
    , storeAnsweredAt(std::move(storeAnsweredAt))
    , orders(context.metrics.counter("topaztack_server_orders_total", "Orders for servers sent to the platform"))
    , orderFailures(context.metrics.counter(
          "topaztack_server_order_failures_total", "Orders for servers that the platform did not accept"))
{
}

void PoolScaler::start()
{
    if (this->context.settings.duties.ordersServers)
        asio::co_spawn(this->context.loop(), this->run(), asio::detached);
}

PoolScaler::Pool& PoolScaler::poolOf(const PoolName& name)
{
    auto& pool = this->pools[name];
    if (!pool.needed) {
        const auto labels = "pool=\"" + name.value() + "\"";
        pool.needed = &this->context.metrics.gauge(
            "topaztack_servers_needed", "Servers needed, as the VM that orders servers computes them", labels);
        pool.present = &this->context.metrics.gauge("topaztack_servers_present",
            "Servers that serve or were ordered, as the VM that orders servers sees them", labels);
    }
    return pool;
}

asio::awaitable<void> PoolScaler::run()
{
    while (true) {
        const auto startedAt = Clock::now();
        const auto fence = this->lease.fencingNumber();
        if (fence && this->context.routes && !this->context.isDraining)
            co_await this->step(*fence);
        const auto left = decisionInterval - (Clock::now() - startedAt);
        co_await pauseFor(std::max<Duration>(left, 50ms));
    }
}

asio::awaitable<void> PoolScaler::step(FencingNumber fence)
{
    if (this->loadedFence != fence) {
        this->loadedFence.reset();
        const bool isLoaded = co_await this->load();
        if (!isLoaded)
            co_return;
        this->loadedFence = fence;
    }
    co_await this->askPeers();
    this->dropOldReports();
    const auto table = this->context.routes;
    for (const auto& record : table->pools) {
        if (record.scaling)
            this->decide(record, this->poolOf(record.name), fence);
    }
    if (Clock::now() - this->unorderedSavedAt >= unorderedSaveInterval)
        co_await this->saveUnordered(fence);
}

/// Reads what earlier holders ordered.
asio::awaitable<bool> PoolScaler::load()
{
    const auto rows = co_await this->context.store.read(ordersRange());
    if (!rows) {
        logEvent(LogLevel::Warning, "server-orders-not-read", { { "error", rows.error().message } });
        co_return false;
    }
    const auto now = Clock::now();
    this->loadedAt = now;
    this->loadedStoreTime = rows.value().storeTime;
    this->pools.clear();
    for (const auto& row : rows.value().rows) {
        auto decoded = decodeOrder(row.value);
        if (!decoded) {
            logEvent(LogLevel::Error, "server-order-invalid", { { "row", row.place.key } });
            continue;
        }
        // Without a time the servers count as just ordered, so that they are not ordered again.
        const auto age = decoded->raisedAt > 0ms && this->loadedStoreTime >= decoded->raisedAt
            ? this->loadedStoreTime - decoded->raisedAt
            : 0ms;
        decoded->order.raisedAt = now - Duration(age);
        auto& pool = this->poolOf(decoded->pool);
        pool.state.groups[decoded->group] = decoded->order;
        pool.stored[decoded->group] = { row.version, row.value };
    }
    co_return true;
}

/// Asks some VMs, each in its turn, at the same time.
asio::awaitable<void> PoolScaler::askPeers()
{
    const auto& known = this->peers.known();
    auto next = known.upper_bound(this->lastAsked);
    const auto count = std::min(maxAskedPerStep, known.size());
    for (std::size_t asked = 0; asked < count; ++asked, ++next) {
        if (next == known.end())
            next = known.begin();
        this->lastAsked = next->first;
        asio::co_spawn(this->context.loop(), this->askPeer(next->second), asio::detached);
    }
    if (count > 0)
        co_await pauseFor(reportTimeout);
}

asio::awaitable<void> PoolScaler::askPeer(PeerRecord peer)
{
    HttpRequest request;
    request.method = "GET";
    request.target = std::string(poolUsagePath);
    const auto answered
        = co_await this->context.httpClient.call(peer.endpoint, std::move(request), Clock::now() + reportTimeout);
    if (!answered || answered.value().status != statusOk)
        co_return;
    auto usage = decodeUsages(answered.value().body);
    if (usage)
        this->reports[peer.vm.name] = { std::move(*usage), Clock::now() };
    else
        logEvent(LogLevel::Warning, "pool-usage-invalid", { { "vm", peer.vm.name.value() } });
}

HttpResponse PoolScaler::answer() const
{
    json::object usage;
    const auto table = this->context.routes;
    if (table) {
        for (const auto& pool : table->pools) {
            if (pool.scaling)
                usage[pool.name.value()] = encodeUsage(this->servers.usageOf(pool.name));
        }
    }
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = json::serialize(usage);
    return response;
}

void PoolScaler::dropOldReports()
{
    const auto now = Clock::now();
    std::erase_if(
        this->reports, [now](const auto& report) { return now - report.second.receivedAt >= reportLifetime; });
}

PoolObservation PoolScaler::observe(const PoolRecord& record, Pool& pool)
{
    const auto now = Clock::now();
    PoolObservation seen;
    seen.servers = this->servers.countGroups(record.name);
    UsageSum sum;
    sum.add(this->servers.usageOf(record.name));
    for (const auto& [vm, report] : this->reports) {
        const auto usage = report.usage.find(record.name);
        if (usage != report.usage.end())
            sum.add(usage->second);
    }
    const auto total = sum.total();
    // VMs that were not asked lately have a load like the others. Those that were asked and gave no answer may be gone,
    // and their load with the others.
    const auto vms = this->peers.known().size() + 1;
    const auto expected = std::min(vms, maxExpectedReports);
    const auto unasked = static_cast<double>(vms) / static_cast<double>(expected);
    seen.running = static_cast<double>(total.running) * unasked;
    seen.waiting = static_cast<double>(total.waiting) * unasked;
    seen.refusedPerSecond = total.refusedPerSecond * unasked;
    seen.requestTime = total.answerTime;
    seen.expectedReports = expected;
    seen.freshReports = std::min<std::uint64_t>(this->reports.size() + 1, expected);
    seen.storeAge = now - this->storeAnsweredAt();
    std::uint64_t slots = 0;
    std::uint64_t count = 0;
    for (const auto& [name, entry] : this->servers.registry().entries) {
        if (entry.record.pool != record.name || entry.record.isLeaving)
            continue;
        slots += entry.record.slots;
        ++count;
    }
    const auto configured = record.engines ? static_cast<double>(record.engines->slots) : 1.0;
    const auto mean = count > 0 ? static_cast<double>(slots) / static_cast<double>(count) : configured;
    seen.slotsPerServer = slotsOf(record, mean, total);
    if (!record.engines)
        return seen;
    const auto [inFlight, listed] = this->jobs.countItems(record.name);
    if (pool.itemsCountedAt != TimePoint {} && listed >= pool.listedItems)
        recordItems(pool.itemTime, static_cast<double>(inFlight), listed - pool.listedItems, now - pool.itemsCountedAt);
    pool.listedItems = listed;
    pool.itemsCountedAt = now;
    seen.itemTime = itemTimeOf(pool.itemTime);
    seen.itemsInFlight = static_cast<double>(inFlight);
    seen.steps = this->jobs.stepsOf(record.name);
    for (const auto& model : record.engines->models)
        seen.models += this->context.publishedVersions.contains(model) ? 1 : 0;
    return seen;
}

void PoolScaler::decide(const PoolRecord& record, Pool& pool, FencingNumber fence)
{
    // What a VM that reaches no server of the pool sees of its servers says nothing.
    if (this->reach.isCutOff(record.name))
        return;
    const auto now = Clock::now();
    const auto before = pool.decision.reason;
    pool.seen = this->observe(record, pool);
    pool.decision = decidePoolScaling(pool.state, *record.scaling, pool.seen, now);
    pool.needed->set(std::lround(pool.decision.needed));
    pool.present->set(static_cast<std::int64_t>(pool.decision.present));
    this->logDecision(record, pool, before);
    for (const auto& [group, count] : pool.decision.orders) {
        auto& call = this->calls[{ record.name, group }];
        if (call.isRunning || now < call.notBefore)
            continue;
        call.isRunning = true;
        asio::co_spawn(this->context.loop(), this->order(record.name, group, fence), asio::detached);
    }
}

void PoolScaler::logDecision(const PoolRecord& record, const Pool& pool, ScalingReason before) const
{
    const auto& decision = pool.decision;
    if (decision.reason == before)
        return;
    logEvent(LogLevel::Info, "scaling-decided",
        { { "pool", record.name.value() }, { "reason", std::string(reasonName(decision.reason)) },
            { "before", std::string(reasonName(before)) }, { "demand", formatNumber(decision.demand) },
            { "needed", formatNumber(decision.needed) }, { "present", formatNumber(decision.present) },
            { "reports", std::to_string(pool.seen.freshReports) },
            { "expected_reports", std::to_string(pool.seen.expectedReports) },
            { "store_age_ms", std::to_string(toMilliseconds(pool.seen.storeAge).count()) } });
}

/// The time of the next call; empty if so many are waiting that the decision will have changed by then.
std::optional<TimePoint> PoolScaler::reserveCall()
{
    const auto now = Clock::now();
    const auto at = std::max(now, this->nextCallAt);
    if (at - now >= minOrderInterval)
        return std::nullopt;
    const auto perSecond = this->context.settings.duties.callsPerSecond * orderCallFraction;
    this->nextCallAt
        = at + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / std::max(0.001, perSecond)));
    return at;
}

asio::awaitable<void> PoolScaler::order(PoolName name, ServerGroup group, FencingNumber fence)
{
    co_await this->orderOnce(name, group, fence);
    auto& call = this->calls[{ name, group }];
    call.isRunning = false;
    call.notBefore = std::max(call.notBefore, Clock::now() + minOrderInterval);
}

asio::awaitable<void> PoolScaler::orderOnce(PoolName name, ServerGroup group, FencingNumber fence)
{
    const auto at = this->reserveCall();
    if (!at)
        co_return;
    co_await pauseFor(*at - Clock::now());
    // Before the order, so that a VM that takes the lease over knows of an order that was sent.
    const bool isSaved = co_await this->save(name, group, fence);
    if (!isSaved || this->loadedFence != fence)
        co_return;
    const auto response = co_await this->send(name, group, fence);
    // Another holder may have been in between, whose orders were read meanwhile.
    if (this->loadedFence != fence)
        co_return;
    this->applyAnswer(name, group, response);
    if (response == DutyResponse::Unknown && this->consecutiveFailures >= failuresToYield) {
        this->consecutiveFailures = 0;
        this->lease.yieldFor(yieldTime);
    }
    co_await this->save(name, group, fence);
}

/// Writes what was ordered of a group, unless it is in the store already.
asio::awaitable<bool> PoolScaler::save(PoolName name, ServerGroup group, FencingNumber fence)
{
    if (this->loadedFence != fence)
        co_return false;
    auto& pool = this->poolOf(name);
    const auto& order = pool.state.groups[group];
    auto text = encodeOrder(name, group, order, this->storeTime(order.raisedAt), fence);
    auto& stored = pool.stored[group];
    if (stored.text == text)
        co_return true;
    StoreTransaction transaction;
    transaction.conditions.push_back({ rowKeyOf(name, group), stored.version });
    transaction.writes.push_back({ rowKeyOf(name, group), text });
    const auto committed = co_await this->context.store.commit(std::move(transaction));
    if (this->loadedFence != fence)
        co_return false;
    if (committed && committed.value().isCommitted) {
        auto& written = this->poolOf(name).stored[group];
        written.version = committed.value().version;
        written.text = std::move(text);
        co_return true;
    }
    logEvent(LogLevel::Warning, "server-order-not-saved",
        { { "pool", name.value() }, { "data_centre", group.dataCentre.value() },
            { "error", committed ? "the row has changed" : committed.error().message } });
    // The row may have been written after all, or by another holder.
    this->loadedFence.reset();
    co_return false;
}

/// Writes the counts of groups of which nothing was ordered, if they changed.
asio::awaitable<void> PoolScaler::saveUnordered(FencingNumber fence)
{
    StoreTransaction transaction;
    std::vector<std::pair<PoolName, ServerGroup>> written;
    for (auto& [name, pool] : this->pools) {
        for (const auto& [group, order] : pool.state.groups) {
            if (order.isOrdered || order.count == 0)
                continue;
            auto text = encodeOrder(name, group, order, 0ms, fence);
            const auto& stored = pool.stored[group];
            const auto known = decodeOrder(stored.text);
            if (known && known->order.count == order.count)
                continue;
            transaction.conditions.push_back({ rowKeyOf(name, group), stored.version });
            transaction.writes.push_back({ rowKeyOf(name, group), std::move(text) });
            written.emplace_back(name, group);
        }
    }
    if (written.empty())
        co_return;
    this->unorderedSavedAt = Clock::now();
    const auto writes = transaction.writes;
    const auto committed = co_await this->context.store.commit(std::move(transaction));
    if (this->loadedFence != fence)
        co_return;
    if (!committed || !committed.value().isCommitted) {
        this->loadedFence.reset();
        co_return;
    }
    for (std::size_t index = 0; index < written.size(); ++index) {
        auto& stored = this->poolOf(written[index].first).stored[written[index].second];
        stored.version = committed.value().version;
        stored.text = *writes[index].value;
    }
}

asio::awaitable<DutyResponse> PoolScaler::send(PoolName name, ServerGroup group, FencingNumber fence)
{
    const auto& pool = this->poolOf(name);
    ServerOrder order;
    order.pool = name;
    order.dataCentre = group.dataCentre;
    order.isReclaimable = group.isReclaimable;
    const auto known = pool.state.groups.find(group);
    order.count = known->second.count;
    const auto before = known->second.countBefore;
    const auto decision = pool.decision;
    const auto seen = pool.seen;
    auto request = this->context.protocol.encodeServerOrder(order, this->context.identity.name, fence);
    const auto held = this->lease.fencingNumber();
    if (held != fence)
        co_return DutyResponse::Limited;
    this->orders.add();
    // A call without an answer is abandoned and its connection closed, so that it doesn't arrive later.
    const auto answered = co_await this->context.httpClient.call(
        this->context.settings.duties.address, std::move(request), Clock::now() + dutyCallTimeout);
    const auto response = answered ? this->context.protocol.decodeDutyAnswer(answered.value()) : DutyResponse::Unknown;
    if (response != DutyResponse::Accepted)
        this->orderFailures.add();
    logEvent(response == DutyResponse::Refused ? LogLevel::Error : LogLevel::Info, "servers-ordered",
        { { "pool", name.value() }, { "data_centre", group.dataCentre.value() },
            { "kind", std::string(kindName(group)) }, { "count", std::to_string(order.count) },
            { "before", std::to_string(before) }, { "fence", std::to_string(fence.value()) },
            { "verdict", std::string(responseName(response)) },
            { "error", answered ? "" : answered.error().error.message },
            { "reason", std::string(reasonName(decision.reason)) }, { "demand", formatNumber(decision.demand) },
            { "needed", formatNumber(decision.needed) }, { "present", formatNumber(decision.present) },
            { "running", formatNumber(seen.running) }, { "refused_per_s", formatNumber(seen.refusedPerSecond) },
            { "steps", std::to_string(seen.steps.size()) },
            { "item_ms", std::to_string(toMilliseconds(seen.itemTime).count()) },
            { "slots", formatNumber(seen.slotsPerServer) }, { "reports", std::to_string(seen.freshReports) },
            { "expected_reports", std::to_string(seen.expectedReports) },
            { "store_age_ms", std::to_string(toMilliseconds(seen.storeAge).count()) } });
    co_return response;
}

void PoolScaler::applyAnswer(const PoolName& name, const ServerGroup& group, DutyResponse response)
{
    const auto now = Clock::now();
    auto& pool = this->poolOf(name);
    auto& call = this->calls[{ name, group }];
    if (response != DutyResponse::Unknown) {
        call.failures = 0;
        this->consecutiveFailures = 0;
    }
    switch (response) {
    case DutyResponse::Accepted:
        recordOrderAccepted(pool.state, group);
        break;
    case DutyResponse::Unavailable:
        recordOrderRejected(pool.state, group, now + unavailablePause);
        break;
    case DutyResponse::Refused:
        recordOrderRejected(pool.state, group, now + refusedPause);
        break;
    case DutyResponse::Limited:
        this->nextCallAt = std::max(this->nextCallAt, now + limitedPause);
        call.notBefore = now + limitedPause;
        break;
    case DutyResponse::Unknown:
        call.notBefore = now + minOrderInterval * (1U << std::min(call.failures, maxFailureDoublings));
        ++call.failures;
        ++this->consecutiveFailures;
        break;
    }
}

/// A time by the store's steady clock; 0 if the store doesn't state it.
std::chrono::milliseconds PoolScaler::storeTime(TimePoint at) const
{
    if (this->loadedStoreTime == 0ms || at == TimePoint {})
        return 0ms;
    return std::max(1ms, this->loadedStoreTime + toMilliseconds(at - this->loadedAt));
}

json::value PoolScaler::dump() const
{
    json::object list;
    for (const auto& [name, pool] : this->pools) {
        json::array groups;
        for (const auto& [group, order] : pool.state.groups) {
            const auto call = this->calls.find({ name, group });
            groups.push_back(json::object { { "data_centre", group.dataCentre.value() }, { "kind", kindName(group) },
                { "ordered", order.count }, { "confirmed", order.isConfirmed }, { "starting", order.raisedBy },
                { "failures", call == this->calls.end() ? 0 : call->second.failures } });
        }
        list[name.value()] = json::object { { "reason", reasonName(pool.decision.reason) },
            { "demand", pool.decision.demand }, { "needed", pool.decision.needed },
            { "present", pool.decision.present }, { "running", pool.seen.running },
            { "refused_per_s", pool.seen.refusedPerSecond }, { "reports", pool.seen.freshReports },
            { "expected_reports", pool.seen.expectedReports }, { "groups", std::move(groups) } };
    }
    return json::object { { "orders_read", this->loadedFence.has_value() }, { "pools", std::move(list) } };
}

} // namespace topaztack
