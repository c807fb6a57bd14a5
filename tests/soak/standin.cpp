#include "standins/store.hpp"
#include "standins/worker.hpp"

#include <CLI/CLI.hpp>

#include <csignal>

/// @file
/// The stand-ins of the platform's store and of workers as processes of their own, for the fault soak.

using namespace topaztack;
using namespace topaztack::test;

namespace {

/// Requests per second; the soak's ledger has the same figure.
constexpr double namedLimit = 3;

} // namespace

int main(int count, char** arguments)
{
    CLI::App app("Stand-ins for the fault soak");
    app.require_subcommand(1);
    std::uint16_t port = 0;
    auto* store = app.add_subcommand("store", "The platform's store, in memory");
    store->add_option("--listen", port, "Port of loopback")->required();
    auto* worker = app.add_subcommand("worker", "A worker that logs what it runs");
    WorkerOptions options;
    std::string name;
    std::int64_t eventMs = 20;
    std::int64_t loadMs = 200;
    std::int64_t workMs = 20;
    std::int64_t bornMs = 0;
    worker->add_option("--listen", options.port, "Port of loopback")->required();
    worker->add_option("--name", name, "Its id")->required();
    worker->add_option("--log", options.runLog, "File for a line for each run and order")->required();
    worker->add_option("--events", options.events, "Events of a generation");
    worker->add_option("--version", options.version, "Weights that it has");
    worker->add_option("--event-ms", eventMs, "Time of an event");
    worker->add_option("--load-ms", loadMs, "Time to load weights");
    worker->add_option("--work-ms", workMs, "Time of another request");
    worker->add_option("--born-ms", bornMs, "Start of its process in Unix time, which its report states; 0 for none");
    CLI11_PARSE(app, count, arguments);
    options.loadTime = std::chrono::milliseconds(loadMs);
    options.workTime = std::chrono::milliseconds(workMs);
    options.startedAt = std::chrono::milliseconds(bornMs);

    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    sigaddset(&ends, SIGUSR1);
    sigaddset(&ends, SIGUSR2);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);
    IoThreads threads(1);
    std::unique_ptr<StoreStandin> storeStandin;
    std::unique_ptr<WorkerStandin> workerStandin;
    if (*store)
        storeStandin = std::make_unique<StoreStandin>(threads, port);
    else
        workerStandin = std::make_unique<WorkerStandin>(threads, name, options);
    if (workerStandin)
        workerStandin->faults.eventTime = std::chrono::milliseconds(eventMs);
    threads.start();
    int number = 0;
    // SIGUSR1 makes a worker announce its departure from then on, SIGUSR2 name a limit or none by turns.
    while (sigwait(&ends, &number) == 0 && (number == SIGUSR1 || number == SIGUSR2)) {
        if (!workerStandin)
            continue;
        auto& faults = workerStandin->faults;
        if (number == SIGUSR1)
            faults.announcesDeparture = true;
        else
            faults.requestsPerSecond = faults.requestsPerSecond < 0 ? namedLimit : -1;
    }
    threads.stop();
    return 0;
}
