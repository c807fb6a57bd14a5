#include <topaztack/node/weight_roller.hpp>

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto tickInterval = 50ms;
    constexpr auto readInterval = 1s;
    constexpr auto writeInterval = 1s;
    constexpr auto orderTime = 60s;
    constexpr auto loadTime = 1s;
    constexpr auto storePatience = 1s;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusThrottled = 429;
    constexpr unsigned statusRefused = 503;

    RowKey rowOf(const PoolName& pool) { return RowKey("weights/" + pool.value()); }

    LeaseName leaseOf(const PoolName& pool) { return LeaseName("weights/" + pool.value()); }

    HttpRequest orderRequest(const EngineOrder& order, FencingNumber fencing, const OperationId& operation)
    {
        json::object body { { "order", order.order }, { "fencing", fencing.value() },
            { "operation", operation.value() } };
        if (order.order == "load-weights") {
            body["version"] = order.version.value();
            body["mode"] = swapModeName(order.mode);
        } else if (order.order == "load-adapter") {
            body["adapter"] = order.name;
            body["version"] = order.version.value();
        } else {
            body["role"] = order.name;
        }
        HttpRequest request;
        request.method = "POST";
        request.target = "/engine/orders";
        request.headers.push_back({ "Content-Type", "application/json" });
        request.body = json::serialize(body);
        return request;
    }

    OrderOutcome endOf(const CallResult<HttpResponse>& answer)
    {
        if (!answer)
            return OrderOutcome::Failed;
        switch (answer.value().status) {
        case statusOk:
            return OrderOutcome::Done;
        case statusConflict:
            return OrderOutcome::FencedOff;
        case statusThrottled:
        case statusRefused:
            return OrderOutcome::Throttled;
        default:
            return OrderOutcome::Failed;
        }
    }

    std::optional<WeightVersion> reportedVersion(const HttpResponse& answer)
    {
        boost::system::error_code problem;
        const auto value = json::parse(answer.body, problem);
        if (answer.status != statusOk || problem || !value.is_object())
            return std::nullopt;
        const auto& report = value.as_object();
        const auto* isSwapping = report.if_contains("swapping");
        if (isSwapping && isSwapping->is_bool() && isSwapping->as_bool())
            return std::nullopt;
        const auto* version = report.if_contains("version");
        if (!version || !version->is_number())
            return std::nullopt;
        return WeightVersion(version->to_number<std::uint64_t>(problem));
    }

    void logOrder(const BackendName& engine, const RolloutAction& action, OrderOutcome end)
    {
        static constexpr std::array names { "done", "fenced-off", "throttled", "failed" };
        logEvent(end == OrderOutcome::Done ? LogLevel::Info : LogLevel::Warning, "weights-ordered",
            { { "engine", engine.value() }, { "version", std::to_string(action.version.value()) },
                { "end", names[static_cast<std::size_t>(end)] } });
    }

    /// Nothing was read of the engine or ordered yet: the row is left to say what it said.
    bool isUntouched(const EngineSwap& engine)
    {
        return !engine.reported && !engine.ordered && engine.failures == 0 && engine.readAt == TimePoint();
    }

    std::vector<BackendSettings> enginesOf(const Document& document, const PoolName& pool)
    {
        std::vector<BackendSettings> engines;
        for (const auto& backend : document.backends) {
            if (backend.pool == pool)
                engines.push_back(backend);
        }
        return engines;
    }

    std::vector<BackendName> namesOf(const std::vector<BackendSettings>& engines)
    {
        std::vector<BackendName> names;
        names.reserve(engines.size());
        for (const auto& engine : engines)
            names.push_back(engine.name);
        return names;
    }

    RowChange reportsChange(std::map<BackendName, std::optional<WeightVersion>> engines)
    {
        return [engines = std::move(engines)](
                   const std::string& text, const OperationId& operation) -> Result<std::optional<std::string>> {
            auto weights = decodePoolWeights(text);
            if (!weights)
                return std::move(weights).error();
            if (weights.value().engines == engines)
                return std::optional<std::string> {};
            weights.value().engines = engines;
            return std::optional<std::string>(encodePoolWeights(weights.value(), operation));
        };
    }

} // namespace

