#include <topaztack/base/log.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/gateway/gateway.hpp>
#include <topaztack/node/node.hpp>

#include <CLI/CLI.hpp>
#include <platform/protocol.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <unistd.h>

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitFailure = 1;
constexpr std::chrono::milliseconds logFlushTimeout { 300 };

/// Blocks the signals that `waitForTermination` waits for, in this thread and all threads that it starts.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

struct LoadedSettings {
    topaztack::VmSettings settings;
    std::string text;
};

/// Reads and parses the settings file; returns nothing and sets `problems` if it can't be read or is invalid.
std::optional<LoadedSettings> loadSettings(const std::string& fileName, std::string& problems)
{
    std::ifstream file(fileName);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        problems = fileName + ":1: can't be read; check the name and its permissions\n";
        return std::nullopt;
    }
    std::vector<topaztack::IniProblem> parseProblems;
    LoadedSettings loaded { topaztack::parseVmSettings(text.str(), fileName, parseProblems), text.str() };
    if (!parseProblems.empty()) {
        problems = topaztack::toText(parseProblems);
        return std::nullopt;
    }
    return loaded;
}

/// Reads the settings file again and logs whether it has changed, or why it is refused. The process keeps its settings:
/// a change takes effect at the next start.
void reportSettingsChange(const std::string& fileName, const std::string& textInUse)
{
    std::string problems;
    const auto loaded = loadSettings(fileName, problems);
    if (!loaded)
        topaztack::logEvent(topaztack::LogLevel::Error, "settings-refused", { { "error", problems } });
    else
        topaztack::logEvent(topaztack::LogLevel::Info, "settings-read",
            { { "changed", loaded->text == textInUse ? "0" : "1" }, { "takes_effect", "at the next start" } });
}

/// Waits for SIGTERM or SIGINT; on SIGHUP checks the settings file.
void waitForTermination(const sigset_t& signals, const std::string& fileName, const std::string& textInUse)
{
    int received = 0;
    while (sigwait(&signals, &received) == 0 && received == SIGHUP)
        reportSettingsChange(fileName, textInUse);
}

int logStartFailure(const topaztack::Error& error)
{
    topaztack::logEvent(topaztack::LogLevel::Error, "start-failed", { { "error", topaztack::toText(error) } });
    return exitFailure;
}

int run(const std::string& settingsFile, const sigset_t& signals)
{
    std::string problems;
    auto loaded = loadSettings(settingsFile, problems);
    if (!loaded) {
        std::cerr << problems;
        return exitBadSettings;
    }
    auto& settings = loaded->settings;
    const topaztack::VmIdentity identity { settings.name, topaztack::Incarnation(topaztack::systemSeed()) };
    topaztack::openLog(identity.name.value(), identity.incarnation, settings.logLevel);
    if (settings.isGateway) {
        topaztack::Gateway gateway(std::move(settings), identity, topaztack::platform::protocol());
        const auto started = gateway.start();
        if (!started)
            return logStartFailure(started.error());
        waitForTermination(signals, settingsFile, loaded->text);
        gateway.shutDown();
        return 0;
    }
    topaztack::Node node(std::move(settings), identity);
    node.onDrainRequested([] { ::kill(::getpid(), SIGTERM); });
    const auto started = node.start();
    if (!started)
        return logStartFailure(started.error());
    waitForTermination(signals, settingsFile, loaded->text);
    node.shutDown();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // Blocked before anything else: a signal that arrives during start-up stays pending until `waitForTermination`.
    const auto signals = blockSignals();
    CLI::App app("topaztackd: the process of one VM of a rollout service.\n\nExample:\n  topaztackd --settings "
                 "/etc/topaztack/vm.ini");
    std::string settingsFile;
    app.add_option("--settings", settingsFile, "INI file with the settings of this VM (docs/SETTINGS.md)")->required();
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    CLI11_PARSE(app, argc, argv);
    const int code = run(settingsFile, signals);
    topaztack::closeLog(logFlushTimeout);
    // Static destructors are skipped: a log thread that is blocked by a slow reader must not delay the exit.
    std::_Exit(code);
}
