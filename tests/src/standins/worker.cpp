#include "standins/worker.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <stdexcept>

namespace topaztack::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds slowEventTime { 500 };
    constexpr std::chrono::milliseconds silenceCheckInterval { 10 };
    constexpr std::chrono::milliseconds dribbleInterval { 100 };
    /// From the beginning of a request that ends the process until it ends.
    constexpr std::chrono::milliseconds crashTime { 20 };
    /// A byte that no character begins with, and the beginning of one that is never continued.
    constexpr std::string_view spoiledBytes = "\xff\xe2\x82";

    std::string headerOf(const HttpRequest& request, std::string_view name)
    {
        return std::string(findHeader(request.headers, name));
    }

} // namespace

WorkerStandin::WorkerStandin(IoThreads& threads, std::string name, WorkerOptions given)
    : name(std::move(name))
    , options(std::move(given))
    , weightVersion(this->options.version)
    , server(
          threads, { "127.0.0.1", this->options.port }, [] { return HttpServerLimits {}; },
          [this](HttpExchange& exchange) { return this->handle(exchange); }, this->metrics, "worker")
{
    if (!this->options.runLog.empty())
        this->runLog.open(this->options.runLog, std::ios::app);
    if (!this->server.start())
        throw std::runtime_error("worker stand-in can't listen");
}

void WorkerStandin::crash()
{
    this->isCrashed = true;
    this->server.abort();
}

HttpResponse WorkerStandin::answerTo(const HttpRequest& request, unsigned status) const
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Topaztack-Request-Id", headerOf(request, "Topaztack-Request-Id") });
    if (this->faults.announcesDeparture)
        response.headers.push_back({ "Server-Leaving", "1" });
    if (this->faults.requestsPerSecond >= 0)
        response.headers.push_back({ "Server-Limit", std::to_string(this->faults.requestsPerSecond.load()) });
    return response;
}

HttpResponse WorkerStandin::signedAnswer(const HttpRequest& request, unsigned status) const
{
    auto response = this->answerTo(request, status);
    response.headers.push_back({ "Topaztack-Server-Stamp", "stamp" });
    return response;
}

std::string WorkerStandin::record(const std::string& pool, const std::string& state) const
{
    json::object record { { "service", pool }, { "address", "127.0.0.1:" + std::to_string(this->server.port()) },
        { "zone", "z1" }, { "version", this->options.softwareVersion }, { "slots", 4 }, { "state", state },
        { "coldRemainingMs", 0 }, { "sequence", 1 },
        { "models",
            json::array { json::object { { "name", this->model }, { "version", this->weightVersion.load() } } } } };
    if (this->options.startedAt.count() > 0)
        record["born"] = this->options.startedAt.count();
    return json::serialize(record);
}

std::vector<SeenRequest> WorkerStandin::seen() const
{
    const std::lock_guard guard(this->lock);
    return this->requests;
}

std::string WorkerStandin::textOf(const std::string& id) const
{
    std::string text;
    for (int event = 1; event <= this->options.events; ++event)
        text += (event > 1 ? "\n" : "") + id + "-" + std::to_string(event) + this->options.padding;
    return text;
}

void WorkerStandin::logRun(const std::string& line)
{
    if (!this->runLog.is_open())
        return;
    this->runLog << toMilliseconds(Clock::now().time_since_epoch()).count() << " " << line << std::endl;
}

std::string WorkerStandin::dataOf(const std::string& id, int event) const
{
    auto data = id + "-" + std::to_string(event) + this->options.padding;
    if (this->runLog.is_open())
        data += "@" + std::to_string(this->weightVersion) + "@" + this->name;
    return data;
}

asio::awaitable<HttpResponse> WorkerStandin::carryOut(const HttpRequest& request)
{
    const auto value = json::parse(request.body);
    const auto& order = value.as_object();
    if (this->isLoading || order.at("expected").to_number<std::uint64_t>() != this->orderCount)
        co_return answerTo(request, 409);
    const auto version = order.at("version").to_number<std::uint64_t>();
    if (version == this->weightVersion)
        co_return answerTo(request, 200);
    ++this->orderCount;
    this->logRun("order " + json::value_to<std::string>(order.at("holder")) + " "
        + std::to_string(order.at("fencingToken").to_number<std::uint64_t>()) + " " + std::to_string(version));
    if (this->options.loadTime.count() == 0) {
        this->weightVersion = version;
        co_return answerTo(request, 202);
    }
    this->isLoading = true;
    asio::co_spawn(
        co_await asio::this_coro::executor,
        [this, version]() -> asio::awaitable<void> {
            asio::steady_timer timer(co_await asio::this_coro::executor, this->options.loadTime);
            co_await timer.async_wait(asio::use_awaitable);
            this->weightVersion = version;
            this->isLoading = false;
        },
        asio::detached);
    co_return answerTo(request, 202);
}

