#include <topaztack/samples/weight_rollout.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr unsigned mostDoublings = 8;
    constexpr double paceAfterRefusal = 0.85;
    constexpr auto slowingInterval = std::chrono::seconds(1);
    /// Part of the first pace by which each success raises it.
    constexpr double paceGain = 0.005;
    constexpr double slowestPace = 1;
    constexpr double slowestFirstPace = 5;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double firstPace(const RolloutState& state, const RolloutRules& rules)
    {
        return std::max(slowestFirstPace, static_cast<double>(state.engines.size()) / seconds(rules.orderSpread));
    }

    /// Unused allowance is kept for one second at most.
    void earnAllowance(RolloutState& state, const RolloutRules& rules, TimePoint now)
    {
        if (state.ordersPerSecond == 0) {
            state.ordersPerSecond = firstPace(state, rules);
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
        if (now - state.slowedAt < slowingInterval)
            return;
        state.slowedAt = now;
        state.ordersPerSecond = std::max(slowestPace, state.ordersPerSecond * paceAfterRefusal);
    }

    std::size_t largestWindow(const RolloutState& state, const RolloutRules& rules)
    {
        const double share = rules.maxSwappingShare * static_cast<double>(state.engines.size());
        return std::max<std::size_t>(1, static_cast<std::size_t>(share));
    }

    std::size_t orderedNow(const RolloutState& state)
    {
        return static_cast<std::size_t>(std::count_if(state.engines.begin(), state.engines.end(),
            [](const auto& entry) { return entry.second.ordered.has_value(); }));
    }

    /// Exponential backoff; the jitter is half of the pause, so that refused engines come back spread out.
    Duration pauseAfter(unsigned failures, const RolloutRules& rules, Random& random)
    {
        const auto bound = std::min(rules.maxBackoff, rules.baseBackoff * (1U << std::min(failures, mostDoublings)));
        const auto half = bound / 2;
        return half + Duration(static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(half.count()) + 1)));
    }

    /// An order is needed if the engine has not confirmed the version, or reports another one although its report
    /// had time to catch up.
    bool needsOrder(const EngineSwap& engine, WeightVersion wanted, const RolloutRules& rules)
    {
        if (engine.reported == wanted)
            return false;
        if (engine.confirmed != wanted)
            return true;
        const bool isReportCurrent = engine.readAt > engine.confirmedAt + rules.maxReportLag;
        return isReportCurrent && engine.reported.has_value();
    }

    /// Engines never read come first, so that one that has the version already is not ordered to load it again.
    bool mustRead(const EngineSwap& engine, const RolloutRules& rules, TimePoint now)
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
        if (!mustRead(engine, rules, now))
            continue;
        engine.isReading = true;
        actions.push_back({ RolloutActionKind::Read, name, {} });
    }
    if (state.wanted == WeightVersion())
        return actions;
    earnAllowance(state, rules, now);
    std::vector<BackendName> due;
    for (const auto& [name, engine] : state.engines) {
        const bool wasRead = engine.readAt != TimePoint();
        if (wasRead && !engine.ordered && engine.notBefore <= now && needsOrder(engine, state.wanted, rules))
            due.push_back(name);
    }
    auto ordered = orderedNow(state);
    while (!due.empty() && ordered < largestWindow(state, rules) && state.availableOrders >= 1) {
        state.availableOrders -= 1;
        const auto place = due.begin() + static_cast<std::ptrdiff_t>(random.below(due.size()));
        auto& engine = state.engines[*place];
        if (engine.confirmed == state.wanted)
            ++engine.reasserted;
        engine.ordered = state.wanted;
        actions.push_back({ RolloutActionKind::Order, *place, state.wanted });
        *place = due.back();
        due.pop_back();
        ++ordered;
    }
    return actions;
}

void handleOrderOutcome(RolloutState& state, const BackendName& name, OrderOutcome end, const RolloutRules& rules,
    TimePoint now, Random& random)
{
    const auto found = state.engines.find(name);
    if (found == state.engines.end() || !found->second.ordered)
        return;
    auto& engine = found->second;
    const auto version = *engine.ordered;
    engine.ordered.reset();
    if (end == OrderOutcome::Done) {
        engine.confirmed = version;
        engine.confirmedAt = now;
        engine.reported = version;
        engine.failures = 0;
        state.ordersPerSecond += paceGain * firstPace(state, rules);
        return;
    }
    if (end == OrderOutcome::Throttled)
        slowDown(state, now);
    if (end == OrderOutcome::Failed) {
        engine.reported.reset();
        engine.confirmed.reset();
        engine.readAt = TimePoint();
    }
    ++engine.failures;
    engine.notBefore = now + pauseAfter(engine.failures, rules, random);
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
