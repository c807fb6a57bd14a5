#include "console.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/base/random.hpp>

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

constexpr int exitFailure = 1;
constexpr int exitBadInput = 2;
constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;

int serve(const topaztack::Endpoint& listen, std::vector<topaztack::Endpoint> nodes)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    topaztack::openLog("console", topaztack::Incarnation(topaztack::systemSeed()));
    topaztack::IoThreads threads(1);
    topaztack::MetricsRegistry metrics;
    topaztack::console::Console console(threads.at(0), std::move(nodes));
    topaztack::HttpRouter routes;
    console.addRoutes(routes);
    topaztack::HttpServer server(
        threads, listen, [] { return topaztack::HttpServerLimits { .maxBody = maxBodyBytes }; },
        [&routes](topaztack::HttpExchange& exchange) { return routes.handle(exchange); }, metrics, "console");
    const auto started = server.start();
    if (!started) {
        std::cerr << topaztack::toText(started.error()) << "\n";
        return exitFailure;
    }
    threads.start();
    topaztack::logEvent(topaztack::LogLevel::Info, "serving", { { "address", topaztack::toText(listen) } });
    int received = 0;
    sigwait(&signals, &received);
    threads.stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app(
        "topaztack-console: web forms for operators. It is stateless, so any number of instances may run.\n\n"
        "Example:\n  topaztack-console --listen 127.0.0.1:17501 --node 127.0.0.1:17201 --node 127.0.0.1:17202");
    std::string listen;
    std::vector<std::string> nodes;
    app.add_option("--listen", listen, "IP:PORT to listen on for browsers")->required();
    app.add_option("--node", nodes, "IP:PORT of a VM's operators' port; the first that can be reached is used")
        ->required();
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    CLI11_PARSE(app, argc, argv);
    const auto address = topaztack::parseEndpoint(listen);
    std::vector<topaztack::Endpoint> endpoints;
    for (const auto& node : nodes) {
        if (const auto endpoint = topaztack::parseEndpoint(node))
            endpoints.push_back(*endpoint);
    }
    if (!address || endpoints.size() != nodes.size()) {
        std::cerr << "--listen and --node must be IP:PORT\n";
        return exitBadInput;
    }
    return serve(*address, std::move(endpoints));
}
