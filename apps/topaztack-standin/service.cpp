#include "faults.hpp"
#include "standin.hpp"

#include <topaztack/policy/outcome.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <utility>

/// A plain service that counts how often it ran each request.

namespace topaztack::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr int exitByFault = 3;

    /// Where in a request's life the service fails.
    enum class FaultPlace : std::uint8_t {
        /// Before the run is counted.
        Before,
        /// Counted, and failed half way through its delay.
        During,
        /// Run to its end, but nothing of the answer is written.
        After,
        /// Run to its end, and the answer breaks off.
        Answering,
    };

    enum class FaultAction : std::uint8_t {
        None,
        /// The connection is closed.
        Drop,
        /// The process ends.
        Die,
        /// Refused before the run, with the header that says so.
        NotRun,
    };

    struct ServiceFaults {
        FaultAction action { FaultAction::None };
        FaultPlace place { FaultPlace::Before };
        FaultChance chance;
        std::chrono::milliseconds delay { 0 };
        bool isLeaving { false };
        Random random { 1 };
    };

    void assignFault(ServiceFaults& faults, const json::value& value)
    {
        using enum FaultAction;
        using enum FaultPlace;
        static const std::map<std::string, std::pair<FaultAction, FaultPlace>, std::less<>> names {
            { "none", { None, Before } },
            { "not-run", { NotRun, Before } },
            { "drop-before", { Drop, Before } },
            { "drop-during", { Drop, During } },
            { "drop-after", { Drop, After } },
            { "drop-answering", { Drop, Answering } },
            { "die-before", { Die, Before } },
            { "die-during", { Die, During } },
            { "die-after", { Die, After } },
            { "die-answering", { Die, Answering } },
        };
        const auto place = names.find(json::value_to<std::string>(value));
        if (place == names.end())
            throw std::invalid_argument(
                "fault is none, not-run, or drop or die, -before, -during, -after or -answering");
        faults.action = place->second.first;
        faults.place = place->second.second;
    }

    const std::vector<FaultRule<ServiceFaults>> faultRules {
        { "fault", assignFault },
        { "next", [](ServiceFaults& faults, const json::value& value) { faults.chance.next = wholeValue(value); } },
        { "probability",
            [](ServiceFaults& faults, const json::value& value) { faults.chance.probability = fractionValue(value); } },
        { "seed", [](ServiceFaults& faults, const json::value& value) { faults.random = Random(wholeValue(value)); } },
        { "delay_ms",
            [](ServiceFaults& faults, const json::value& value) { faults.delay = millisecondsValue(value); } },
        { "leaving", [](ServiceFaults& faults, const json::value& value) { faults.isLeaving = value.as_bool(); } },
    };

    /// A request as the service tells it from others.
    struct RunKey {
        std::string key;
        std::string bodyDigest;

        auto operator<=>(const RunKey&) const = default;
    };

    class Service {
    public:
        explicit Service(IoThreads& threads)
            : threads(threads)
        {
        }

        Result<void> setFaults(const json::value& request) { return applyFaults(request, faultRules, this->faults); }

        void addRoutes(HttpRouter& routes)
        {
            routes.add("GET", "/standin/runs",
                [this](HttpExchange& exchange) { return answer(exchange, 200, this->runsJson()); });
            routes.add("POST", "/standin/faults", [this](HttpExchange& exchange) {
                return answerChange(exchange, [this](const json::value& request) { return this->setFaults(request); });
            });
            routes.add("", "/**", [this](HttpExchange& exchange) { return this->run(exchange); });
        }

    private:
        /// Ends the process if the fault says so; the caller then drops the connection.
        void fail() const
        {
            if (this->faults.action == FaultAction::Die)
                std::_Exit(exitByFault);
        }

        void count(const HttpRequest& request, const std::string& digest)
        {
            ++this->total;
            const auto key = findHeader(request.headers, keyHeader);
            if (key.empty())
                ++this->unkeyed;
            else
                ++this->runsByRequest[{ std::string(key), digest }];
        }

        asio::awaitable<void> run(HttpExchange& exchange)
        {
            const bool isStruck
                = this->faults.action != FaultAction::None && this->faults.chance.strikes(this->faults.random);
            const auto place = this->faults.place;
            if (isStruck && this->faults.action == FaultAction::NotRun) {
                co_await this->respond(exchange, this->notRunResponse());
                co_return;
            }
            if (isStruck && place == FaultPlace::Before) {
                this->fail();
                co_return;
            }
            const auto digest = toHex(stableHash(exchange.request().body));
            this->count(exchange.request(), digest);
            const auto body = this->runText(exchange.request(), digest);
            ++this->running;
            this->mostRunning = std::max(this->mostRunning, this->running);
            const auto delay = std::chrono::microseconds(this->faults.delay);
            const bool failsDuring = isStruck && place == FaultPlace::During;
            if (delay.count() > 0)
                co_await pause(this->threads, failsDuring ? delay / 2 : delay);
            --this->running;
            if (isStruck && place != FaultPlace::Answering) {
                this->fail();
                co_return;
            }
            if (isStruck)
                co_await this->breakOff(exchange, body);
            else
                co_await this->respond(exchange, jsonResponse(200, body));
        }

        HttpResponse notRunResponse() const
        {
            auto response = jsonResponse(503, "{}");
            response.headers.push_back({ std::string(notRunHeader), "1" });
            return response;
        }

        asio::awaitable<void> respond(HttpExchange& exchange, HttpResponse response)
        {
            if (this->faults.isLeaving)
                response.headers.push_back({ std::string(leavingHeader), "1" });
            co_await exchange.respond(std::move(response));
        }

        asio::awaitable<void> breakOff(HttpExchange& exchange, std::string body)
        {
            HttpResponse head;
            co_await exchange.beginStream(std::move(head));
            co_await exchange.writeChunk(std::string_view(body).substr(0, body.size() / 2));
            this->fail();
        }

        std::string runText(const HttpRequest& request, const std::string& digest) const
        {
            return json::serialize(json::object { { "run", this->total }, { "method", request.method },
                { "target", request.target }, { "digest", digest } });
        }

        json::value runsJson() const
        {
            json::array list;
            for (const auto& [request, runs] : this->runsByRequest)
                list.push_back({ { "key", request.key }, { "digest", request.bodyDigest }, { "runs", runs } });
            return json::object { { "total", this->total }, { "unkeyed", this->unkeyed }, { "running", this->running },
                { "most_running", this->mostRunning }, { "runs", std::move(list) } };
        }

        IoThreads& threads;
        ServiceFaults faults;
        std::map<RunKey, std::uint64_t> runsByRequest;
        std::uint64_t total { 0 };
        std::uint64_t unkeyed { 0 };
        std::uint64_t running { 0 };
        std::uint64_t mostRunning { 0 };
    };

} // namespace

int runService(const StandinOptions& options)
{
    IoThreads threads(1);
    Service service(threads);
    if (!accepted(service.setFaults(options.faults)))
        return 2;
    HttpRouter routes;
    service.addRoutes(routes);
    return serve("service", options.address, threads, routes);
}

} // namespace topaztack::standin
