#include "call_carrier.hpp"

#include "error_responses.hpp"

#include <topaztack/base/log.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr std::size_t maxCarriers = 3;
    /// A stream whose bytes stay away this long is ended, so that its caller can take it up elsewhere. The VM that
    /// carries it leaves a stalled server sooner.
    constexpr Duration maxStreamPause = 3s;
    constexpr std::size_t maxPlainAnswer = 1024 * 1024;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusNotFound = 404;

    void eraseConnectionHeaders(HttpResponse& response)
    {
        std::erase_if(response.headers, [](const HttpHeader& header) { return isConnectionHeader(header.name); });
    }

    CallFailure answerTooLong(const PeerRecord& peer)
    {
        return { makeError(ErrorKind::BackendBroke, peer.vm.name.value() + ": the answer is too long"),
            AttemptProgress::Written };
    }

    /// Whether an answer without a server's stamp says that the request did not run. A VM with an older configuration
    /// may not know the route.
    bool saysNotRun(const HttpResponse& response)
    {
        return response.status == statusNotRun || response.status == statusNotFound;
    }

} // namespace

CallCarrier::CallCarrier(GatewayContext& context, ServerReach& reach)
    : context(context)
    , reach(reach)
    , carried(context.metrics.counter("topaztack_requests_carried_total", "Callers' requests that another VM carried"))
    , notCarried(context.metrics.counter(
          "topaztack_requests_not_carried_total", "Callers' requests that neither this VM nor another one could carry"))
{
}

asio::awaitable<CarryResult> CallCarrier::carry(HttpExchange& exchange, CarriedCall call)
{
    return this->tryCarriers(exchange, std::move(call), Mode::Whole);
}

asio::awaitable<CarryResult> CallCarrier::carryStream(HttpExchange& exchange, CarriedCall call)
{
    return this->tryCarriers(exchange, std::move(call), Mode::Streamed);
}

asio::awaitable<CarryResult> CallCarrier::tryCarriers(HttpExchange& exchange, CarriedCall call, Mode mode)
{
    CarryResult result;
    result.problem = makeError(
        ErrorKind::BackendUnreachable, "neither this VM nor another one that was asked reaches a server of the pool");
    const auto peers = co_await this->reach.carriers(call.pool);
    for (std::size_t index = 0; index < std::min(peers.size(), maxCarriers); ++index) {
        const bool mayTry = call.isRepeatable || !result.mayHaveRun;
        if (!mayTry || exchange.isCallerGone() || Clock::now() >= call.deadline)
            break;
        const bool hasAnswered = co_await this->sendTo(peers[index], exchange, call, mode, result);
        if (result.answer || result.hasBegun)
            break;
        if (!hasAnswered)
            this->reach.dropCarrier(call.pool, peers[index].vm.name);
    }
    (result.answer || result.isComplete ? this->carried : this->notCarried).add();
    co_return result;
}

/// Sends a request to one VM and takes its answer.
/// @return whether the VM answered.
asio::awaitable<bool> CallCarrier::sendTo(
    const PeerRecord& peer, HttpExchange& exchange, const CarriedCall& call, Mode mode, CarryResult& result)
{
    const auto timeLeft = std::max(1ms, toMilliseconds(call.deadline - Clock::now()));
    auto request = this->context.protocol.encodeCarriedRequest(exchange.request(), timeLeft, call.identity);
    CallControl control;
    exchange.onCallerGone([&control] { control.cancel(); });
    std::optional<CallFailure> failure;
    if (mode == Mode::Whole)
        failure = co_await this->callWhole(peer, std::move(request), call, control, result);
    else
        failure = co_await this->callStreamed(peer, exchange, std::move(request), call, control, result);
    exchange.onCallerGone({});
    if (failure) {
        result.mayHaveRun = result.mayHaveRun || failure->progress != AttemptProgress::NothingWritten;
        result.problem = failure->error;
    }
    const bool isPassedOn = result.answer || result.isComplete;
    logEvent(LogLevel::Info, "request-carried",
        { { "id", call.id.value() }, { "vm", peer.vm.name.value() }, { "pool", call.pool.value() },
            { "passed_on", isPassedOn ? "1" : "0" }, { "error", isPassedOn ? "" : result.problem->message } });
    co_return !failure.has_value();
}

