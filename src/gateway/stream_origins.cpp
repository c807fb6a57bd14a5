#include "stream_origins.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr Duration tellTimeout = 500ms;
    constexpr Duration askTimeout = 150ms;
    /// Longer than a caller waits for a stream.
    constexpr Duration originRetention = 60s;
    /// Limit for what other VMs can make this one store.
    constexpr std::size_t maxOrigins = 100'000;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;

    std::string encodeRecord(const RequestId& attempt, const std::string& softwareVersion)
    {
        return json::serialize(json::object { { "attempt", attempt.value() }, { "software", softwareVersion } });
    }

    std::string encodeQuery(const RequestId& attempt)
    {
        return json::serialize(json::object { { "attempt", attempt.value() } });
    }

    std::optional<std::string> decodeSoftware(const HttpResponse& response)
    {
        boost::system::error_code problem;
        const auto value = json::parse(response.body, problem);
        const auto* software = !problem && value.is_object() ? value.as_object().if_contains("software") : nullptr;
        if (response.status != statusOk || !software || !software->is_string())
            return std::nullopt;
        return json::value_to<std::string>(*software);
    }

    HttpRequest requestWith(std::string body)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::string(streamOriginPath);
        request.body = std::move(body);
        return request;
    }

} // namespace

/// A question to several VMs at once.
struct StreamOrigins::Query {
    Query(asio::io_context& loop, std::size_t asked)
        : unanswered(asked)
        , changed(loop)
    {
    }

    std::optional<std::string> softwareVersion;
    std::size_t unanswered;
    Notifier changed;
};

StreamOrigins::StreamOrigins(GatewayContext& context, const PeerDirectory& peers)
    : context(context)
    , peers(peers)
    , untold(context.metrics.counter("topaztack_stream_origins_untold_total",
          "Streams whose software version a VM that is to keep it did not take"))
{
}

void StreamOrigins::store(const RequestId& attempt, const std::string& softwareVersion)
{
    if (this->origins.size() < maxOrigins || this->origins.contains(attempt))
        this->origins[attempt] = { softwareVersion, Clock::now() };
}

void StreamOrigins::record(const RequestId& attempt, const std::string& softwareVersion)
{
    // An attempt without an id can't be told from others.
    if (attempt.value().empty())
        return;
    this->store(attempt, softwareVersion);
    for (const auto& keeper : this->peers.keepersOf(attempt.value())) {
        if (keeper.vm.name != this->context.identity.name)
            asio::co_spawn(
                this->context.loop(), this->tell(keeper, encodeRecord(attempt, softwareVersion)), asio::detached);
    }
}

asio::awaitable<void> StreamOrigins::tell(PeerRecord keeper, std::string body)
{
    const auto answered = co_await this->context.httpClient.call(
        keeper.endpoint, requestWith(std::move(body)), Clock::now() + tellTimeout);
    if (answered && answered.value().status == statusOk)
        co_return;
    this->untold.add();
    logEvent(LogLevel::Debug, "stream-origin-untold",
        { { "vm", keeper.vm.name.value() },
            { "error", answered ? std::to_string(answered.value().status) : answered.error().error.message } });
}

asio::awaitable<void> StreamOrigins::ask(PeerRecord keeper, RequestId attempt, std::shared_ptr<Query> query)
{
    const auto answered = co_await this->context.httpClient.call(
        keeper.endpoint, requestWith(encodeQuery(attempt)), Clock::now() + askTimeout);
    if (answered && !query->softwareVersion)
        query->softwareVersion = decodeSoftware(answered.value());
    --query->unanswered;
    query->changed.notify();
}

asio::awaitable<std::optional<std::string>> StreamOrigins::find(RequestId attempt)
{
    if (attempt.value().empty())
        co_return std::nullopt;
    const auto known = this->origins.find(attempt);
    if (known != this->origins.end())
        co_return known->second.softwareVersion;
    std::vector<PeerRecord> others;
    for (const auto& keeper : this->peers.keepersOf(attempt.value())) {
        if (keeper.vm.name != this->context.identity.name)
            others.push_back(keeper);
    }
    const auto query = std::make_shared<Query>(this->context.loop(), others.size());
    for (const auto& keeper : others)
        asio::co_spawn(this->context.loop(), this->ask(keeper, attempt, query), asio::detached);
    const auto end = Clock::now() + askTimeout;
    while (!query->softwareVersion && query->unanswered > 0 && Clock::now() < end)
        co_await query->changed.waitUntil(end);
    co_return query->softwareVersion;
}

HttpResponse StreamOrigins::answer(const HttpRequest& request)
{
    try {
        return this->answerChecked(request);
    } catch (const std::exception& malformed) {
        logEvent(LogLevel::Warning, "stream-origin-refused", { { "error", malformed.what() } });
        HttpResponse refusal;
        refusal.status = statusBadRequest;
        return refusal;
    }
}

HttpResponse StreamOrigins::answerChecked(const HttpRequest& request)
{
    const auto value = json::parse(request.body);
    const RequestId attempt(json::value_to<std::string>(value.at("attempt")));
    if (const auto* software = value.as_object().if_contains("software"))
        this->store(attempt, json::value_to<std::string>(*software));
    const auto found = this->origins.find(attempt);
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body
        = found == this->origins.end() ? std::string("{}") : encodeRecord(attempt, found->second.softwareVersion);
    return response;
}

void StreamOrigins::expire()
{
    const auto oldest = Clock::now() - originRetention;
    std::erase_if(this->origins, [oldest](const auto& origin) { return origin.second.recordedAt < oldest; });
}

} // namespace topaztack
