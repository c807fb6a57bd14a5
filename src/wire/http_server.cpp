#include "http_server_state.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace topaztack {

namespace asio = boost::asio;
using asio::ip::tcp;

HttpServer::HttpServer(IoThreads& threads, const Endpoint& endpoint, std::function<HttpServerLimits()> limits,
    HttpHandler handler, MetricsRegistry& metrics, std::string_view portName, TlsContext* tls)
{
    const std::string labels = "port=\"" + std::string(portName) + "\"";
    this->state = std::shared_ptr<State>(new State {
        threads,
        tls,
        std::move(limits),
        std::move(handler),
        metrics.counter("topaztack_http_requests_total", "Requests read", labels),
        metrics.counter(
            "topaztack_http_refused_input_total", "Requests refused as malformed, too large or too slow", labels),
        metrics.counter("topaztack_http_refused_for_memory_total",
            "Requests, answers and input sent ahead that the connections' memory had no room for", labels),
        metrics.counter(
            "topaztack_http_evicted_total", "Connections closed so that others find memory or a connection", labels),
        metrics.gauge("topaztack_http_connections", "Open connections", labels),
        metrics.gauge("topaztack_http_held_bytes", "Memory that connections hold for requests and answers", labels),
    });
    this->state->portName = portName;
    const std::weak_ptr<State> weak = this->state;
    this->state->listener = std::make_shared<Listener>(threads, endpoint, [weak](tcp::socket socket) {
        const auto server = weak.lock();
        if (server)
            startHttpConnection(server, std::move(socket));
    });
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::start() { return this->state->listener->start(this->state->limits().socketBuffer); }

void HttpServer::announceClose() { this->state->isStopping = true; }

void HttpServer::stopAccepting()
{
    this->announceClose();
    this->state->listener->stop();
    const auto state = this->state;
    for (std::size_t index = 0; index < state->threads.size(); ++index) {
        asio::co_spawn(state->threads.at(index), closeIdleHttpConnections(state), asio::detached);
    }
}

void HttpServer::answerPending(const HttpResponse& response) { answerPendingRequests(this->state, response); }

void HttpServer::abort()
{
    this->state->listener->abort();
    abortHttpConnections(this->state);
}

std::size_t HttpServer::inFlight() const { return this->state->inFlight.load(std::memory_order_relaxed); }

bool HttpServer::isAccepting() const { return this->state->listener->isAccepting(); }

std::size_t HttpServer::openConnections() const { return static_cast<std::size_t>(this->state->connections.value()); }

std::size_t HttpServer::heldBytes() const { return static_cast<std::size_t>(this->state->heldBytes.value()); }

std::uint16_t HttpServer::port() const { return this->state->listener->port(); }

} // namespace topaztack
