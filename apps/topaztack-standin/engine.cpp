#include "standin.hpp"

#include <topaztack/base/random.hpp>
#include <topaztack/wire/sse.hpp>

#include <boost/json.hpp>

/// A model engine: generates made-up tokens, a chunk each token time, and reports the version of each chunk.

namespace topaztack::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr std::uint64_t vocabulary = 32000;

    class Engine {
    public:
        Engine(IoThreads& threads, EngineOptions options)
            : threads(threads)
            , options(std::move(options))
            , version(this->options.version)
        {
        }

        void addRoutes(HttpRouter& routes)
        {
            routes.add("POST", "/v1/completions", [this](HttpExchange& exchange) { return this->complete(exchange); });
            routes.add("GET", "/engine/load", [this](HttpExchange& exchange) {
                return answer(
                    exchange, 200, json::object { { "running", this->running }, { "version", this->version } });
            });
        }

    private:
        std::string eventData(std::uint64_t token, bool isLast) const
        {
            const json::value finish = isLast ? json::value("length") : json::value(nullptr);
            const json::object event {
                { "choices",
                    json::array { json::object { { "index", 0 }, { "text", " w" + std::to_string(token) },
                        { "token_ids", json::array { token } }, { "finish_reason", finish } } } },
                { "weight_version", this->version },
            };
            return json::serialize(event);
        }

        asio::awaitable<void> complete(HttpExchange& exchange)
        {
            const auto request = json::parse(exchange.request().body);
            const auto prompt = json::value_to<std::string>(request.at("prompt"));
            const auto tokens = request.at("max_tokens").to_number<std::uint64_t>();
            Random random(stableHash(prompt));
            HttpResponse head;
            head.headers.push_back({ "Content-Type", "text/event-stream" });
            ++this->running;
            bool goesOn = co_await exchange.beginStream(std::move(head));
            for (std::uint64_t place = 0; goesOn && place < tokens; ++place) {
                if (this->options.tokenTime.count() > 0)
                    co_await pause(this->threads, this->options.tokenTime);
                const auto token = random.below(vocabulary);
                const auto text = sseEvent(this->eventData(token, place + 1 == tokens));
                goesOn = co_await exchange.writeChunk(text);
            }
            --this->running;
            if (!goesOn)
                co_return;
            const auto end = sseEvent("[DONE]");
            co_await exchange.writeChunk(end);
            co_await exchange.endStream();
        }

        IoThreads& threads;
        EngineOptions options;
        std::uint64_t version;
        std::uint64_t running { 0 };
    };

} // namespace

int runEngine(const EngineOptions& options)
{
    IoThreads threads(1);
    Engine engine(threads, options);
    HttpRouter routes;
    engine.addRoutes(routes);
    return serve("engine", options.address, threads, routes);
}

} // namespace topaztack::standin
