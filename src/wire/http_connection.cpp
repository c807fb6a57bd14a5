#include "http_head.hpp"
#include "http_server_state.hpp"
#include "transport.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/wire/tls.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffer_ref.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace topaztack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

    std::string_view toView(beast::string_view text) { return { text.data(), text.size() }; }

    ErrorKind kindOfParseProblem(const boost::system::error_code& problem)
    {
        const bool isTooLarge = problem == http::error::body_limit || problem == http::error::header_limit
            || problem == http::error::buffer_overflow || problem == asio::error::not_found;
        if (isTooLarge)
            return ErrorKind::RequestTooLarge;
        if (problem == beast::error::timeout)
            return ErrorKind::SlowCaller;
        return ErrorKind::BadRequest;
    }

    using Parser = http::request_parser<http::string_body>;

    /// Room for what arrives beyond a head: a body's first bytes or a chunk's header with its extensions.
    constexpr std::size_t readAhead = 16UL * 1024;
    /// Of a server that is stopping: how long a connection brings no request before it is closed.
    constexpr std::chrono::milliseconds idleBeforeClose { 1000 };
    constexpr std::chrono::milliseconds idleCheckInterval { 50 };

} // namespace

class HttpConnection final : public HttpExchange, public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(std::shared_ptr<HttpServer::State> server, asio::io_context& loop, tcp::socket socket);
    ~HttpConnection() override;

    asio::awaitable<void> serve();
    void closeIfIdle(TimePoint now);
    /// Answers the request in hand, if there is one whose answer has not begun.
    void answerPending(HttpResponse response);
    /// Closes the connection whatever it is doing.
    void abort() { this->stream.tcp().close(); }
    bool belongsTo(const asio::io_context& other) const { return &this->loop == &other; }

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
    asio::awaitable<std::optional<Error>> readHead(Parser& parser);
    asio::awaitable<std::optional<Error>> readBody(Parser& parser);
    asio::awaitable<void> refuse(Error error);
    asio::awaitable<void> handle();
    std::optional<Error> understood(const boost::system::error_code& problem) const;
    void takeHead(Parser& parser);
    http::response<http::string_body> makeHead(HttpResponse& response);
    void watchCaller();
    void startWriteTimer() { this->stream.tcp().expires_after(this->limits.idle); }
    bool settle(const boost::system::error_code& problem);
    bool beginAnswer();
    void countRequest();
    void uncountRequest();

    std::shared_ptr<HttpServer::State> server;
    asio::io_context& loop;
    Transport stream;
    HttpServerLimits limits;
    beast::flat_buffer buffer;
    HttpRequest current;
    Endpoint callerEndpoint;
    std::function<void()> notifyGone;
    bool callerGone { false };
    bool keepAlive { true };
    bool isBusy { false };
    bool isAnswered { false };
    bool hasBegunAnswer { false };
    /// Whether the answer is not the handler's.
    bool isPreempted { false };
    bool isCounted { false };
    bool isWatching { false };
    TimePoint idleSince { Clock::now() };
};

HttpConnection::HttpConnection(std::shared_ptr<HttpServer::State> server, asio::io_context& loop, tcp::socket socket)
    : server(std::move(server))
    , loop(loop)
    , stream(std::move(socket))
    , limits(this->server->limits())
    , buffer(this->limits.maxHeader + readAhead)
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

HttpConnection::~HttpConnection()
{
    this->server->connections.add(-1);
    const std::lock_guard guard(this->server->lock);
    this->server->open.erase(this);
}

void HttpConnection::closeIfIdle(TimePoint now)
{
    boost::system::error_code problem;
    const bool hasInput = this->buffer.size() > 0 || this->stream.socket().available(problem) > 0;
    if (!this->isBusy && !hasInput && now - this->idleSince >= idleBeforeClose)
        this->stream.tcp().cancel();
}

void HttpConnection::countRequest()
{
    this->server->inFlight.fetch_add(1, std::memory_order_relaxed);
    this->isCounted = true;
}

void HttpConnection::uncountRequest()
{
    if (this->isCounted)
        this->server->inFlight.fetch_sub(1, std::memory_order_relaxed);
    this->isCounted = false;
}

void HttpConnection::answerPending(HttpResponse response)
{
    const auto self = this->weak_from_this().lock();
    if (!self || !this->isBusy || this->hasBegunAnswer)
        return;
    this->isPreempted = true;
    asio::co_spawn(
        this->loop,
        [self, response = std::move(response)]() -> asio::awaitable<void> {
            co_await self->respond(response);
            self->uncountRequest();
        },
        asio::detached);
}

