#include <topaztack/node/config_keeper.hpp>

#include <topaztack/base/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto pollInterval = 500ms;
    constexpr std::string_view documentRow = "config/document";

    std::optional<std::uint64_t> parseVersion(std::string_view text)
    {
        if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
            text = text.substr(1, text.size() - 2);
        std::uint64_t version = 0;
        const auto [stop, problem] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (problem != std::errc {} || stop != text.data() + text.size())
            return std::nullopt;
        return version;
    }

    std::string acceptedBody(ConfigVersion version)
    {
        return json::serialize(json::object { { "accepted", version.value() } });
    }

    std::string rowValue(ConfigVersion version, std::string_view text, const OperationId& operation)
    {
        return json::serialize(
            json::object { { "version", version.value() }, { "text", text }, { "operation", operation.value() } });
    }

} // namespace

ConfigKeeper::ConfigKeeper(NodeContext& context)
    : context(context)
    , versionInForce(context.metrics.gauge("topaztack_config_version", "Version of the document in force"))
{
}

void ConfigKeeper::addRoutes(HttpRouter& operators)
{
    operators.add("POST", "/v1/config", [this](HttpExchange& exchange) { return this->handleAccept(exchange); });
    operators.add("GET", "/v1/config", [this](HttpExchange& exchange) { return this->handleShow(exchange); });
    operators.add("GET", "/v1/config/status", [this](HttpExchange& exchange) { return this->handleStatus(exchange); });
}

void ConfigKeeper::start()
{
    this->takeStaticDocument();
    asio::co_spawn(this->context.threads.at(0), this->poll(), asio::detached);
}

void ConfigKeeper::takeStaticDocument()
{
    const auto& name = this->context.settings.documentFile;
    if (name.empty())
        return;
    std::ifstream file(name);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        logEvent(LogLevel::Error, "static-document-unreadable", { { "file", name } });
    else
        this->take(ConfigVersion(0), text.str());
}

void ConfigKeeper::take(ConfigVersion version, std::string_view text)
{
    const auto current = this->context.document();
    if (current && current->version >= version)
        return;
    std::vector<IniProblem> problems;
    auto document = parseDocument(text, "document", problems);
    if (!problems.empty()) {
        logEvent(LogLevel::Error, "document-refused",
            { { "version", std::to_string(version.value()) }, { "problem", toText(problems.front()) } });
        return;
    }
    auto* accepted = new AcceptedDocument;
    accepted->version = version;
    accepted->document = std::move(document);
    this->context.inForce.store(AcceptedDocumentPtr(accepted));
    this->versionInForce.set(static_cast<std::int64_t>(version.value()));
    logEvent(LogLevel::Info, "document-in-force", { { "version", std::to_string(version.value()) } });
}

asio::awaitable<void> ConfigKeeper::poll()
{
    asio::steady_timer timer(this->context.threads.at(0));
    std::vector<RowKey> keys { RowKey(std::string(documentRow)) };
    while (true) {
        const auto rows = co_await this->context.clients().platform.read(keys);
        if (rows && !rows.value().empty() && rows.value().front().version.value() > 0) {
            const auto value = json::parse(rows.value().front().value);
            this->take(ConfigVersion(value.at("version").to_number<std::uint64_t>()), value.at("text").as_string());
        }
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> ConfigKeeper::handleAccept(HttpExchange& exchange)
{
    const auto base = parseVersion(findHeader(exchange.request().headers, "If-Match"));
    if (!base) {
        co_await exchange.respond(errorResponse(makeError(ErrorKind::BadRequest, "no If-Match header with a version",
            "send the version that the change is based on")));
        co_return;
    }
    std::vector<IniProblem> problems;
    parseDocument(exchange.request().body, "document", problems);
    if (!problems.empty()) {
        co_await exchange.respond(errorResponse(makeError(ErrorKind::BadDocument, toText(problems))));
        co_return;
    }
    const ConfigVersion next(*base + 1);
    std::string given(findHeader(exchange.request().headers, "Topaztack-Operation"));
    const auto operation = given.empty() ? this->context.newOperation() : OperationId(std::move(given));
    TableCommit commit;
    commit.operation = operation;
    commit.conditions.push_back({ RowKey(std::string(documentRow)), RowVersion(*base) });
    commit.writes.push_back({ RowKey(std::string(documentRow)), rowValue(next, exchange.request().body, operation) });
    const auto answer = co_await this->context.clients().platform.commit(std::move(commit));
    if (!answer) {
        co_await exchange.respond(errorResponse(answer.error()));
        co_return;
    }
    if (!answer.value().isCommitted) {
        co_await exchange.respond(errorResponse(
            makeError(ErrorKind::ConfigConflict, "version " + std::to_string(*base) + " is no longer the newest")));
        co_return;
    }
    this->take(next, exchange.request().body);
    logEvent(LogLevel::Info, "document-accepted",
        { { "version", std::to_string(next.value()) }, { "operation", operation.value() } });
    co_await exchange.respond(jsonResponse(200, acceptedBody(next)));
}

asio::awaitable<void> ConfigKeeper::handleShow(HttpExchange& exchange)
{
    const auto document = this->context.document();
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain" });
    response.headers.push_back({ "ETag", "\"" + std::to_string(document ? document->version.value() : 0) + "\"" });
    if (document)
        response.body = document->document.text;
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> ConfigKeeper::handleStatus(HttpExchange& exchange)
{
    co_await exchange.respond(jsonResponse(200, json::serialize(this->dump())));
}

json::value ConfigKeeper::dump() const
{
    const auto document = this->context.document();
    return json::object { { "vm", this->context.identity.name.value() },
        { "data_centre", this->context.settings.dataCentre.value() },
        { "in_force", document ? document->version.value() : 0 } };
}

} // namespace topaztack
