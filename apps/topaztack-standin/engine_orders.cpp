#include "engine.hpp"

#include <charconv>

namespace topaztack::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds emptyCheckInterval { 2 };
    constexpr std::chrono::milliseconds fetchRetryDelay { 50 };
    constexpr std::chrono::seconds fetchTimeout { 60 };
    constexpr int mostFetchTries = 1200;
    constexpr unsigned statusThrottled = 429;

    SwapMode swapModeOf(const json::value& request)
    {
        const auto* mode = request.as_object().if_contains("mode");
        const auto text = mode ? json::value_to<std::string>(*mode) : std::string("finish");
        if (text == "finish")
            return SwapMode::Finish;
        if (text == "interrupt")
            return SwapMode::Interrupt;
        if (text == "in-place")
            return SwapMode::InPlace;
        throw std::invalid_argument("mode is finish, interrupt or in-place");
    }

    struct Order {
        std::string name;
        std::uint64_t fencing { 0 };
        WeightOrder weights;
        std::string role;
    };

    Order parseOrder(const std::string& body)
    {
        const auto request = json::parse(body);
        Order order;
        order.name = json::value_to<std::string>(request.at("order"));
        order.fencing = request.at("fencing").to_number<std::uint64_t>();
        if (order.name == "load-weights")
            order.weights = { request.at("version").to_number<std::uint64_t>(), swapModeOf(request) };
        else if (order.name == "set-role")
            order.role = json::value_to<std::string>(request.at("role"));
        else if (order.name != "load-adapter")
            throw std::invalid_argument("order is load-weights, load-adapter or set-role");
        return order;
    }

    HttpResponse orderDone(const std::optional<std::uint64_t>& version)
    {
        const auto shown = version ? json::value(*version) : json::value(nullptr);
        return jsonResponse(200, json::serialize(json::object { { "done", true }, { "version", shown } }));
    }

    HttpResponse orderRefused(std::uint64_t newest)
    {
        return jsonResponse(409, json::serialize(json::object { { "refused", "fencing" }, { "newest", newest } }));
    }

    HttpResponse orderFailed()
    {
        return jsonResponse(500, json::serialize(json::object { { "done", false }, { "error", "swap failed" } }));
    }

    HttpResponse objectResponse(unsigned status, const json::object& body)
    {
        return jsonResponse(status, json::serialize(body));
    }

} // namespace

void Engine::addRoutes(HttpRouter& routes)
{
    const auto addPlain = [&routes](const std::string& method, const std::string& path, auto serveCall) {
        routes.add(method, path, [serveCall](HttpExchange& exchange) -> asio::awaitable<void> {
            HttpResponse response;
            try {
                response = serveCall(exchange.request());
            } catch (const std::exception& problem) {
                response = errorResponse(makeError(ErrorKind::BadRequest, problem.what()));
            }
            co_await exchange.respond(std::move(response));
        });
    };
    routes.add("POST", "/v1/completions", [this](HttpExchange& exchange) { return this->complete(exchange); });
    routes.add("POST", "/engine/orders", [this](HttpExchange& exchange) { return this->takeOrder(exchange); });
    addPlain("POST", "/engine/cancel", [this](const HttpRequest& request) { return this->cancelById(request); });
    addPlain("POST", "/engine/kv/export", [this](const HttpRequest& request) { return this->exportCache(request); });
    addPlain("POST", "/engine/kv/import", [this](const HttpRequest& request) { return this->importCache(request); });
    addPlain("GET", "/engine/load", [this](const HttpRequest&) { return this->load(); });
    addPlain("GET", "/engine/events", [this](const HttpRequest& request) { return this->events(request); });
    routes.add("POST", "/standin/faults", [this](HttpExchange& exchange) {
        return answerChange(exchange, [this](const json::value& request) { return this->setFaults(request); });
    });
}

asio::awaitable<void> Engine::takeOrder(HttpExchange& exchange)
{
    Order order;
    std::string wrong;
    try {
        order = parseOrder(exchange.request().body);
    } catch (const std::exception& problem) {
        wrong = problem.what();
    }
    if (!wrong.empty()) {
        co_await exchange.respond(errorResponse(makeError(ErrorKind::BadRequest, wrong)));
        co_return;
    }
    while (this->isSwapping)
        co_await pause(this->threads, emptyCheckInterval);
    if (!this->options.ignoresFencing && order.fencing < this->newestFencing) {
        co_await exchange.respond(orderRefused(this->newestFencing));
        co_return;
    }
    this->newestFencing = std::max(this->newestFencing, order.fencing);
    if (order.name == "load-weights") {
        co_await this->loadWeights(exchange, order.weights);
        co_return;
    }
    if (order.name == "set-role")
        this->role = order.role;
    co_await exchange.respond(orderDone(this->version));
}