asio::awaitable<void> HttpConnection::serve()
{
    const auto self = this->shared_from_this();
    this->stream.tcp().expires_after(this->limits.idle);
    auto keys = serverKeysOf(this->server->tls);
    const auto problem = co_await this->stream.secure(std::move(keys), asio::ssl::stream_base::server);
    while (!problem && this->keepAlive && !this->callerGone) {
        if (!co_await this->readRequest())
            break;
        this->server->requests.add();
        this->countRequest();
        this->isBusy = true;
        this->isAnswered = false;
        this->watchCaller();
        co_await this->handle();
        this->notifyGone = nullptr;
        this->isBusy = false;
        this->uncountRequest();
        this->idleSince = Clock::now();
        if (!this->isAnswered)
            break;
    }
    boost::system::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.tcp().close();
}

/// Runs the handler; one that fails before it began an answer is answered for.
asio::awaitable<void> HttpConnection::handle()
{
    std::string what;
    try {
        co_await this->server->handler(*this);
        co_return;
    } catch (const std::exception& problem) {
        what = problem.what();
    }
    logEvent(LogLevel::Error, "handler-failed", { { "error", what }, { "target", this->current.target } });
    if (this->hasBegunAnswer)
        co_return;
    auto response = errorResponse(makeError(ErrorKind::Internal, "handler failed"));
    response.headers.push_back({ "Topaztack-Outcome", "unknown" });
    co_await this->respond(std::move(response));
}

/// @return false if the connection is of no more use; what was wrong has then been answered.
asio::awaitable<bool> HttpConnection::readRequest()
{
    this->hasBegunAnswer = false;
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(this->limits.maxHeader));
    parser.body_limit(this->limits.maxBody);
    this->stream.tcp().expires_after(this->limits.idle);
    auto wrong = co_await this->readHead(parser);
    if (!wrong && !this->callerGone)
        wrong = co_await this->readBody(parser);
    if (wrong)
        co_await this->refuse(std::move(*wrong));
    co_return !wrong && !this->callerGone;
}

/// Nothing, with callerGone set, if the caller left without beginning a request.
asio::awaitable<std::optional<Error>> HttpConnection::readHead(Parser& parser)
{
    const auto [problem, size]
        = co_await asio::async_read_until(this->stream, beast::ref(this->buffer), HeadEnd {}, asTuple);
    if (problem && this->buffer.size() == 0) {
        this->callerGone = true;
        co_return std::nullopt;
    }
    if (problem)
        co_return this->understood(problem);
    const auto* bytes = static_cast<const char*>(this->buffer.data().data());
    const auto wrong = checkHead({ bytes, size });
    if (wrong)
        co_return makeError(ErrorKind::BadRequest, "request not understood: " + std::string(*wrong));
    const auto [parseProblem, parsed] = co_await http::async_read_header(this->stream, this->buffer, parser, asTuple);
    if (parseProblem)
        co_return this->understood(parseProblem);
    this->takeHead(parser);
    co_return checkFields(this->current.headers, parser.get().version());
}

asio::awaitable<std::optional<Error>> HttpConnection::readBody(Parser& parser)
{
    if (!parser.is_done()) {
        const auto [problem, size] = co_await http::async_read(this->stream, this->buffer, parser, asTuple);
        if (problem)
            co_return this->understood(problem);
    }
    this->current.body = std::move(parser.get().body());
    co_return std::nullopt;
}

/// Fields are taken before the body is read, so that a chunked body's trailer can't add to them.
void HttpConnection::takeHead(Parser& parser)
{
    const auto& message = parser.get();
    this->keepAlive = message.keep_alive();
    this->current.method = toView(message.method_string());
    this->current.target = toView(message.target());
    this->current.headers.clear();
    for (const auto& field : message)
        this->current.headers.push_back(
            { std::string(toView(field.name_string())), std::string(toView(field.value())) });
}

std::optional<Error> HttpConnection::understood(const boost::system::error_code& problem) const
{
    return makeError(kindOfParseProblem(problem), "request not understood: " + problem.message());
}

asio::awaitable<void> HttpConnection::refuse(Error error)
{
    this->server->refusedInput.add();
    this->keepAlive = false;
    auto response = errorResponse(error);
    response.headers.push_back({ "Topaztack-Outcome", "not-run" });
    co_await this->respond(std::move(response));
}

