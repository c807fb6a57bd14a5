#include "console.hpp"

#include "session.hpp"

#include <topaztack/base/random.hpp>
#include <topaztack/control/document_diff.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace topaztack::console {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto callTimeout = 15s;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned firstNonSuccessStatus = 300;

    /// Parses a version number, with or without the quotes of an ETag; returns 0 if it does not start with a number.
    std::uint64_t parseVersion(std::string_view text)
    {
        if (text.size() >= 2 && text.front() == '"')
            text = text.substr(1, text.size() - 2);
        std::uint64_t version = 0;
        std::from_chars(text.data(), text.data() + text.size(), version);
        return version;
    }

    std::string fieldValue(const FormFields& fields, const std::string& name)
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string {} : found->second;
    }

    HttpRequest makeGetRequest(std::string target)
    {
        HttpRequest request;
        request.target = std::move(target);
        return request;
    }

    Error nodeError(const HttpResponse& response)
    {
        try {
            const auto error = json::parse(response.body).at("error");
            return makeError(ErrorKind::BadRequest, json::value_to<std::string>(error.at("message")),
                json::value_to<std::string>(error.at("remedy")));
        } catch (const std::exception&) {
            return makeError(
                ErrorKind::Internal, "the VM answered with HTTP status " + std::to_string(response.status));
        }
    }

    bool isStateUnknown(const HttpResponse& response)
    {
        try {
            return json::parse(response.body).at("state").as_string() == "unknown";
        } catch (const std::exception&) {
            return false;
        }
    }

    HttpResponse errorPage(const Error& error, const std::string& csrfToken)
    {
        return htmlResponse(502, messagePage("Request failed", error.message + "; " + error.remedy), csrfToken);
    }

    HttpResponse csrfRefusalPage(const HttpRequest& request)
    {
        return htmlResponse(403,
            messagePage(
                "Refused", "This form was not sent from a page of this console; reload the page and try again."),
            csrfTokenFor(request));
    }

    FormSection emptySection(const char* kind)
    {
        FormSection section;
        section.kind = kind;
        return section;
    }

    HttpRequest makeAcceptRequest(const Review& review)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/config";
        request.headers.push_back({ "If-Match", std::to_string(review.base) });
        request.headers.push_back({ "Topaztack-Operation", review.operation });
        request.headers.push_back({ "Topaztack-Author", "console" });
        request.body = review.text;
        return request;
    }

    /// Makes the result page of an accept request. The result is a refusal only if the node refused or no byte of the
    /// request was written; after any other failure it is unknown.
    HttpResponse acceptanceResponse(
        const CallResult<HttpResponse>& nodeResponse, const Review& review, const std::string& csrfToken)
    {
        const auto version = std::to_string(review.base + 1);
        if (nodeResponse && nodeResponse.value().status < firstNonSuccessStatus)
            return htmlResponse(
                200, resultPage("Accepted as version " + version + ".", review, false, csrfToken), csrfToken);
        const bool isResponseLost = !nodeResponse && nodeResponse.error().progress != AttemptProgress::NothingWritten;
        const bool isUnknown = isResponseLost || (nodeResponse && isStateUnknown(nodeResponse.value()));
        const auto error = nodeResponse ? nodeError(nodeResponse.value()) : nodeResponse.error().error;
        const auto message = (isUnknown ? "" : "Not accepted: ") + error.message + "; " + error.remedy;
        const bool isConflict = nodeResponse && nodeResponse.value().status == statusConflict;
        return htmlResponse(
            isConflict ? statusConflict : 502, resultPage(message, review, isUnknown, csrfToken), csrfToken);
    }

} // namespace

Console::Console(asio::io_context& loop, std::vector<Endpoint> nodes)
    : client(loop)
    , nodes(std::move(nodes))
{
}

