#include <topaztack/node/operator_gate.hpp>

#include <topaztack/base/log.hpp>

#include <fstream>
#include <sstream>

namespace topaztack {

namespace asio = boost::asio;

OperatorGate::OperatorGate(NodeContext& context)
    : context(context)
    , refused(context.metrics.counter(
          "topaztack_operator_refused_total", "Operators' requests refused for lack of a token"))
{
}

Result<void> OperatorGate::start()
{
    const auto& name = this->context.settings.operatorTokenFile;
    if (name.empty())
        return boost::outcome_v2::success();
    std::ifstream file(name);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return makeError(
            ErrorKind::BadSettings, name + ":1: operator_token: can't be read", "check the name and its permissions");
    BOOST_OUTCOME_TRY(this->tokens, parseOperatorTokens(text.str(), name));
    return boost::outcome_v2::success();
}

std::optional<OperatorIdentity> OperatorGate::identify(const HttpRequest& request) const
{
    if (this->tokens.empty())
        return OperatorIdentity { OperatorRole::Operate, "anyone" };
    return findOperator(this->tokens, findHeader(request.headers, "Authorization"));
}

void OperatorGate::audit(const HttpExchange& exchange, const std::string& name, bool isAllowed) const
{
    const auto& request = exchange.request();
    logEvent(isAllowed ? LogLevel::Info : LogLevel::Warning, "audit",
        { { "operator", name }, { "from", toText(exchange.caller()) }, { "method", request.method },
            { "path", std::string(targetPath(request.target)) },
            { "operation", std::string(findHeader(request.headers, "Topaztack-Operation")) },
            { "base", std::string(findHeader(request.headers, "If-Match")) },
            { "allowed", isAllowed ? "yes" : "no" } });
}

asio::awaitable<void> OperatorGate::handle(HttpExchange& exchange, const HttpRouter& routes)
{
    const auto& request = exchange.request();
    const auto identity = this->identify(request);
    const bool isOpen = isUnauthenticatedPath(targetPath(request.target));
    const bool isAllowed = isOpen || (identity && mayCall(identity->role, request.method));
    const bool isChange = !mayCall(OperatorRole::Read, request.method);
    if (isChange || !isAllowed)
        this->audit(exchange, identity ? identity->name : "unknown", isAllowed);
    if (isAllowed) {
        co_await routes.handle(exchange);
        co_return;
    }
    this->refused.add();
    const auto* message = identity ? "this token may only read" : "no valid operator token";
    co_await exchange.respond(errorResponse(makeError(ErrorKind::NotAuthorised, message)));
}

} // namespace topaztack
