#include "faults.hpp"
#include "standin.hpp"

#include <CLI/CLI.hpp>

namespace {

constexpr auto help
    = "topaztack-standin: small stand-ins for what topaztack talks to.\n\n"
      "Faults are set at start (--fault NAME=VALUE) and at run time (POST /standin/faults with a JSON object):\n"
      "  platform: outage none|drop|refuse, delay_ms, lose_next_answers, lose_answer_probability, seed,\n"
      "            reads_per_second, writes_per_second\n"
      "  service:  fault none|not-run|{drop,die}-{before,during,after,answering}, next, probability, seed,\n"
      "            delay_ms, leaving\n\n"
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
    std::uint64_t tokenTime = 1000;

    auto* platformCommand = addStandin(app, "platform", "table service, object store and VM list", address, faults);
    auto* serviceCommand = addStandin(app, "service", "plain service that counts its runs", address, faults);
    auto* engineCommand = app.add_subcommand("engine", "model engine");
    engineCommand->add_option("--listen", engine.address, "IP:PORT")->required();
    engineCommand->add_option("--token-time-us", tokenTime, "time to generate a token, in microseconds");
    engineCommand->add_option("--weight-version", engine.version, "weight version loaded at start");
    CLI11_PARSE(app, argc, argv);

    const StandinOptions options { address, parseFaultOptions(faults) };
    if (platformCommand->parsed())
        return runPlatform(options);
    if (serviceCommand->parsed())
        return runService(options);
    engine.tokenTime = std::chrono::microseconds(tokenTime);
    return runEngine(engine);
}
