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
        co_await this->sendTo(peers[index], exchange, call, mode, result);
        if (result.answer || result.hasBegun)
            break;
        this->reach.dropCarrier(call.pool, peers[index].vm.name);
    }
    (result.answer || result.isComplete ? this->carried : this->notCarried).add();
    co_return result;
}

/// Sends a request to one VM and takes its answer.
asio::awaitable<void> CallCarrier::sendTo(
    const PeerRecord& peer, HttpExchange& exchange, const CarriedCall& call, Mode mode, CarryResult& result)
{
    const auto timeLeft = std::max(1ms, toMilliseconds(call.deadline - Clock::now()));
    CallControl control;
    CallOptions options;
    options.control = &control;
    exchange.onCallerGone([&control] { control.cancel(); });
    auto opened = co_await this->context.httpClient.open(peer.endpoint,
        this->context.protocol.encodeCarriedRequest(exchange.request(), timeLeft), call.deadline, std::move(options));
    std::string outcome = "passed-on";
    if (!opened) {
        result.mayHaveRun = result.mayHaveRun || opened.error().progress != AttemptProgress::NothingWritten;
        result.problem = std::move(opened.error().error);
        outcome = "not-answered";
    } else if (!this->context.protocol.decodeAnswer(opened.value()->head()).serverStamp.empty()) {
        // A server answered, and the VM passes its answer on.
        result.mayHaveRun = true;
        if (mode == Mode::Streamed && opened.value()->head().status == statusOk)
            co_await passStream(exchange, call, *opened.value(), result);
        else
            co_await readWhole(call, *opened.value(), result);
    } else {
        const bool isNotRun = saysNotRun(opened.value()->head());
        result.mayHaveRun = result.mayHaveRun || !isNotRun;
        outcome = "refused-with-" + std::to_string(opened.value()->head().status);
        result.problem = makeError(ErrorKind::NoBackendServer, peer.vm.name.value() + ": " + outcome);
    }
    exchange.onCallerGone({});
    logEvent(LogLevel::Info, "request-carried",
        { { "id", call.id.value() }, { "vm", peer.vm.name.value() }, { "pool", call.pool.value() },
            { "outcome", outcome }, { "complete", result.answer || result.isComplete ? "1" : "0" },
            { "error", result.answer || result.isComplete ? "" : result.problem->message } });
}

/// Reads an answer that is delivered in one piece.
asio::awaitable<void> CallCarrier::readWhole(const CarriedCall& call, HttpStream& stream, CarryResult& result)
{
    auto response = stream.head();
    while (true) {
        const auto piece = co_await stream.read(call.deadline);
        if (!piece) {
            result.problem = piece.error().error;
            co_return;
        }
        if (response.body.size() > maxPlainAnswer) {
            result.problem = makeError(ErrorKind::BackendAnswerMalformed, "the answer is too large to be carried");
            co_return;
        }
        if (piece.value().empty())
            break;
        response.body += piece.value();
    }
    eraseConnectionHeaders(response);
    result.answer = std::move(response);
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
