#include "usage_counter.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr Duration publishInterval = 250ms;
    /// A VM without new counts says that it still counts.
    constexpr Duration heartbeatInterval = 1s;
    constexpr Duration sendTimeout = 500ms;
    constexpr Duration queryTimeout = 400ms;
    /// Copies of a VM's counts at other VMs.
    constexpr std::size_t maxKeepers = 2;
    /// Otherwise all counts since a VM ended would be sent to it again and again.
    constexpr Duration avoidanceTime = 5s;
    /// Counts are kept for this long after their report is due.
    constexpr Duration retentionMargin = 30s;
    /// Longer than the rows of VMs that have ended are kept, so that these VMs are known to have been heard of.
    constexpr Duration originRetention = 400s;
    constexpr std::size_t maxOrigins = 1000;
    /// Counts of later windows come from a VM whose true time is wrong; they would never expire.
    constexpr std::uint64_t maxWindowsAhead = 1;
    /// Requests whose window is unknown are held by the time at which they began, rounded to this.
    constexpr Duration heldGranularity = 20ms;
    constexpr std::size_t maxHeldTimes = 3000;
    /// The time of day of a VM is off by seconds at most; true time that is further away comes from a fault.
    constexpr std::chrono::milliseconds maxClockError { 60'000 };
    /// Weights of a new service time in the pool's estimate: it follows the shortest ones, which didn't wait.
    constexpr double shorterWeight = 0.3;
    constexpr double longerWeight = 0.02;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;

    json::object toJson(const VmIdentity& vm)
    {
        return { { "vm", vm.name.value() }, { "incarnation", vm.incarnation.value() } };
    }

    VmIdentity parseIdentity(const json::value& value)
    {
        return { VmName(json::value_to<std::string>(value.at("vm"))),
            Incarnation(value.at("incarnation").to_number<std::uint64_t>()) };
    }

    json::object toJson(const UsageCounts& counts)
    {
        json::object object;
        for (const auto& [workspace, count] : counts)
            object[workspace.value()] = count;
        return object;
    }

    UsageCounts parseCounts(const json::value& value)
    {
        UsageCounts counts;
        for (const auto& [workspace, count] : value.as_object())
            counts[WorkspaceName(std::string(workspace))] = count.to_number<std::uint64_t>();
        return counts;
    }

    std::string encodeCounts(const VmIdentity& vm, std::chrono::milliseconds through, const UsageWindows& usage)
    {
        auto object = toJson(vm);
        object["through"] = through.count();
        json::object windows;
        for (const auto& [window, origins] : usage.windows)
            windows[std::to_string(window)] = toJson(sumUsage(origins));
        object["windows"] = std::move(windows);
        return json::serialize(object);
    }

    std::string encodeQuery(std::uint64_t window, const std::vector<VmIdentity>& origins)
    {
        json::array list;
        for (const auto& origin : origins)
            list.push_back(toJson(origin));
        return json::serialize(json::object { { "window", window }, { "origins", std::move(list) } });
    }

    std::string encodeAnswer(const UsageAnswer& answer)
    {
        auto object = toJson(answer.vm);
        if (answer.since)
            object["since"] = answer.since->count();
        object["unassigned"] = answer.unassigned;
        object["counts"] = toJson(answer.counts);
        json::array kept;
        for (const auto& each : answer.kept) {
            auto entry = toJson(each.origin);
            entry["through"] = each.through.count();
            entry["has_counts"] = each.hasCounts;
            kept.push_back(std::move(entry));
        }
        object["kept"] = std::move(kept);
        json::array keptCounts;
        for (const auto& [origin, counts] : answer.keptCounts) {
            auto entry = toJson(origin);
            entry["counts"] = toJson(counts);
            keptCounts.push_back(std::move(entry));
        }
        object["kept_counts"] = std::move(keptCounts);
        return json::serialize(object);
    }

    UsageAnswer decodeAnswer(const HttpResponse& response)
    {
        if (response.status != statusOk)
            throw std::runtime_error("status " + std::to_string(response.status));
        const auto value = json::parse(response.body);
        UsageAnswer answer;
        answer.vm = parseIdentity(value);
        if (const auto* since = value.as_object().if_contains("since"))
            answer.since = std::chrono::milliseconds(since->to_number<std::int64_t>());
        answer.unassigned = value.at("unassigned").to_number<std::uint64_t>();
        answer.counts = parseCounts(value.at("counts"));
        for (const auto& entry : value.at("kept").as_array())
            answer.kept.push_back(
                { parseIdentity(entry), std::chrono::milliseconds(entry.at("through").to_number<std::int64_t>()),
                    entry.at("has_counts").as_bool() });
        for (const auto& entry : value.at("kept_counts").as_array())
            answer.keptCounts[parseIdentity(entry)] = parseCounts(entry.at("counts"));
        return answer;
    }

    HttpRequest requestWith(std::string_view path, std::string body)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::string(path);
        request.body = std::move(body);
        return request;
    }

} // namespace

