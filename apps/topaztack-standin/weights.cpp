#include "faults.hpp"
#include "standin.hpp"

/// The weight store: answers `GET /weights/{version}` under a rate limit.

namespace topaztack::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr unsigned statusThrottled = 429;

    struct WeightFaults {
        double fetchesPerSecond { 0 };
        std::chrono::milliseconds delay { 0 };
        bool isOut { false };
    };

    const std::vector<FaultRule<WeightFaults>> faultRules {
        { "fetches_per_second",
            [](WeightFaults& faults, const json::value& value) {
                faults.fetchesPerSecond = value.to_number<double>();
            } },
        { "delay_ms", [](WeightFaults& faults, const json::value& value) { faults.delay = millisecondsValue(value); } },
        { "outage", [](WeightFaults& faults, const json::value& value) { faults.isOut = value.as_bool(); } },
    };

    class WeightStore {
    public:
        explicit WeightStore(IoThreads& threads)
            : threads(threads)
        {
        }

        Result<void> setFaults(const json::value& request) { return applyFaults(request, faultRules, this->faults); }

        void addRoutes(HttpRouter& routes)
        {
            routes.add("GET", "/weights/{}", [this](HttpExchange& exchange) { return this->fetch(exchange); });
            routes.add("POST", "/standin/faults", [this](HttpExchange& exchange) {
                return answerChange(exchange, [this](const json::value& request) { return this->setFaults(request); });
            });
            routes.add("GET", "/standin/counts",
                [this](HttpExchange& exchange) { return answer(exchange, 200, this->countsJson()); });
        }

    private:
        asio::awaitable<void> fetch(HttpExchange& exchange)
        {
            if (this->faults.isOut)
                co_return;
            if (!this->rate.admits(this->faults.fetchesPerSecond, Clock::now())) {
                ++this->refusals;
                auto refusal = jsonResponse(statusThrottled, "{}");
                refusal.headers.push_back({ "Retry-After", "1" });
                co_await exchange.respond(std::move(refusal));
                co_return;
            }
            ++this->fetches;
            if (this->faults.delay.count() > 0)
                co_await pause(this->threads, this->faults.delay);
            HttpResponse response;
            response.body = "weights";
            co_await exchange.respond(std::move(response));
        }

        json::object countsJson() const { return { { "fetches", this->fetches }, { "refusals", this->refusals } }; }

        IoThreads& threads;
        WeightFaults faults;
        CallRate rate;
        std::uint64_t fetches { 0 };
        std::uint64_t refusals { 0 };
    };

} // namespace

int runWeights(const StandinOptions& options)
{
    IoThreads threads(1);
    WeightStore store(threads);
    if (!accepted(store.setFaults(options.faults)))
        return 2;
    HttpRouter routes;
    store.addRoutes(routes);
    return serve("weights", options.address, threads, routes);
}

} // namespace topaztack::standin
