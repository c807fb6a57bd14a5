#include "faults.hpp"
#include "standin.hpp"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

constexpr auto help
    = "topaztack-standin: small stand-ins for what topaztack talks to.\n\n"
      "Faults are set at start (--fault NAME=VALUE) and at run time (POST /standin/faults with a JSON object):\n"
      "  platform: outage none|drop|refuse, delay_ms, lose_next_answers, lose_answer_probability, seed,\n"
      "            reads_per_second, writes_per_second\n"
      "  service:  fault none|not-run|{drop,die}-{before,during,after,answering}, next, probability, seed,\n"
      "            delay_ms, leaving\n"
      "  engine:   crash, swap none|fail-half|lie, swap_next, swap_probability, break_after_tokens, break_next,\n"
      "            break_probability, slow_factor, leaving, event_gap, event_lag_ms, load_lag_ms, seed\n"
      "  weights:  fetches_per_second, delay_ms, outage\n\n"
      "Examples:\n"
      "  topaztack-standin platform --listen 127.0.0.1:17001 --fault lose_answer_probability=0.1\n"
      "  topaztack-standin engine --listen 127.0.0.1:17301 --token-time-us 2000\n"
      "  topaztack-standin service --listen 127.0.0.1:17401 --fault fault=drop-after --fault next=1";

/// Adds the options that all stand-ins with fault switches have.
CLI::App* addStandin(CLI::App& app, const std::string& name, const std::string& description, std::string& address,
    std::vector<std::string>& faults)
{
    auto* command = app.add_subcommand(name, description);
    command->add_option("--listen", address, "IP:PORT")->required();
    command->add_option("--fault", faults, "fault to start with, NAME=VALUE")->allow_extra_args(false);
    return command;
}

/// Options of the engine that need conversion.
struct EngineTimes {
    std::uint64_t token { 1000 };
    std::uint64_t prefill { 0 };
    std::uint64_t swapMs { 0 };
    std::string weightStore;
};

void addEngineOptions(CLI::App& command, topaztack::standin::EngineOptions& engine, EngineTimes& times)
{
    command.add_option("--token-time-us", times.token, "time to generate a token alone, in microseconds");
    command.add_option(
        "--prefill-time-us", times.prefill, "time to take in a block that isn't cached, in microseconds");
    command.add_option("--swap-time-ms", times.swapMs, "time to load weights, beside their fetch, in milliseconds");
    command.add_option("--slots", engine.slots, "generations at once")->check(CLI::PositiveNumber);
    command.add_option("--cache-blocks", engine.cacheBlocks, "blocks that the prefix cache holds");
    command.add_option("--weight-version", engine.version, "weight version loaded at start");
    command.add_option("--weights", times.weightStore, "IP:PORT of the weight store; none for no fetch");
    command.add_flag("--ignores-fencing", engine.ignoresFencing, "takes orders whatever their fencing number");
}

} // namespace

int main(int argc, char** argv)
{
    using namespace topaztack::standin;
    CLI::App app(help);
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    app.require_subcommand(1);
    std::string address;
    std::vector<std::string> faults;
    EngineOptions engine;
    EngineTimes times;

    auto* platformCommand = addStandin(app, "platform", "table service, object store and VM list", address, faults);
    auto* serviceCommand = addStandin(app, "service", "plain service that counts its runs", address, faults);
    auto* weightsCommand = addStandin(app, "weights", "rate-limited weight store", address, faults);
    auto* engineCommand = addStandin(app, "engine", "model engine", address, faults);
    addEngineOptions(*engineCommand, engine, times);
    CLI11_PARSE(app, argc, argv);

    const StandinOptions options { address, parseFaultOptions(faults) };
    if (platformCommand->parsed())
        return runPlatform(options);
    if (serviceCommand->parsed())
        return runService(options);
    if (weightsCommand->parsed())
        return runWeights(options);
    engine.address = address;
    engine.faults = options.faults;
    engine.tokenTime = std::chrono::microseconds(times.token);
    engine.prefillTime = std::chrono::microseconds(times.prefill);
    engine.swapTime = std::chrono::milliseconds(times.swapMs);
    if (!times.weightStore.empty()) {
        const auto endpoint = topaztack::parseEndpoint(times.weightStore);
        if (!endpoint) {
            std::cerr << "--weights: `" << times.weightStore << "` is not IP:PORT\n";
            return 2;
        }
        engine.weightStore = *endpoint;
    }
    return runEngine(engine);
}
