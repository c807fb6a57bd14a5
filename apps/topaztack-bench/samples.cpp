#include "bench.hpp"
#include "samples_simulation.hpp"

#include <cstdio>
#include <memory>
#include <string>

/// @file
/// `samples`: trainer idle time, staleness, discards and waste of the sample planner against a first-come baseline and
/// with each rule switched off, and the time of a weight rollout.

namespace topaztack::bench {

namespace {

    struct Variant {
        std::string name;
        bool isFirstCome { false };
        void (*change)(PlannerRules&) { nullptr };
    };

    struct SamplesOptions {
        SamplesWorkload workload;
        RolloutWorkload rollout;
        std::uint64_t bound { 2 };
        double idleWeight { 0.5 };
        std::uint64_t seeds { 5 };
        std::uint64_t trainingMs { 14000 };
    };

    void switchAllOff(PlannerRules& rules)
    {
        rules.defersStaleStarts = false;
        rules.cancelsStale = false;
        rules.ordersLongestFirst = false;
        rules.movesStragglers = false;
        rules.hedgesStragglers = false;
    }

    const std::vector<Variant>& variants()
    {
        static const std::vector<Variant> list {
            { "first-come baseline", true, switchAllOff },
            { "all rules", false, [](PlannerRules&) {} },
            { "without lookahead bound", true, [](PlannerRules&) {} },
            { "without holding back", false, [](PlannerRules& rules) { rules.defersStaleStarts = false; } },
            { "without cancelling stale", false, [](PlannerRules& rules) { rules.cancelsStale = false; } },
            { "without longest first", false, [](PlannerRules& rules) { rules.ordersLongestFirst = false; } },
            { "without moves", false, [](PlannerRules& rules) { rules.movesStragglers = false; } },
            { "without hedges", false, [](PlannerRules& rules) { rules.hedgesStragglers = false; } },
        };
        return list;
    }

    SamplesResult meanOver(const SamplesOptions& options, const Variant& variant)
    {
        SamplesResult mean;
        mean.isWhole = true;
        const auto seeds = static_cast<double>(options.seeds);
        for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
            PlannerRules rules;
            rules.bound.versions = options.bound;
            rules.idleWeight = options.idleWeight;
            rules.stalenessWeight = 1 - options.idleWeight;
            variant.change(rules);
            const auto one = simulateSamples(options.workload, rules, variant.isFirstCome, seed);
            mean.idleShare += one.idleShare / seeds;
            mean.lagMean += one.lagMean / seeds;
            mean.lagP99 = std::max(mean.lagP99, one.lagP99);
            mean.lagMost = std::max(mean.lagMost, one.lagMost);
            mean.lagInUseMean += one.lagInUseMean / seeds;
            mean.lagInUseMost = std::max(mean.lagInUseMost, one.lagInUseMost);
            mean.delivered += one.delivered;
            mean.discarded += one.discarded;
            mean.hedged += one.hedged;
            mean.moved += one.moved;
            mean.wastedShare += one.wastedShare / seeds;
            mean.seconds += one.seconds / seeds;
            mean.isWhole = mean.isWhole && one.isWhole;
        }
        return mean;
    }

    int printSamples(const SamplesOptions& options)
    {
        std::printf("variant,idle_share,lag_mean,lag_p99,lag_most,lag_in_use_mean,lag_in_use_most,delivered,discarded,"
                    "hedged,moved,wasted_share,seconds,whole\n");
        for (const auto& variant : variants()) {
            const auto mean = meanOver(options, variant);
            std::printf("%s,%.4f,%.3f,%llu,%llu,%.3f,%llu,%llu,%llu,%llu,%llu,%.4f,%.1f,%s\n", variant.name.c_str(),
                mean.idleShare, mean.lagMean, static_cast<unsigned long long>(mean.lagP99),
                static_cast<unsigned long long>(mean.lagMost), mean.lagInUseMean,
                static_cast<unsigned long long>(mean.lagInUseMost), static_cast<unsigned long long>(mean.delivered),
                static_cast<unsigned long long>(mean.discarded), static_cast<unsigned long long>(mean.hedged),
                static_cast<unsigned long long>(mean.moved), mean.wastedShare, mean.seconds,
                mean.isWhole ? "yes" : "no");
        }
        return 0;
    }

    int printRollouts(const SamplesOptions& options)
    {
        std::printf("mode,engines,seconds_mean,seconds_most,throttled,failed,most_at_once,whole\n");
        for (const auto mode : { SwapMode::InPlace, SwapMode::Interrupt, SwapMode::Finish }) {
            auto workload = options.rollout;
            workload.mode = mode;
            double mean = 0;
            double most = 0;
            RolloutResult sum;
            sum.isWhole = true;
            for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
                const auto one = simulateRollout(workload, seed);
                mean += one.seconds / static_cast<double>(options.seeds);
                most = std::max(most, one.seconds);
                sum.throttled += one.throttled;
                sum.failed += one.failed;
                sum.mostAtOnce = std::max(sum.mostAtOnce, one.mostAtOnce);
                sum.isWhole = sum.isWhole && one.isWhole;
            }
            std::printf("%s,%zu,%.2f,%.2f,%llu,%llu,%zu,%s\n", std::string(swapModeName(mode)).c_str(),
                workload.engines, mean, most, static_cast<unsigned long long>(sum.throttled),
                static_cast<unsigned long long>(sum.failed), sum.mostAtOnce, sum.isWhole ? "yes" : "no");
        }
        return 0;
    }

} // namespace

void addSamples(CLI::App& app, std::function<int()>& run)
{
    auto options = std::make_shared<SamplesOptions>();
    auto* samples = app.add_subcommand("samples", "Idle time, staleness and waste of the sample planner (simulated).");
    samples->add_option("--bound", options->bound, "staleness bound in versions")->capture_default_str();
    samples->add_option("--idle-weight", options->idleWeight, "weight of idle time, 0..1")->capture_default_str();
    samples->add_option("--seeds", options->seeds, "runs, with seeds 1..N")->capture_default_str();
    samples->add_option("--steps", options->workload.steps, "training steps of a run")->capture_default_str();
    samples->add_option("--training-ms", options->trainingMs, "time to train a step")->capture_default_str();
    samples->add_option("--ahead", options->workload.postedAhead, "steps posted ahead")->capture_default_str();
    samples->add_option("--lookahead", options->workload.lookahead, "steps generated ahead; else the planner's rule");
    samples->callback([options, &run] {
        run = [options] {
            options->workload.trainingTime = std::chrono::milliseconds(options->trainingMs);
            return printSamples(*options);
        };
    });
    auto* weights
        = app.add_subcommand("weights", "Time of a weight rollout under the weight store's limit (simulated).");
    weights->add_option("--engines", options->rollout.engines, "engines of the pool")->capture_default_str();
    weights->add_option("--fetches", options->rollout.fetchesPerSecond, "fetches a second that the store admits")
        ->capture_default_str();
    weights->add_option("--failed", options->rollout.failedShare, "share of swaps that fail")->capture_default_str();
    weights->add_option("--seeds", options->seeds, "runs, with seeds 1..N")->capture_default_str();
    weights->callback([options, &run] { run = [options] { return printRollouts(*options); }; });
}

} // namespace topaztack::bench
