#include "job_calls.hpp"

#include "error_responses.hpp"

#include <optional>

namespace topaztack {

namespace asio = boost::asio;

JobCalls::JobCalls(
    GatewayContext& context, JobService& service, PeerRelay& relay, const StoreWatch& storeWatch, CallerAccess& access)
    : context(context)
    , service(service)
    , relay(relay)
    , storeWatch(storeWatch)
    , access(access)
{
}

bool JobCalls::isStoreAway() const { return topaztack::isStoreAway(this->context.store.contact(), Clock::now()); }

asio::awaitable<HttpResponse> JobCalls::answerLocally(
    HttpExchange& exchange, const CallerRequest& call, const Route* route)
{
    switch (call.action) {
    case CallerAction::Route:
        break;
    case CallerAction::ReadResults:
        co_return co_await this->service.readResults(call);
    case CallerAction::ReadItemBody:
        co_return co_await this->service.readItemBody(call);
    case CallerAction::EndJob:
        co_return co_await this->service.end(call);
    }
    co_return co_await this->service.submit(exchange, call, *route);
}

asio::awaitable<HttpResponse> JobCalls::answer(HttpExchange& exchange, CallerRequest call, const Route* route)
{
    std::optional<HttpResponse> refusal;
    if (!this->isStoreAway()) {
        refusal = co_await this->answerLocally(exchange, call, route);
        if (refusal->status != statusNotRun)
            co_return std::move(*refusal);
    }
    auto passed = co_await this->relay.relayCall(exchange.request(), call);
    if (passed.answer)
        co_return std::move(*passed.answer);
    if (passed.mayHaveRun)
        co_return mayHaveRunResponse(
            makeError(ErrorKind::PlatformAmbiguous, "neither the store nor another VM answered"), call.id);
    if (refusal)
        co_return std::move(*refusal);
    co_return notRunResponse(
        makeError(ErrorKind::PlatformUnreachable, "no VM that was asked reaches the store"), call.id, storeRetryAfter);
}

asio::awaitable<void> JobCalls::handlePeer(HttpExchange& exchange)
{
    if (exchange.request().target == storeContactPath) {
        co_await exchange.respond(this->storeWatch.answer());
        co_return;
    }
    const auto decoded = this->context.protocol.decodeCall(exchange.request());
    if (!decoded) {
        co_await exchange.respond(errorResponse(decoded.error()));
        co_return;
    }
    auto call = decoded.value();
    // Keeps the route alive for the whole call: a newer configuration may replace the table meanwhile.
    const auto table = this->context.routes;
    const auto* route = table && call.action == CallerAction::Route
        ? matchRoute(*table, call.host, targetPath(exchange.request().target))
        : nullptr;
    auto refusal = this->access.admitFromPeer(exchange.request(), call);
    if (refusal) {
        co_await exchange.respond(std::move(*refusal));
        co_return;
    }
    const bool isForJobs = call.action != CallerAction::Route || (route && route->kind == RouteKind::Batch);
    if (isForJobs && !this->isStoreAway()) {
        co_await exchange.respond(co_await this->answerLocally(exchange, call, route));
        co_return;
    }
    const auto error = isForJobs ? makeError(ErrorKind::PlatformUnreachable, "the store does not answer this VM either")
                                 : makeError(ErrorKind::NotReady, "no route for jobs of this host and path");
    co_await exchange.respond(notRunResponse(error, call.id, storeRetryAfter));
}

} // namespace topaztack