asio::awaitable<void> Engine::loadWeights(HttpExchange& exchange, WeightOrder order)
{
    const auto fault = this->faults.swap;
    const bool strikes = fault != SwapFault::None && this->faults.swapChance.strikes(this->faults.random);
    if (strikes && fault == SwapFault::Lie) {
        co_await exchange.respond(orderDone(order.version));
        co_return;
    }
    if (this->version == order.version) {
        co_await exchange.respond(orderDone(this->version));
        co_return;
    }
    this->isSwapping = true;
    const bool isFetched = co_await this->fetchWeights(order.version);
    if (order.mode != SwapMode::InPlace) {
        this->isAdmitting = false;
        for (const auto& [id, job] : this->jobs)
            job->isInterrupted = job->isRunning && order.mode == SwapMode::Interrupt;
        co_await this->waitUntilEmpty();
    }
    const bool isWhole = isFetched && !strikes;
    const auto swapTime = isWhole ? this->options.swapTime : this->options.swapTime / 2;
    if (swapTime.count() > 0)
        co_await pause(this->threads, swapTime);
    if (isWhole)
        this->version = order.version;
    else if (strikes)
        this->version.reset();
    if (this->version == order.version)
        this->cache.clear(Clock::now());
    this->isSwapping = false;
    this->isAdmitting = true;
    this->admit();
    auto response = isWhole ? orderDone(this->version) : orderFailed();
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Engine::waitUntilEmpty()
{
    while (this->running > 0)
        co_await pause(this->threads, emptyCheckInterval);
}

asio::awaitable<bool> Engine::fetchWeights(std::uint64_t wanted)
{
    if (this->options.weightStore.port == 0)
        co_return true;
    for (int tries = 0; tries < mostFetchTries; ++tries) {
        HttpRequest request;
        request.target = "/weights/" + std::to_string(wanted);
        const auto answer
            = co_await this->weights.call(this->options.weightStore, std::move(request), Clock::now() + fetchTimeout);
        if (!answer)
            co_return false;
        if (answer.value().status != statusThrottled)
            co_return answer.value().status == 200;
        const auto jitter = std::chrono::milliseconds(this->faults.random.below(fetchRetryDelay.count()));
        co_await pause(this->threads, fetchRetryDelay + jitter);
    }
    co_return false;
}

HttpResponse Engine::cancelById(const HttpRequest& request)
{
    const auto id = json::value_to<std::string>(json::parse(request.body).at("request_id"));
    const auto place = this->jobs.find(id);
    const bool isKnown = place != this->jobs.end();
    if (isKnown)
        this->cancel(place->second);
    return objectResponse(200, { { "cancelled", isKnown } });
}

HttpResponse Engine::exportCache(const HttpRequest& request)
{
    const auto id = json::value_to<std::string>(json::parse(request.body).at("request_id"));
    const auto place = this->jobs.find(id);
    if (place == this->jobs.end() || !place->second->isRunning)
        return objectResponse(404, { { "error", "not running" } });
    const auto& job = *place->second;
    const auto shown = this->version ? json::value(*this->version) : json::value(nullptr);
    return objectResponse(200,
        { { "kv", "kv-" + toHex(stableHash(job.prompt)) }, { "token_ids", json::value_from(job.tokens) },
            { "version", shown } });
}

HttpResponse Engine::importCache(const HttpRequest& request)
{
    const auto text = json::value_to<std::string>(json::parse(request.body).at("kv"));
    auto handle = text + "-" + std::to_string(++this->importCounter);
    this->importedCaches.insert(handle);
    return objectResponse(200, { { "kv", handle } });
}

json::object Engine::loadNow() const
{
    const auto shown = this->version ? json::value(*this->version) : json::value(nullptr);
    return { { "running", this->running }, { "queued", this->waiting.size() }, { "slots", this->options.slots },
        { "version", shown }, { "swapping", this->isSwapping }, { "role", this->role },
        { "fencing", this->newestFencing } };
}

HttpResponse Engine::load()
{
    const auto now = Clock::now();
    if (this->report.body.empty() || now - this->report.taken >= this->faults.loadLag)
        this->report = { now, this->loadNow() };
    auto body = this->report.body;
    body["age_ms"] = toMilliseconds(now - this->report.taken).count();
    return objectResponse(200, body);
}

HttpResponse Engine::events(const HttpRequest& request) const
{
    const auto text = queryParameter(request.target, "after");
    std::uint64_t after = 0;
    std::from_chars(text.data(), text.data() + text.size(), after);
    const auto now = Clock::now();
    json::array list;
    const auto visible = this->cache.eventsAfter(after, this->faults.eventLag, this->faults.eventGap, now);
    const bool isCut = visible.size() >= mostEventsAtOnce;
    const auto newest = isCut ? visible.back().sequence : this->cache.newestSequence(this->faults.eventLag, now);
    const auto next = std::max(after, newest);
    for (const auto& event : visible)
        list.push_back({ { "seq", event.sequence },
            { "kind", event.kind == CacheEventKind::Stored ? "stored" : "evicted" }, { "block", toHex(event.block) } });
    return objectResponse(200, { { "events", std::move(list) }, { "next", next } });
}

} // namespace topaztack::standin
