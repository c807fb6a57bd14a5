#include <topaztack/node/config_desk.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/control/document_diff.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto acceptanceTime = 6s;
    constexpr auto retryPause = 200ms;
    constexpr std::uint64_t historyLength = 50;

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
            text = text.substr(1, text.size() - 2);
        std::uint64_t number = 0;
        const auto [stop, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (problem != std::errc {} || stop != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::string acceptedBody(const DocumentRow& row)
    {
        return json::serialize(
            json::object { { "accepted", row.version.value() }, { "operation", row.operation.value() } });
    }

    /// The error's answer with the operation by which the truth can be asked for later.
    HttpResponse unknownAnswer(const DocumentRow& row)
    {
        const auto base = std::to_string(row.version.value() - 1);
        auto response = errorResponse(makeError(ErrorKind::PlatformAmbiguous,
            "the platform did not say whether version " + std::to_string(row.version.value()) + " was accepted",
            "GET /v1/config/operations/" + row.operation.value() + "?base=" + base + " finds out"));
        auto body = json::parse(response.body).as_object();
        body["operation"] = row.operation.value();
        body["state"] = "unknown";
        response.body = json::serialize(body);
        return response;
    }

    json::value changeJson(const DocumentChange& change)
    {
        json::object value { { "section", change.section }, { "key", change.key } };
        if (change.wasPresent)
            value["before"] = change.before;
        if (change.isPresent)
            value["after"] = change.after;
        return value;
    }

    HttpResponse lostAnswer(ConfigVersion base, ConfigVersion newest, const std::vector<DocumentChange>& changes)
    {
        auto message = "version " + std::to_string(base.value()) + " is not the newest, which is "
            + std::to_string(newest.value());
        if (!changes.empty())
            message += "; changed since: " + changedKeys(changes);
        auto response = errorResponse(makeError(ErrorKind::ConfigConflict, message));
        json::array list;
        for (const auto& change : changes)
            list.push_back(changeJson(change));
        auto body = json::parse(response.body).as_object();
        body["newest"] = newest.value();
        body["changed"] = std::move(list);
        response.body = json::serialize(body);
        return response;
    }

    json::value historyEntry(const DocumentRow& row)
    {
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(row.acceptedAt.time_since_epoch());
        return json::object { { "version", row.version.value() }, { "author", row.author },
            { "accepted_at_ms", since.count() }, { "operation", row.operation.value() } };
    }

    HttpResponse documentAnswer(ConfigVersion version, std::string text)
    {
        HttpResponse response;
        response.headers.push_back({ "Content-Type", "text/plain" });
        response.headers.push_back({ "ETag", "\"" + std::to_string(version.value()) + "\"" });
        response.body = std::move(text);
        return response;
    }

    HttpResponse showAnswer(const AcceptedDocumentPtr& document)
    {
        if (!document)
            return documentAnswer(ConfigVersion(0), {});
        return documentAnswer(document->version, document->document.text);
    }

    std::vector<DocumentChange> changesBetween(
        const std::optional<DocumentRow>& before, const std::optional<DocumentRow>& after)
    {
        if (!after)
            return {};
        return diffDocuments(before ? before->text : std::string {}, after->text);
    }

    HttpResponse operationAnswer(std::string_view state, ConfigVersion version)
    {
        return jsonResponse(200, json::serialize(json::object { { "state", state }, { "version", version.value() } }));
    }

    std::vector<RowKey> oneKey(RowKey key)
    {
        std::vector<RowKey> keys;
        keys.push_back(std::move(key));
        return keys;
    }

    TableCommit makeCommit(const DocumentRow& row)
    {
        const RowKey versionRow { std::string(versionRowKey) };
        TableCommit commit;
        commit.operation = row.operation;
        commit.conditions.push_back({ versionRow, RowVersion(row.version.value() - 1) });
        commit.conditions.push_back({ documentRowKey(row.version), RowVersion(0) });
        commit.writes.push_back({ versionRow,
            json::serialize(
                json::object { { "version", row.version.value() }, { "operation", row.operation.value() } }) });
        commit.writes.push_back({ documentRowKey(row.version), toText(row) });
        return commit;
    }

} // namespace

ConfigDesk::ConfigDesk(NodeContext& context, ConfigKeeper& keeper)
    : context(context)
    , keeper(keeper)
{
}

void ConfigDesk::addRoutes(HttpRouter& operators)
{
    operators.add("POST", "/v1/config", [this](HttpExchange& exchange) { return this->handleAccept(exchange); });
    operators.add("GET", "/v1/config", [this](HttpExchange& exchange) { return this->handleShow(exchange); });
    operators.add(
        "GET", "/v1/config/versions/{}", [this](HttpExchange& exchange) { return this->handleVersion(exchange); });
    operators.add(
        "GET", "/v1/config/history", [this](HttpExchange& exchange) { return this->handleHistory(exchange); });
    operators.add(
        "GET", "/v1/config/operations/{}", [this](HttpExchange& exchange) { return this->handleOperation(exchange); });
}

asio::awaitable<CommitOutcome> ConfigDesk::commit(const DocumentRow& row)
{
    const auto answer = co_await this->context.clients().platform.commit(makeCommit(row));
    if (answer)
        co_return answer.value().isCommitted ? CommitOutcome::Committed : CommitOutcome::Conflict;
    co_return answer.error().kind == ErrorKind::PlatformAmbiguous ? CommitOutcome::Ambiguous : CommitOutcome::Refused;
}

asio::awaitable<Result<std::optional<DocumentRow>>> ConfigDesk::readDocument(ConfigVersion version)
{
    const auto rows = co_await this->context.clients().platform.read(oneKey(documentRowKey(version)));
    if (!rows)
        co_return rows.error();
    if (rows.value().empty() || rows.value().front().version.value() == 0)
        co_return std::optional<DocumentRow> {};
    auto row = parseDocumentRow(rows.value().front().value);
    if (!row)
        co_return makeError(
            ErrorKind::Internal, "the row of version " + std::to_string(version.value()) + " is not understood");
    co_return std::move(row);
}

asio::awaitable<Result<ConfigVersion>> ConfigDesk::readNewest()
{
    const auto rows = co_await this->context.clients().platform.read(oneKey(RowKey(std::string(versionRowKey))));
    if (!rows)
        co_return rows.error();
    // Each acceptance writes the row once, so the row's version is the document's.
    co_return ConfigVersion(rows.value().empty() ? 0 : rows.value().front().version.value());
}

asio::awaitable<ReadBack> ConfigDesk::readBack(ConfigVersion version)
{
    const auto row = co_await this->readDocument(version);
    ReadBack found;
    found.isAnswered = row.has_value();
    if (row && row.value())
        found.operation = row.value()->operation;
    co_return found;
}

asio::awaitable<AcceptanceStep> ConfigDesk::carryOut(Acceptance acceptance, DocumentRow row)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    auto step = AcceptanceStep::Commit;
    while (step == AcceptanceStep::Commit || step == AcceptanceStep::ReadBack) {
        if (step == AcceptanceStep::Commit) {
            const auto outcome = co_await this->commit(row);
            step = afterCommit(acceptance, outcome, Clock::now());
        } else {
            const auto found = co_await this->readBack(row.version);
            step = afterReadBack(acceptance, found, Clock::now());
            if (!found.isAnswered && step == AcceptanceStep::ReadBack) {
                timer.expires_after(retryPause);
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
    }
    co_return step;
}

/// Tells the loser of a race which keys changed under it.
asio::awaitable<HttpResponse> ConfigDesk::answerLost(ConfigVersion base)
{
    const auto newest = co_await this->readNewest();
    if (!newest)
        co_return errorResponse(makeError(ErrorKind::ConfigConflict,
            "version " + std::to_string(base.value()) + " is not the newest; the platform does not say which is"));
    std::vector<DocumentChange> changes;
    if (base < newest.value()) {
        const auto before = co_await this->readDocument(base);
        const auto after = co_await this->readDocument(newest.value());
        if (before && after)
            changes = changesBetween(before.value(), after.value());
    }
    co_return lostAnswer(base, newest.value(), changes);
}

asio::awaitable<HttpResponse> ConfigDesk::toAnswer(AcceptanceStep step, DocumentRow row)
{
    if (step == AcceptanceStep::Accepted) {
        co_await this->keeper.put(row.version, row.text);
        co_return jsonResponse(200, acceptedBody(row));
    }
    if (step == AcceptanceStep::Superseded)
        co_return co_await this->answerLost(ConfigVersion(row.version.value() - 1));
    if (step == AcceptanceStep::Refused)
        co_return errorResponse(makeError(ErrorKind::PlatformUnreachable,
            "nothing was written: the platform refused the commit or could not be reached",
            "accept the document again once the platform answers"));
    co_return unknownAnswer(row);
}

namespace {

    std::string_view stepName(AcceptanceStep step)
    {
        switch (step) {
        case AcceptanceStep::Accepted:
            return "accepted";
        case AcceptanceStep::Superseded:
            return "lost-race";
        case AcceptanceStep::Refused:
            return "refused";
        case AcceptanceStep::Commit:
        case AcceptanceStep::ReadBack:
        case AcceptanceStep::Unknown:
            break;
        }
        return "unknown";
    }

    DocumentRow makeRow(const HttpRequest& request, std::uint64_t base, OperationId fallback)
    {
        DocumentRow row;
        row.version = ConfigVersion(base + 1);
        const std::string given(findHeader(request.headers, "Topaztack-Operation"));
        row.operation = given.empty() ? std::move(fallback) : OperationId(given);
        row.author = std::string(findHeader(request.headers, "Topaztack-Author"));
        row.acceptedAt = std::chrono::floor<std::chrono::milliseconds>(WallClock::now());
        row.text = request.body;
        return row;
    }

} // namespace

asio::awaitable<void> ConfigDesk::handleAccept(HttpExchange& exchange)
{
    const auto base = parseNumber(findHeader(exchange.request().headers, "If-Match"));
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
    auto row = makeRow(exchange.request(), *base, this->context.newOperation());
    Acceptance acceptance;
    acceptance.operation = row.operation;
    acceptance.deadline = Clock::now() + acceptanceTime;
    const auto step = co_await this->carryOut(acceptance, row);
    logEvent(step == AcceptanceStep::Accepted ? LogLevel::Info : LogLevel::Warning, "audit-result",
        { { "result", std::string(stepName(step)) }, { "version", std::to_string(row.version.value()) },
            { "operation", row.operation.value() }, { "author", row.author } });
    auto response = co_await this->toAnswer(step, std::move(row));
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> ConfigDesk::handleShow(HttpExchange& exchange)
{
    auto response = showAnswer(this->context.document());
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> ConfigDesk::handleVersion(HttpExchange& exchange)
{
    const std::string segment(pathSegment(targetPath(exchange.request().target), 3));
    const auto version = parseNumber(segment);
    if (!version) {
        co_await exchange.respond(errorResponse(makeError(ErrorKind::BadRequest, "`" + segment + "` is no version")));
        co_return;
    }
    const auto row = co_await this->readDocument(ConfigVersion(*version));
    if (!row)
        co_await exchange.respond(errorResponse(row.error()));
    else if (!row.value())
        co_await exchange.respond(errorResponse(
            makeError(ErrorKind::ObjectMissing, "no version " + segment, "`topaztack history` lists the versions")));
    else
        co_await exchange.respond(documentAnswer(row.value()->version, row.value()->text));
}

asio::awaitable<void> ConfigDesk::handleHistory(HttpExchange& exchange)
{
    const auto newest = co_await this->readNewest();
    if (!newest) {
        co_await exchange.respond(errorResponse(newest.error()));
        co_return;
    }
    const auto last = newest.value().value();
    const ConfigVersion after(last > historyLength ? last - historyLength : 0);
    const auto rows = co_await this->context.clients().platform.scan(
        std::string(documentRowPrefix), documentRowKey(after).value(), historyLength);
    if (!rows) {
        co_await exchange.respond(errorResponse(rows.error()));
        co_return;
    }
    json::array list;
    for (auto row = rows.value().rbegin(); row != rows.value().rend(); ++row) {
        if (const auto parsed = parseDocumentRow(row->value))
            list.push_back(historyEntry(*parsed));
    }
    json::object body;
    body["versions"] = std::move(list);
    co_await exchange.respond(jsonResponse(200, json::serialize(body)));
}

asio::awaitable<void> ConfigDesk::handleOperation(HttpExchange& exchange)
{
    const auto& target = exchange.request().target;
    const OperationId operation { std::string(pathSegment(targetPath(target), 3)) };
    const auto base = parseNumber(queryParameter(target, "base"));
    if (!base) {
        co_await exchange.respond(errorResponse(makeError(
            ErrorKind::BadRequest, "no base in the query", "add ?base=VERSION, the version that was given to accept")));
        co_return;
    }
    const ConfigVersion version(*base + 1);
    const auto found = co_await this->readBack(version);
    // An absent row proves nothing: the commit may still be on its way.
    std::string_view state = "unknown";
    if (found.operation)
        state = *found.operation == operation ? "accepted" : "not-accepted";
    co_await exchange.respond(operationAnswer(state, version));
}

} // namespace topaztack
