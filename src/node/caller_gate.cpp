#include <topaztack/node/caller_gate.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/node/request_path.hpp>

#include <boost/beast/core/string.hpp>

namespace topaztack {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view credentialHeader = "Authorization";

    AccessDecision identify(const Document& document, const HttpRequest& request)
    {
        const auto key = bearerToken(findHeader(request.headers, credentialHeader));
        return decideAccess(!document.workspaces.empty(), document.workspaceKeys, false, key);
    }

} // namespace

CallerGate::CallerGate(NodeContext& context)
    : context(context)
    , refused(context.metrics.counter("topaztack_callers_refused_total", "Callers refused because of their key"))
{
}

asio::awaitable<void> CallerGate::handle(HttpExchange& exchange, const HttpRouter& routes)
{
    const auto accepted = this->context.document();
    AccessDecision access;
    if (accepted)
        access = identify(accepted->document, exchange.request());
    if (access.verdict == AccessVerdict::Admitted) {
        co_await routes.handle(exchange);
        co_return;
    }
    const bool isMissing = access.verdict == AccessVerdict::KeyMissing;
    const auto id = this->context.newRequestId();
    this->refused.add();
    logEvent(LogLevel::Info, "caller-refused",
        { { "id", id.value() }, { "reason", isMissing ? "key-missing" : "key-unknown" },
            { "configuration", std::to_string(accepted->version.value()) } });
    const auto* message = isMissing ? "the request carries no key" : "the key is not one of a workspace";
    auto response = errorWithOutcome(makeError(ErrorKind::CallerNotIdentified, message), id, Outcome::NotRun);
    setHeader(response.headers, "WWW-Authenticate", "Bearer");
    co_await exchange.respond(std::move(response));
}

void replaceIdentity(const Document& document, HttpRequest& request)
{
    if (document.workspaces.empty())
        return;
    const auto access = identify(document, request);
    std::erase_if(request.headers, [](const HttpHeader& header) {
        return boost::beast::iequals(header.name, credentialHeader)
            || boost::beast::iequals(header.name, workspaceHeader);
    });
    if (!access.workspace.value().empty())
        request.headers.push_back({ std::string(workspaceHeader), access.workspace.value() });
}

} // namespace topaztack
