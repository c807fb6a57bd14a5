#include <topaztack/wire/http_server.hpp>

#include <topaztack/base/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <mutex>
#include <set>

namespace topaztack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

    class Connection;

} // namespace

struct HttpServer::State {
    IoThreads& threads;
    Endpoint endpoint;
    std::function<HttpServerLimits()> limits;
    HttpHandler handler;
    Counter& requests;
    Counter& refusedInput;
    Gauge& connections;
    tcp::acceptor acceptor;
    std::atomic<bool> isStopping { false };
    std::atomic<std::size_t> inFlight { 0 };
    std::mutex lock;
    std::set<Connection*> open;
};

namespace {

    std::string_view toView(beast::string_view text) { return { text.data(), text.size() }; }

    ErrorKind kindOfParseProblem(const boost::system::error_code& problem)
    {
        if (problem == http::error::body_limit || problem == http::error::header_limit)
            return ErrorKind::RequestTooLarge;
        if (problem == beast::error::timeout)
            return ErrorKind::SlowCaller;
        return ErrorKind::BadRequest;
    }

    class Connection final : public HttpExchange, public std::enable_shared_from_this<Connection> {
    public:
        Connection(std::shared_ptr<HttpServer::State> server, asio::io_context& loop, tcp::socket socket);
        ~Connection() override;

        asio::awaitable<void> serve();
        void closeIfIdle();
        asio::io_context& context() const { return this->loop; }

        const HttpRequest& request() const override { return this->current; }
        const Endpoint& caller() const override { return this->callerEndpoint; }
        asio::awaitable<bool> respond(HttpResponse response) override;
        asio::awaitable<bool> beginStream(HttpResponse head) override;
        asio::awaitable<bool> writeChunk(std::string_view data) override;
        asio::awaitable<bool> endStream() override;
        void onCallerGone(std::function<void()> notify) override { this->notifyGone = std::move(notify); }
        bool isCallerGone() const override { return this->callerGone; }

    private:
        asio::awaitable<bool> readRequest();
        asio::awaitable<void> refuse(const boost::system::error_code& problem);
        http::response<http::string_body> makeHead(HttpResponse& response) const;
        void watchCaller();
        void startWriteTimer() { this->stream.expires_after(this->limits.idle); }
        bool settle(const boost::system::error_code& problem);

        std::shared_ptr<HttpServer::State> server;
        asio::io_context& loop;
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        HttpServerLimits limits;
        HttpRequest current;
        Endpoint callerEndpoint;
        std::function<void()> notifyGone;
        bool callerGone { false };
        bool keepAlive { true };
        bool isBusy { false };
        bool isAnswered { false };
        bool isWatching { false };
    };

    Connection::Connection(std::shared_ptr<HttpServer::State> server, asio::io_context& loop, tcp::socket socket)
        : server(std::move(server))
        , loop(loop)
        , stream(std::move(socket))
        , limits(this->server->limits())
    {
        boost::system::error_code problem;
        const auto remote = this->stream.socket().remote_endpoint(problem);
        if (!problem)
            this->callerEndpoint = { remote.address().to_string(), remote.port() };
        this->stream.socket().set_option(tcp::no_delay(true), problem);
        this->server->connections.add(1);
        const std::lock_guard guard(this->server->lock);
        this->server->open.insert(this);
    }

    Connection::~Connection()
    {
        this->server->connections.add(-1);
        const std::lock_guard guard(this->server->lock);
        this->server->open.erase(this);
    }

    void Connection::closeIfIdle()
    {
        if (!this->isBusy)
            this->stream.cancel();
    }