/// While a request is in hand its connection is watched: end of input means that the caller is gone.
void HttpConnection::watchCaller()
{
    if (this->isWatching || this->buffer.size() > 0)
        return;
    this->isWatching = true;
    const std::weak_ptr<HttpConnection> weak = this->weak_from_this();
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
        const auto size = self->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekProblem);
        if (peekProblem == asio::error::would_block || (!peekProblem && size > 0))
            return;
        self->callerGone = true;
        if (self->notifyGone)
            self->notifyGone();
    });
}

/// What the head says of the connection is what is done with it.
http::response<http::string_body> HttpConnection::makeHead(HttpResponse& response)
{
    this->keepAlive = this->keepAlive && !this->server->isStopping.load(std::memory_order_relaxed);
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    for (const auto& header : response.headers)
        message.insert(header.name, header.value);
    message.keep_alive(this->keepAlive);
    return message;
}

bool HttpConnection::settle(const boost::system::error_code& problem)
{
    if (problem)
        this->callerGone = true;
    return !problem;
}

/// @return false if the request has an answer already: the head of another one would become a part of its body.
bool HttpConnection::beginAnswer()
{
    if (this->hasBegunAnswer) {
        if (!this->isPreempted)
            logEvent(LogLevel::Error, "second-answer", { { "target", this->current.target } });
        return false;
    }
    this->hasBegunAnswer = true;
    return true;
}

asio::awaitable<bool> HttpConnection::respond(HttpResponse response)
{
    if (!this->beginAnswer())
        co_return false;
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

asio::awaitable<bool> HttpConnection::beginStream(HttpResponse head)
{
    if (!this->beginAnswer())
        co_return false;
    auto whole = this->makeHead(head);
    http::response<http::empty_body> message(whole.base());
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    this->startWriteTimer();
    const auto [problem, size] = co_await http::async_write_header(this->stream, serializer, asTuple);
    co_return this->settle(problem);
}

asio::awaitable<bool> HttpConnection::writeChunk(std::string_view data)
{
    if (data.empty() || this->callerGone)
        co_return !this->callerGone;
    this->startWriteTimer();
    const auto [problem, size]
        = co_await asio::async_write(this->stream, http::make_chunk(asio::buffer(data.data(), data.size())), asTuple);
    co_return this->settle(problem);
}

asio::awaitable<bool> HttpConnection::endStream()
{
    this->startWriteTimer();
    const auto [problem, size] = co_await asio::async_write(this->stream, http::make_chunk_last(), asTuple);
    this->isAnswered = !problem;
    co_return this->settle(problem);
}

void startHttpConnection(const std::shared_ptr<HttpServer::State>& server, tcp::socket socket)
{
    if (server->connections.value() >= static_cast<std::int64_t>(server->limits().maxConnections))
        return;
    auto& loop = server->threads.at(IoThreads::here());
    const auto connection = std::make_shared<HttpConnection>(server, loop, std::move(socket));
    asio::co_spawn(loop, connection->serve(), [connection](const std::exception_ptr& failure) {
        if (failure)
            logEvent(LogLevel::Error, "connection-failed");
    });
}

namespace {

    void closeIdleOnce(HttpServer::State& server)
    {
        const auto& own = server.threads.at(IoThreads::here());
        const auto now = Clock::now();
        const std::lock_guard guard(server.lock);
        for (auto* connection : server.open) {
            if (connection->belongsTo(own))
                connection->closeIfIdle(now);
        }
    }

} // namespace

void answerPendingRequests(const std::shared_ptr<HttpServer::State>& server, const HttpResponse& response)
{
    for (std::size_t index = 0; index < server->threads.size(); ++index) {
        auto& loop = server->threads.at(index);
        asio::post(loop, [server, response, &loop] {
            const std::lock_guard guard(server->lock);
            for (auto* connection : server->open) {
                if (connection->belongsTo(loop))
                    connection->answerPending(response);
            }
        });
    }
}

void abortHttpConnections(const std::shared_ptr<HttpServer::State>& server)
{
    for (std::size_t index = 0; index < server->threads.size(); ++index) {
        auto& loop = server->threads.at(index);
        asio::post(loop, [server, &loop] {
            const std::lock_guard guard(server->lock);
            for (auto* connection : server->open) {
                if (connection->belongsTo(loop))
                    connection->abort();
            }
        });
    }
}

asio::awaitable<void> closeIdleHttpConnections(std::shared_ptr<HttpServer::State> server)
{
    asio::steady_timer timer(server->threads.at(IoThreads::here()));
    while (true) {
        closeIdleOnce(*server);
        timer.expires_after(idleCheckInterval);
        co_await timer.async_wait(asTuple);
    }
}

} // namespace topaztack
