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
    constexpr unsigned firstBadStatus = 300;

    std::uint64_t parseVersion(std::string_view text)
    {
        if (text.size() >= 2 && text.front() == '"')
            text = text.substr(1, text.size() - 2);
        std::uint64_t version = 0;
        std::from_chars(text.data(), text.data() + text.size(), version);
        return version;
    }

    std::string fieldOf(const FormFields& fields, const std::string& name)
    {
        const auto place = fields.find(name);
        return place == fields.end() ? std::string {} : place->second;
    }

    HttpRequest get(std::string target)
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
            return makeError(ErrorKind::Internal, "status " + std::to_string(response.status));
        }
    }

    bool isUnknownState(const HttpResponse& response)
    {
        try {
            return json::parse(response.body).at("state").as_string() == "unknown";
        } catch (const std::exception&) {
            return false;
        }
    }

    HttpResponse errorPage(const Error& error, const std::string& antiForgery)
    {
        return htmlResponse(502, messagePage("Not done", error.message + "; " + error.remedy), antiForgery);
    }

    HttpResponse forgedPage(const HttpRequest& request)
    {
        return htmlResponse(403,
            messagePage("Refused", "This form was not sent from a page of this console; open the page again."),
            antiForgeryOf(request));
    }

    FormSection emptySection(const char* kind)
    {
        FormSection section;
        section.kind = kind;
        return section;
    }

    HttpRequest acceptRequest(const Review& review)
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

    /// The page for what the node said. Only a call of which no byte was written, or a node's own no, is a no.
    HttpResponse acceptanceAnswer(
        const CallResult<HttpResponse>& answer, const Review& review, const std::string& antiForgery)
    {
        const auto version = std::to_string(review.base + 1);
        if (answer && answer.value().status < firstBadStatus)
            return htmlResponse(
                200, resultPage("Accepted as version " + version + ".", review, false, antiForgery), antiForgery);
        const bool isLost = !answer && answer.error().progress != AttemptProgress::NothingWritten;
        const bool isUnknown = isLost || (answer && isUnknownState(answer.value()));
        const auto error = answer ? nodeError(answer.value()) : answer.error().error;
        const auto message = (isUnknown ? "" : "Not accepted: ") + error.message + "; " + error.remedy;
        const bool isConflict = answer && answer.value().status == statusConflict;
        return htmlResponse(
            isConflict ? statusConflict : 502, resultPage(message, review, isUnknown, antiForgery), antiForgery);
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

asio::awaitable<CallResult<HttpResponse>> Console::callNode(HttpRequest request, std::string token)
{
    if (!token.empty())
        request.headers.push_back({ "Authorization", "Bearer " + token });
    CallFailure last;
    for (const auto& node : this->nodes) {
        auto answer = co_await this->client.call(node, request, Clock::now() + callTimeout);
        if (answer || answer.error().progress != AttemptProgress::NothingWritten)
            co_return answer;
        last = answer.error();
    }
    co_return last;
}

asio::awaitable<Result<json::value>> Console::fetch(std::string target, std::string token)
{
    const auto answer = co_await this->callNode(get(std::move(target)), std::move(token));
    if (!answer)
        co_return answer.error().error;
    if (answer.value().status >= firstBadStatus)
        co_return nodeError(answer.value());
    boost::system::error_code problem;
    auto value = json::parse(answer.value().body, problem);
    if (problem)
        co_return makeError(ErrorKind::Internal, "the VM's answer is no JSON");
    co_return std::move(value);
}

asio::awaitable<void> Console::showStatus(HttpExchange& exchange)
{
    const auto secret = antiForgeryOf(exchange.request());
    const auto status = co_await this->fetch("/v1/config/status", findCookie(exchange.request(), tokenCookie));
    auto response = status ? htmlResponse(200, statusPage(status.value()), secret) : errorPage(status.error(), secret);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::showVms(HttpExchange& exchange)
{
    const auto secret = antiForgeryOf(exchange.request());
    const auto status = co_await this->fetch("/v1/config/status", findCookie(exchange.request(), tokenCookie));
    auto response = status ? htmlResponse(200, vmsPage(status.value()), secret) : errorPage(status.error(), secret);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::showTrainers(HttpExchange& exchange)
{
    const auto secret = antiForgeryOf(exchange.request());
    const auto token = findCookie(exchange.request(), tokenCookie);
    const auto document = co_await this->callNode(get("/v1/config"), token);
    const auto state = co_await this->fetch("/debug/state", token);
    HttpResponse response;
    if (!document || !state)
        response = errorPage(state ? document.error().error : state.error(), secret);
    else
        response = htmlResponse(200, trainersPage(document.value().body, state.value()), secret);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::showForm(HttpExchange& exchange)
{
    const auto secret = antiForgeryOf(exchange.request());
    const auto answer = co_await this->callNode(get("/v1/config"), findCookie(exchange.request(), tokenCookie));
    HttpResponse response;
    if (!answer) {
        response = errorPage(answer.error().error, secret);
    } else if (answer.value().status >= firstBadStatus) {
        response = errorPage(nodeError(answer.value()), secret);
    } else {
        const auto base = parseVersion(findHeader(answer.value().headers, "ETag"));
        response = htmlResponse(200, editPage(sectionsOf(answer.value().body), base, secret), secret);
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::review(HttpExchange& exchange)
{
    const auto fields = parseForm(exchange.request().body);
    if (!isOwnForm(exchange.request(), fields)) {
        auto refusal = forgedPage(exchange.request());
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    const auto secret = antiForgeryOf(exchange.request());
    auto sections = sectionsOf(fields);
    bool isSound = false;
    Review review;
    review.text = toDocument(sections, isSound);
    review.base = parseVersion(fieldOf(fields, "base"));
    review.operation = "console." + toHex(systemSeed());
    if (!isSound) {
        sections.push_back(emptySection("pool"));
        sections.push_back(emptySection("backend"));
        sections.push_back(emptySection("trainer"));
        auto form = htmlResponse(422, editPage(sections, review.base, secret), secret);
        co_await exchange.respond(std::move(form));
        co_return;
    }
    const auto target = "/v1/config/versions/" + std::to_string(review.base);
    const auto before = co_await this->callNode(get(target), findCookie(exchange.request(), tokenCookie));
    const bool isKnown = before && before.value().status < firstBadStatus;
    std::string_view base;
    if (isKnown)
        base = before.value().body;
    review.difference = toText(diffDocuments(base, review.text));
    if (!isKnown && review.base > 0)
        review.difference = "version " + std::to_string(review.base) + " can't be read now; the whole document:\n"
            + review.difference;
    auto response = htmlResponse(200, reviewPage(review, secret), secret);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<HttpResponse> Console::acceptReview(Review review, std::string token, std::string antiForgery)
{
    const auto answer = co_await this->callNode(acceptRequest(review), std::move(token));
    co_return acceptanceAnswer(answer, review, antiForgery);
}

asio::awaitable<void> Console::accept(HttpExchange& exchange)
{
    const auto fields = parseForm(exchange.request().body);
    if (!isOwnForm(exchange.request(), fields)) {
        auto refusal = forgedPage(exchange.request());
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    Review review;
    review.text = fieldOf(fields, "document");
    // Browsers send line ends of hidden fields as CR LF.
    std::erase(review.text, '\r');
    review.base = parseVersion(fieldOf(fields, "base"));
    review.operation = fieldOf(fields, "operation");
    auto response = co_await this->acceptReview(
        std::move(review), findCookie(exchange.request(), tokenCookie), antiForgeryOf(exchange.request()));
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::showLogin(HttpExchange& exchange)
{
    const auto secret = antiForgeryOf(exchange.request());
    auto response = htmlResponse(200, loginPage(secret, ""), secret);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Console::login(HttpExchange& exchange)
{
    const auto fields = parseForm(exchange.request().body);
    if (!isOwnForm(exchange.request(), fields)) {
        auto refusal = forgedPage(exchange.request());
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    const auto secret = antiForgeryOf(exchange.request());
    const auto token = fieldOf(fields, "token");
    const bool isPlain = std::all_of(
        token.begin(), token.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f && c != ';' && c != ','; });
    HttpResponse response;
    if (isPlain) {
        response = htmlResponse(303, messagePage("Token", "Taken."), secret);
        response.headers.push_back({ "Location", "/" });
        setCookie(response, tokenCookie, token);
    } else {
        response = htmlResponse(422, loginPage(secret, "A token has no spaces, commas or semicolons."), secret);
    }
    co_await exchange.respond(std::move(response));
}

} // namespace topaztack::console