UsageCounter::UsageCounter(GatewayContext& context, const PeerDirectory& peers)
    : context(context)
    , peers(peers)
    , startedAt(timeWithSuspension())
    , counted(context.metrics.counter("topaztack_usage_counted_total", "Requests counted for reports of use"))
    , unsentMessages(context.metrics.counter(
          "topaztack_usage_unsent_total", "Messages with counts of use that another VM did not take"))
{
}

void UsageCounter::start()
{
    if (this->context.settings.duties.reportsUsage)
        asio::co_spawn(this->context.loop(), this->run(), asio::detached);
}

asio::awaitable<void> UsageCounter::run()
{
    while (true) {
        this->updateClock();
        this->assignHeld();
        this->expire();
        this->publish();
        co_await pauseFor(publishInterval);
    }
}

void UsageCounter::updateClock()
{
    std::vector<std::chrono::milliseconds> offsets;
    if (const auto own = this->context.clockOffset())
        offsets.push_back(*own);
    for (const auto& [name, record] : this->peers.known()) {
        if (record.clockOffset)
            offsets.push_back(*record.clockOffset);
    }
    auto& time = this->context.trueTime;
    const auto before = time.offset;
    // This VM counts as known before its own row is written.
    updateTrueTime(time, agreeOnOffset(std::move(offsets), this->peers.known().size() + 1), timeWithSuspension());
    if (!before && time.offset)
        logEvent(LogLevel::Info, "true-time-known",
            { { "offset_ms", std::to_string(time.offset->count()) },
                { "own_error_ms", std::to_string((*this->context.clockOffset() - *time.offset).count()) },
                { "vms", std::to_string(this->peers.known().size() + 1) } });
}

std::optional<std::chrono::milliseconds> UsageCounter::trueTimeOf(TimePoint time) const
{
    const auto storeTime = storeTimeAt(this->context.storeClock, time);
    if (!storeTime || !this->context.trueTime.offset)
        return std::nullopt;
    return *storeTime + *this->context.trueTime.offset;
}

std::optional<std::chrono::milliseconds> UsageCounter::trueTime() const
{
    const auto now = this->trueTimeOf(timeWithSuspension());
    if (!now || std::chrono::abs(*now - unixTime()) > maxClockError)
        return std::nullopt;
    return now;
}

void UsageCounter::recordAnswer(
    const WorkspaceName& workspace, const PoolName& pool, TimePoint sentAt, TimePoint answeredAt)
{
    if (workspace.value().empty())
        return;
    const auto took = answeredAt - sentAt;
    auto& typical = this->serviceTimes.try_emplace(pool, took).first->second;
    const auto weight = took < typical ? shorterWeight : longerWeight;
    typical += std::chrono::duration_cast<Duration>((took - typical) * weight);
    this->recordBegin(workspace, std::max(sentAt, answeredAt - typical));
}