    asio::awaitable<void> Connection::serve()
    {
        const auto self = this->shared_from_this();
        while (this->keepAlive && !this->callerGone) {
            if (!co_await this->readRequest())
                break;
            this->server->requests.add();
            this->server->inFlight.fetch_add(1, std::memory_order_relaxed);
            this->isBusy = true;
            this->isAnswered = false;
            this->watchCaller();
            co_await this->server->handler(*this);
            this->notifyGone = nullptr;
            this->isBusy = false;
            this->server->inFlight.fetch_sub(1, std::memory_order_relaxed);
            if (!this->isAnswered || this->server->isStopping.load(std::memory_order_relaxed))
                break;
        }
        boost::system::error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        this->stream.close();
    }

    asio::awaitable<bool> Connection::readRequest()
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(this->limits.maxHeader));
        parser.body_limit(this->limits.maxBody);
        this->stream.expires_after(this->limits.idle);
        const auto [problem, size] = co_await http::async_read(this->stream, this->buffer, parser, asTuple);
        if (problem) {
            const bool wasQuietEnd = problem == http::error::end_of_stream || problem == asio::error::operation_aborted
                || (problem == beast::error::timeout && !parser.got_some());
            if (!wasQuietEnd)
                co_await this->refuse(problem);
            co_return false;
        }
        auto message = parser.release();
        this->keepAlive = message.keep_alive();
        this->current.method = toView(message.method_string());
        this->current.target = toView(message.target());
        this->current.headers.clear();
        for (const auto& field : message)
            this->current.headers.push_back(
                { std::string(toView(field.name_string())), std::string(toView(field.value())) });
        this->current.body = std::move(message.body());
        co_return true;
    }

    asio::awaitable<void> Connection::refuse(const boost::system::error_code& problem)
    {
        this->server->refusedInput.add();
        this->keepAlive = false;
        HttpResponse response
            = errorResponse(makeError(kindOfParseProblem(problem), "request not understood: " + problem.message()));
        response.headers.push_back({ "Topaztack-Outcome", "not-run" });
        co_await this->respond(std::move(response));
    }

    /// While a request is in hand its connection is watched: end of input means that the caller is gone.
    void Connection::watchCaller()
    {
        if (this->isWatching || this->buffer.size() > 0)
            return;
        this->isWatching = true;
        const std::weak_ptr<Connection> weak = this->weak_from_this();
        this->stream.socket().async_wait(tcp::socket::wait_read, [weak](const boost::system::error_code& problem) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->isWatching = false;
            if (problem || !self->isBusy)
                return;
            char byte = 0;
            boost::system::error_code peekProblem;
            self->stream.socket().non_blocking(true, peekProblem);
            const auto size
                = self->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekProblem);
            if (peekProblem == asio::error::would_block || (!peekProblem && size > 0))
                return;
            self->callerGone = true;
            if (self->notifyGone)
                self->notifyGone();
        });
    }

    http::response<http::string_body> Connection::makeHead(HttpResponse& response) const
    {
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        for (const auto& header : response.headers)
            message.insert(header.name, header.value);
        message.keep_alive(this->keepAlive && !this->server->isStopping.load(std::memory_order_relaxed));
        return message;
    }

    bool Connection::settle(const boost::system::error_code& problem)
    {
        if (problem)
            this->callerGone = true;
        return !problem;
    }

    asio::awaitable<bool> Connection::respond(HttpResponse response)
    {
        auto message = this->makeHead(response);
        message.body() = std::move(response.body);
        message.prepare_payload();
        if (this->current.method == "HEAD")
            message.body().clear();
        this->startWriteTimer();
        const auto [problem, size] = co_await http::async_write(this->stream, message, asTuple);
        this->isAnswered = !problem;
        co_return this->settle(problem);
    }

    asio::awaitable<bool> Connection::beginStream(HttpResponse head)
    {
        auto whole = this->makeHead(head);
        http::response<http::empty_body> message(whole.base());
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        this->startWriteTimer();
        const auto [problem, size] = co_await http::async_write_header(this->stream, serializer, asTuple);
        co_return this->settle(problem);
    }

    asio::awaitable<bool> Connection::writeChunk(std::string_view data)
    {
        if (data.empty() || this->callerGone)
            co_return !this->callerGone;
        this->startWriteTimer();
        const auto [problem, size] = co_await asio::async_write(
            this->stream, http::make_chunk(asio::buffer(data.data(), data.size())), asTuple);
        co_return this->settle(problem);
    }

    asio::awaitable<bool> Connection::endStream()
    {
        this->startWriteTimer();
        const auto [problem, size] = co_await asio::async_write(this->stream, http::make_chunk_last(), asTuple);
        this->isAnswered = !problem;
        co_return this->settle(problem);
    }

    void startConnection(const std::shared_ptr<HttpServer::State>& state, tcp::socket socket)
    {
        const auto executor = socket.get_executor();
        asio::post(executor, [state, socket = std::move(socket)]() mutable {
            auto& loop = state->threads.at(IoThreads::here());
            const auto connection = std::make_shared<Connection>(state, loop, std::move(socket));
            asio::co_spawn(loop, connection->serve(), [connection](const std::exception_ptr& failure) {
                if (failure)
                    logEvent(LogLevel::Error, "handler-failed");
            });
        });
    }

    asio::awaitable<void> acceptLoop(std::shared_ptr<HttpServer::State> state)
    {
        std::size_t next = 0;
        while (!state->isStopping) {
            auto [problem, socket]
                = co_await state->acceptor.async_accept(state->threads.at(next % state->threads.size()), asTuple);
            if (problem == asio::error::operation_aborted)
                break;
            if (problem)
                continue;
            ++next;
            if (state->connections.value() >= static_cast<std::int64_t>(state->limits().maxConnections))
                continue;
            startConnection(state, std::move(socket));
        }
    }

} // namespace

