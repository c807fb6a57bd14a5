#pragma once

#include <topaztack/base/metrics.hpp>
#include <topaztack/wire/http_router.hpp>

#include <boost/json/value.hpp>

#include <functional>
#include <string>

/// @file
/// What the stand-ins share: a server on one thread, JSON answers, fault switches.

namespace topaztack::standin {

/// @brief Serves the routes at an address until SIGTERM or SIGINT.
/// @return the process's exit code.
int serve(const std::string& name, const std::string& address, IoThreads& threads, const HttpRouter& routes);

/// @brief Answers with a JSON value.
boost::asio::awaitable<void> answer(HttpExchange& exchange, unsigned status, boost::json::value body);

/// @brief Closes the connection without an answer, by returning from the handler unanswered.
inline boost::asio::awaitable<void> dropConnection() { co_return; }

/// @brief Waits on the calling thread's event loop.
boost::asio::awaitable<void> pause(IoThreads& threads, std::chrono::microseconds time);

int runPlatform(const std::string& address);
int runService(const std::string& address);

struct EngineOptions {
    std::string address;
    std::uint64_t slots { 8 };
    std::chrono::microseconds tokenTime { 0 };
    std::uint64_t version { 1 };
};

int runEngine(const EngineOptions& options);

} // namespace topaztack::standin
