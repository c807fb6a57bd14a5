#include <topaztack/samples/load_plan.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace topaztack;

namespace {

const ModelName modelA { "a" };
const ModelName modelB { "b" };

EngineSnapshot engineWith(const std::string& name, std::uint64_t versionA)
{
    EngineSnapshot engine;
    engine.name = BackendName(name);
    engine.versions[modelA] = WeightVersion(versionA);
    return engine;
}

EngineSnapshot engineWith(const std::string& name, std::uint64_t versionA, std::uint64_t versionB)
{
    auto engine = engineWith(name, versionA);
    engine.versions[modelB] = WeightVersion(versionB);
    return engine;
}

ModelDemand demand(std::uint64_t version, bool hasWaitingGenerations)
{
    return { WeightVersion(version), hasWaitingGenerations };
}

PlannedLoad loadOf(const std::string& engine, const ModelName& model, std::uint64_t version)
{
    return { BackendName(engine), model, WeightVersion(version) };
}

/// Simulates rounds, each as long as one load, while a trainer publishes a version every few rounds.
/// @return the minimum over all rounds of the number of engines that could serve the newest version.
std::size_t fewestServing(
    std::size_t engines, std::size_t roundsPerVersion, std::size_t rounds, const LoadLimits& limits = {})
{
    std::vector<EngineSnapshot> pool;
    for (std::size_t index = 0; index < engines; ++index)
        pool.push_back(engineWith("e" + std::to_string(index), 1));
    std::map<ModelName, ModelDemand> models { { modelA, demand(1, true) } };
    std::size_t fewest = engines;
    for (std::size_t round = 1; round <= rounds; ++round) {
        auto& wanted = models[modelA].newestVersion;
        if (round % roundsPerVersion == 0)
            wanted = WeightVersion(wanted.value() + 1);
        for (const auto& load : planLoads(pool, models, limits)) {
            const auto engine = std::find_if(
                pool.begin(), pool.end(), [&load](const auto& candidate) { return candidate.name == load.engine; });
            engine->versions[load.model] = load.version;
        }
        const auto serving = std::count_if(pool.begin(), pool.end(),
            [&](const auto& candidate) { return candidate.versions.at(modelA).value() + 1 >= wanted.value(); });
        fewest = std::min(fewest, static_cast<std::size_t>(serving));
    }
    return fewest;
}

} // namespace

TEST_GROUP(LoadPlan) {};

TEST(LoadPlan, NothingIsLoadedIfAllEnginesHaveTheNewestVersion)
{
    CHECK_TRUE(planLoads({ engineWith("e1", 3) }, { { modelA, demand(3, false) } }, {}).empty());
}

TEST(LoadPlan, EnginesThatAreTooFarBehindToServeComeFirst)
{
    const auto loads = planLoads(
        { engineWith("e1", 2), engineWith("e2", 1), engineWith("e3", 2) }, { { modelA, demand(3, true) } }, {});
    LONGS_EQUAL(2, loads.size());
    CHECK_TRUE(loads[0] == loadOf("e2", modelA, 3));
}

// Connections to an engine are closed after ten seconds without a request, so the engine that served most recently is
// the most likely to have open ones.
TEST(LoadPlan, AModelStaysWithTheEnginesThatServedItLast)
{
    const auto loads = planLoads({ engineWith("e1", 3), engineWith("e2", 5), engineWith("e3", 6), engineWith("e4", 3) },
        { { modelA, demand(7, true) } }, { .maxConcurrentLoads = 1 });
    CHECK_TRUE((loads == std::vector<PlannedLoad> { loadOf("e2", modelA, 7) }));
}