HttpServer::HttpServer(IoThreads& threads, const Endpoint& endpoint, std::function<HttpServerLimits()> limits,
    HttpHandler handler, MetricsRegistry& metrics, std::string_view portName, TlsContext* /*tls*/)
{
    const std::string labels = "port=\"" + std::string(portName) + "\"";
    this->state = std::shared_ptr<State>(new State {
        threads,
        endpoint,
        std::move(limits),
        std::move(handler),
        metrics.counter("topaztack_http_requests_total", "Requests read", labels),
        metrics.counter(
            "topaztack_http_refused_input_total", "Requests refused as malformed, too large or too slow", labels),
        metrics.gauge("topaztack_http_connections", "Open connections", labels),
        tcp::acceptor(threads.at(0)),
    });
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::start()
{
    boost::system::error_code problem;
    const tcp::endpoint address(
        asio::ip::make_address(this->state->endpoint.address, problem), this->state->endpoint.port);
    auto& acceptor = this->state->acceptor;
    if (!problem)
        acceptor.open(address.protocol(), problem);
    if (!problem)
        acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
    if (!problem)
        acceptor.bind(address, problem);
    if (!problem)
        acceptor.listen(asio::socket_base::max_listen_connections, problem);
    if (problem)
        return makeError(ErrorKind::BadSettings,
            "can't listen at " + toText(this->state->endpoint) + ": " + problem.message(),
            "free the port or change the address in the settings");
    asio::co_spawn(this->state->threads.at(0), acceptLoop(this->state), asio::detached);
    return boost::outcome_v2::success();
}

void HttpServer::stopAccepting()
{
    this->state->isStopping = true;
    const auto state = this->state;
    asio::post(state->threads.at(0), [state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
    for (std::size_t index = 0; index < state->threads.size(); ++index) {
        asio::post(state->threads.at(index), [state, index] {
            const std::lock_guard guard(state->lock);
            for (auto* connection : state->open) {
                if (&connection->context() == &state->threads.at(index))
                    connection->closeIfIdle();
            }
        });
    }
}

std::size_t HttpServer::inFlight() const { return this->state->inFlight.load(std::memory_order_relaxed); }

std::uint16_t HttpServer::port() const
{
    boost::system::error_code ignored;
    return this->state->acceptor.local_endpoint(ignored).port();
}

} // namespace topaztack
