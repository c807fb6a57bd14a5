#include "standins/worker.hpp"

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

    std::string headerOf(const HttpRequest& request, std::string_view name)
    {
        return std::string(findHeader(request.headers, name));
    }

    HttpResponse answerTo(const HttpRequest& request, unsigned status)
    {
        HttpResponse response;
        response.status = status;
        response.headers.push_back({ "Topaztack-Request-Id", headerOf(request, "Topaztack-Request-Id") });
        return response;
    }

    HttpResponse signedAnswer(const HttpRequest& request, unsigned status)
    {
        auto response = answerTo(request, status);
        response.headers.push_back({ "Topaztack-Server-Stamp", "stamp" });
        return response;
    }

} // namespace

WorkerStandin::WorkerStandin(IoThreads& threads, std::string name, int events)
    : name(std::move(name))
    , events(events)
    , server(
          threads, { "127.0.0.1", 0 }, [] { return HttpServerLimits {}; },
          [this](HttpExchange& exchange) { return this->handle(exchange); }, this->metrics, "worker")
{
    if (!this->server.start())
        throw std::runtime_error("worker stand-in can't listen");
}

std::string WorkerStandin::record(const std::string& pool, const std::string& state) const
{
    return json::serialize(json::object { { "service", pool },
        { "address", "127.0.0.1:" + std::to_string(this->server.port()) }, { "zone", "z1" }, { "version", "v1" },
        { "slots", 4 }, { "state", state }, { "coldRemainingMs", 0 }, { "sequence", 1 },
        { "models",
            json::array { json::object { { "name", this->model }, { "version", this->weightVersion.load() } } } } });
}

std::vector<SeenRequest> WorkerStandin::seen() const
{
    const std::lock_guard guard(this->lock);
    return this->requests;
}

std::string WorkerStandin::textOf(const std::string& id) const
{
    std::string text;
    for (int event = 1; event <= this->events; ++event)
        text += (event > 1 ? "\n" : "") + id + "-" + std::to_string(event);
    return text;
}

HttpResponse WorkerStandin::takeOrder(const HttpRequest& request)
{
    const auto value = json::parse(request.body);
    const auto& order = value.as_object();
    if (order.at("expected").to_number<std::uint64_t>() != this->orderCount)
        return answerTo(request, 409);
    ++this->orderCount;
    this->weightVersion = order.at("version").to_number<std::uint64_t>();
    return answerTo(request, 202);
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
    auto head = signedAnswer(request, 200);
    head.headers.push_back({ "Content-Type", "text/event-stream" });
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    if (first <= this->events)
        head.headers.push_back({ "Topaztack-Weight-Versions", std::to_string(this->weightVersion) });
    co_await exchange.beginStream(std::move(head));
    asio::steady_timer timer(co_await asio::this_coro::executor);
    int made = 0;
    for (int event = first; event <= this->events && !exchange.isCallerGone(); ++event) {
        if (this->faults.breakAfter > 0 && made++ == this->faults.breakAfter)
            co_return;
        const bool isSlow = !id.empty() && id == this->faults.slowItem;
        timer.expires_after(isSlow ? slowEventTime : this->faults.eventTime.load());
        co_await timer.async_wait(asio::use_awaitable);
        co_await exchange.writeChunk(
            "id: " + std::to_string(event) + "\ndata: " + id + "-" + std::to_string(event) + "\n\n");
    }
    co_await exchange.endStream();
}

asio::awaitable<void> WorkerStandin::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (request.target == "/-/report") {
        auto response = answerTo(request, 200);
        response.body = json::serialize(json::object { { "busy", false }, { "sequence", this->orderCount.load() },
            { "models",
                json::array {
                    json::object { { "name", this->model }, { "version", this->weightVersion.load() } } } } });
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const auto expected = headerOf(request, "Topaztack-Expect-Instance");
    if (!expected.empty() && expected != this->name) {
        co_await exchange.respond(answerTo(request, 421));
        co_return;
    }
    if (request.target == "/-/order") {
        co_await exchange.respond(this->takeOrder(request));
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
            headerOf(request, "Last-Event-Id") });
    }
    if (this->faults.answersToLose > 0) {
        --this->faults.answersToLose;
        co_return;
    }
    if (!headerOf(request, "Topaztack-Model").empty()) {
        co_await this->generate(exchange);
        co_return;
    }
    auto response = signedAnswer(request, 200);
    if (this->faults.foreignAnswers > 0) {
        --this->faults.foreignAnswers;
        response.headers.front().value = "another";
    }
    response.body = "served by " + this->name;
    co_await exchange.respond(std::move(response));
}

} // namespace topaztack::test
