#pragma once

#include <topaztack/wire/http_server.hpp>
#include <topaztack/wire/io_threads.hpp>

#include <atomic>
#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// @file
/// A backend server on loopback: answers plain requests, streams generations and takes orders.

namespace topaztack::test {

/// @brief How a worker behaves now.
struct WorkerFaults {
    /// Every request is refused as not run.
    std::atomic<bool> isFull { false };
    /// Requests are run and the connection is closed without an answer.
    std::atomic<int> answersToLose { 0 };
    /// Streams send nothing more and stay open.
    std::atomic<bool> isSilent { false };
    /// Every answer announces the worker's departure.
    std::atomic<bool> announcesDeparture { false };
    /// Every answer names this limit of requests per second; negative for none.
    std::atomic<double> requestsPerSecond { -1 };
    /// Streams are closed after this many events; 0 for never.
    std::atomic<int> breakAfter { 0 };
    /// After this many events streams send a comment or a byte each 100 ms, and no event; 0 for never.
    std::atomic<int> dribblesAfter { 0 };
    /// After this many events streams send bytes that complete no event, as fast as they are taken; 0 for never.
    std::atomic<int> floodsAfter { 0 };
    /// The most bytes that were taken of one such stream.
    std::atomic<std::size_t> mostFlooded { 0 };
    /// Events that are sent with bytes that are not UTF-8.
    std::atomic<int> eventsToSpoil { 0 };
    /// Answers to plain requests whose stamp has such bytes.
    std::atomic<int> stampsToSpoil { 0 };
    /// Generations don't end.
    std::atomic<bool> isEndless { false };
    /// Answers carry the id of another request.
    std::atomic<int> foreignAnswers { 0 };
    /// Each generation is answered with this status instead.
    std::atomic<unsigned> generationStatus { 200 };
    /// Each plain request is answered with this status instead.
    std::atomic<unsigned> plainStatus { 200 };
    /// Plain requests are not answered for this long.
    std::atomic<std::chrono::milliseconds> plainTime { std::chrono::milliseconds(0) };
    std::atomic<std::chrono::milliseconds> eventTime { std::chrono::milliseconds(1) };
    /// The answer to generations that are resumed, instead; set before the first request.
    std::optional<HttpResponse> resumedAnswer;
    /// The process ends as soon as it begins to run a request with this body; set before the first request.
    std::string deadlyBody;
    /// A generation that takes 500 ms an event; set before the first request.
    std::string slowItem;
    /// A generation whose events are all sent with bytes that are not UTF-8; set before the first request.
    std::string spoiledItem;
};

/// @brief A request that reached the worker.
struct SeenRequest {
    std::string id;
    std::string target;
    std::string body;
    std::string lastEvent;
    std::chrono::steady_clock::time_point at;
    std::string workspace;
    std::string credential;
};

/// @brief What a worker is like, apart from its faults.
struct WorkerOptions {
    std::uint16_t port { 0 };
    /// Events of a generation.
    int events { 5 };
    std::uint64_t version { 1 };
    std::string softwareVersion { "v1" };
    /// Start of the process in Unix time, which its record and its report state; 0 for none.
    std::chrono::milliseconds startedAt { 0 };
    /// Appended to the data of each event.
    std::string padding {};
    /// Time to load weights.
    std::chrono::milliseconds loadTime { 0 };
    /// Time for a request that is no generation.
    std::chrono::milliseconds workTime { 0 };
    /// File that gets a line for each request begun and each order accepted; empty for none. Answers then name their
    /// request, and each event the weights and the worker that made it.
    std::string runLog;
};

class WorkerStandin {
public:
    explicit WorkerStandin(IoThreads& threads, std::string name, WorkerOptions options = {});

    /// @brief Ends the process: requests that run break off, and connections are refused from then on.
    void crash();

    bool hasCrashed() const { return this->isCrashed; }

    Endpoint endpoint() const { return { "127.0.0.1", this->server.port() }; }

    /// @brief The record by which the worker is listed in the store.
    std::string record(const std::string& pool, const std::string& state = "ready") const;

    std::vector<SeenRequest> seen() const;
    std::uint64_t version() const { return this->weightVersion; }
    std::uint64_t orders() const { return this->orderCount; }

    /// @brief The whole text of a generation of the request with this id.
    std::string textOf(const std::string& id) const;

    const std::string name;
    const std::string model { "m" };
    WorkerFaults faults;

private:
    boost::asio::awaitable<void> handle(HttpExchange& exchange);
    boost::asio::awaitable<void> generate(HttpExchange& exchange);
    boost::asio::awaitable<void> sendNoEvents(HttpExchange& exchange);

    boost::asio::awaitable<HttpResponse> carryOut(const HttpRequest& request);
    HttpResponse answerTo(const HttpRequest& request, unsigned status) const;
    HttpResponse signedAnswer(const HttpRequest& request, unsigned status) const;
    std::string dataOf(const std::string& id, int event) const;
    void logRun(const std::string& line);

    const WorkerOptions options;
    std::ofstream runLog;
    std::atomic<std::uint64_t> weightVersion;
    std::atomic<bool> isLoading { false };
    std::atomic<bool> isCrashed { false };
    std::atomic<std::uint64_t> orderCount { 0 };
    mutable std::mutex lock;
    std::vector<SeenRequest> requests;
    MetricsRegistry metrics;
    HttpServer server;
};

} // namespace topaztack::test
