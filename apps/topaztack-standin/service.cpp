#include "standin.hpp"

#include <topaztack/base/random.hpp>
#include <topaztack/policy/outcome.hpp>

#include <boost/json.hpp>

#include <map>

/// A plain service that counts how often it ran each request.

namespace topaztack::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    struct Runs {
        std::string bodyDigest;
        std::uint64_t count { 0 };
    };

    class Service {
    public:
        void addRoutes(HttpRouter& routes)
        {
            routes.add("GET", "/standin/runs",
                [this](HttpExchange& exchange) { return answer(exchange, 200, this->runsJson()); });
            routes.add("", "/**", [this](HttpExchange& exchange) { return this->run(exchange); });
        }

    private:
        asio::awaitable<void> run(HttpExchange& exchange)
        {
            const auto& request = exchange.request();
            auto& runs = this->runsByKey[std::string(findHeader(request.headers, keyHeader))];
            runs.bodyDigest = toHex(stableHash(request.body));
            ++runs.count;
            ++this->total;
            co_await answer(exchange, 200, this->runJson(request, runs.bodyDigest));
        }

        json::value runJson(const HttpRequest& request, const std::string& digest) const
        {
            return json::object { { "run", this->total }, { "method", request.method }, { "target", request.target },
                { "digest", digest } };
        }

        json::value runsJson() const
        {
            json::array list;
            for (const auto& [key, runs] : this->runsByKey)
                list.push_back({ { "key", key }, { "digest", runs.bodyDigest }, { "runs", runs.count } });
            return json::object { { "total", this->total }, { "runs", std::move(list) } };
        }

        std::map<std::string, Runs> runsByKey;
        std::uint64_t total { 0 };
    };

} // namespace

int runService(const std::string& address)
{
    IoThreads threads(1);
    Service service;
    HttpRouter routes;
    service.addRoutes(routes);
    return serve("service", address, threads, routes);
}

} // namespace topaztack::standin
