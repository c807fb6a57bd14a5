#include <topaztack/node/service_relay.hpp>

#include <topaztack/base/log.hpp>

namespace topaztack {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view servicesPrefix = "/v1/services/";

    bool isHopHeader(std::string_view name)
    {
        static constexpr std::string_view hopHeaders[] = { "connection", "keep-alive", "transfer-encoding",
            "content-length", "host", "te", "trailer", "upgrade", "proxy-connection" };
        std::string lower(name);
        for (auto& character : lower)
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        for (const auto hop : hopHeaders) {
            if (lower == hop)
                return true;
        }
        return false;
    }

    std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader>& headers)
    {
        std::vector<HttpHeader> kept;
        for (const auto& header : headers) {
            if (!isHopHeader(header.name))
                kept.push_back(header);
        }
        return kept;
    }

    bool isReadOnly(std::string_view method) { return method == "GET" || method == "HEAD"; }

} // namespace

HttpResponse withOutcome(HttpResponse response, Outcome outcome)
{
    response.headers.push_back({ std::string(outcomeHeader), std::string(outcomeName(outcome)) });
    return response;
}

HttpResponse errorWithOutcome(const Error& error, const RequestId& id, Outcome outcome)
{
    auto response = errorResponse(error, id.value());
    if (response.status == 503 || response.status == 429)
        response.headers.push_back({ "Retry-After", "1" });
    return withOutcome(std::move(response), outcome);
}

ServiceRelay::ServiceRelay(NodeContext& context, BackendTable& backends, TicketDesk& tickets)
    : context(context)
    , backends(backends)
    , tickets(tickets)
{
}

void ServiceRelay::addRoutes(HttpRouter& callers)
{
    callers.add("", "/v1/services/{}/**", [this](HttpExchange& exchange) { return this->handle(exchange); });
}

asio::awaitable<void> ServiceRelay::handle(HttpExchange& exchange)
{
    const auto id = this->context.newRequestId();
    const auto& request = exchange.request();
    const auto key = findHeader(request.headers, keyHeader);
    const auto ticket = parseTicketId(key);
    HttpResponse response;
    if (ticket)
        response = co_await this->relayOnce(request, id, *ticket);
    else if (key.empty())
        response = co_await this->relay(request, id);
    else
        response = errorWithOutcome(
            makeError(ErrorKind::PlatformUnreachable, "keys of the caller's own are not taken"), id, Outcome::NotRun);
    response.headers.push_back({ std::string(requestIdHeader), id.value() });
    co_await exchange.respond(std::move(response));
}

asio::awaitable<HttpResponse> ServiceRelay::relayOnce(const HttpRequest& request, RequestId id, TicketId ticket)
{
    HttpResponse kept;
    switch (this->tickets.claim(ticket, kept)) {
    case TicketDesk::Claim::Foreign:
        co_return errorWithOutcome(
            makeError(ErrorKind::IncarnationGone, "ticket of another VM or incarnation"), id, Outcome::Unknown);
    case TicketDesk::Claim::InFlight:
        co_return errorWithOutcome(
            makeError(ErrorKind::HomeUnreachable, "the first request with this ticket is still running"), id,
            Outcome::Unknown);
    case TicketDesk::Claim::Finished:
        co_return kept;
    case TicketDesk::Claim::Dispatch:
        break;
    }
    auto response = co_await this->relay(request, id);
    if (findHeader(response.headers, outcomeHeader) == outcomeName(Outcome::NotRun))
        this->tickets.release(ticket);
    else
        this->tickets.finish(ticket, response);
    co_return response;
}

asio::awaitable<HttpResponse> ServiceRelay::relay(const HttpRequest& request, RequestId id)
{
    const auto accepted = this->context.document();
    if (!accepted)
        co_return errorWithOutcome(makeError(ErrorKind::NotReady, "no document is in force"), id, Outcome::NotRun);
    const PoolName poolName(std::string(pathSegment(targetPath(request.target), 2)));
    const auto* pool = findPool(accepted->document, poolName);
    if (!pool || pool->kind != PoolKind::Service)
        co_return errorWithOutcome(
            makeError(ErrorKind::UnknownPool, "no service pool `" + poolName.value() + "`"), id, Outcome::NotRun);
    auto chosen = this->backends.choose(accepted->document, poolName);
    if (!chosen)
        co_return errorWithOutcome(chosen.error(), id, Outcome::NotRun);
    HttpRequest forwarded;
    forwarded.method = request.method;
    forwarded.target = request.target.substr(servicesPrefix.size() + poolName.value().size());
    forwarded.headers = endToEndHeaders(request.headers);
    forwarded.headers.push_back({ std::string(requestIdHeader), id.value() });
    forwarded.body = request.body;
    auto answer = co_await this->context.clients().backends.call(
        chosen.value().backend.endpoint, std::move(forwarded), Clock::now() + pool->deadline);
    if (answer) {
        auto response = std::move(answer).value();
        response.headers = endToEndHeaders(response.headers);
        co_return withOutcome(std::move(response), Outcome::Ran);
    }
    const auto& failure = answer.error();
    const bool isProvedNotRun = failure.progress == AttemptProgress::NothingWritten;
    const bool mayRepeat = isReadOnly(request.method) || !pool->nonIdempotent;
    logEvent(LogLevel::Warning, "attempt-failed",
        { { "request", id.value() }, { "backend", chosen.value().backend.name.value() },
            { "error", failure.error.message }, { "may_repeat", mayRepeat ? "yes" : "no" } });
    co_return errorWithOutcome(failure.error, id, isProvedNotRun ? Outcome::NotRun : Outcome::Unknown);
}

} // namespace topaztack
