#include <topaztack/samples/weight_rollout.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr unsigned maxDoublings = 8;
    constexpr double throttledRateFactor = 0.85;
    constexpr auto minSlowdownInterval = std::chrono::seconds(1);
    /// Share of the initial rate by which each success raises the rate.
    constexpr double rateGain = 0.005;
    constexpr double minOrdersPerSecond = 1;
    constexpr double minInitialOrdersPerSecond = 5;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double initialOrdersPerSecond(const RolloutState& state, const RolloutRules& rules)
    {
        return std::max(
            minInitialOrdersPerSecond, static_cast<double>(state.engines.size()) / seconds(rules.orderSpread));
    }

    /// Adds the orders earned since the last refill; at most those of one second accumulate.
    void refillAvailableOrders(RolloutState& state, const RolloutRules& rules, TimePoint now)
    {
        if (state.ordersPerSecond == 0) {
            state.ordersPerSecond = initialOrdersPerSecond(state, rules);
            state.availableOrders = state.ordersPerSecond;
        } else {
            const auto passed = seconds(now - state.refilledAt);
            state.availableOrders = std::min(
                std::max(1.0, state.ordersPerSecond), state.availableOrders + passed * state.ordersPerSecond);
        }
        state.refilledAt = now;
    }

    void slowDown(RolloutState& state, TimePoint now)
    {
        if (now - state.slowedAt < minSlowdownInterval)
            return;
        state.slowedAt = now;
        state.ordersPerSecond = std::max(minOrdersPerSecond, state.ordersPerSecond * throttledRateFactor);
    }

    std::size_t maxConcurrentSwaps(const RolloutState& state, const RolloutRules& rules)
    {
        const double share = rules.maxSwappingShare * static_cast<double>(state.engines.size());
        return std::max<std::size_t>(1, static_cast<std::size_t>(share));
    }

    std::size_t ordersInFlight(const RolloutState& state)
    {
        return static_cast<std::size_t>(std::count_if(state.engines.begin(), state.engines.end(),
            [](const auto& entry) { return entry.second.ordered.has_value(); }));
    }

    /// Exponential backoff; half of it is jitter, so that throttled engines do not retry at the same time.
    Duration backoffAfter(unsigned failures, const RolloutRules& rules, Random& random)
    {
        const auto backoff = std::min(rules.maxBackoff, rules.baseBackoff * (1U << std::min(failures, maxDoublings)));
        const auto half = backoff / 2;
        return half + Duration(static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(half.count()) + 1)));
    }

    /// An order is needed if the engine has not confirmed the version, or reports another one after the report lag.
    bool needsOrder(const EngineSwap& engine, WeightVersion wanted, const RolloutRules& rules)
    {
        if (engine.reported == wanted)
            return false;
        if (engine.confirmed != wanted)
            return true;
        const bool isReportCurrent = engine.readAt > engine.confirmedAt + rules.maxReportLag;
        return isReportCurrent && engine.reported.has_value();
    }

    /// An engine that was never read is read at once, so that it is not ordered to load a version that it already has.
    bool isReadDue(const EngineSwap& engine, const RolloutRules& rules, TimePoint now)
    {
        if (engine.isReading || engine.ordered)
            return false;
        return engine.readAt == TimePoint() || now - engine.readAt >= rules.readInterval;
    }

} // namespace

std::string_view swapModeName(SwapMode mode)
{
    switch (mode) {
    case SwapMode::Finish:
        return "finish";
    case SwapMode::Interrupt:
        return "interrupt";
    case SwapMode::InPlace:
        return "in-place";
    }
    return "in-place";
}

void updateEngines(RolloutState& state, const std::vector<BackendName>& engines, WeightVersion wanted)
{
    std::erase_if(state.engines, [&engines](const auto& entry) {
        return std::find(engines.begin(), engines.end(), entry.first) == engines.end();
    });
    for (const auto& engine : engines)
        state.engines.try_emplace(engine);
    if (wanted <= state.wanted)
        return;
    state.wanted = wanted;
    for (auto& [name, engine] : state.engines) {
        engine.failures = 0;
        engine.notBefore = TimePoint();
    }
}

std::vector<RolloutAction> planRollout(RolloutState& state, const RolloutRules& rules, TimePoint now, Random& random)
{
    std::vector<RolloutAction> actions;
    for (auto& [name, engine] : state.engines) {
        if (!isReadDue(engine, rules, now))
            continue;
        engine.isReading = true;
        actions.push_back({ RolloutActionKind::Read, name, {} });
    }
    if (state.wanted == WeightVersion())
        return actions;
    refillAvailableOrders(state, rules, now);
    std::vector<BackendName> due;
    for (const auto& [name, engine] : state.engines) {
        const bool wasRead = engine.readAt != TimePoint();
        if (wasRead && !engine.ordered && engine.notBefore <= now && needsOrder(engine, state.wanted, rules))
            due.push_back(name);
    }
    auto ordered = ordersInFlight(state);
    while (!due.empty() && ordered < maxConcurrentSwaps(state, rules) && state.availableOrders >= 1) {
        state.availableOrders -= 1;
        const auto chosen = due.begin() + static_cast<std::ptrdiff_t>(random.below(due.size()));
        auto& engine = state.engines[*chosen];
        if (engine.confirmed == state.wanted)
            ++engine.reasserted;
        engine.ordered = state.wanted;
        actions.push_back({ RolloutActionKind::Order, *chosen, state.wanted });
        *chosen = due.back();
        due.pop_back();
        ++ordered;
    }
    return actions;
}

void handleOrderOutcome(RolloutState& state, const BackendName& name, OrderOutcome outcome, const RolloutRules& rules,
    TimePoint now, Random& random)
{
    const auto found = state.engines.find(name);
    if (found == state.engines.end() || !found->second.ordered)
        return;
    auto& engine = found->second;
    const auto version = *engine.ordered;
    engine.ordered.reset();
    if (outcome == OrderOutcome::Done) {
        engine.confirmed = version;
        engine.confirmedAt = now;
        engine.reported = version;
        engine.failures = 0;
        state.ordersPerSecond += rateGain * initialOrdersPerSecond(state, rules);
        return;
    }
    if (outcome == OrderOutcome::Throttled)
        slowDown(state, now);
    if (outcome == OrderOutcome::Failed) {
        engine.reported.reset();
        engine.confirmed.reset();
        engine.readAt = TimePoint();
    }
    ++engine.failures;
    engine.notBefore = now + backoffAfter(engine.failures, rules, random);
}

void handleVersionReport(RolloutState& state, const BackendName& name, std::optional<WeightVersion> version,
    const RolloutRules& rules, TimePoint now)
{
    const auto found = state.engines.find(name);
    if (found == state.engines.end())
        return;
    auto& engine = found->second;
    engine.isReading = false;
    engine.readAt = now;
    const bool isReportOld = engine.confirmed && now <= engine.confirmedAt + rules.maxReportLag;
    if (!isReportOld && !engine.ordered)
        engine.reported = version;
}

bool isRolledOut(const RolloutState& state)
{
    return std::all_of(state.engines.begin(), state.engines.end(),
        [&state](const auto& entry) { return !entry.second.ordered && entry.second.reported == state.wanted; });
}

std::optional<WeightVersion> knownVersion(const EngineSwap& engine)
{
    return engine.ordered ? std::nullopt : engine.reported;
}

} // namespace topaztack
