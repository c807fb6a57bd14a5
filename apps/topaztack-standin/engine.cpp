#include "engine.hpp"

#include <topaztack/policy/outcome.hpp>
#include <topaztack/policy/prefix.hpp>
#include <topaztack/wire/sse.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>

namespace topaztack::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr std::uint64_t vocabulary = 32000;
    constexpr int exitByFault = 3;
    /// Each further generation in the batch makes a step this much longer.
    constexpr double batchGrowth = 0.03;

    SwapFault swapFaultValue(const json::value& value)
    {
        const auto text = json::value_to<std::string>(value);
        if (text == "none")
            return SwapFault::None;
        if (text == "fail-half")
            return SwapFault::FailHalf;
        if (text == "lie")
            return SwapFault::Lie;
        throw std::invalid_argument("swap is none, fail-half or lie");
    }

    double factorValue(const json::value& value)
    {
        const auto factor = value.to_number<double>();
        if (factor <= 0 || factor > 1000)
            throw std::invalid_argument("a factor lies above 0 and up to 1000");
        return factor;
    }

    const std::vector<FaultRule<EngineFaults>> faultRules {
        { "crash",
            [](EngineFaults&, const json::value& value) { value.as_bool() ? std::_Exit(exitByFault) : void(); } },
        { "swap", [](EngineFaults& faults, const json::value& value) { faults.swap = swapFaultValue(value); } },
        { "swap_next",
            [](EngineFaults& faults, const json::value& value) {
                faults.swapChance = { .next = wholeValue(value), .probability = 0 };
            } },
        { "swap_probability",
            [](EngineFaults& faults, const json::value& value) {
                faults.swapChance.probability = fractionValue(value);
            } },
        { "break_after_tokens",
            [](EngineFaults& faults, const json::value& value) { faults.breakAfter = wholeValue(value); } },
        { "break_next",
            [](EngineFaults& faults, const json::value& value) { faults.breakStream.next = wholeValue(value); } },
        { "break_probability",
            [](EngineFaults& faults, const json::value& value) {
                faults.breakStream.probability = fractionValue(value);
            } },
        { "slow_factor",
            [](EngineFaults& faults, const json::value& value) { faults.slowFactor = factorValue(value); } },
        { "leaving", [](EngineFaults& faults, const json::value& value) { faults.isLeaving = value.as_bool(); } },
        { "event_gap", [](EngineFaults& faults, const json::value& value) { faults.eventGap = fractionValue(value); } },
        { "event_lag_ms",
            [](EngineFaults& faults, const json::value& value) { faults.eventLag = millisecondsValue(value); } },
        { "load_lag_ms",
            [](EngineFaults& faults, const json::value& value) { faults.loadLag = millisecondsValue(value); } },
        { "seed", [](EngineFaults& faults, const json::value& value) { faults.random = Random(wholeValue(value)); } },
    };

    /// Depends on prompt and place only, so that a resumed generation goes on with the same tokens anywhere.
    std::uint64_t tokenAt(const std::string& prompt, std::uint64_t place)
    {
        return stableHash(prompt, place + 1) % vocabulary;
    }

    std::string eventData(std::optional<std::uint64_t> token, std::string_view finish, std::uint64_t version)
    {
        json::array tokens;
        if (token)
            tokens.emplace_back(*token);
        const auto text = token ? " w" + std::to_string(*token) : std::string {};
        const json::value reason = finish.empty() ? json::value(nullptr) : json::value(finish);
        const json::object event {
            { "choices",
                json::array { json::object {
                    { "index", 0 }, { "text", text }, { "token_ids", tokens }, { "finish_reason", reason } } } },
            { "weight_version", version },
        };
        return sseEvent(json::serialize(event));
    }

} // namespace

Engine::Engine(IoThreads& threads, EngineOptions options)
    : threads(threads)
    , options(std::move(options))
    , weights(threads.at(0))
    , cache(this->options.cacheBlocks)
    , version(this->options.version)
{
}

Result<void> Engine::setFaults(const json::value& request) { return applyFaults(request, faultRules, this->faults); }

JobPtr Engine::parseJob(const HttpRequest& request)
{
    const auto value = json::parse(request.body);
    auto job = std::make_shared<Job>(this->threads.at(0));
    const auto* id = value.as_object().if_contains("request_id");
    job->id = id ? json::value_to<std::string>(*id) : std::string {};
    job->prompt = json::value_to<std::string>(value.at("prompt"));
    job->maxTokens = value.at("max_tokens").to_number<std::uint64_t>();
    const auto* resume = value.as_object().if_contains("resume");
    if (!resume || !resume->is_object())
        return job;
    job->tokens = json::value_to<std::vector<std::uint64_t>>(resume->at("token_ids"));
    const auto* handle = resume->as_object().if_contains("kv");
    if (handle && handle->is_string()) {
        const auto place = this->importedCaches.find(std::string_view(handle->as_string()));
        job->hasImportedCache = place != this->importedCaches.end();
        if (job->hasImportedCache)
            this->importedCaches.erase(place);
    }
    return job;
}

