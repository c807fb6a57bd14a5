#include "standin.hpp"

#include <boost/json.hpp>

#include <map>

/// The platform: a transactional table, an object store and a list of VMs, in memory, on one thread.

namespace topaztack::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    struct Row {
        std::uint64_t version { 0 };
        std::string value;
        bool isPresent { false };
    };

    class Platform {
    public:
        void addRoutes(HttpRouter& routes)
        {
            routes.add("POST", "/table/read",
                [this](HttpExchange& exchange) { return this->handle(exchange, &Platform::read); });
            routes.add("POST", "/table/scan",
                [this](HttpExchange& exchange) { return this->handle(exchange, &Platform::scan); });
            routes.add("POST", "/table/commit",
                [this](HttpExchange& exchange) { return this->handle(exchange, &Platform::commit); });
            routes.add("PUT", "/objects/**", [this](HttpExchange& exchange) -> asio::awaitable<void> {
                this->objects[exchange.request().target] = exchange.request().body;
                co_await answer(exchange, 200, json::object {});
            });
            routes.add("GET", "/objects/**", [this](HttpExchange& exchange) -> asio::awaitable<void> {
                const auto place = this->objects.find(exchange.request().target);
                HttpResponse response;
                response.status = place == this->objects.end() ? 404 : 200;
                if (place != this->objects.end())
                    response.body = place->second;
                co_await exchange.respond(std::move(response));
            });
            routes.add("GET", "/vms", [](HttpExchange& exchange) {
                return answer(exchange, 200, json::object { { "vms", json::array {} } });
            });
        }

    private:
        using Method = json::object (Platform::*)(const json::value&);

        asio::awaitable<void> handle(HttpExchange& exchange, Method method)
        {
            unsigned status = 200;
            json::object body;
            try {
                body = (this->*method)(json::parse(exchange.request().body));
            } catch (const std::exception& problem) {
                status = 400;
                body["error"] = problem.what();
            }
            const auto* isCommitted = body.if_contains("committed");
            if (isCommitted && !isCommitted->as_bool())
                status = 409;
            co_await answer(exchange, status, std::move(body));
        }

        static json::object rowJson(const std::string& key, const Row& row)
        {
            return { { "row", key }, { "version", row.isPresent ? row.version : 0 }, { "value", row.value } };
        }

        json::object read(const json::value& request)
        {
            json::array rows;
            for (const auto& key : request.at("rows").as_array()) {
                const auto name = json::value_to<std::string>(key);
                const auto place = this->rows.find(name);
                rows.push_back(rowJson(name, place == this->rows.end() ? Row {} : place->second));
            }
            return { { "rows", std::move(rows) } };
        }

        json::object scan(const json::value& request)
        {
            const auto prefix = json::value_to<std::string>(request.at("prefix"));
            const auto after = json::value_to<std::string>(request.at("after"));
            const auto limit = request.at("limit").to_number<std::uint64_t>();
            json::array rows;
            for (auto place = this->rows.lower_bound(std::max(prefix, after)); place != this->rows.end(); ++place) {
                if (!place->first.starts_with(prefix) || rows.size() >= limit)
                    break;
                if (place->second.isPresent && place->first > after)
                    rows.push_back(rowJson(place->first, place->second));
            }
            return { { "rows", std::move(rows) } };
        }

        json::object commit(const json::value& request)
        {
            json::array conflicts;
            for (const auto& condition : request.at("conditions").as_array()) {
                const auto key = json::value_to<std::string>(condition.at("row"));
                const auto place = this->rows.find(key);
                const auto version = place == this->rows.end() || !place->second.isPresent ? 0 : place->second.version;
                if (version != condition.at("version").to_number<std::uint64_t>())
                    conflicts.emplace_back(key);
            }
            if (!conflicts.empty())
                return { { "committed", false }, { "conflicts", std::move(conflicts) } };
            for (const auto& write : request.at("writes").as_array()) {
                auto& row = this->rows[json::value_to<std::string>(write.at("row"))];
                ++row.version;
                row.isPresent = !write.as_object().contains("delete");
                row.value = row.isPresent ? json::value_to<std::string>(write.at("value")) : std::string {};
            }
            return { { "committed", true } };
        }

        std::map<std::string, Row> rows;
        std::map<std::string, std::string> objects;
    };

} // namespace

int runPlatform(const std::string& address)
{
    IoThreads threads(1);
    Platform platform;
    HttpRouter routes;
    platform.addRoutes(routes);
    return serve("platform", address, threads, routes);
}

} // namespace topaztack::standin
