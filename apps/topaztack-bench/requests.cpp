#include "bench.hpp"
#include "requests_simulation.hpp"

#include <chrono>
#include <iostream>
#include <memory>

/// Experiments of the request path's decisions: their cost, and their effect against baselines.

namespace topaztack::bench {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t decisions = 200'000;
    constexpr std::uint64_t prompts = 1000;

    struct NamedRule {
        const char* name;
        RoutingRule rule;
        SharingRule sharing;
    };

    const std::vector<NamedRule> rules {
        { "topaztack", RoutingRule::LowestCost, SharingRule::EqualAndLent },
        { "least-in-flight", RoutingRule::LeastInFlight, SharingRule::None },
        { "round-robin", RoutingRule::RoundRobin, SharingRule::None },
        { "random", RoutingRule::RandomChoice, SharingRule::None },
    };

    double capacityOf(const SimulationOptions& options)
    {
        return static_cast<double>(options.servers * options.slots)
            / std::chrono::duration<double>(options.rolloutTime).count();
    }

    PoolScheduler poolWith(std::size_t count, RoutingRule rule)
    {
        std::vector<ServerState> servers(count);
        for (std::size_t index = 0; index < count; ++index) {
            servers[index].name = BackendName("backend-" + std::to_string(index));
            servers[index].isLocal = index % 3 == 0;
            servers[index].share = { 8, 1 };
            servers[index].report = { 4, 0, TimePoint(1h), true };
        }
        PoolScheduler pool;
        pool.table.rule = rule;
        replaceServers(pool, std::move(servers), 8);
        return pool;
    }

    /// Nanoseconds of one decision with its release, with half of the slots taken.
    /// @param blocks blocks of each prompt, one of a thousand prompts; 0 for a plain service's request.
    std::vector<double> decisionTimes(std::size_t servers, RoutingRule rule, std::size_t blocks, std::uint64_t seed)
    {
        Random random(seed);
        auto pool = poolWith(servers, rule);
        const TimePoint now(1h);
        for (std::size_t index = 0; index < servers * 4; ++index)
            ++pool.table.servers[index % servers].inFlight;
        std::vector<double> times;
        times.reserve(decisions);
        for (std::size_t turn = 0; turn < decisions; ++turn) {
            AdmissionRequest ask;
            ask.request.id = turn;
            ask.request.requestClass = RequestClass::Booking;
            ask.request.deadline = now + 5s;
            const auto prompt = random.below(prompts);
            for (std::size_t block = 0; block < blocks; ++block)
                ask.blocks.push_back(Random((prompt << 16) + block).next());
            const auto begin = Clock::now();
            const auto admission = admit(pool, std::move(ask), now, random);
            const auto end = Clock::now();
            times.push_back(std::chrono::duration<double, std::nano>(end - begin).count());
            if (admission.kind == AdmissionKind::Granted)
                --pool.table.servers[admission.server].inFlight;
        }
        return times;
    }

    int runDecisionCost(std::uint64_t seed)
    {
        std::cout << "rule,backend_servers,prompt_blocks,median_us,p99_us\n";
        for (const auto& rule : rules) {
            for (const std::size_t servers : { 13, 321, 4500 }) {
                for (const std::size_t blocks : { 0, 16 }) {
                    const auto times = decisionTimes(servers, rule.rule, blocks, seed);
                    std::cout << rule.name << "," << servers << "," << blocks << "," << quantileOf(times, 0.5) / 1000
                              << "," << quantileOf(times, 0.99) / 1000 << "\n";
                }
            }
        }
        return 0;
    }

    int runBookings(std::uint64_t seed)
    {
        std::cout << "rule,rollouts_of_capacity,bookings_p50_ms,bookings_p99_ms,bookings_missed_percent\n";
        for (const auto& rule : rules) {
            for (const double load : { 0.0, 0.8, 1.5 }) {
                SimulationOptions options;
                options.rule = rule.rule;
                options.sharing = rule.sharing;
                options.seed = seed;
                options.bookingsPerSecond = 20;
                options.rolloutsPerSecond = load * capacityOf(options);
                const auto result = simulate(options);
                const auto missed = result.bookings - result.bookingsInTime;
                std::cout << rule.name << "," << load << "," << quantileOf(result.bookingSeconds, 0.5) * 1000 << ","
                          << quantileOf(result.bookingSeconds, 0.99) * 1000 << ","
                          << 100.0 * static_cast<double>(missed) / static_cast<double>(result.bookings) << "\n";
            }
        }
        return 0;
    }

