#pragma once

#include <topaztack/base/metrics.hpp>
#include <topaztack/wire/http_router.hpp>

#include <boost/json/object.hpp>
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

/// @brief Hands the request's JSON to `change`; answers 200, or 400 with what is wrong.
boost::asio::awaitable<void> answerChange(
    HttpExchange& exchange, std::function<Result<void>(const boost::json::value&)> change);

/// @brief Whether a start option was taken; if not, says on standard error what is wrong with it.
bool accepted(const Result<void>& result);

struct StandinOptions {
    std::string address;
    /// Faults set from the start.
    boost::json::object faults;
};

int runPlatform(const StandinOptions& options);
int runService(const StandinOptions& options);

int runWeights(const StandinOptions& options);

struct EngineOptions {
    std::string address;
    boost::json::object faults;
    std::uint64_t slots { 8 };
    std::chrono::microseconds tokenTime { 0 };
    /// Time to take in one block of a prompt that isn't cached.
    std::chrono::microseconds prefillTime { 0 };
    std::chrono::microseconds swapTime { 0 };
    std::uint64_t cacheBlocks { 4096 };
    std::uint64_t version { 1 };
    /// Takes orders whatever their fencing number.
    bool ignoresFencing { false };
    /// Weights are fetched there; port 0 for none.
    Endpoint weightStore;
};

int runEngine(const EngineOptions& options);

} // namespace topaztack::standin
