#include "usage_exchange.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr std::chrono::milliseconds minReportInterval = 1s;
    /// A keeper gets about 80 reports per second from all VMs together: at 250 bytes each 20 KB/s.
    constexpr std::chrono::milliseconds reportIntervalPerVm = 12ms;
    constexpr std::chrono::milliseconds maxReportInterval = 10s;
    /// Reports count for this many intervals.
    constexpr int reportLifetimeIntervals = 3;
    constexpr Duration keeperTimeout = 150ms;
    constexpr Duration silentKeeperPause = 2s;
    /// Of the workspaces with the most demand; a report then takes at most 800 bytes.
    constexpr std::size_t maxWorkspacesReported = 12;
    constexpr std::size_t maxVmsKept = 1024;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;

    /// Times are sent in whole milliseconds of work per second.
    std::int64_t toWire(double seconds) { return std::llround(1000 * seconds); }
    double fromWire(const json::value& value) { return std::max(0.0, value.to_number<double>() / 1000); }

    json::value encodeUses(const WorkspaceUses& uses)
    {
        json::array list;
        for (const auto& [workspace, use] : uses)
            list.push_back(
                json::array { workspace.value(), use.rank, toWire(use.demand), toWire(use.served), toWire(use.level) });
        return list;
    }

    WorkspaceUses decodeUses(const json::value& value)
    {
        WorkspaceUses uses;
        const auto& list = value.as_array();
        for (const auto& entry : list) {
            if (uses.size() == maxWorkspacesReported)
                break;
            auto& use = uses[WorkspaceName(json::value_to<std::string>(entry.at(0)))];
            use.rank = entry.at(1).to_number<std::uint64_t>();
            use.demand = fromWire(entry.at(2));
            use.served = fromWire(entry.at(3));
            use.level = fromWire(entry.at(4));
        }
        return uses;
    }

    WorkspaceUses largestOf(const WorkspaceUses& uses)
    {
        std::vector<std::pair<double, WorkspaceName>> byDemand;
        for (const auto& [workspace, use] : uses)
            byDemand.emplace_back(-use.demand, workspace);
        std::sort(byDemand.begin(), byDemand.end());
        byDemand.resize(std::min(byDemand.size(), maxWorkspacesReported));
        WorkspaceUses largest;
        for (const auto& [demand, workspace] : byDemand)
            largest[workspace] = uses.at(workspace);
        return largest;
    }

} // namespace

UsageExchange::UsageExchange(GatewayContext& context, const PeerDirectory& peers, ReadOwn readOwn, Apply apply)
    : context(context)
    , peers(peers)
    , readOwn(std::move(readOwn))
    , apply(std::move(apply))
    , sentBytes(context.metrics.counter(
          "topaztack_workspace_use_bytes_total", "Bytes of reports on workspaces sent to other VMs and of the answers"))
{
}

void UsageExchange::report(const PoolName& pool)
{
    if (!this->reporting.insert(pool).second)
        return;
    asio::co_spawn(this->context.loop(), this->run(pool), asio::detached);
}

asio::awaitable<void> UsageExchange::run(PoolName pool)
{
    while (true) {
        const auto own = largestOf(this->readOwn(pool));
        if (own.empty())
            break;
        std::optional<Totals> totals;
        for (const auto& keeper : this->peers.keepersOf(pool.value())) {
            const auto silent = this->silentKeepers.find(keeper.vm.name);
            if (silent != this->silentKeepers.end() && Clock::now() < silent->second)
                continue;
            if (keeper.vm.name == this->context.identity.name)
                totals = this->decide(pool, this->context.identity.name, own, Clock::now());
            else
                totals = co_await this->ask(keeper, pool, own);
            if (totals)
                break;
        }
        auto interval = minReportInterval;
        if (totals) {
            this->apply(pool, totals->uses);
            interval = std::clamp(totals->interval, minReportInterval, maxReportInterval);
        }
        co_await pauseFor(interval);
    }
    this->reporting.erase(pool);
}

