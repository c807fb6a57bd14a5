#include "standin.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/base/random.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>

namespace topaztack::standin {

namespace asio = boost::asio;

int serve(const std::string& name, const std::string& address, IoThreads& threads, const HttpRouter& routes)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        std::cerr << "--listen: `" << address << "` is not IP:PORT; give an IP number and a port\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    openLog(name, Incarnation(systemSeed()));
    MetricsRegistry metrics;
    HttpServer server(
        threads, *endpoint, [] { return HttpServerLimits { .maxBody = 64 * 1024 * 1024 }; },
        [&routes](HttpExchange& exchange) { return routes.handle(exchange); }, metrics, name);
    const auto started = server.start();
    if (!started) {
        std::cerr << toText(started.error()) << "\n";
        return 1;
    }
    threads.start();
    logEvent(LogLevel::Info, "serving", { { "address", address } });
    int received = 0;
    sigwait(&signals, &received);
    threads.stop();
    return 0;
}

asio::awaitable<void> answer(HttpExchange& exchange, unsigned status, boost::json::value body)
{
    co_await exchange.respond(jsonResponse(status, boost::json::serialize(body)));
}

asio::awaitable<void> answerChange(
    HttpExchange& exchange, std::function<Result<void>(const boost::json::value&)> change)
{
    boost::system::error_code problem;
    const auto request = boost::json::parse(exchange.request().body, problem);
    if (problem) {
        co_await exchange.respond(
            errorResponse(makeError(ErrorKind::BadRequest, "body is no JSON: " + problem.message())));
        co_return;
    }
    const auto changed = change(request);
    if (changed)
        co_await exchange.respond(jsonResponse(200, "{}"));
    else
        co_await exchange.respond(errorResponse(changed.error()));
}

bool accepted(const Result<void>& result)
{
    if (!result)
        std::cerr << toText(result.error()) << "\n";
    return result.has_value();
}

asio::awaitable<void> pause(IoThreads& threads, std::chrono::microseconds time)
{
    asio::steady_timer timer(threads.at(IoThreads::here()), time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace topaztack::standin