void Console::addRoutes(HttpRouter& routes)
{
    routes.add("GET", "/", [this](HttpExchange& exchange) { return this->showStatus(exchange); });
    routes.add("GET", "/vms", [this](HttpExchange& exchange) { return this->showVms(exchange); });
    routes.add("GET", "/trainers", [this](HttpExchange& exchange) { return this->showTrainers(exchange); });
    routes.add("GET", "/edit", [this](HttpExchange& exchange) { return this->showForm(exchange); });
    routes.add("POST", "/review", [this](HttpExchange& exchange) { return this->review(exchange); });
    routes.add("POST", "/accept", [this](HttpExchange& exchange) { return this->accept(exchange); });
    routes.add("GET", "/login", [this](HttpExchange& exchange) { return this->showLogin(exchange); });
    routes.add("POST", "/login", [this](HttpExchange& exchange) { return this->login(exchange); });
}

asio::awaitable<CallResult<HttpResponse>> Console::callFirstReachable(HttpRequest request, std::string token)
{
    if (!token.empty())
        request.headers.push_back({ "Authorization", "Bearer " + token });
    CallFailure lastFailure;
    for (const auto& node : this->nodes) {
        auto nodeResponse = co_await this->client.call(node, request, Clock::now() + callTimeout);
        if (nodeResponse || nodeResponse.error().progress != AttemptProgress::NothingWritten)
            co_return nodeResponse;
        lastFailure = nodeResponse.error();
    }
    co_return lastFailure;
}

asio::awaitable<Result<json::value>> Console::fetchJson(std::string target, std::string token)
{
    const auto nodeResponse = co_await this->callFirstReachable(makeGetRequest(std::move(target)), std::move(token));
    if (!nodeResponse)
        co_return nodeResponse.error().error;
    if (nodeResponse.value().status >= firstNonSuccessStatus)
        co_return nodeError(nodeResponse.value());
    boost::system::error_code problem;
    auto value = json::parse(nodeResponse.value().body, problem);
    if (problem)
        co_return makeError(ErrorKind::Internal, "the VM's response is not valid JSON");
    co_return std::move(value);
}

