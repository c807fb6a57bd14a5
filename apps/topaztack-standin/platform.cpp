#include "faults.hpp"
#include "standin.hpp"

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

    enum class Outage : std::uint8_t {
        None,
        /// Requests are dropped unanswered.
        Drop,
        /// Requests are refused with 503.
        Refuse,
    };

    struct PlatformFaults {
        Outage outage { Outage::None };
        std::chrono::milliseconds delay { 0 };
        /// The answer to a write is lost after it took effect.
        FaultChance loseAnswer;
        double readsPerSecond { 0 };
        double writesPerSecond { 0 };
        Random random { 1 };
    };

    Outage outageValue(const json::value& value)
    {
        const auto text = json::value_to<std::string>(value);
        if (text == "none")
            return Outage::None;
        if (text == "drop")
            return Outage::Drop;
        if (text == "refuse")
            return Outage::Refuse;
        throw std::invalid_argument("outage is none, drop or refuse");
    }

    const std::vector<FaultRule<PlatformFaults>> faultRules {
        { "outage", [](PlatformFaults& faults, const json::value& value) { faults.outage = outageValue(value); } },
        { "delay_ms",
            [](PlatformFaults& faults, const json::value& value) { faults.delay = millisecondsValue(value); } },
        { "lose_next_answers",
            [](PlatformFaults& faults, const json::value& value) { faults.loseAnswer.next = wholeValue(value); } },
        { "lose_answer_probability",
            [](PlatformFaults& faults, const json::value& value) {
                faults.loseAnswer.probability = fractionValue(value);
            } },
        { "seed", [](PlatformFaults& faults, const json::value& value) { faults.random = Random(wholeValue(value)); } },
        { "reads_per_second",
            [](PlatformFaults& faults, const json::value& value) {
                faults.readsPerSecond = value.to_number<double>();
            } },
        { "writes_per_second",
            [](PlatformFaults& faults, const json::value& value) {
                faults.writesPerSecond = value.to_number<double>();
            } },
    };

    struct PlatformCounts {
        std::uint64_t reads { 0 };
        std::uint64_t writes { 0 };
        std::uint64_t rowsWritten { 0 };
        std::uint64_t refusals { 0 };
        std::uint64_t dropped { 0 };
        std::uint64_t lostAnswers { 0 };
    };

    enum class CallKind : std::uint8_t {
        Read,
        Write,
    };

    class Platform {
    public:
        explicit Platform(IoThreads& threads)
            : threads(threads)
        {
        }

        Result<void> setFaults(const json::value& request) { return applyFaults(request, faultRules, this->faults); }

        void addRoutes(HttpRouter& routes)
        {
            this->addCall(routes, "POST", "/table/read", CallKind::Read, &Platform::read);
            this->addCall(routes, "POST", "/table/scan", CallKind::Read, &Platform::scan);
            this->addCall(routes, "POST", "/table/commit", CallKind::Write, &Platform::commit);
            this->addCall(routes, "PUT", "/objects/**", CallKind::Write, &Platform::putObject);
            this->addCall(routes, "GET", "/objects/**", CallKind::Read, &Platform::getObject);
            this->addCall(routes, "GET", "/vms", CallKind::Read, &Platform::listVms);
            routes.add("POST", "/standin/faults", [this](HttpExchange& exchange) {
                return answerChange(exchange, [this](const json::value& request) { return this->setFaults(request); });
            });
            routes.add("POST", "/standin/vms", [this](HttpExchange& exchange) {
                return answerChange(exchange, [this](const json::value& request) { return this->setVms(request); });
            });
            routes.add("GET", "/standin/counts",
                [this](HttpExchange& exchange) { return answer(exchange, 200, this->countsJson()); });
        }

    private:
        using Method = HttpResponse (Platform::*)(const HttpRequest&);

        void addCall(HttpRouter& routes, std::string method, std::string pattern, CallKind kind, Method serveCall)
        {
            routes.add(std::move(method), std::move(pattern),
                [this, kind, serveCall](HttpExchange& exchange) { return this->handle(exchange, kind, serveCall); });
        }

        bool admits(CallKind kind)
        {
            if (kind == CallKind::Read)
                return this->readRate.admits(this->faults.readsPerSecond, Clock::now());
            return this->writeRate.admits(this->faults.writesPerSecond, Clock::now());
        }

        asio::awaitable<void> refuse(HttpExchange& exchange, unsigned status)
        {
            ++this->counts.refusals;
            auto response = jsonResponse(status, "{}");
            response.headers.push_back({ "Retry-After", "1" });
            co_await exchange.respond(std::move(response));
        }

        /// Faults in the order in which a call meets them: outage, rate limit, delay, effect, lost answer.
        asio::awaitable<void> handle(HttpExchange& exchange, CallKind kind, Method serveCall)
        {
            if (this->faults.outage == Outage::Drop) {
                ++this->counts.dropped;
                co_return;
            }
            if (this->faults.outage == Outage::Refuse) {
                co_await this->refuse(exchange, 503);
                co_return;
            }
            if (!this->admits(kind)) {
                co_await this->refuse(exchange, 429);
                co_return;
            }
            if (this->faults.delay.count() > 0)
                co_await pause(this->threads, this->faults.delay);
            ++(kind == CallKind::Read ? this->counts.reads : this->counts.writes);
            auto response = this->serveSafely(exchange.request(), serveCall);
            if (kind == CallKind::Write && this->faults.loseAnswer.strikes(this->faults.random)) {
                ++this->counts.lostAnswers;
                co_return;
            }
            co_await exchange.respond(std::move(response));
        }

        HttpResponse serveSafely(const HttpRequest& request, Method serveCall)
        {
            try {
                return (this->*serveCall)(request);
            } catch (const std::exception& problem) {
                return errorResponse(makeError(ErrorKind::BadRequest, problem.what()));
            }
        }

        static HttpResponse jsonAnswer(unsigned status, const json::object& body)
        {
            return jsonResponse(status, json::serialize(body));
        }

        json::object countsJson() const
        {
            return { { "reads", this->counts.reads }, { "writes", this->counts.writes },
                { "rows_written", this->counts.rowsWritten }, { "refusals", this->counts.refusals },
                { "dropped", this->counts.dropped }, { "lost_answers", this->counts.lostAnswers } };
        }

        Result<void> setVms(const json::value& request)
        {
            const auto* list = request.is_object() ? request.as_object().if_contains("vms") : nullptr;
            if (!list || !list->is_array())
                return makeError(
                    ErrorKind::BadRequest, "no list of VMs", "send {\"vms\": [..]} as GET /vms answers it");
            this->vms = list->as_array();
            return boost::outcome_v2::success();
        }

        HttpResponse listVms(const HttpRequest& /*request*/) { return jsonAnswer(200, { { "vms", this->vms } }); }

        HttpResponse putObject(const HttpRequest& request)
        {
            this->objects[request.target] = request.body;
            return jsonAnswer(200, {});
        }

        HttpResponse getObject(const HttpRequest& request)
        {
            const auto place = this->objects.find(request.target);
            HttpResponse response;
            response.status = place == this->objects.end() ? 404 : 200;
            if (place != this->objects.end())
                response.body = place->second;
            return response;
        }

        static json::object rowJson(const std::string& key, const Row& row)
        {
            return { { "row", key }, { "version", row.isPresent ? row.version : 0 }, { "value", row.value } };
        }

        HttpResponse read(const HttpRequest& http)
        {
            const auto request = json::parse(http.body);
            json::array rows;
            for (const auto& key : request.at("rows").as_array()) {
                const auto name = json::value_to<std::string>(key);
                const auto place = this->rows.find(name);
                rows.push_back(rowJson(name, place == this->rows.end() ? Row {} : place->second));
            }
            return jsonAnswer(200, { { "rows", std::move(rows) } });
        }

        HttpResponse scan(const HttpRequest& http)
        {
            const auto request = json::parse(http.body);
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
            return jsonAnswer(200, { { "rows", std::move(rows) } });
        }

        HttpResponse commit(const HttpRequest& http)
        {
            const auto request = json::parse(http.body);
            json::array conflicts;
            for (const auto& condition : request.at("conditions").as_array()) {
                const auto key = json::value_to<std::string>(condition.at("row"));
                const auto place = this->rows.find(key);
                const auto version = place == this->rows.end() || !place->second.isPresent ? 0 : place->second.version;
                if (version != condition.at("version").to_number<std::uint64_t>())
                    conflicts.emplace_back(key);
            }
            if (!conflicts.empty())
                return jsonAnswer(409, { { "committed", false }, { "conflicts", std::move(conflicts) } });
            for (const auto& write : request.at("writes").as_array()) {
                auto& row = this->rows[json::value_to<std::string>(write.at("row"))];
                ++row.version;
                ++this->counts.rowsWritten;
                row.isPresent = !write.as_object().contains("delete");
                row.value = row.isPresent ? json::value_to<std::string>(write.at("value")) : std::string {};
            }
            return jsonAnswer(200, { { "committed", true } });
        }

        IoThreads& threads;
        PlatformFaults faults;
        PlatformCounts counts;
        CallRate readRate;
        CallRate writeRate;
        json::array vms;
        std::map<std::string, Row> rows;
        std::map<std::string, std::string> objects;
    };

} // namespace

int runPlatform(const StandinOptions& options)
{
    IoThreads threads(1);
    Platform platform(threads);
    if (!accepted(platform.setFaults(options.faults)))
        return 2;
    HttpRouter routes;
    platform.addRoutes(routes);
    return serve("platform", options.address, threads, routes);
}

} // namespace topaztack::standin
