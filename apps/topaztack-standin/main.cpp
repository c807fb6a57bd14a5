#include "standin.hpp"

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app("topaztack-standin: small stand-ins for what topaztack talks to.\n\nExamples:\n"
                 "  topaztack-standin platform --listen 127.0.0.1:17001\n"
                 "  topaztack-standin engine --listen 127.0.0.1:17301 --token-time-us 2000\n"
                 "  topaztack-standin service --listen 127.0.0.1:17401");
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    app.require_subcommand(1);
    std::string address;
    topaztack::standin::EngineOptions engine;
    std::uint64_t tokenTime = 1000;

    auto* platformCommand = app.add_subcommand("platform", "table service, object store and VM list");
    platformCommand->add_option("--listen", address, "IP:PORT")->required();
    auto* serviceCommand = app.add_subcommand("service", "plain service that counts its runs");
    serviceCommand->add_option("--listen", address, "IP:PORT")->required();
    auto* engineCommand = app.add_subcommand("engine", "model engine");
    engineCommand->add_option("--listen", engine.address, "IP:PORT")->required();
    engineCommand->add_option("--token-time-us", tokenTime, "time to generate a token, in microseconds");
    engineCommand->add_option("--weight-version", engine.version, "weight version loaded at start");
    CLI11_PARSE(app, argc, argv);

    if (platformCommand->parsed())
        return topaztack::standin::runPlatform(address);
    if (serviceCommand->parsed())
        return topaztack::standin::runService(address);
    engine.tokenTime = std::chrono::microseconds(tokenTime);
    return topaztack::standin::runEngine(engine);
}
