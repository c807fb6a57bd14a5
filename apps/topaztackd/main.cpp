#include <topaztack/base/log.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/node/node.hpp>

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitFailed = 1;

/// Blocks the signals that end the process, so that `waitForSignal` takes them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void waitForSignal(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

int run(const std::string& settingsFile)
{
    std::ifstream file(settingsFile);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << settingsFile << ":1: can't be read; check the name and its permissions\n";
        return exitBadSettings;
    }
    std::vector<topaztack::IniProblem> problems;
    auto settings = topaztack::parseVmSettings(text.str(), settingsFile, problems);
    if (!problems.empty()) {
        std::cerr << topaztack::toText(problems);
        return exitBadSettings;
    }
    const topaztack::VmIdentity identity { settings.name, topaztack::Incarnation(topaztack::systemSeed()) };
    topaztack::openLog(identity.name.value(), identity.incarnation);
    const auto signals = blockSignals();
    topaztack::Node node(std::move(settings), identity);
    node.onDrainRequested([] { ::kill(::getpid(), SIGTERM); });
    const auto started = node.start();
    if (!started) {
        topaztack::logEvent(
            topaztack::LogLevel::Error, "not-started", { { "error", topaztack::toText(started.error()) } });
        return exitFailed;
    }
    waitForSignal(signals);
    node.shutDown();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app(
        "topaztackd: one entry VM of a rollout service.\n\nExample:\n  topaztackd --settings /etc/topaztack/vm.ini");
    std::string settingsFile;
    app.add_option("--settings", settingsFile, "INI file with this VM's settings (docs/SETTINGS.md)")->required();
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    CLI11_PARSE(app, argc, argv);
    return run(settingsFile);
}