/// A late answer to another request must not be taken for this one's.
CallOptions CallCarrier::optionsFor(const CarriedCall& call, CallControl& control) const
{
    CallOptions options;
    options.control = &control;
    options.accepts = [this, id = call.id](const HttpResponse& response) {
        const auto answered = this->context.protocol.decodeAnswer(response).request;
        return answered.value().empty() || answered == id;
    };
    return options;
}

/// Takes an answer if a server gave it; otherwise the VM's own word on the request.
void CallCarrier::takeAnswer(const PeerRecord& peer, HttpResponse response, CarryResult& result) const
{
    if (!this->context.protocol.decodeAnswer(response).serverStamp.empty()) {
        eraseConnectionHeaders(response);
        result.mayHaveRun = true;
        result.answer = std::move(response);
        return;
    }
    result.mayHaveRun = result.mayHaveRun || !saysNotRun(response);
    result.problem
        = makeError(ErrorKind::NoBackendServer, peer.vm.name.value() + " answered " + std::to_string(response.status));
}

asio::awaitable<std::optional<CallFailure>> CallCarrier::callWhole(
    const PeerRecord& peer, HttpRequest request, const CarriedCall& call, CallControl& control, CarryResult& result)
{
    auto options = this->optionsFor(call, control);
    auto answered
        = co_await this->context.httpClient.call(peer.endpoint, std::move(request), call.deadline, std::move(options));
    if (!answered)
        co_return std::move(answered).error();
    this->takeAnswer(peer, std::move(answered).value(), result);
    co_return std::nullopt;
}

asio::awaitable<std::optional<CallFailure>> CallCarrier::callStreamed(const PeerRecord& peer, HttpExchange& exchange,
    HttpRequest request, const CarriedCall& call, CallControl& control, CarryResult& result)
{
    auto options = this->optionsFor(call, control);
    auto opened
        = co_await this->context.httpClient.open(peer.endpoint, std::move(request), call.deadline, std::move(options));
    if (!opened)
        co_return std::move(opened).error();
    auto& stream = *opened.value();
    const bool isServers = !this->context.protocol.decodeAnswer(stream.head()).serverStamp.empty();
    if (isServers && stream.head().status == statusOk) {
        result.mayHaveRun = true;
        co_await passStream(exchange, call, stream, result);
        co_return std::nullopt;
    }
    // A failure is short.
    auto response = stream.head();
    BudgetShare share(this->context.httpClient.answerBudget());
    while (true) {
        auto piece = co_await stream.read(call.deadline);
        if (!piece)
            co_return std::move(piece).error();
        if (piece.value().empty())
            break;
        response.body += piece.value();
        if (response.body.size() > maxPlainAnswer || !share.resize(response.body.size()))
            co_return answerTooLong(peer);
    }
    this->takeAnswer(peer, std::move(response), result);
    co_return std::nullopt;
}

asio::awaitable<void> CallCarrier::passStream(
    HttpExchange& exchange, const CarriedCall& call, HttpStream& stream, CarryResult& result)
{
    auto head = stream.head();
    eraseConnectionHeaders(head);
    result.hasBegun = true;
    bool isTaken = co_await exchange.beginStream(std::move(head));
    while (isTaken) {
        const auto limit
            = call.isRepeatable ? std::min<TimePoint>(call.deadline, Clock::now() + maxStreamPause) : call.deadline;
        const auto piece = co_await stream.read(limit);
        if (!piece) {
            result.problem = piece.error().error;
            co_return;
        }
        if (piece.value().empty()) {
            result.isComplete = co_await exchange.endStream();
            co_return;
        }
        isTaken = co_await exchange.writeChunk(piece.value());
    }
    stream.cancel();
}

} // namespace topaztack
