#pragma once

#include "faults.hpp"
#include "prefix_cache.hpp"
#include "standin.hpp"

#include <topaztack/wire/http_client.hpp>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

/// @file
/// A model engine: continuous batching, a limited prefix cache, and weight swaps under load.

namespace topaztack::standin {

enum class SwapFault : std::uint8_t {
    None,
    /// The load breaks off half way: the version is unknown until a later order succeeds.
    FailHalf,
    /// The order is said to be done, but the old version stays.
    Lie,
};

struct EngineFaults {
    SwapFault swap { SwapFault::None };
    /// How often `swap` strikes; a chance of 1 for always.
    FaultChance swapChance { .probability = 1 };
    /// Streams broken after `breakAfter` tokens.
    FaultChance breakStream;
    std::uint64_t breakAfter { 0 };
    double slowFactor { 1 };
    bool isLeaving { false };
    double eventGap { 0.05 };
    std::chrono::milliseconds eventLag { 200 };
    std::chrono::milliseconds loadLag { 200 };
    Random random { 1 };
};

enum class SwapMode : std::uint8_t {
    /// Running generations end first.
    Finish,
    /// Running generations end with `interrupted`.
    Interrupt,
    /// The version changes between two tokens.
    InPlace,
};

/// @brief One generation, queued or running.
struct Job {
    explicit Job(boost::asio::io_context& loop)
        : wake(loop)
    {
    }

    std::string id;
    std::string prompt;
    std::uint64_t maxTokens { 0 };
    std::vector<std::uint64_t> tokens;
    bool hasImportedCache { false };
    bool isRunning { false };
    bool isCancelled { false };
    bool isInterrupted { false };
    /// Cancelled to wake the job's coroutine before its time.
    boost::asio::steady_timer wake;
};

using JobPtr = std::shared_ptr<Job>;

struct WeightOrder {
    std::uint64_t version { 0 };
    SwapMode mode { SwapMode::Finish };
};

class Engine {
public:
    Engine(IoThreads& threads, EngineOptions options);

    Result<void> setFaults(const boost::json::value& request);
    void addRoutes(HttpRouter& routes);

private:
    struct LoadReport {
        TimePoint taken;
        boost::json::object body;
    };

    // Generations (engine.cpp)
    boost::asio::awaitable<void> complete(HttpExchange& exchange);
    boost::asio::awaitable<void> run(HttpExchange& exchange, JobPtr job);
    boost::asio::awaitable<void> sleepUnlessWoken(JobPtr job, std::chrono::microseconds time);
    JobPtr parseJob(const HttpRequest& request);
    std::chrono::microseconds prefillTime(const Job& job);
    std::chrono::microseconds tokenTime() const;
    void admit();
    void release(const JobPtr& job);
    void cancel(const JobPtr& job);

    // Orders and reports (engine_orders.cpp)
    boost::asio::awaitable<void> takeOrder(HttpExchange& exchange);
    boost::asio::awaitable<void> loadWeights(HttpExchange& exchange, WeightOrder order);
    boost::asio::awaitable<bool> fetchWeights(std::uint64_t version);
    boost::asio::awaitable<void> waitUntilEmpty();
    HttpResponse cancelById(const HttpRequest& request);
    HttpResponse exportCache(const HttpRequest& request);
    HttpResponse importCache(const HttpRequest& request);
    HttpResponse load();
    HttpResponse events(const HttpRequest& request) const;
    boost::json::object loadNow() const;

    IoThreads& threads;
    EngineOptions options;
    EngineFaults faults;
    HttpClient weights;
    PrefixCache cache;
    /// Absent after a swap that failed half way.
    std::optional<std::uint64_t> version;
    std::uint64_t newestFencing { 0 };
    std::string role { "rollout" };
    bool isSwapping { false };
    /// No generation is admitted while a swap waits for the running ones to end.
    bool isAdmitting { true };
    std::size_t running { 0 };
    std::deque<JobPtr> waiting;
    std::map<std::string, JobPtr, std::less<>> jobs;
    std::set<std::string, std::less<>> importedCaches;
    std::uint64_t importCounter { 0 };
    LoadReport report;
};

} // namespace topaztack::standin
