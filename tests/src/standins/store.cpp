#include "standins/store.hpp"

#include <topaztack/wire/base64.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <stdexcept>

namespace topaztack::test {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr auto feedCheckInterval = 5ms;
    constexpr std::size_t maxTransactionBytes = 1'000'000;
    constexpr std::size_t maxTransactionEntries = 100;

    /// The store's steady clock, in milliseconds.
    std::int64_t steadyTime() { return toMilliseconds(Clock::now().time_since_epoch()).count(); }

    HttpResponse plain(unsigned status, std::string body = "{}") { return jsonResponse(status, std::move(body)); }

    std::string textOf(const json::object& object, const char* field)
    {
        return json::value_to<std::string>(object.at(field));
    }

} // namespace

StoreStandin::StoreStandin(IoThreads& threads, std::uint16_t port)
    : server(
        threads, { "127.0.0.1", port }, [] { return HttpServerLimits { .maxBody = 16 * 1024 * 1024 }; },
        [this](HttpExchange& exchange) { return this->handle(exchange); }, this->metrics, "store")
    , sideServer(
          threads, { "127.0.0.1", 0 }, [] { return HttpServerLimits { .maxBody = 16 * 1024 * 1024 }; },
          [this](HttpExchange& exchange) { return this->handleSide(exchange); }, this->metrics, "store-side")
{
    if (!this->server.start() || !this->sideServer.start())
        throw std::runtime_error("store stand-in can't listen");
}

asio::awaitable<void> StoreStandin::handleSide(HttpExchange& exchange)
{
    if (this->faults.turnsSideAway)
        co_await exchange.respond(plain(503));
    else
        co_await this->handle(exchange);
}

void StoreStandin::put(
    const std::string& table, const std::string& part, const std::string& key, const std::string& value)
{
    const std::lock_guard guard(this->lock);
    this->rows[{ table, part, key }] = { ++this->version, value, false };
}

void StoreStandin::replace(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard guard(this->lock);
    for (auto& [place, row] : this->rows) {
        if (std::get<0>(place) == table && std::get<2>(place) == key)
            row = { ++this->version, value, false };
    }
}

void StoreStandin::remove(const std::string& table, const std::string& part, const std::string& key)
{
    const std::lock_guard guard(this->lock);
    this->rows[{ table, part, key }] = { ++this->version, "", true };
}

std::map<std::string, std::string> StoreStandin::rowsOf(const std::string& table) const
{
    const std::lock_guard guard(this->lock);
    std::map<std::string, std::string> found;
    for (const auto& [place, row] : this->rows) {
        if (std::get<0>(place) == table && !row.isRemoved)
            found[std::get<2>(place)] = row.value;
    }
    return found;
}

std::size_t StoreStandin::objects() const
{
    const std::lock_guard guard(this->lock);
    return this->objectsByName.size();
}

std::string StoreStandin::contentWrittenByVms() const
{
    const std::lock_guard guard(this->lock);
    std::string content;
    for (const auto& [place, row] : this->rows) {
        if (std::get<0>(place) != "op")
            content += std::get<0>(place) + " " + std::get<2>(place) + " " + row.value + "\n";
    }
    for (const auto& [name, bytes] : this->objectsByName)
        content += name + " " + bytes + "\n";
    return content;
}

std::string StoreStandin::rowsJson(const std::vector<std::pair<Place, Row>>& found) const
{
    json::array list;
    for (const auto& [place, row] : found) {
        json::object entry { { "table", std::get<0>(place) }, { "part", std::get<1>(place) },
            { "key", std::get<2>(place) }, { "ver", row.version } };
        if (row.isRemoved)
            entry["removed"] = true;
        else
            entry["value"] = encodeBase64(row.value);
        list.push_back(std::move(entry));
    }
    return json::serialize(json::object {
        { "rows", std::move(list) }, { "morePages", false }, { "ver", this->version }, { "nowMs", steadyTime() } });
}