TEST(LoadPlan, ABusyModelKeepsHalfOfItsEnginesServing)
{
    const auto loads = planLoads({ engineWith("e1", 3), engineWith("e2", 2) }, { { modelA, demand(3, true) } }, {});
    CHECK_TRUE(loads.empty());
    const auto idle = planLoads({ engineWith("e1", 3), engineWith("e2", 2) }, { { modelA, demand(3, false) } }, {});
    CHECK_TRUE((idle == std::vector<PlannedLoad> { loadOf("e2", modelA, 3) }));
}

TEST(LoadPlan, NoMoreLoadsRunAtOnceThanTheStoreServesAtFullSpeed)
{
    auto loading = engineWith("e1", 1);
    loading.loading = modelA;
    const auto loads = planLoads({ loading, engineWith("e2", 1), engineWith("e3", 1), engineWith("e4", 1) },
        { { modelA, demand(3, true) } }, {});
    LONGS_EQUAL(1, loads.size());
}

TEST(LoadPlan, LoadThatIsNearlyOverDoesNotCountTowardsTheLimit)
{
    auto ending = engineWith("e1", 1);
    ending.loading = modelA;
    ending.isLoadEnding = true;
    const auto loads = planLoads(
        { ending, engineWith("e2", 1), engineWith("e3", 1), engineWith("e4", 1) }, { { modelA, demand(3, true) } }, {});
    LONGS_EQUAL(2, loads.size());
}

TEST(LoadPlan, EngineInBackoffIsSkipped)
{
    auto engineInBackoff = engineWith("e1", 1);
    engineInBackoff.isInBackoff = true;
    const auto loads = planLoads({ engineInBackoff, engineWith("e2", 1) }, { { modelA, demand(3, true) } }, {});
    CHECK_TRUE((loads == std::vector<PlannedLoad> { loadOf("e2", modelA, 3) }));
}

TEST(LoadPlan, ModelsShareTheEnginesEvenly)
{
    std::vector<EngineSnapshot> engines;
    for (int index = 0; index < 8; ++index)
        engines.push_back(engineWith("e" + std::to_string(index), 1, 1));
    const std::map<ModelName, ModelDemand> models { { modelA, demand(3, false) }, { modelB, demand(3, false) } };
    std::map<ModelName, int> loaded;
    for (int round = 0; round < 20; ++round) {
        for (const auto& load : planLoads(engines, models, {})) {
            const auto engine = std::find_if(engines.begin(), engines.end(),
                [&load](const auto& candidate) { return candidate.name == load.engine; });
            engine->versions[load.model] = load.version;
            ++loaded[load.model];
        }
    }
    LONGS_EQUAL(4, loaded[modelA]);
    LONGS_EQUAL(4, loaded[modelB]);
}

// After an outage one trainer has published two versions and another none; the model that no engine can serve goes
// first.
TEST(LoadPlan, TheModelWithTheFewestServingEnginesLoadsFirst)
{
    std::vector<EngineSnapshot> engines { engineWith("e1", 5, 3), engineWith("e2", 5, 3), engineWith("e3", 4, 3),
        engineWith("e4", 4, 3) };
    const auto loads = planLoads(engines, { { modelA, demand(6, true) }, { modelB, demand(5, true) } }, {});
    LONGS_EQUAL(2, loads.size());
    CHECK_TRUE(loads[0].model == modelB);
    CHECK_TRUE(loads[1].model == modelB);
}

// Twelve engines, two loads at once, and a new version every four load times.
TEST(LoadPlan, AThirdOfTheEnginesServesAtAnyTimeIfLoadsCannotKeepUp) { CHECK_TRUE(fewestServing(12, 4, 200) >= 4); }

// Ten times the usual number of engines, and versions as frequent as before. A plan that scans all engines for each
// load takes longer than the lease of the ordering VM: with 3,000 engines this test then runs for minutes.
TEST(LoadPlan, ThousandsOfEnginesFollowFrequentVersions)
{
    LoadLimits limits;
    limits.maxConcurrentLoads = 600;
    CHECK_TRUE(fewestServing(3000, 6, 40, limits) >= 1000);
}