asio::awaitable<std::optional<UsageExchange::Totals>> UsageExchange::ask(
    PeerRecord keeper, PoolName pool, WorkspaceUses own)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(workspaceUsePath);
    request.body = json::serialize(json::object {
        { "vm", this->context.identity.name.value() }, { "pool", pool.value() }, { "uses", encodeUses(own) } });
    this->sentBytes.add(request.body.size());
    const auto answered
        = co_await this->context.httpClient.call(keeper.endpoint, std::move(request), Clock::now() + keeperTimeout);
    std::string problem
        = answered ? "status " + std::to_string(answered.value().status) : answered.error().error.message;
    if (answered && answered.value().status == statusOk) {
        this->sentBytes.add(answered.value().body.size());
        try {
            const auto value = json::parse(answered.value().body);
            Totals totals;
            totals.uses = decodeUses(value.at("uses"));
            totals.interval = std::chrono::milliseconds(value.at("interval_ms").to_number<std::int64_t>());
            co_return totals;
        } catch (const std::exception& malformed) {
            problem = malformed.what();
        }
    }
    this->silentKeepers[keeper.vm.name] = Clock::now() + silentKeeperPause;
    logEvent(LogLevel::Info, "workspace-use-report-failed",
        { { "pool", pool.value() }, { "vm", keeper.vm.name.value() }, { "error", std::move(problem) } });
    co_return std::nullopt;
}

UsageExchange::Totals UsageExchange::decide(
    const PoolName& pool, const VmName& vm, const WorkspaceUses& uses, TimePoint now)
{
    auto& known = this->reports[pool];
    if (known.size() < maxVmsKept || known.contains(vm))
        known[vm] = { uses, now };
    Totals totals;
    totals.interval
        = std::max<std::chrono::milliseconds>(minReportInterval, static_cast<int>(known.size()) * reportIntervalPerVm);
    std::erase_if(known, [&totals, now](const auto& each) {
        return now - each.second.receivedAt > reportLifetimeIntervals * totals.interval;
    });
    WorkspaceUses all;
    for (const auto& [reporter, report] : known) {
        for (const auto& [workspace, use] : report.uses) {
            auto& sum = all[workspace];
            sum.rank = use.rank;
            sum.demand += use.demand;
            sum.served += use.served;
        }
    }
    setLevels(all);
    for (const auto& [workspace, use] : uses)
        totals.uses[workspace] = all[workspace];
    return totals;
}

HttpResponse UsageExchange::answer(const HttpRequest& request)
{
    HttpResponse response;
    try {
        const auto value = json::parse(request.body);
        const PoolName pool(json::value_to<std::string>(value.at("pool")));
        const VmName vm(json::value_to<std::string>(value.at("vm")));
        const bool isKnownPool = this->context.routes && findPool(*this->context.routes, pool);
        if (!isKnownPool)
            throw std::runtime_error("unknown pool");
        const auto totals = this->decide(pool, vm, decodeUses(value.at("uses")), Clock::now());
        response.headers.push_back({ "Content-Type", "application/json" });
        response.body = json::serialize(
            json::object { { "interval_ms", totals.interval.count() }, { "uses", encodeUses(totals.uses) } });
    } catch (const std::exception& malformed) {
        logEvent(LogLevel::Warning, "workspace-use-report-refused", { { "error", malformed.what() } });
        response.status = statusBadRequest;
    }
    return response;
}

void UsageExchange::expire()
{
    const auto now = Clock::now();
    std::erase_if(this->silentKeepers, [now](const auto& silent) { return now >= silent.second; });
    for (auto& [pool, known] : this->reports)
        std::erase_if(known, [now](const auto& each) {
            return now - each.second.receivedAt > reportLifetimeIntervals * maxReportInterval;
        });
    std::erase_if(this->reports, [](const auto& each) { return each.second.empty(); });
}

} // namespace topaztack