HttpResponse StoreStandin::commit(const std::string& body)
{
    const auto value = json::parse(body);
    const auto& call = value.as_object();
    std::size_t entries = 0;
    for (const auto* list : { "expected", "puts", "remove" })
        entries += call.at(list).as_array().size();
    if (body.size() > maxTransactionBytes || entries > maxTransactionEntries)
        return plain(413);
    std::vector<std::pair<Place, Row>> current;
    bool holds = true;
    for (const auto& entry : call.at("expected").as_array()) {
        const auto& object = entry.as_object();
        const Place place { textOf(object, "table"), textOf(object, "part"), textOf(object, "key") };
        const auto found = this->rows.find(place);
        const auto row = found == this->rows.end() || found->second.isRemoved ? Row {} : found->second;
        holds = holds && row.version == object.at("ver").to_number<std::uint64_t>();
        if (row.version > 0)
            current.emplace_back(place, row);
    }
    if (!holds)
        return plain(412, this->rowsJson(current));
    ++this->version;
    ++this->commitCount;
    for (const auto& entry : call.at("puts").as_array()) {
        const auto& object = entry.as_object();
        this->rows[{ textOf(object, "table"), textOf(object, "part"), textOf(object, "key") }]
            = { this->version, decodeBase64(textOf(object, "value")).value(), false };
    }
    for (const auto& entry : call.at("remove").as_array()) {
        const auto& object = entry.as_object();
        this->rows[{ textOf(object, "table"), textOf(object, "part"), textOf(object, "key") }]
            = { this->version, "", true };
    }
    return plain(200, json::serialize(json::object { { "ver", this->version }, { "nowMs", steadyTime() } }));
}

HttpResponse StoreStandin::range(const std::string& target) const
{
    const auto table = queryParameter(target, "table");
    const auto part = queryParameter(target, "part");
    const auto from = queryParameter(target, "from");
    const auto to = queryParameter(target, "to");
    std::vector<std::pair<Place, Row>> found;
    for (const auto& [place, row] : this->rows) {
        const auto& key = std::get<2>(place);
        const bool isInside = key >= from && (to.empty() || key < to);
        if (std::get<0>(place) == table && std::get<1>(place) == part && isInside && !row.isRemoved)
            found.emplace_back(place, row);
    }
    return plain(200, this->rowsJson(found));
}

/// Nothing if there are no changes yet.
std::optional<HttpResponse> StoreStandin::changes(const std::string& target) const
{
    const std::lock_guard guard(this->lock);
    if (this->faults.isHistoryLost)
        return plain(410);
    const auto table = queryParameter(target, "table");
    const auto after = std::stoull(queryParameter(target, "after"));
    std::vector<std::pair<Place, Row>> found;
    for (const auto& [place, row] : this->rows) {
        if (std::get<0>(place) == table && row.version > after)
            found.emplace_back(place, row);
    }
    std::sort(found.begin(), found.end(),
        [](const auto& one, const auto& other) { return one.second.version < other.second.version; });
    if (found.empty())
        return std::nullopt;
    return plain(200, this->rowsJson(found));
}

HttpResponse StoreStandin::answer(const HttpRequest& request)
{
    const std::lock_guard guard(this->lock);
    const auto path = targetPath(request.target);
    if (path == "/-/rows-tx")
        return this->faults.refusesWrites ? plain(503) : this->commit(request.body);
    if (path == "/-/rows-get")
        return this->range(request.target);
    const auto name = std::string(path.substr(path.rfind('/') + 1));
    if (path.starts_with("/-/blob-put/"))
        return plain(this->objectsByName.emplace(name, request.body).second ? 200 : 412);
    if (path.starts_with("/-/blob-drop/")) {
        this->objectsByName.erase(name);
        return plain(200);
    }
    const auto found = this->objectsByName.find(name);
    return found == this->objectsByName.end() ? plain(404) : plain(200, found->second);
}

asio::awaitable<void> StoreStandin::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (this->faults.isDown) {
        co_await exchange.respond(plain(503));
        co_return;
    }
    if (!request.target.starts_with("/-/rows-feed")) {
        auto response = this->answer(request);
        const bool isWrite = request.target.starts_with("/-/rows-tx");
        if (isWrite && response.status == 200 && this->faults.answersToLose > 0) {
            --this->faults.answersToLose;
            co_return;
        }
        const auto delay = this->faults.answerDelay.load();
        if (isWrite && delay.count() > 0) {
            asio::steady_timer timer(co_await asio::this_coro::executor, delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const auto end = Clock::now() + std::chrono::milliseconds(std::stoul(queryParameter(request.target, "waitMs")));
    asio::steady_timer timer(co_await asio::this_coro::executor);
    auto found = this->changes(request.target);
    while (!found && Clock::now() < end && !exchange.isCallerGone() && !this->faults.isDown) {
        timer.expires_after(feedCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        found = this->changes(request.target);
    }
    if (!found)
        found = plain(200, this->rowsJson({}));
    co_await exchange.respond(std::move(*found));
}

} // namespace topaztack::test