void UsageCounter::recordBegin(const WorkspaceName& workspace, TimePoint begunAt)
{
    if (workspace.value().empty() || !this->context.settings.duties.reportsUsage)
        return;
    this->counted.add();
    const auto begun = timeWithSuspension() - (Clock::now() - begunAt);
    if (this->trueTime()) {
        this->count(workspace, *this->trueTimeOf(begun), 1);
        return;
    }
    const auto place = TimePoint(begun.time_since_epoch() / heldGranularity * heldGranularity);
    if (!this->held.contains(place) && this->held.size() >= maxHeldTimes) {
        ++this->dropped;
        this->droppedAt = Clock::now();
        return;
    }
    ++this->held[place][workspace];
    ++this->heldRequests;
}

void UsageCounter::count(const WorkspaceName& workspace, std::chrono::milliseconds at, std::uint64_t requests)
{
    const auto window = windowAt(at, this->context.settings.duties.window);
    auto& count = this->own.windows[window][this->context.identity][workspace];
    count += requests;
    this->unsent.windows[window][this->context.identity][workspace] = count;
}

void UsageCounter::assignHeld()
{
    if (this->held.empty() || !this->trueTime())
        return;
    for (const auto& [begun, counts] : this->held) {
        for (const auto& [workspace, requests] : counts)
            this->count(workspace, *this->trueTimeOf(begun), requests);
    }
    this->held.clear();
    this->heldRequests = 0;
}

void UsageCounter::expire()
{
    const auto now = this->trueTime();
    if (!now)
        return;
    const auto& duties = this->context.settings.duties;
    const auto oldest = windowAt(*now - toMilliseconds(Duration(duties.reportDue) + retentionMargin), duties.window);
    expireUsage(this->own, oldest);
    expireUsage(this->unsent, oldest);
    expireUsage(this->kept, oldest);
    const auto lastHeard = Clock::now() - originRetention;
    std::erase_if(this->avoidedUntil, [](const auto& entry) { return entry.second < Clock::now(); });
    std::erase_if(this->origins, [lastHeard](const auto& origin) { return origin.second.heardAt < lastHeard; });
}

/// The VMs that keep this one's counts. They are chosen by its name, so that each VM keeps the counts of about as many
/// VMs.
std::vector<PeerRecord> UsageCounter::recipients() const
{
    std::vector<PeerRecord> chosen;
    const auto now = Clock::now();
    for (const auto& keeper : this->peers.keepersOf("usage/" + this->context.identity.name.value())) {
        const auto avoided = this->avoidedUntil.find(keeper.vm.name);
        const bool isAvoided = avoided != this->avoidedUntil.end() && now < avoided->second;
        if (keeper.vm.name != this->context.identity.name && !isAvoided && chosen.size() < maxKeepers)
            chosen.push_back(keeper);
    }
    return chosen;
}

void UsageCounter::publish()
{
    const auto now = this->trueTime();
    const bool isDue = !this->unsent.windows.empty() || Clock::now() - this->publishedAt >= heartbeatInterval;
    if (!now || !isDue)
        return;
    const auto body = encodeCounts(this->context.identity, *now, this->unsent);
    for (const auto& keeper : this->recipients())
        asio::co_spawn(this->context.loop(), this->send(keeper, body, this->unsent), asio::detached);
    this->publishedAt = Clock::now();
    this->unsent.windows.clear();
}

/// What a VM did not take is sent again with the next counts, to the VMs that keep them then.
asio::awaitable<void> UsageCounter::send(PeerRecord keeper, std::string body, UsageWindows sent)
{
    const auto answered = co_await this->context.httpClient.call(
        keeper.endpoint, requestWith(usageCountsPath, std::move(body)), Clock::now() + sendTimeout);
    if (answered && answered.value().status == statusOk)
        co_return;
    this->unsentMessages.add();
    this->avoidedUntil[keeper.vm.name] = Clock::now() + avoidanceTime;
    for (const auto& [window, counts] : sent.windows) {
        for (const auto& [origin, each] : counts)
            mergeUsage(this->unsent, window, origin, each);
    }
}