asio::awaitable<void> Console::showStatus(HttpExchange& exchange)
{
    const auto csrfToken = csrfTokenFor(exchange.request());
    const auto status = co_await this->fetchJson("/v1/config/status", findCookie(exchange.request(), tokenCookieName));
    auto response
        = status ? htmlResponse(200, statusPage(status.value()), csrfToken) : errorPage(status.error(), csrfToken);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::showVms(HttpExchange& exchange)
{
    const auto csrfToken = csrfTokenFor(exchange.request());
    const auto status = co_await this->fetchJson("/v1/config/status", findCookie(exchange.request(), tokenCookieName));
    auto response
        = status ? htmlResponse(200, vmsPage(status.value()), csrfToken) : errorPage(status.error(), csrfToken);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::showTrainers(HttpExchange& exchange)
{
    const auto csrfToken = csrfTokenFor(exchange.request());
    const auto token = findCookie(exchange.request(), tokenCookieName);
    const auto document = co_await this->callFirstReachable(makeGetRequest("/v1/config"), token);
    const auto state = co_await this->fetchJson("/debug/state", token);
    HttpResponse response;
    if (!document || !state)
        response = errorPage(state ? document.error().error : state.error(), csrfToken);
    else
        response = htmlResponse(200, trainersPage(document.value().body, state.value()), csrfToken);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::showForm(HttpExchange& exchange)
{
    const auto csrfToken = csrfTokenFor(exchange.request());
    const auto nodeResponse = co_await this->callFirstReachable(
        makeGetRequest("/v1/config"), findCookie(exchange.request(), tokenCookieName));
    HttpResponse response;
    if (!nodeResponse) {
        response = errorPage(nodeResponse.error().error, csrfToken);
    } else if (nodeResponse.value().status >= firstNonSuccessStatus) {
        response = errorPage(nodeError(nodeResponse.value()), csrfToken);
    } else {
        const auto base = parseVersion(findHeader(nodeResponse.value().headers, "ETag"));
        response = htmlResponse(200, editPage(toFormSections(nodeResponse.value().body), base, csrfToken), csrfToken);
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::review(HttpExchange& exchange)
{
    const auto fields = parseForm(exchange.request().body);
    if (!passesCsrfCheck(exchange.request(), fields)) {
        auto refusal = csrfRefusalPage(exchange.request());
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    const auto csrfToken = csrfTokenFor(exchange.request());
    auto sections = toFormSections(fields);
    bool isValid = false;
    Review review;
    review.text = buildDocument(sections, isValid);
    review.base = parseVersion(fieldValue(fields, "base"));
    review.operation = "console." + toHex(systemSeed());
    if (!isValid) {
        sections.push_back(emptySection("pool"));
        sections.push_back(emptySection("backend"));
        sections.push_back(emptySection("trainer"));
        sections.push_back(emptySection("workspace"));
        auto form = htmlResponse(422, editPage(sections, review.base, csrfToken), csrfToken);
        co_await exchange.respond(std::move(form));
        co_return;
    }
    const auto target = "/v1/config/versions/" + std::to_string(review.base);
    const auto baseResponse
        = co_await this->callFirstReachable(makeGetRequest(target), findCookie(exchange.request(), tokenCookieName));
    const bool isBaseReadable = baseResponse && baseResponse.value().status < firstNonSuccessStatus;
    std::string_view base;
    if (isBaseReadable)
        base = baseResponse.value().body;
    review.difference = toText(diffDocuments(base, review.text));
    if (!isBaseReadable && review.base > 0)
        review.difference = "version " + std::to_string(review.base)
            + " can't be read now; the full document is shown as added:\n" + review.difference;
    auto response = htmlResponse(200, reviewPage(review, csrfToken), csrfToken);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<HttpResponse> Console::submitReview(Review review, std::string token, std::string csrfToken)
{
    const auto nodeResponse = co_await this->callFirstReachable(makeAcceptRequest(review), std::move(token));
    co_return acceptanceResponse(nodeResponse, review, csrfToken);
}

asio::awaitable<void> Console::accept(HttpExchange& exchange)
{
    const auto fields = parseForm(exchange.request().body);
    if (!passesCsrfCheck(exchange.request(), fields)) {
        auto refusal = csrfRefusalPage(exchange.request());
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    Review review;
    review.text = fieldValue(fields, "document");
    // Browsers submit the line breaks of hidden fields as CR LF.
    std::erase(review.text, '\r');
    review.base = parseVersion(fieldValue(fields, "base"));
    review.operation = fieldValue(fields, "operation");
    auto response = co_await this->submitReview(
        std::move(review), findCookie(exchange.request(), tokenCookieName), csrfTokenFor(exchange.request()));
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::showLogin(HttpExchange& exchange)
{
    const auto csrfToken = csrfTokenFor(exchange.request());
    auto response = htmlResponse(200, loginPage(csrfToken, ""), csrfToken);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::login(HttpExchange& exchange)
{
    const auto fields = parseForm(exchange.request().body);
    if (!passesCsrfCheck(exchange.request(), fields)) {
        auto refusal = csrfRefusalPage(exchange.request());
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    const auto csrfToken = csrfTokenFor(exchange.request());
    const auto token = fieldValue(fields, "token");
    const bool isCookieSafe = std::all_of(
        token.begin(), token.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f && c != ';' && c != ','; });
    HttpResponse response;
    if (isCookieSafe) {
        response = htmlResponse(303, messagePage("Token", "Taken."), csrfToken);
        response.headers.push_back({ "Location", "/" });
        setCookie(response, tokenCookieName, token);
    } else {
        response = htmlResponse(422,
            loginPage(
                csrfToken, "A token consists of printable ASCII characters, without spaces, commas and semicolons."),
            csrfToken);
    }
    co_await exchange.respond(std::move(response));
}

} // namespace topaztack::console
