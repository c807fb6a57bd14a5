#pragma once

#include <topaztack/base/metrics.hpp>
#include <topaztack/wire/http.hpp>
#include <topaztack/wire/io_threads.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

/// @file
/// HTTP/1.1 towards callers and operators: bounded input, streamed answers, one coroutine a connection.

namespace topaztack {

/// @brief One request and the way to answer it. Lives until the handler returns; used on one thread.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// @brief The caller's address and port.
    virtual const Endpoint& caller() const = 0;

    /// @brief Sends a whole answer.
    /// @return false if the caller was gone before all of it was written.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;

    /// @brief Sends the head of an answer whose body follows in chunks.
    virtual boost::asio::awaitable<bool> beginStream(HttpResponse head) = 0;

    /// @brief Sends a piece of the body and waits until the connection took it: flow control towards the caller.
    virtual boost::asio::awaitable<bool> writeChunk(std::string_view data) = 0;

    /// @brief Ends a streamed body.
    virtual boost::asio::awaitable<bool> endStream() = 0;

    /// @brief Sets what is called, on the exchange's thread, if the caller closes its connection before the answer
    /// is complete. The function is dropped when the answer is complete.
    virtual void onCallerGone(std::function<void()> notify) = 0;

    virtual bool isCallerGone() const = 0;

    /// @brief Sets what the handler holds for the request besides its message; returned when the request is answered.
    /// @param size in bytes.
    /// @return false if the memory of the server's connections has no room for it; nothing has changed then.
    virtual bool reserve(std::size_t size) = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

struct HttpServerLimits {
    std::size_t maxHeader { 16 * 1024 };
    std::size_t maxBody { 1024 * 1024 };
    /// A connection beyond these takes the place of one that is stalled or idle, and is closed if there is none.
    std::size_t maxConnections { 10000 };
    /// Bytes that all connections hold for requests and answers (ConnectionBudget).
    std::size_t maxHeld { 256UL * 1024 * 1024 };
    /// Bytes of the process; while its other parts need more, connections may hold less. 0 for no such limit.
    std::size_t processMemory { 0 };
    /// Bytes that the kernel holds of a connection, in each direction; read when the server starts.
    std::size_t socketBuffer { 64UL * 1024 };
    /// Time for a whole request to arrive, and for each piece of an answer to be taken.
    std::chrono::microseconds idle { std::chrono::seconds(30) };
};

class TlsContext;

/// @brief Listens at one address and hands each request to the handler, on the thread that owns its connection.
class HttpServer {
public:
    /// @param limits asked for anew for each connection, so that an accepted document takes effect at once.
    /// @param tls keys to serve with, or nullptr for plain TCP.
    HttpServer(IoThreads& threads, const Endpoint& endpoint, std::function<HttpServerLimits()> limits,
        HttpHandler handler, MetricsRegistry& metrics, std::string_view portName, TlsContext* tls = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// @brief Binds and starts to accept.
    /// @return ErrorKind::BadSettings if the address can't be bound.
    Result<void> start();

    /// @brief Makes each answer from now on say that its connection closes, and closes it then. Connections are still
    /// accepted.
    void announceClose();

    /// @brief Stops accepting. Each answer from now on says that its connection closes, and then closes it; a
    /// connection that brings no request for a while is closed. So no caller's request meets a closed connection.
    void stopAccepting();

    /// @brief Answers each request whose answer has not begun, in place of its handler, whose own answer is dropped
    /// from then on. For the end of a process: what is still in hand then would be cut off.
    void answerPending(const HttpResponse& response);

    /// @brief Closes the listening socket and all connections at once, as the end of the process does.
    void abort();

    /// @brief Requests whose answer isn't complete yet.
    std::size_t inFlight() const;

    /// @brief Whether a connection may still be taken; false some time after stopAccepting().
    bool isAccepting() const;

    /// @brief Connections not closed yet, with or without a request.
    std::size_t openConnections() const;

    /// @brief Bytes that connections hold for requests and answers.
    std::size_t heldBytes() const;

    /// @brief The bound port, of use when the settings say port 0.
    std::uint16_t port() const;

    /// What its connections share; defined in the source file.
    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace topaztack
