#include <topaztack/samples/weight_rollout.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

constexpr auto tick = 50ms;
constexpr auto swapTime = 800ms;

/// Engines whose swaps take time, fail, or are throttled by the weight store.
struct FakePool {
    struct Order {
        WeightVersion version;
        TimePoint end;
    };

    std::map<BackendName, WeightVersion> versions;
    std::map<BackendName, Order> running;
    std::size_t maxSwapping { 0 };

    void begin(const RolloutAction& action, TimePoint now)
    {
        this->running[action.engine] = { action.version, now + swapTime };
        this->maxSwapping = std::max(this->maxSwapping, this->running.size());
    }

    void end(RolloutState& state, const RolloutRules& rules, TimePoint now, Random& random, std::uint64_t faultPercent)
    {
        for (auto entry = this->running.begin(); entry != this->running.end();) {
            if (entry->second.end > now) {
                ++entry;
                continue;
            }
            auto outcome = OrderOutcome::Done;
            if (random.below(100) < faultPercent)
                outcome = random.below(2) == 0 ? OrderOutcome::Throttled : OrderOutcome::Failed;
            // A failed order may still have taken effect.
            if (outcome == OrderOutcome::Done || (outcome == OrderOutcome::Failed && random.below(2) == 0))
                this->versions[entry->first] = entry->second.version;
            handleOrderOutcome(state, entry->first, outcome, rules, now, random);
            entry = this->running.erase(entry);
        }
    }
};

std::vector<BackendName> engineNames(std::size_t count)
{
    std::vector<BackendName> names;
    for (std::size_t index = 0; index < count; ++index)
        names.emplace_back("e" + std::to_string(index));
    return names;
}

/// Runs a rollout until all engines report the wanted version, for ten minutes at most.
/// @return the time that it took.
Duration runRollout(RolloutState& state, FakePool& pool, Random& random, std::uint64_t faultPercent)
{
    const RolloutRules rules;
    TimePoint now { 1h };
    const auto start = now;
    while (now - start < 10min) {
        for (const auto& action : planRollout(state, rules, now, random)) {
            if (action.kind == RolloutActionKind::Order)
                pool.begin(action, now);
            else
                handleVersionReport(state, action.engine, pool.versions[action.engine], rules, now);
        }
        pool.end(state, rules, now, random, faultPercent);
        if (isRolledOut(state))
            break;
        now += tick;
    }
    return now - start;
}

} // namespace

TEST_GROUP(WeightRollout)
{
    RolloutState state;
    RolloutRules rules;
    FakePool pool;
    Random random { 7 };
};

TEST(WeightRollout, ReachesAllEnginesDespiteFailuresWithinTheSwapLimit)
{
    CHECK_TRUE(rc::check("rolled out, at most a third at once", [](std::uint64_t seed) {
        Random random(seed);
        RolloutState state;
        FakePool pool;
        const auto count = 1 + random.below(40);
        updateEngines(state, engineNames(count), WeightVersion(5));
        runRollout(state, pool, random, random.below(40));
        RC_ASSERT(isRolledOut(state));
        for (const auto& [name, version] : pool.versions)
            RC_ASSERT(version == WeightVersion(5));
        RC_ASSERT(
            pool.maxSwapping <= std::max<std::size_t>(1, static_cast<std::size_t>(0.34 * static_cast<double>(count))));
    }));
}

TEST(WeightRollout, FailedOrderLeavesTheVersionUnknownUntilItIsRead)
{
    const BackendName engine("e0");
    updateEngines(this->state, { engine }, WeightVersion(5));
    TimePoint now { 1h };
    planRollout(this->state, this->rules, now, this->random);
    handleVersionReport(this->state, engine, WeightVersion(4), this->rules, now);
    CHECK_TRUE(knownVersion(this->state.engines[engine]) == WeightVersion(4));
    LONGS_EQUAL(1, planRollout(this->state, this->rules, now, this->random).size());
    CHECK_FALSE(knownVersion(this->state.engines[engine]).has_value());
    handleOrderOutcome(this->state, engine, OrderOutcome::Failed, this->rules, now, this->random);
    CHECK_FALSE(knownVersion(this->state.engines[engine]).has_value());
    handleVersionReport(this->state, engine, WeightVersion(4), this->rules, now);
    CHECK_TRUE(knownVersion(this->state.engines[engine]) == WeightVersion(4));
}

// An earlier order that takes effect late sets the engine back to an old version.
TEST(WeightRollout, EngineThatRevertedToAnOldVersionIsOrderedAgain)
{
    const BackendName engine("e0");
    updateEngines(this->state, { engine }, WeightVersion(5));
    runRollout(this->state, this->pool, this->random, 0);
    TimePoint now { 2h };
    handleVersionReport(this->state, engine, WeightVersion(4), this->rules, now);
    const auto actions = planRollout(this->state, this->rules, now, this->random);
    CHECK_TRUE(actions.size() == 1 && actions[0].kind == RolloutActionKind::Order);
    LONGS_EQUAL(1, this->state.engines[engine].reasserted);
}

TEST(WeightRollout, LaggingReportOfTheOldVersionIsIgnored)
{
    const BackendName engine("e0");
    updateEngines(this->state, { engine }, WeightVersion(5));
    TimePoint now { 1h };
    planRollout(this->state, this->rules, now, this->random);
    handleVersionReport(this->state, engine, WeightVersion(4), this->rules, now);
    planRollout(this->state, this->rules, now, this->random);
    handleOrderOutcome(this->state, engine, OrderOutcome::Done, this->rules, now, this->random);
    handleVersionReport(this->state, engine, WeightVersion(4), this->rules, now + 1s);
    CHECK_TRUE(knownVersion(this->state.engines[engine]) == WeightVersion(5));
    LONGS_EQUAL(0, planRollout(this->state, this->rules, now + 1s, this->random).size());
}

TEST(WeightRollout, EngineThatHasTheVersionIsNotOrdered)
{
    const BackendName engine("e0");
    updateEngines(this->state, { engine }, WeightVersion(5));
    TimePoint now { 1h };
    planRollout(this->state, this->rules, now, this->random);
    handleVersionReport(this->state, engine, WeightVersion(5), this->rules, now);
    CHECK_TRUE(isRolledOut(this->state));
    LONGS_EQUAL(0, planRollout(this->state, this->rules, now, this->random).size());
}