HttpResponse UsageCounter::answer(const HttpRequest& request)
{
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "application/json" });
    try {
        if (targetPath(request.target) == usageCountsPath) {
            this->receive(request);
            response.body = "{}";
            return response;
        }
        const auto value = json::parse(request.body);
        std::vector<VmIdentity> wanted;
        for (const auto& origin : value.at("origins").as_array())
            wanted.push_back(parseIdentity(origin));
        response.body = encodeAnswer(this->describe(value.at("window").to_number<std::uint64_t>(), wanted));
    } catch (const std::exception& malformed) {
        logEvent(LogLevel::Warning, "usage-message-refused", { { "error", malformed.what() } });
        response.status = statusBadRequest;
    }
    return response;
}

void UsageCounter::receive(const HttpRequest& request)
{
    const auto value = json::parse(request.body);
    const auto origin = parseIdentity(value);
    const std::chrono::milliseconds through(value.at("through").to_number<std::int64_t>());
    if (!this->origins.contains(origin) && this->origins.size() >= maxOrigins)
        throw std::runtime_error("too many VMs");
    auto& known = this->origins[origin];
    known.through = std::max(known.through, through);
    known.heardAt = Clock::now();
    const auto now = this->trueTime();
    const auto newest = now ? windowAt(*now, this->context.settings.duties.window) + maxWindowsAhead : 0;
    for (const auto& [name, counts] : value.at("windows").as_object()) {
        const auto window = std::stoull(std::string(name));
        if (!now || window <= newest)
            mergeUsage(this->kept, window, origin, parseCounts(counts));
    }
}

UsageAnswer UsageCounter::describe(std::uint64_t window, const std::vector<VmIdentity>& wanted) const
{
    UsageAnswer answer;
    answer.vm = this->context.identity;
    answer.since = this->trueTimeOf(this->startedAt);
    const auto& duties = this->context.settings.duties;
    const bool isDropRecent = Clock::now() - this->droppedAt < duties.reportDue + duties.window;
    answer.unassigned = this->heldRequests + (isDropRecent ? this->dropped : 0);
    answer.counts = usageOf(this->own, window, this->context.identity);
    for (const auto& [origin, known] : this->origins)
        answer.kept.push_back({ origin, known.through, !usageOf(this->kept, window, origin).empty() });
    for (const auto& origin : wanted)
        answer.keptCounts[origin] = usageOf(this->kept, window, origin);
    return answer;
}

asio::awaitable<CallResult<UsageAnswer>> UsageCounter::query(
    Endpoint peer, std::uint64_t window, std::vector<VmIdentity> wanted)
{
    auto request = requestWith(usageQueryPath, encodeQuery(window, wanted));
    auto answered
        = co_await this->context.httpClient.call(std::move(peer), std::move(request), Clock::now() + queryTimeout);
    if (!answered)
        co_return std::move(answered).error();
    try {
        co_return decodeAnswer(answered.value());
    } catch (const std::exception& malformed) {
        co_return CallFailure { makeError(ErrorKind::BadFrame, std::string("answer about use: ") + malformed.what()),
            AttemptProgress::Written };
    }
}

json::value UsageCounter::dump() const
{
    const auto now = this->trueTime();
    json::object dump { { "true_time_ms", now ? now->count() : 0 }, { "held", this->heldRequests },
        { "dropped", this->dropped }, { "origins", this->origins.size() } };
    if (this->context.trueTime.offset)
        dump["offset_ms"] = this->context.trueTime.offset->count();
    if (const auto own = this->context.clockOffset())
        dump["own_offset_ms"] = own->count();
    json::object windows;
    for (const auto& [window, origins] : this->own.windows)
        windows[std::to_string(window)] = totalOf(sumUsage(origins));
    dump["windows"] = std::move(windows);
    return dump;
}

} // namespace topaztack