std::string encodePoolWeights(const PoolWeights& weights, const OperationId& operation)
{
    json::object engines;
    for (const auto& [name, version] : weights.engines)
        engines[name.value()] = version ? json::value(version->value()) : json::value(nullptr);
    return json::serialize(json::object {
        { "wanted", weights.wanted.value() }, { "operation", operation.value() }, { "engines", std::move(engines) } });
}

Result<PoolWeights> decodePoolWeights(std::string_view text)
{
    PoolWeights weights;
    if (text.empty())
        return weights;
    try {
        const auto value = json::parse(text);
        weights.wanted = WeightVersion(value.at("wanted").to_number<std::uint64_t>());
        for (const auto& entry : value.at("engines").as_object()) {
            auto& version = weights.engines[BackendName(std::string(entry.key()))];
            if (entry.value().is_number())
                version = WeightVersion(entry.value().to_number<std::uint64_t>());
        }
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::Internal, std::string("weights row not understood: ") + problem.what());
    }
    return weights;
}

WeightRoller::WeightRoller(NodeContext& context, LeaseKeeper& leases)
    : context(context)
    , leases(leases)
    , rows(context)
    , random(systemSeed())
{
}

void WeightRoller::start() { asio::co_spawn(this->context.threads.at(0), this->run(), asio::detached); }

asio::awaitable<Result<void>> WeightRoller::want(PoolName pool, WeightVersion version, TimePoint giveUp)
{
    RowChange change
        = [version](const std::string& text, const OperationId& operation) -> Result<std::optional<std::string>> {
        auto weights = decodePoolWeights(text);
        if (!weights)
            return std::move(weights).error();
        if (weights.value().wanted >= version)
            return std::optional<std::string> {};
        weights.value().wanted = version;
        return std::optional<std::string>(encodePoolWeights(weights.value(), operation));
    };
    auto row = co_await this->rows.update(rowOf(pool), std::move(change), std::nullopt, giveUp);
    if (!row)
        co_return std::move(row).error();
    co_return boost::outcome_v2::success();
}

asio::awaitable<OrderOutcome> WeightRoller::order(BackendSettings engine, EngineOrder order)
{
    const auto operation = this->context.newOperation();
    const auto fencing = this->leases.held(leaseOf(engine.pool));
    if (!fencing)
        co_return OrderOutcome::FencedOff;
    auto request = orderRequest(order, *fencing, operation);
    const auto answer
        = co_await this->context.clients().backends.call(engine.endpoint, std::move(request), Clock::now() + orderTime);
    co_return endOf(answer);
}

asio::awaitable<void> WeightRoller::run()
{
    while (true) {
        const auto accepted = this->context.document();
        if (accepted) {
            for (const auto& pool : accepted->document.pools) {
                auto& roll = this->rolls[pool.name];
                if (roll || pool.kind != PoolKind::Engine)
                    continue;
                roll = std::make_shared<Roll>();
                roll->pool = pool.name;
                this->leases.want(leaseOf(pool.name));
                asio::co_spawn(this->context.threads.at(0), this->roll(roll), asio::detached);
            }
            std::erase_if(this->rolls, [](const auto& entry) { return !entry.second; });
        }
        co_await waitFor(this->context, readInterval);
    }
}

asio::awaitable<void> WeightRoller::roll(RollPtr roll)
{
    while (true) {
        if (Clock::now() - roll->readAt >= readInterval)
            co_await this->refresh(roll);
        roll->isOrdering = !this->context.isDraining && this->leases.held(leaseOf(roll->pool)).has_value();
        if (roll->isOrdering) {
            this->direct(roll);
            if (Clock::now() - roll->writtenAt >= writeInterval)
                co_await this->writeReports(roll);
        }
        co_await waitFor(this->context, tickInterval);
    }
}

asio::awaitable<void> WeightRoller::refresh(RollPtr roll)
{
    roll->readAt = Clock::now();
    auto copy = co_await this->rows.read(rowOf(roll->pool));
    if (!copy)
        co_return;
    auto weights = decodePoolWeights(copy.value().value);
    if (!weights)
        co_return;
    const bool isNew = !roll->copy || roll->row != weights.value();
    roll->copy = std::move(copy).value();
    roll->row = std::move(weights).value();
    if (isNew)
        this->publish();
}

