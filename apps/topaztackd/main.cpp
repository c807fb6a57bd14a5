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
constexpr int exitFailed = 1;
constexpr std::chrono::milliseconds longestLogFlush { 300 };

/// Blocks the signals that are for the process, so that `waitForEnd` takes them.
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

/// Nothing if the file can't be used; `problems` then says why.
std::optional<LoadedSettings> loadSettings(const std::string& fileName, std::string& problems)
{
    std::ifstream file(fileName);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        problems = fileName + ":1: can't be read; check the name and its permissions\n";
        return std::nullopt;
    }
    std::vector<topaztack::IniProblem> found;
    LoadedSettings loaded { topaztack::parseVmSettings(text.str(), fileName, found), text.str() };
    if (!found.empty()) {
        problems = topaztack::toText(found);
        return std::nullopt;
    }
    return loaded;
}

/// Settings are read once; a change is reported, and takes effect at the next start.
void reportSettings(const std::string& fileName, const std::string& inUse)
{
    std::string problems;
    const auto loaded = loadSettings(fileName, problems);
    if (!loaded)
        topaztack::logEvent(topaztack::LogLevel::Error, "settings-refused", { { "error", problems } });
    else
        topaztack::logEvent(topaztack::LogLevel::Info, "settings-read",
            { { "changed", loaded->text == inUse ? "0" : "1" }, { "takes_effect", "at the next start" } });
}

void waitForEnd(const sigset_t& signals, const std::string& fileName, const std::string& inUse)
{
    int received = 0;
    while (sigwait(&signals, &received) == 0 && received == SIGHUP)
        reportSettings(fileName, inUse);
}

int refuse(const topaztack::Error& error)
{
    topaztack::logEvent(topaztack::LogLevel::Error, "not-started", { { "error", topaztack::toText(error) } });
    return exitFailed;
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
            return refuse(started.error());
        waitForEnd(signals, settingsFile, loaded->text);
        gateway.shutDown();
        return 0;
    }
    topaztack::Node node(std::move(settings), identity);
    node.onDrainRequested([] { ::kill(::getpid(), SIGTERM); });
    const auto started = node.start();
    if (!started)
        return refuse(started.error());
    waitForEnd(signals, settingsFile, loaded->text);
    node.shutDown();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // First of all: a signal that comes while the process starts waits until it is asked for.
    const auto signals = blockSignals();
    CLI::App app(
        "topaztackd: one entry VM of a rollout service.\n\nExample:\n  topaztackd --settings /etc/topaztack/vm.ini");
    std::string settingsFile;
    app.add_option("--settings", settingsFile, "INI file with this VM's settings (docs/SETTINGS.md)")->required();
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    CLI11_PARSE(app, argc, argv);
    const int code = run(settingsFile, signals);
    topaztack::closeLog(longestLogFlush);
    // A log thread that is held up by its reader must not hold up the end of the process.
    std::_Exit(code);
}
