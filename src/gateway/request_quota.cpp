#include "request_quota.hpp"

#include <topaztack/base/log.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr Duration keeperTimeout = 150ms;
    /// A VM that did not answer is not asked for this long.
    constexpr Duration silentKeeperPause = 1s;
    /// Pause after no VM decided.
    constexpr Duration undecidedPause = 500ms;
    /// Other VMs may learn this much later that this VM exists; until then they ask the one before it.
    constexpr Duration keeperWarmUp = 2s;
    constexpr Duration accountRetention = 60s;
    /// Limits for times that other VMs state.
    constexpr std::chrono::milliseconds maxStatementAge = 1h;
    constexpr std::chrono::milliseconds maxRetryAfter = 10s;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;

    std::string limitText(const std::optional<double>& perSecond)
    {
        return perSecond ? std::to_string(*perSecond) : "none";
    }

    json::value encodeLimit(const LimitStatement& limit, TimePoint now)
    {
        // Clocks of VMs differ, so the age is sent.
        const auto age = limit.madeAt == TimePoint::min() ? -1 : toMilliseconds(now - limit.madeAt).count();
        return json::object { { "per_second", limit.perSecond ? json::value(*limit.perSecond) : json::value() },
            { "age_ms", age } };
    }

    std::string encodeQuery(const BackendName& server, bool isCharge, const LimitStatement& limit, TimePoint now)
    {
        return json::serialize(json::object {
            { "server", server.value() }, { "charge", isCharge }, { "limit", encodeLimit(limit, now) } });
    }

    LimitStatement decodeLimit(const json::value& value, TimePoint now)
    {
        LimitStatement limit;
        const auto age = value.at("age_ms").to_number<std::int64_t>();
        if (age < 0)
            return limit;
        limit.madeAt = now - std::min(maxStatementAge, std::chrono::milliseconds(age));
        const auto& perSecond = value.at("per_second");
        if (!perSecond.is_null())
            limit.perSecond = perSecond.to_number<double>();
        return limit;
    }

} // namespace

RequestQuota::RequestQuota(GatewayContext& context, const PeerDirectory& peers)
    : context(context)
    , peers(peers)
    , admitted(context.metrics.counter(
          "topaztack_limited_requests_total", "Requests to servers that name a limit of requests per second"))
    , denied(context.metrics.counter(
          "topaztack_limited_requests_denied_total", "Requests not sent to a server since its limit was used up"))
    , unanswered(context.metrics.counter(
          "topaztack_quota_queries_failed_total", "Queries for a server's limit that another VM did not answer"))
{
}

void RequestQuota::applyLimit(const BackendName& server, const LimitStatement& limit, std::string_view source)
{
    auto& account = this->accounts[server];
    const auto before = account.limit.perSecond;
    if (!applyStatement(account.limit, limit))
        return;
    if (!limit.perSecond)
        account.availableAt = TimePoint();
    logEvent(LogLevel::Info, "server-limit",
        { { "server", server.value() }, { "per_second", limitText(limit.perSecond) }, { "before", limitText(before) },
            { "source", std::string(source) } });
}

void RequestQuota::recordAnswer(const ServerRecord& server, const ServerResponseHead& answer, TimePoint sentAt)
{
    if (answer.isOtherServer || answer.isLimitMalformed)
        return;
    const bool isKnown = this->accounts.contains(server.name);
    if (answer.requestsPerSecond)
        this->applyLimit(server.name, { answer.requestsPerSecond, Clock::now() }, "answer");
    // Only the answer to a request, from the server itself, shows that it states no limit any more.
    else if (isKnown && (answer.saysNotRun || !answer.serverStamp.empty()))
        this->applyLimit(server.name, { std::nullopt, sentAt }, "answer");
}

TimePoint RequestQuota::availableAt(const BackendName& server) const
{
    const auto found = this->accounts.find(server);
    return found == this->accounts.end() ? TimePoint() : found->second.availableAt;
}

/// Decides as the VM that keeps the server's budget.
RequestQuota::Decision RequestQuota::decide(const BackendName& server, Need need, TimePoint now)
{
    auto& account = this->accounts[server];
    Decision decision;
    decision.limit = account.limit;
    if (!account.limit.perSecond) {
        decision.isAdmitted = true;
        return decision;
    }
    const auto keepers = this->peers.keepersOf(server.value());
    const auto own = std::find_if(keepers.begin(), keepers.end(),
        [this](const PeerRecord& keeper) { return keeper.vm.name == this->context.identity.name; });
    const auto& publishedAt = this->peers.publishedAt();
    decision.retryAfter = undecidedPause;
    if (own == keepers.end() || !publishedAt || now - *publishedAt < keeperWarmUp)
        return decision;
    const auto rate = admissibleRate(*account.limit.perSecond)
        * keeperShare(static_cast<std::size_t>(std::distance(keepers.begin(), own)));
    if (need == Need::Charge)
        chargeRequest(account.budget, rate, now);
    decision.isAdmitted = need == Need::Charge || takeRequest(account.budget, rate, now);
    decision.retryAfter = timeUntilRequest(account.budget, rate);
    return decision;
}