asio::awaitable<void> WeightRoller::writeReports(RollPtr roll)
{
    roll->writtenAt = Clock::now();
    std::map<BackendName, std::optional<WeightVersion>> engines;
    for (const auto& [name, engine] : roll->state.engines) {
        if (!isUntouched(engine))
            engines[name] = knownVersion(engine);
    }
    if (roll->row.engines == engines)
        co_return;
    auto change = reportsChange(std::move(engines));
    auto row
        = co_await this->rows.update(rowOf(roll->pool), std::move(change), roll->copy, Clock::now() + storePatience);
    if (!row)
        co_return;
    auto weights = decodePoolWeights(row.value().value);
    roll->copy = std::move(row).value();
    if (weights)
        roll->row = std::move(weights).value();
    this->publish();
}

void WeightRoller::direct(const RollPtr& roll)
{
    const auto accepted = this->context.document();
    if (!accepted)
        return;
    const auto engines = enginesOf(accepted->document, roll->pool);
    const auto now = Clock::now();
    const bool isNewer = roll->row.wanted > roll->state.wanted;
    updateEngines(roll->state, namesOf(engines), roll->row.wanted);
    if (isNewer)
        roll->begunAt = now;
    for (const auto& action : planRollout(roll->state, roll->rules, now, this->random)) {
        for (const auto& engine : engines) {
            if (engine.name == action.engine)
                asio::co_spawn(this->context.threads.at(0), this->carryOut(roll, action, engine), asio::detached);
        }
    }
    if (roll->begunAt && isRolledOut(roll->state)) {
        roll->lastTook = now - *roll->begunAt;
        roll->begunAt.reset();
        logEvent(LogLevel::Info, "weights-rolled-out",
            { { "pool", roll->pool.value() }, { "version", std::to_string(roll->state.wanted.value()) },
                { "ms", std::to_string(toMilliseconds(roll->lastTook).count()) } });
    }
    auto state = this->describe(*roll);
    const std::lock_guard guard(this->lock);
    this->published[roll->pool] = std::move(state);
}

asio::awaitable<void> WeightRoller::carryOut(RollPtr roll, RolloutAction action, BackendSettings engine)
{
    if (action.kind == RolloutActionKind::Read) {
        const auto version = co_await this->readEngine(engine);
        handleVersionReport(roll->state, engine.name, version, roll->rules, Clock::now());
        co_return;
    }
    EngineOrder order;
    order.version = action.version;
    order.mode = roll->rules.mode;
    const auto end = co_await this->order(engine, std::move(order));
    handleOrderOutcome(roll->state, engine.name, end, roll->rules, Clock::now(), this->random);
    logOrder(engine.name, action, end);
}

asio::awaitable<std::optional<WeightVersion>> WeightRoller::readEngine(BackendSettings engine)
{
    HttpRequest request;
    request.target = "/engine/load";
    const auto answer
        = co_await this->context.clients().backends.call(engine.endpoint, std::move(request), Clock::now() + loadTime);
    if (!answer)
        co_return std::nullopt;
    co_return reportedVersion(answer.value());
}

void WeightRoller::publish()
{
    boost::intrusive_ptr<WeightView> view(new WeightView);
    for (const auto& [pool, roll] : this->rolls) {
        if (!roll)
            continue;
        if (roll->row.wanted != WeightVersion())
            view->newest[pool] = roll->row.wanted;
        for (const auto& [name, version] : roll->row.engines)
            view->engines[name] = { version, !version.has_value() };
    }
    this->context.weights.store(view);
}

json::value WeightRoller::describe(const Roll& roll) const
{
    json::object engines;
    for (const auto& [name, engine] : roll.state.engines) {
        const auto version = knownVersion(engine);
        engines[name.value()] = json::object {
            { "version", version ? json::value(version->value()) : json::value(nullptr) },
            { "ordered", engine.ordered.has_value() },
            { "failures", engine.failures },
            { "reasserted", engine.reasserted },
        };
    }
    return json::object { { "wanted", roll.state.wanted.value() }, { "rolled_out", isRolledOut(roll.state) },
        { "last_took_ms", toMilliseconds(roll.lastTook).count() }, { "engines", std::move(engines) } };
}

json::value WeightRoller::dump() const
{
    const std::lock_guard guard(this->lock);
    json::object pools;
    for (const auto& [name, state] : this->published)
        pools[name.value()] = state;
    return pools;
}

} // namespace topaztack
