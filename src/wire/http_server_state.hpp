#pragma once

#include "listener.hpp"

#include <topaztack/wire/connection_budget.hpp>
#include <topaztack/wire/http_server.hpp>

#include <atomic>
#include <mutex>
#include <set>

/// @file
/// What the connections of one HttpServer share.

namespace topaztack {

class HttpConnection;

struct HttpServer::State {
    IoThreads& threads;
    TlsContext* tls;
    std::function<HttpServerLimits()> limits;
    HttpHandler handler;
    Counter& requests;
    Counter& refusedInput;
    Counter& refusedForMemory;
    Counter& evicted;
    Gauge& connections;
    Gauge& heldBytes;
    std::shared_ptr<Listener> listener;
    std::atomic<bool> isStopping { false };
    std::atomic<std::size_t> inFlight { 0 };
    std::mutex lock;
    /// Of every thread; each closes its own.
    std::set<HttpConnection*> open;
    ConnectionBudget budget {};
    /// When the process's memory was measured last.
    TimePoint measuredAt {};
    /// What was refused or closed for want of memory or connections since the last log line about it, and its time.
    std::size_t unlogged { 0 };
    TimePoint loggedAt {};
    std::string portName {};
};

/// @brief Logs that requests are refused or connections closed for want of room, at most once a second.
/// @param count of them.
void logPressure(HttpServer::State& server, std::size_t count);

/// @brief Serves a connection on the calling thread, or closes it if there are too many.
void startHttpConnection(const std::shared_ptr<HttpServer::State>& server, boost::asio::ip::tcp::socket socket);

/// @brief Answers the requests of all connections whose answer has not begun, each on its own thread.
void answerPendingRequests(const std::shared_ptr<HttpServer::State>& server, const HttpResponse& response);

/// @brief Closes all connections, each on its own thread, whatever they are doing.
void abortHttpConnections(const std::shared_ptr<HttpServer::State>& server);

/// @brief Closes the calling thread's connections that have waited for a request for a while, until none is left.
boost::asio::awaitable<void> closeIdleHttpConnections(std::shared_ptr<HttpServer::State> server);

} // namespace topaztack
