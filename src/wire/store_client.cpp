#include <topaztack/wire/store_client.hpp>

#include <topaztack/base/log.hpp>

namespace topaztack {

namespace asio = boost::asio;

namespace {

    constexpr unsigned statusThrottled = 429;
    constexpr unsigned statusRefused = 503;

    Error toStoreError(const CallFailure& failure)
    {
        const bool hadNoEffect = failure.progress == AttemptProgress::NothingWritten;
        return makeError(
            hadNoEffect ? ErrorKind::PlatformUnreachable : ErrorKind::PlatformAmbiguous, failure.error.message);
    }

    /// The smallest key after this one.
    std::string keyAfter(const std::string& key) { return key + '\0'; }

} // namespace

StoreClient::StoreClient(HttpClient& client, Endpoint endpoint, std::chrono::microseconds timeout,
    const StoreProtocol& protocol, MetricsRegistry& metrics)
    : client(client)
    , endpoint(std::move(endpoint))
    , timeout(timeout)
    , protocol(protocol)
    , calls(metrics.counter("topaztack_store_calls_total", "Calls to the platform's store"))
    , failures(metrics.counter("topaztack_store_failures_total", "Calls that the store refused or did not answer"))
    , latency(metrics.latency("topaztack_store_seconds", "Time of a call to the store, feeds left out"))
{
}

std::optional<Duration> noteAnswer(StoreContact& contact, bool isAnswered, TimePoint now)
{
    if (!isAnswered) {
        if (!contact.lostSince)
            contact.lostSince = now;
        return std::nullopt;
    }
    if (!contact.lostSince)
        return std::nullopt;
    const auto away = now - *contact.lostSince;
    contact.lostSince.reset();
    if (away < shortestOutage)
        return std::nullopt;
    contact.regainedAt = now;
    return away;
}

bool isStoreAway(const StoreContact& contact, TimePoint now)
{
    return contact.lostSince && now - *contact.lostSince >= shortestOutage;
}

void StoreClient::noteCall(bool isAnswered)
{
    const auto now = Clock::now();
    if (!isAnswered)
        this->failures.add();
    const auto away = topaztack::noteAnswer(this->lastContact, isAnswered, now);
    if (isStoreAway(this->lastContact, now) && !this->isOutageLogged) {
        this->isOutageLogged = true;
        logEvent(LogLevel::Warning, "store-lost", { { "address", toText(this->endpoint) } });
    }
    if (away) {
        this->isOutageLogged = false;
        logEvent(LogLevel::Info, "store-regained", { { "away_ms", std::to_string(toMilliseconds(*away).count()) } });
    }
}

asio::awaitable<Result<HttpResponse>> StoreClient::call(HttpRequest request, std::chrono::microseconds allowed)
{
    this->calls.add();
    const auto target = request.method + " " + request.target;
    auto result = co_await this->client.call(this->endpoint, std::move(request), Clock::now() + allowed);
    const bool isRefused
        = result && (result.value().status == statusThrottled || result.value().status == statusRefused);
    this->noteCall(result && !isRefused);
    if (result && !isRefused)
        co_return std::move(result).value();
    auto error = result ? makeError(ErrorKind::PlatformThrottled,
                     "store refused the call with " + std::to_string(result.value().status))
                        : toStoreError(result.error());
    logEvent(LogLevel::Debug, "store-call-failed", { { "call", target }, { "error", error.message } });
    co_return error;
}

template <typename Answer> Result<Answer> StoreClient::passTimeOn(Result<Answer> answer) const
{
    if (answer && this->handleTime)
        this->handleTime(answer.value().storeTime);
    return answer;
}

asio::awaitable<Result<StoreCommit>> StoreClient::commit(StoreTransaction transaction)
{
    const auto started = Clock::now();
    const auto response = co_await this->call(this->protocol.encodeTransaction(transaction), this->timeout);
    this->latency.record(Clock::now() - started);
    if (!response)
        co_return response.error();
    auto commit = this->protocol.decodeCommit(response.value());
    if (!commit)
        logEvent(LogLevel::Warning, "store-answer-unexpected",
            { { "call", "transaction" }, { "error", commit.error().message } });
    co_return this->passTimeOn(std::move(commit));
}

asio::awaitable<Result<StoreRows>> StoreClient::readPage(StoreRange range)
{
    const auto started = Clock::now();
    const auto response = co_await this->call(this->protocol.encodeRange(range), this->timeout);
    this->latency.record(Clock::now() - started);
    if (!response)
        co_return response.error();
    co_return this->passTimeOn(this->protocol.decodeRows(response.value()));
}

asio::awaitable<Result<StoreRows>> StoreClient::read(StoreRange range)
{
    StoreRows all;
    while (true) {
        auto page = co_await this->readPage(range);
        if (!page)
            co_return std::move(page).error();
        auto& rows = page.value().rows;
        // The first page's version: changes between two pages are asked for again by a feed.
        if (all.rows.empty())
            all.version = page.value().version;
        all.storeTime = page.value().storeTime;
        for (auto& row : rows)
            all.rows.push_back(std::move(row));
        if (!page.value().hasMore || all.rows.empty())
            co_return std::move(all);
        range.from = keyAfter(all.rows.back().place.key);
    }
}

asio::awaitable<Result<StoreRows>> StoreClient::changes(StoreFeedQuery query)
{
    const auto response = co_await this->call(this->protocol.encodeFeed(query), this->timeout + query.wait);
    if (!response)
        co_return response.error();
    co_return this->passTimeOn(this->protocol.decodeRows(response.value()));
}

asio::awaitable<Result<bool>> StoreClient::putObject(ObjectKey key, std::string bytes)
{
    const auto response = co_await this->call(this->protocol.encodeObjectPut(key, std::move(bytes)), this->timeout);
    if (!response)
        co_return response.error();
    co_return this->protocol.decodeObjectPut(response.value());
}

asio::awaitable<Result<std::string>> StoreClient::getObject(ObjectKey key)
{
    const auto response = co_await this->call(this->protocol.encodeObjectGet(key), this->timeout);
    if (!response)
        co_return response.error();
    co_return this->protocol.decodeObject(response.value());
}

asio::awaitable<Result<void>> StoreClient::dropObject(ObjectKey key)
{
    const auto response = co_await this->call(this->protocol.encodeObjectDrop(key), this->timeout);
    if (!response)
        co_return response.error();
    co_return boost::outcome_v2::success();
}

} // namespace topaztack