    int runGoodput(std::uint64_t seed)
    {
        std::cout << "rule,offered_of_capacity,in_time_per_second,late,refused\n";
        for (const auto& rule : rules) {
            for (const double load : { 0.8, 1.0, 2.0, 5.0 }) {
                SimulationOptions options;
                options.rule = rule.rule;
                options.sharing = rule.sharing;
                options.seed = seed;
                options.rolloutsPerSecond = load * capacityOf(options);
                const auto result = simulate(options);
                std::cout << rule.name << "," << load << ","
                          << static_cast<double>(result.rolloutsInTime) / result.measuredSeconds << "," << result.late
                          << "," << result.refused << "\n";
            }
        }
        return 0;
    }

    /// The prefixes asked for fill five eighths of all caches together, whatever the size of one.
    void runPrefixCase(const NamedRule& rule, std::size_t cachedBlocks, std::uint64_t seed)
    {
        for (const auto knowledge : { PrefixKnowledge::LateEvents, PrefixKnowledge::Oracle }) {
            SimulationOptions options;
            options.rule = rule.rule;
            options.sharing = rule.sharing;
            options.knowledge = knowledge;
            options.seed = seed;
            options.cachedBlocks = cachedBlocks;
            options.prefixFamilies = options.servers * cachedBlocks * 5 / 8 / options.blocksOfPrefix;
            options.rolloutsPerSecond = 0.7 * capacityOf(options);
            options.duration = 300s;
            const auto result = simulate(options);
            std::cout << rule.name << "," << cachedBlocks << "," << options.prefixFamilies << ","
                      << (knowledge == PrefixKnowledge::Oracle ? "oracle" : "late-events") << ","
                      << 100.0 * static_cast<double>(result.blocksHit) / static_cast<double>(result.blocksAsked) << ","
                      << static_cast<double>(result.rolloutsInTime) / result.measuredSeconds << "\n";
        }
    }

    int runPrefix(std::uint64_t seed)
    {
        std::cout << "rule,cached_blocks,families,knowledge,hit_percent,in_time_per_second\n";
        for (const auto& rule : rules) {
            for (const std::size_t cachedBlocks : { 256, 1024, 4096 })
                runPrefixCase(rule, cachedBlocks, seed);
        }
        return 0;
    }

    int runSharing(std::uint64_t seed)
    {
        struct NamedSharing {
            const char* name;
            SharingRule sharing;
        };
        std::cout << "sharing,first_vm_share,bookings_per_second,rollouts_in_time_per_second,bookings_p99_ms,"
                     "most_at_one_server\n";
        for (const auto& [name, sharing] : { NamedSharing { "equal-and-lent", SharingRule::EqualAndLent },
                 NamedSharing { "equal", SharingRule::Equal }, NamedSharing { "whole-limit", SharingRule::WholeLimit },
                 NamedSharing { "none", SharingRule::None } }) {
            for (const double first : { 0.0, 0.5 }) {
                for (const double bookings : { 0.0, 20.0 }) {
                    SimulationOptions options;
                    options.sharing = sharing;
                    options.vms = 4;
                    options.firstVmShare = first;
                    options.seed = seed;
                    options.bookingsPerSecond = bookings;
                    options.rolloutsPerSecond = 0.9 * capacityOf(options);
                    const auto result = simulate(options);
                    std::cout << name << "," << first << "," << bookings << ","
                              << static_cast<double>(result.rolloutsInTime) / result.measuredSeconds << ","
                              << quantileOf(result.bookingSeconds, 0.99) * 1000 << "," << result.mostAtServer << "\n";
                }
            }
        }
        return 0;
    }

    void addExperiment(CLI::App& app, std::function<int()>& run, const std::string& name, const std::string& what,
        int (*experiment)(std::uint64_t))
    {
        auto* command = app.add_subcommand(name, what);
        const auto seed = std::make_shared<std::uint64_t>(1);
        command->add_option("--seed", *seed, "seed of the run");
        command->callback([&run, seed, experiment] { run = [seed, experiment] { return experiment(*seed); }; });
    }

} // namespace

void addRequests(CLI::App& app, std::function<int()>& run)
{
    addExperiment(app, run, "requests-decision", "cost of one routing decision by backend servers", runDecisionCost);
    addExperiment(app, run, "requests-bookings", "bookings' latency while rollouts saturate a pool", runBookings);
    addExperiment(app, run, "requests-goodput", "requests done in time under overload", runGoodput);
    addExperiment(app, run, "requests-prefix", "prefix cache hits against an oracle", runPrefix);
    addExperiment(app, run, "requests-sharing", "ways for VMs to share a backend server's slots", runSharing);
}

} // namespace topaztack::bench
