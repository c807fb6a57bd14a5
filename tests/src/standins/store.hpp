#pragma once

#include <topaztack/wire/http_server.hpp>
#include <topaztack/wire/io_threads.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

/// @file
/// The platform's store on loopback, in memory, with faults that a test turns on and off.

namespace topaztack::test {

/// @brief What the store does wrong now.
struct StoreFaults {
    /// Every call is answered 503.
    std::atomic<bool> isDown { false };
    /// Writes take effect and are not answered.
    std::atomic<int> answersToLose { 0 };
    /// Writes take effect and are answered so much later.
    std::atomic<std::chrono::milliseconds> answerDelay { std::chrono::milliseconds(0) };
    /// The history is gone: feeds are answered 410.
    std::atomic<bool> isHistoryLost { false };
    /// Transactions are answered 503, reads are served.
    std::atomic<bool> refusesWrites { false };
    /// Every call at the side endpoint is answered 503.
    std::atomic<bool> turnsSideAway { false };
};

class StoreStandin {
public:
    explicit StoreStandin(IoThreads& threads, std::uint16_t port = 0);

    Endpoint endpoint() const { return { "127.0.0.1", this->server.port() }; }

    /// @brief Where VMs that the store can turn away reach it.
    Endpoint sideEndpoint() const { return { "127.0.0.1", this->sideServer.port() }; }

    /// @brief Writes a row as the operator or a server does.
    void put(const std::string& table, const std::string& part, const std::string& key, const std::string& value);

    /// @brief Writes a row of a table that has the key, whatever the part, as another VM does.
    void replace(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& part, const std::string& key);

    /// @brief The values of a table by key, whatever the part.
    std::map<std::string, std::string> rowsOf(const std::string& table) const;
    std::size_t objects() const;

    /// @brief Keys and values of all rows and objects except the operator's, which hold the configuration.
    std::string contentWrittenByVms() const;
    std::size_t commits() const { return this->commitCount; }

    StoreFaults faults;

private:
    struct Row {
        std::uint64_t version { 0 };
        std::string value;
        bool isRemoved { false };
    };
    /// table, part, key
    using Place = std::tuple<std::string, std::string, std::string>;

    boost::asio::awaitable<void> handle(HttpExchange& exchange);
    boost::asio::awaitable<void> handleSide(HttpExchange& exchange);
    HttpResponse answer(const HttpRequest& request);
    HttpResponse commit(const std::string& body);
    HttpResponse range(const std::string& target) const;
    std::optional<HttpResponse> changes(const std::string& target) const;
    std::string rowsJson(const std::vector<std::pair<Place, Row>>& found) const;

    mutable std::mutex lock;
    std::map<Place, Row> rows;
    std::map<std::string, std::string> objectsByName;
    std::uint64_t version { 0 };
    std::atomic<std::size_t> commitCount { 0 };
    MetricsRegistry metrics;
    HttpServer server;
    HttpServer sideServer;
};

} // namespace topaztack::test
