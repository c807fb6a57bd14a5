#include <topaztack/wire/platform_client.hpp>

#include <topaztack/base/log.hpp>

#include <boost/json.hpp>

#include <optional>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusThrottled = 429;
    constexpr unsigned statusRefused = 503;
    constexpr std::size_t maxLoggedEntry = 200;

    Error toPlatformError(const CallFailure& failure)
    {
        const bool hadNoEffect = failure.progress == AttemptProgress::NothingWritten;
        return makeError(hadNoEffect ? ErrorKind::PlatformUnreachable : ErrorKind::PlatformAmbiguous,
            "platform: " + failure.error.message);
    }

    Error malformed(std::string_view what)
    {
        return makeError(ErrorKind::PlatformAmbiguous, "platform's answer not understood: " + std::string(what));
    }

    TableRow toRow(const json::value& value)
    {
        return { RowKey(json::value_to<std::string>(value.at("row"))),
            RowVersion(value.at("version").to_number<std::uint64_t>()),
            json::value_to<std::string>(value.at("value")) };
    }

    /// Reads an answer by `parse`, which may throw on what it does not expect.
    template <typename T, typename Parse> Result<T> understand(const HttpResponse& response, const Parse& parse)
    {
        try {
            return parse(json::parse(response.body));
        } catch (const std::exception& problem) {
            return malformed(problem.what());
        }
    }

    std::vector<TableRow> toRows(const json::value& value)
    {
        std::vector<TableRow> rows;
        for (const auto& row : value.at("rows").as_array())
            rows.push_back(toRow(row));
        return rows;
    }

    /// Nothing, with a line in the log, if the entry is malformed: it must not hide the others.
    std::optional<ListedVm> understandVm(const json::value& entry)
    {
        try {
            ListedVm vm;
            vm.name = json::value_to<std::string>(entry.at("name"));
            vm.endpoint = parseEndpoint(json::value_to<std::string>(entry.at("address"))).value();
            vm.dataCentre = DataCentre(json::value_to<std::string>(entry.at("data_centre")));
            vm.isLeaving = entry.at("state").as_string() == "leaving";
            return vm;
        } catch (const std::exception& problem) {
            logEvent(LogLevel::Warning, "vm-entry-refused",
                { { "entry", json::serialize(entry).substr(0, maxLoggedEntry) }, { "error", problem.what() } });
            return std::nullopt;
        }
    }

    std::string commitBody(const TableCommit& commit)
    {
        json::array conditions;
        for (const auto& condition : commit.conditions)
            conditions.push_back({ { "row", condition.key.value() }, { "version", condition.version.value() } });
        json::array writes;
        for (const auto& write : commit.writes) {
            json::object entry { { "row", write.key.value() } };
            if (write.value)
                entry["value"] = *write.value;
            else
                entry["delete"] = true;
            writes.push_back(std::move(entry));
        }
        return json::serialize(json::object { { "operation", commit.operation.value() },
            { "conditions", std::move(conditions) }, { "writes", std::move(writes) } });
    }

} // namespace

PlatformClient::PlatformClient(HttpClient& client, Endpoint endpoint, std::chrono::microseconds timeout)
    : client(client)
    , endpoint(std::move(endpoint))
    , timeout(timeout)
{
}

asio::awaitable<Result<HttpResponse>> PlatformClient::call(std::string method, std::string target, std::string body)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    request.headers.push_back({ "Content-Type", "application/json" });
    auto result = co_await this->client.call(this->endpoint, std::move(request), Clock::now() + this->timeout);
    if (!result)
        co_return toPlatformError(result.error());
    const auto status = result.value().status;
    if (status == statusThrottled || status == statusRefused)
        co_return makeError(
            ErrorKind::PlatformThrottled, "platform refused the call with status " + std::to_string(status));
    if (status != statusOk && status != statusConflict && status != statusNotFound)
        co_return malformed("status " + std::to_string(status));
    co_return std::move(result).value();
}

asio::awaitable<Result<std::vector<TableRow>>> PlatformClient::read(std::vector<RowKey> keys)
{
    json::array rows;
    for (const auto& key : keys)
        rows.emplace_back(key.value());
    auto body = json::serialize(json::object { { "rows", std::move(rows) } });
    auto response = co_await this->call("POST", "/table/read", std::move(body));
    if (!response)
        co_return std::move(response).error();
    co_return understand<std::vector<TableRow>>(response.value(), toRows);
}

asio::awaitable<Result<std::vector<TableRow>>> PlatformClient::scan(
    std::string prefix, std::string after, std::size_t limit)
{
    auto body = json::serialize(json::object { { "prefix", prefix }, { "after", after }, { "limit", limit } });
    auto response = co_await this->call("POST", "/table/scan", std::move(body));
    if (!response)
        co_return std::move(response).error();
    co_return understand<std::vector<TableRow>>(response.value(), toRows);
}

asio::awaitable<Result<CommitAnswer>> PlatformClient::commit(TableCommit commit)
{
    auto response = co_await this->call("POST", "/table/commit", commitBody(commit));
    if (!response)
        co_return std::move(response).error();
    co_return understand<CommitAnswer>(response.value(), [](const json::value& value) {
        CommitAnswer answer;
        answer.isCommitted = value.at("committed").as_bool();
        if (answer.isCommitted)
            return answer;
        for (const auto& row : value.at("conflicts").as_array())
            answer.conflicts.emplace_back(json::value_to<std::string>(row));
        return answer;
    });
}

asio::awaitable<Result<void>> PlatformClient::putObject(ObjectKey key, std::string value)
{
    auto response = co_await this->call("PUT", "/objects/" + key.value(), std::move(value));
    if (!response)
        co_return std::move(response).error();
    if (response.value().status != statusOk)
        co_return malformed("status " + std::to_string(response.value().status));
    co_return boost::outcome_v2::success();
}

asio::awaitable<Result<std::string>> PlatformClient::getObject(ObjectKey key)
{
    auto response = co_await this->call("GET", "/objects/" + key.value(), {});
    if (!response)
        co_return std::move(response).error();
    if (response.value().status == statusNotFound)
        co_return makeError(ErrorKind::ObjectMissing, "no object `" + key.value() + "`");
    co_return std::move(response.value().body);
}

asio::awaitable<Result<std::vector<ListedVm>>> PlatformClient::listVms()
{
    auto response = co_await this->call("GET", "/vms", {});
    if (!response)
        co_return std::move(response).error();
    co_return understand<std::vector<ListedVm>>(response.value(), [](const json::value& value) {
        std::vector<ListedVm> list;
        for (const auto& entry : value.at("vms").as_array()) {
            auto vm = understandVm(entry);
            if (vm)
                list.push_back(std::move(*vm));
        }
        return list;
    });
}

} // namespace topaztack