asio::awaitable<std::optional<RequestQuota::Decision>> RequestQuota::ask(
    PeerRecord keeper, BackendName server, Need need)
{
    const auto now = Clock::now();
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(requestQuotaPath);
    request.body = encodeQuery(server, need == Need::Charge, this->accounts[server].limit, now);
    const auto answered
        = co_await this->context.httpClient.call(keeper.endpoint, std::move(request), now + keeperTimeout);
    std::string problem
        = answered ? "status " + std::to_string(answered.value().status) : answered.error().error.message;
    if (answered && answered.value().status == statusOk) {
        try {
            const auto value = json::parse(answered.value().body);
            Decision decision;
            decision.isAdmitted = value.at("admitted").as_bool();
            decision.retryAfter = std::clamp(
                std::chrono::milliseconds(value.at("retry_ms").to_number<std::int64_t>()), 0ms, maxRetryAfter);
            decision.limit = decodeLimit(value.at("limit"), Clock::now());
            co_return decision;
        } catch (const std::exception& malformed) {
            problem = malformed.what();
        }
    }
    this->unanswered.add();
    this->silentKeepers[keeper.vm.name] = Clock::now() + silentKeeperPause;
    logEvent(LogLevel::Info, "quota-query-failed",
        { { "server", server.value() }, { "vm", keeper.vm.name.value() }, { "error", std::move(problem) } });
    co_return std::nullopt;
}

asio::awaitable<bool> RequestQuota::request(ServerRecord server, Need need)
{
    const auto found = this->accounts.find(server.name);
    if (found == this->accounts.end() || !found->second.limit.perSecond)
        co_return true;
    Decision decision;
    decision.retryAfter = undecidedPause;
    std::string decidedBy = "none";
    for (const auto& keeper : this->peers.keepersOf(server.name.value())) {
        const auto silent = this->silentKeepers.find(keeper.vm.name);
        if (silent != this->silentKeepers.end() && Clock::now() < silent->second)
            continue;
        const bool isOwn = keeper.vm.name == this->context.identity.name;
        const auto decided = isOwn ? std::optional(this->decide(server.name, need, Clock::now()))
                                   : co_await this->ask(keeper, server.name, need);
        if (!decided)
            continue;
        decision = *decided;
        decidedBy = keeper.vm.name.value();
        break;
    }
    this->applyLimit(server.name, decision.limit, decidedBy);
    auto& account = this->accounts[server.name];
    if (!decision.isAdmitted)
        account.availableAt = Clock::now() + decision.retryAfter;
    (decision.isAdmitted ? this->admitted : this->denied).add();
    logEvent(LogLevel::Debug, decision.isAdmitted ? "limited-request" : "limited-request-denied",
        { { "server", server.name.value() }, { "pool", server.pool.value() },
            { "per_second", limitText(account.limit.perSecond) }, { "vm", std::move(decidedBy) },
            { "retry_ms", std::to_string(toMilliseconds(decision.retryAfter).count()) } });
    co_return decision.isAdmitted;
}

asio::awaitable<bool> RequestQuota::admit(ServerRecord server)
{
    return this->request(std::move(server), Need::Admission);
}

asio::awaitable<void> RequestQuota::charge(ServerRecord server)
{
    co_await this->request(std::move(server), Need::Charge);
}

HttpResponse RequestQuota::answer(const HttpRequest& request)
{
    const auto now = Clock::now();
    HttpResponse response;
    try {
        const auto value = json::parse(request.body);
        const BackendName server(json::value_to<std::string>(value.at("server")));
        const auto need = value.at("charge").as_bool() ? Need::Charge : Need::Admission;
        this->applyLimit(server, decodeLimit(value.at("limit"), now), "peer");
        const auto decision = this->decide(server, need, now);
        response.headers.push_back({ "Content-Type", "application/json" });
        response.body = json::serialize(json::object { { "admitted", decision.isAdmitted },
            { "retry_ms", toMilliseconds(decision.retryAfter).count() },
            { "limit", encodeLimit(decision.limit, now) } });
    } catch (const std::exception& malformed) {
        logEvent(LogLevel::Warning, "quota-query-refused", { { "error", malformed.what() } });
        response.status = statusBadRequest;
    }
    return response;
}

void RequestQuota::expire()
{
    const auto now = Clock::now();
    std::erase_if(this->silentKeepers, [now](const auto& silent) { return now >= silent.second; });
    std::erase_if(this->accounts, [now](const auto& account) {
        const auto& limit = account.second.limit;
        const bool isUnheard = limit.madeAt == TimePoint::min() || now - limit.madeAt >= accountRetention;
        return isUnheard && now >= account.second.availableAt;
    });
}

json::value RequestQuota::dump() const
{
    json::object limits;
    for (const auto& [server, account] : this->accounts)
        limits[server.value()] = limitText(account.limit.perSecond);
    return limits;
}

} // namespace topaztack