asio::awaitable<void> Engine::complete(HttpExchange& exchange)
{
    JobPtr job;
    std::string wrong;
    try {
        job = this->parseJob(exchange.request());
    } catch (const std::exception& problem) {
        wrong = problem.what();
    }
    if (!job) {
        co_await exchange.respond(errorResponse(makeError(ErrorKind::BadRequest, wrong)));
        co_return;
    }
    this->jobs[job->id] = job;
    exchange.onCallerGone([this, job] { this->cancel(job); });
    this->waiting.push_back(job);
    this->admit();
    while (!job->isRunning && !job->isCancelled)
        co_await this->sleepUnlessWoken(job, std::chrono::hours(1));
    if (!job->isCancelled)
        co_await this->run(exchange, job);
    this->release(job);
}

asio::awaitable<void> Engine::run(HttpExchange& exchange, JobPtr job)
{
    if (!this->version) {
        co_await exchange.respond(errorResponse(makeError(ErrorKind::NotReady, "a weight swap failed half way")));
        co_return;
    }
    const bool breaks = this->faults.breakStream.strikes(this->faults.random);
    const auto breakAfter = this->faults.breakAfter;
    const auto prefill = this->prefillTime(*job);
    if (prefill.count() > 0)
        co_await this->sleepUnlessWoken(job, prefill);
    HttpResponse head;
    head.headers.push_back({ "Content-Type", "text/event-stream" });
    if (this->faults.isLeaving)
        head.headers.push_back({ std::string(leavingHeader), "1" });
    bool goesOn = co_await exchange.beginStream(std::move(head));
    for (std::uint64_t made = 0; goesOn && made < job->maxTokens; ++made) {
        const auto step = this->tokenTime();
        if (step.count() > 0)
            co_await this->sleepUnlessWoken(job, step);
        const bool isBroken = !this->version || (breaks && made >= breakAfter);
        if (job->isCancelled || isBroken)
            co_return;
        if (job->isInterrupted) {
            const auto last = eventData(std::nullopt, "interrupted", *this->version);
            co_await exchange.writeChunk(last);
            break;
        }
        const auto token = tokenAt(job->prompt, job->tokens.size());
        job->tokens.push_back(token);
        const auto finish = made + 1 == job->maxTokens ? std::string_view("length") : std::string_view {};
        const auto text = eventData(token, finish, *this->version);
        goesOn = co_await exchange.writeChunk(text);
    }
    if (!goesOn)
        co_return;
    const auto end = sseEvent("[DONE]");
    co_await exchange.writeChunk(end);
    co_await exchange.endStream();
}

asio::awaitable<void> Engine::sleepUnlessWoken(JobPtr job, std::chrono::microseconds time)
{
    if (job->isCancelled)
        co_return;
    job->wake.expires_after(time);
    co_await job->wake.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::chrono::microseconds Engine::prefillTime(const Job& job)
{
    const auto blocks = prefixBlocks(job.prompt);
    const auto hits = this->cache.use(blocks, Clock::now());
    const auto missing = job.hasImportedCache ? 0 : blocks.size() - hits;
    const auto slowed = static_cast<double>(missing) * static_cast<double>(this->options.prefillTime.count())
        * this->faults.slowFactor;
    return std::chrono::microseconds(static_cast<std::int64_t>(slowed));
}

std::chrono::microseconds Engine::tokenTime() const
{
    const auto others = static_cast<double>(this->running > 0 ? this->running - 1 : 0);
    const auto step = static_cast<double>(this->options.tokenTime.count()) * (1 + batchGrowth * others);
    return std::chrono::microseconds(static_cast<std::int64_t>(step * this->faults.slowFactor));
}

void Engine::admit()
{
    while (this->isAdmitting && this->running < this->options.slots && !this->waiting.empty()) {
        const auto job = this->waiting.front();
        this->waiting.pop_front();
        ++this->running;
        job->isRunning = true;
        job->wake.cancel();
    }
}

void Engine::release(const JobPtr& job)
{
    std::erase(this->waiting, job);
    if (job->isRunning)
        --this->running;
    const auto place = this->jobs.find(job->id);
    if (place != this->jobs.end() && place->second == job)
        this->jobs.erase(place);
    this->admit();
}

void Engine::cancel(const JobPtr& job)
{
    job->isCancelled = true;
    job->wake.cancel();
}

int runEngine(const EngineOptions& options)
{
    IoThreads threads(1);
    Engine engine(threads, options);
    if (!accepted(engine.setFaults(options.faults)))
        return 2;
    HttpRouter routes;
    engine.addRoutes(routes);
    return serve("engine", options.address, threads, routes);
}

} // namespace topaztack::standin
