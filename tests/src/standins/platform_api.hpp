#pragma once

#include <topaztack/wire/http_server.hpp>
#include <topaztack/wire/io_threads.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The platform's calls for duties on loopback: it accepts reports of use and orders for servers, and records what must
/// never occur.

namespace topaztack::test {

/// @brief What the platform does wrong now.
struct PlatformApiFaults {
    /// Every call is answered 503 and has no effect.
    std::atomic<bool> isDown { false };
    /// Every call is answered 429 and has no effect.
    std::atomic<bool> isLimited { false };
    /// Orders for servers are answered 409 and have no effect.
    std::atomic<bool> hasNoServers { false };
    /// Calls take effect and their connections are closed without an answer.
    std::atomic<int> answersToLose { 0 };
    /// Calls take effect and are answered so much later.
    std::atomic<std::chrono::milliseconds> answerDelay { std::chrono::milliseconds(0) };
};

/// @brief A call that took effect.
struct DutyCall {
    std::string path;
    std::string body;
    std::string holder;
    std::uint64_t fencingNumber { 0 };
    TimePoint at;
};

class PlatformApiStandin {
public:
    /// @param silence minimum time in which calls may not come from A, B and A again.
    PlatformApiStandin(IoThreads& threads, std::chrono::milliseconds silence);

    Endpoint endpoint() const { return { "127.0.0.1", this->server.port() }; }

    std::vector<DutyCall> calls() const;

    /// @brief Calls that arrived, including those without effect.
    std::size_t attempts() const { return this->attemptCount; }

    /// @brief The counts that were reported for a window; empty if there is no report.
    std::optional<std::map<std::string, std::uint64_t>> report(std::uint64_t window) const;
    std::size_t reports() const;

    /// @brief Each rule that was broken, with the values.
    std::vector<std::string> violations() const;

    PlatformApiFaults faults;

private:
    boost::asio::awaitable<void> handle(HttpExchange& exchange);
    void take(const HttpRequest& request);
    void checkHolder(const std::string& subject, const DutyCall& call);

    /// Calls about one subject, the oldest first.
    struct Subject {
        std::vector<DutyCall> calls;
    };

    const std::chrono::milliseconds silence;
    mutable std::mutex lock;
    std::vector<DutyCall> taken;
    std::map<std::string, Subject> subjects;
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>> countsByWindow;
    std::vector<std::string> broken;
    std::atomic<std::size_t> attemptCount { 0 };
    MetricsRegistry metrics;
    HttpServer server;
};

} // namespace topaztack::test