/// Sends bytes that complete no event until the caller closes the connection.
asio::awaitable<void> WorkerStandin::sendNoEvents(HttpExchange& exchange)
{
    static constexpr std::size_t floodPiece = 64 * 1024;
    const std::string flood(floodPiece, 'x');
    asio::steady_timer timer(co_await asio::this_coro::executor);
    bool isComment = true;
    std::size_t written = 0;
    while (!exchange.isCallerGone()) {
        const auto piece = this->faults.floodsAfter > 0 ? flood : std::string(isComment ? ": still here\n\n" : "d");
        isComment = false;
        if (!co_await exchange.writeChunk(piece))
            co_return;
        written += piece.size();
        if (this->faults.floodsAfter > 0) {
            this->faults.mostFlooded = std::max(this->faults.mostFlooded.load(), written);
            continue;
        }
        timer.expires_after(dribbleInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> WorkerStandin::generate(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto id = headerOf(request, "Topaztack-Request-Id");
    const auto last = headerOf(request, "Last-Event-Id");
    if (this->faults.generationStatus != 200) {
        co_await exchange.respond(signedAnswer(request, this->faults.generationStatus));
        co_return;
    }
    if (!last.empty() && this->faults.resumedAnswer) {
        auto response = signedAnswer(request, this->faults.resumedAnswer->status);
        for (const auto& header : this->faults.resumedAnswer->headers)
            response.headers.push_back(header);
        response.body = this->faults.resumedAnswer->body;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    auto head = signedAnswer(request, 200);
    head.headers.push_back({ "Content-Type", "text/event-stream" });
    // A change after the head was made is told at the next event.
    auto version = this->weightVersion.load();
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    if (first <= this->options.events)
        head.headers.push_back({ "Topaztack-Weight-Versions", std::to_string(version) });
    co_await exchange.beginStream(std::move(head));
    asio::steady_timer timer(co_await asio::this_coro::executor);
    int made = 0;
    for (int event = first; (event <= this->options.events || this->faults.isEndless) && !exchange.isCallerGone();
         ++event) {
        if (this->faults.breakAfter > 0 && made++ == this->faults.breakAfter)
            co_return;
        const bool isStalled = (this->faults.dribblesAfter > 0 && event - first == this->faults.dribblesAfter)
            || (this->faults.floodsAfter > 0 && event - first == this->faults.floodsAfter);
        if (isStalled) {
            co_await this->sendNoEvents(exchange);
            co_return;
        }
        const bool isSlow = !id.empty() && id == this->faults.slowItem;
        timer.expires_after(isSlow ? slowEventTime : this->faults.eventTime.load());
        co_await timer.async_wait(asio::use_awaitable);
        while (this->faults.isSilent && !exchange.isCallerGone()) {
            timer.expires_after(silenceCheckInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        const auto now = this->weightVersion.load();
        const auto change = now == version ? "" : "topaztack-weight-versions:" + std::to_string(now) + "\n";
        version = now;
        auto data = this->dataOf(id, event);
        const bool isSpoiled = this->faults.eventsToSpoil > 0;
        if (isSpoiled)
            --this->faults.eventsToSpoil;
        if (isSpoiled || (!id.empty() && id == this->faults.spoiledItem))
            data += spoiledBytes;
        co_await exchange.writeChunk(change + "id: " + std::to_string(event) + "\ndata: " + data + "\n\n");
    }
    co_await exchange.endStream();
}

asio::awaitable<void> WorkerStandin::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (request.target == "/-/report") {
        auto response = answerTo(request, 200);
        json::object report { { "busy", this->isLoading.load() }, { "sequence", this->orderCount.load() },
            { "models",
                json::array { json::object { { "name", this->model }, { "version", this->weightVersion.load() } } } } };
        if (this->options.startedAt.count() > 0)
            report["born"] = this->options.startedAt.count();
        response.body = json::serialize(report);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const auto expected = headerOf(request, "Topaztack-Expect-Instance");
    if (!expected.empty() && expected != this->name) {
        co_await exchange.respond(answerTo(request, 421));
        co_return;
    }
    if (request.target == "/-/order") {
        co_await exchange.respond(co_await this->carryOut(request));
        co_return;
    }
    if (this->faults.isFull) {
        auto refusal = answerTo(request, 503);
        refusal.headers.push_back({ "Topaztack-Not-Executed", "1" });
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    {
        const std::lock_guard guard(this->lock);
        this->requests.push_back({ headerOf(request, "Topaztack-Request-Id"), request.target, request.body,
            headerOf(request, "Last-Event-Id"), Clock::now(), headerOf(request, "Topaztack-Tenant"),
            headerOf(request, "Authorization") });
    }
    this->logRun("run " + headerOf(request, "Topaztack-Request-Id") + " " + headerOf(request, "Last-Event-Id"));
    if (!this->faults.deadlyBody.empty() && request.body == this->faults.deadlyBody) {
        asio::steady_timer timer(co_await asio::this_coro::executor, crashTime);
        co_await timer.async_wait(asio::use_awaitable);
        this->crash();
        // The listener is closed by the event loop. A caller that saw its connection end first could still connect.
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
    }
    if (this->isCrashed)
        co_return;
    if (this->faults.answersToLose > 0) {
        --this->faults.answersToLose;
        co_return;
    }
    if (!headerOf(request, "Topaztack-Model").empty()) {
        co_await this->generate(exchange);
        co_return;
    }
    auto response = signedAnswer(request, this->faults.plainStatus);
    if (this->faults.foreignAnswers > 0) {
        --this->faults.foreignAnswers;
        response.headers.front().value = "another";
    }
    if (this->faults.stampsToSpoil > 0) {
        --this->faults.stampsToSpoil;
        response.headers.back().value += spoiledBytes;
    }
    const auto workTime = std::max(this->options.workTime, this->faults.plainTime.load());
    if (workTime.count() > 0) {
        asio::steady_timer timer(co_await asio::this_coro::executor, workTime);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (this->isCrashed)
        co_return;
    response.body = "served by " + this->name;
    if (this->runLog.is_open())
        response.body = headerOf(request, "Topaztack-Request-Id") + " " + response.body;
    co_await exchange.respond(std::move(response));
}

} // namespace topaztack::test
