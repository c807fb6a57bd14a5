#include "growing_body.hpp"
#include "http_head.hpp"
#include "http_server_state.hpp"
#include "transport.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/base/machine.hpp>
#include <topaztack/wire/tls.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <optional>
#include <utility>

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

    using Parser = http::request_parser<GrowingBody>;

    boost::system::error_code noMemory() { return make_error_code(boost::system::errc::not_enough_memory); }

    /// @return the size of the head that the bytes begin with; 0 if it isn't whole.
    std::size_t headSize(std::string_view bytes)
    {
        const auto [end, isFound] = HeadEnd {}(bytes.begin(), bytes.end());
        return isFound ? static_cast<std::size_t>(end - bytes.begin()) : 0;
    }

    /// Room for what arrives beyond a head: a body's first bytes or a chunk's header with its extensions.
    constexpr std::size_t readAhead = 16UL * 1024;
    /// Room for the first bytes of a request; what an idle connection holds.
    constexpr std::size_t firstRead = 2UL * 1024;
    /// Pieces in which a long body is read.
    constexpr std::size_t bodyPiece = 16UL * 1024;
    /// What a connection holds at all times: its state and that of the coroutine.
    constexpr std::size_t connectionSize = 4UL * 1024;
    /// The parser's copy of a head, and the fields that are taken from it.
    constexpr std::size_t headCopies = 3;
    /// The kernel takes up to twice the size of a receive buffer that it was given.
    constexpr std::size_t kernelOverhead = 2;
    /// An answer up to this size is written even if there is no memory for it.
    constexpr std::size_t smallAnswer = 16UL * 1024;
    /// How long input is discarded after the last answer. A connection that is closed with unread bytes is reset, and
    /// the caller may lose the answer.
    constexpr std::chrono::milliseconds lingerTime { 2000 };
    constexpr std::size_t discardPiece = 4UL * 1024;
    constexpr std::string_view overloadRetryAfter = "1";
    /// The process's memory is measured while connections hold more than this part of what they may.
    constexpr std::size_t measuredPart = 8;
    constexpr std::chrono::milliseconds measureInterval { 20 };
    constexpr std::chrono::milliseconds pressureLogInterval { 1000 };
    /// Of a server that is stopping: how long a connection brings no request before it is closed.
    constexpr std::chrono::milliseconds idleBeforeClose { 1000 };
    constexpr std::chrono::milliseconds idleCheckInterval { 50 };

} // namespace

class HttpConnection final : public HttpExchange, public std::enable_shared_from_this<HttpConnection> {
public:
    /// Names the connection of an entry of the budget.
    struct Use : ConnectionUse {
        explicit Use(HttpConnection& connection)
            : connection(connection)
        {
        }

        HttpConnection& connection;
    };

    HttpConnection(std::shared_ptr<HttpServer::State> server, asio::io_context& loop, tcp::socket socket,
        const HttpServerLimits& limits);
    ~HttpConnection() override;

    asio::awaitable<void> serve();
    void closeIfIdle(TimePoint now);
    /// Answers the request in hand, if there is one whose answer has not begun.
    void answerPending(HttpResponse response);
    /// Closes the connection whatever it is doing.
    void abort() { this->stream.tcp().close(); }
    /// Closes a connection that was chosen for it; called on any thread.
    void closeEvicted();
    bool belongsTo(const asio::io_context& other) const { return &this->loop == &other; }

    const HttpRequest& request() const override { return this->current; }
    const Endpoint& caller() const override { return this->callerEndpoint; }
    asio::awaitable<bool> respond(HttpResponse response) override;
    asio::awaitable<bool> beginStream(HttpResponse head) override;
    asio::awaitable<bool> writeChunk(std::string_view data) override;
    asio::awaitable<bool> endStream() override;
    void onCallerGone(std::function<void()> notify) override { this->notifyGone = std::move(notify); }
    bool isCallerGone() const override { return this->callerGone; }
    bool reserve(std::size_t size) override { return this->hold(this->held.reserved, size); }

private:
    /// Parts of what the connection holds, in bytes.
    struct Held {
        std::size_t connection { 0 };
        std::size_t buffer { 0 };
        std::size_t head { 0 };
        std::size_t body { 0 };
        std::size_t reserved { 0 };
        std::size_t unread { 0 };
        std::size_t answer { 0 };
    };

    bool hold(std::size_t& part, std::size_t size,
        bool (*tryToHold)(ConnectionBudget&, ConnectionUse&, std::size_t) = tryHold);
    void enter(ConnectionPhase phase);
    void recordProgress(std::size_t bytes);
    void releaseRequest();
    asio::awaitable<boost::system::error_code> readSome();
    void limitUnread();
    asio::awaitable<void> discardInput();
    asio::awaitable<void> linger();
    bool hasUnread();
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
    const HttpServerLimits limits;
    Use use { *this };
    Held held;
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
    /// Whether it is being closed in favour of others, before a whole request was read.
    bool isEvicted { false };
    bool isRefused { false };
    bool isDiscarding { false };
    TimePoint idleSince { Clock::now() };
};

HttpConnection::HttpConnection(std::shared_ptr<HttpServer::State> server, asio::io_context& loop, tcp::socket socket,
    const HttpServerLimits& limits)
    : server(std::move(server))
    , loop(loop)
    , stream(std::move(socket))
    , limits(limits)
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
    join(this->server->budget, this->use, Clock::now());
}

HttpConnection::~HttpConnection()
{
    this->server->connections.add(-1);
    const std::lock_guard guard(this->server->lock);
    this->server->open.erase(this);
    leave(this->server->budget, this->use);
    this->server->heldBytes.set(static_cast<std::int64_t>(this->server->budget.held));
}

namespace {

    /// Connections that were chosen to be closed, held so that they outlive the lock.
    std::vector<std::shared_ptr<HttpConnection>> connectionsOf(const std::vector<ConnectionUse*>& uses)
    {
        std::vector<std::shared_ptr<HttpConnection>> connections;
        for (auto* use : uses) {
            auto connection = static_cast<HttpConnection::Use*>(use)->connection.weak_from_this().lock();
            if (connection)
                connections.push_back(std::move(connection));
        }
        return connections;
    }

    /// Measures the process's memory if connections hold much. The server's lock is held.
    /// @param size what one of them is about to hold, in bytes.
    void updateMaxHeld(HttpServer::State& server, const HttpServerLimits& limits, std::size_t size)
    {
        auto& budget = server.budget;
        const bool isMuch = budget.held + size > limits.maxHeld / measuredPart;
        if (limits.processMemory == 0 || !isMuch) {
            budget.maxHeld = limits.maxHeld;
            return;
        }
        const auto now = Clock::now();
        if (now - server.measuredAt < measureInterval)
            return;
        server.measuredAt = now;
        budget.maxHeld = maxHeldBeside(budget, limits.maxHeld, limits.processMemory, residentMemory());
    }

} // namespace

/// Changes a part of what the connection holds. Under pressure, stalled connections are closed for it.
/// @return false if the budget has no room.
bool HttpConnection::hold(
    std::size_t& part, std::size_t size, bool (*tryToHold)(ConnectionBudget&, ConnectionUse&, std::size_t))
{
    if (part == size)
        return true;
    const bool isGrowing = size > part;
    bool isHeld = false;
    std::vector<std::shared_ptr<HttpConnection>> stalled;
    {
        const std::lock_guard guard(this->server->lock);
        auto& budget = this->server->budget;
        if (isGrowing)
            updateMaxHeld(*this->server, this->limits, this->use.held - part + size);
        isHeld = tryToHold(budget, this->use, this->use.held - part + size);
        if (isGrowing)
            stalled = connectionsOf(evictStalled(budget, Clock::now()));
        this->server->heldBytes.set(static_cast<std::int64_t>(budget.held));
    }
    if (isHeld)
        part = size;
    else
        this->server->refusedForMemory.add();
    for (const auto& connection : stalled)
        connection->closeEvicted();
    logPressure(*this->server, stalled.size() + (isHeld ? 0 : 1));
    return isHeld;
}

void logPressure(HttpServer::State& server, std::size_t count)
{
    if (count == 0)
        return;
    std::size_t unlogged = 0;
    ConnectionBudget seen;
    {
        const std::lock_guard guard(server.lock);
        server.unlogged += count;
        const auto now = Clock::now();
        if (now - server.loggedAt < pressureLogInterval)
            return;
        server.loggedAt = now;
        unlogged = std::exchange(server.unlogged, 0);
        seen.held = server.budget.held;
        seen.maxHeld = server.budget.maxHeld;
        seen.connections = server.budget.connections;
    }
    logEvent(LogLevel::Warning, "connections-limited",
        { { "port", server.portName }, { "refused_or_closed", std::to_string(unlogged) },
            { "held_bytes", std::to_string(seen.held) }, { "max_held_bytes", std::to_string(seen.maxHeld) },
            { "connections", std::to_string(seen.connections) } });
}

void HttpConnection::enter(ConnectionPhase phase)
{
    const std::lock_guard guard(this->server->lock);
    changePhase(this->server->budget, this->use, phase, Clock::now());
}

void HttpConnection::recordProgress(std::size_t bytes)
{
    const std::lock_guard guard(this->server->lock);
    topaztack::recordProgress(this->server->budget, this->use, bytes, Clock::now());
}

void HttpConnection::closeEvicted()
{
    this->server->evicted.add();
    asio::post(this->loop, [self = this->shared_from_this()] {
        self->keepAlive = false;
        const auto phase = self->use.phase;
        if (phase != self->use.evictedIn)
            return;
        self->isEvicted = true;
        if (phase == ConnectionPhase::Sending || phase == ConnectionPhase::Closing)
            self->stream.tcp().close();
        else
            self->stream.tcp().cancel();
    });
}

/// Returns what was held for a request that is answered.
void HttpConnection::releaseRequest()
{
    this->current = {};
    if (this->buffer.size() == 0 && this->buffer.capacity() > firstRead)
        this->buffer.shrink_to_fit();
    const std::lock_guard guard(this->server->lock);
    auto& budget = this->server->budget;
    const auto kept = this->held.connection + std::min(this->held.buffer, this->buffer.capacity());
    tryHold(budget, this->use, kept);
    this->held = { .connection = this->held.connection, .buffer = kept - this->held.connection };
    this->server->heldBytes.set(static_cast<std::int64_t>(budget.held));
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
    if (!this->isBusy || this->hasBegunAnswer)
        return;
    this->isPreempted = true;
    const auto self = this->shared_from_this();
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
    const bool hasRoom = this->hold(this->held.connection, connectionSize);
    while (!problem && hasRoom && this->keepAlive && !this->callerGone) {
        if (!co_await this->readRequest())
            break;
        this->server->requests.add();
        this->countRequest();
        this->isBusy = true;
        this->isAnswered = false;
        this->enter(ConnectionPhase::Handling);
        this->watchCaller();
        co_await this->handle();
        this->notifyGone = nullptr;
        this->isBusy = false;
        this->uncountRequest();
        this->releaseRequest();
        this->enter(ConnectionPhase::Idle);
        this->idleSince = Clock::now();
        if (!this->isAnswered)
            break;
    }
    boost::system::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (this->hasUnread())
        co_await this->linger();
    this->stream.tcp().close();
}

/// Whether bytes may be unread, or still on their way, that belong to no request that is answered.
bool HttpConnection::hasUnread()
{
    boost::system::error_code problem;
    const bool isPending = this->buffer.size() > 0 || this->stream.socket().available(problem) > 0;
    return !this->callerGone && (this->isRefused || this->isDiscarding || isPending);
}

/// Discards input until the caller closes the connection.
asio::awaitable<void> HttpConnection::linger()
{
    this->enter(ConnectionPhase::Closing);
    this->buffer.clear();
    std::array<char, discardPiece> piece {};
    this->stream.tcp().expires_after(lingerTime);
    boost::system::error_code problem;
    while (!problem)
        std::tie(problem, std::ignore) = co_await this->stream.tcp().async_read_some(asio::buffer(piece), asTuple);
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
    auto& body = parser.get().body();
    body.maxSize = this->limits.maxBody;
    body.mayGrow = [this](std::size_t size) { return !this->isEvicted && this->hold(this->held.body, size); };
    this->stream.tcp().expires_after(this->limits.idle);
    auto wrong = co_await this->readHead(parser);
    if (!wrong && !this->callerGone)
        wrong = co_await this->readBody(parser);
    if (wrong) {
        body.text = {};
        this->releaseRequest();
        co_await this->refuse(std::move(*wrong));
    }
    co_return !wrong && !this->callerGone;
}

asio::awaitable<boost::system::error_code> HttpConnection::readSome()
{
    const auto room = this->buffer.max_size() - this->buffer.size();
    const auto target = this->buffer.prepare(std::min(room, std::max(firstRead, this->buffer.size())));
    if (this->isEvicted || !this->hold(this->held.buffer, this->buffer.capacity()))
        co_return noMemory();
    const auto [problem, size] = co_await this->stream.async_read_some(target, asTuple);
    this->buffer.commit(size);
    if (size > 0 && this->use.phase == ConnectionPhase::Idle)
        this->enter(ConnectionPhase::Receiving);
    this->recordProgress(size);
    co_return problem;
}

/// Nothing, with callerGone set, if the caller left without beginning a request.
asio::awaitable<std::optional<Error>> HttpConnection::readHead(Parser& parser)
{
    std::size_t size = 0;
    if (this->buffer.size() > 0)
        this->enter(ConnectionPhase::Receiving);
    while (true) {
        const auto data = this->buffer.data();
        size = headSize({ static_cast<const char*>(data.data()), data.size() });
        if (size > 0)
            break;
        if (this->buffer.size() == this->buffer.max_size())
            co_return this->understood(http::error::header_limit);
        const auto problem = co_await this->readSome();
        if (problem && this->buffer.size() == 0) {
            this->callerGone = true;
            co_return std::nullopt;
        }
        if (problem)
            co_return this->understood(problem);
    }
    const auto wrong = checkHead({ static_cast<const char*>(this->buffer.data().data()), size });
    if (wrong)
        co_return makeError(ErrorKind::BadRequest, "request not understood: " + std::string(*wrong));
    if (!this->hold(this->held.head, headCopies * size))
        co_return this->understood(noMemory());
    const auto [parseProblem, parsed] = co_await http::async_read_header(this->stream, this->buffer, parser, asTuple);
    if (parseProblem)
        co_return this->understood(parseProblem);
    this->takeHead(parser);
    co_return checkFields(this->current.headers, parser.get().version());
}

asio::awaitable<std::optional<Error>> HttpConnection::readBody(Parser& parser)
{
    parser.eager(true);
    boost::system::error_code problem;
    if (!parser.is_done() && this->buffer.size() > 0)
        this->buffer.consume(parser.put(this->buffer.data(), problem));
    if (problem == http::error::need_more)
        problem = {};
    // What follows the bytes that arrived with the head comes in longer pieces. The header of a chunk, or a trailer,
    // may take the whole buffer.
    if (!problem && !parser.is_done()) {
        this->buffer.reserve(std::min(bodyPiece, this->buffer.max_size()));
        const auto room = parser.chunked() ? this->buffer.max_size() : this->buffer.capacity();
        if (!this->hold(this->held.buffer, room))
            problem = noMemory();
    }
    while (!problem && !parser.is_done()) {
        std::size_t size = 0;
        std::tie(problem, size) = co_await http::async_read_some(this->stream, this->buffer, parser, asTuple);
        this->recordProgress(size);
    }
    if (problem)
        co_return this->understood(problem);
    this->current.body = std::move(parser.get().body().text);
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
    if (this->isEvicted || problem == noMemory())
        return makeError(ErrorKind::Overloaded, "no memory for the rest of the request");
    return makeError(kindOfParseProblem(problem), "request not understood: " + problem.message());
}

asio::awaitable<void> HttpConnection::refuse(Error error)
{
    this->server->refusedInput.add();
    this->keepAlive = false;
    this->isRefused = true;
    auto response = errorResponse(error);
    response.headers.push_back({ "Topaztack-Outcome", "not-run" });
    if (error.kind == ErrorKind::Overloaded)
        response.headers.push_back({ "Retry-After", std::string(overloadRetryAfter) });
    co_await this->respond(std::move(response));
}

/// While a request is in hand its connection is watched: end of input means that the caller is gone.
void HttpConnection::watchCaller()
{
    if (this->isWatching)
        return;
    if (this->buffer.size() > 0) {
        this->limitUnread();
        return;
    }
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
        if (!peekProblem && size > 0)
            self->limitUnread();
        if (peekProblem == asio::error::would_block || (!peekProblem && size > 0))
            return;
        self->callerGone = true;
        if (self->notifyGone)
            self->notifyGone();
    });
}

/// The caller sends before it has its answer. What the kernel may hold of that counts; if there is no room for it, the
/// connection is closed after the answer, and what arrives until then is discarded.
void HttpConnection::limitUnread()
{
    if (this->hold(this->held.unread, kernelOverhead * this->limits.socketBuffer, tryHoldOptional))
        return;
    this->keepAlive = false;
    this->isDiscarding = true;
    this->buffer.clear();
    this->buffer.shrink_to_fit();
    this->hold(this->held.buffer, 0);
    asio::co_spawn(
        this->loop, [self = this->shared_from_this()]() -> asio::awaitable<void> { co_await self->discardInput(); },
        asio::detached);
}

asio::awaitable<void> HttpConnection::discardInput()
{
    std::array<char, discardPiece> piece {};
    boost::system::error_code problem;
    while (!problem)
        std::tie(problem, std::ignore) = co_await this->stream.socket().async_read_some(asio::buffer(piece), asTuple);
    if (!this->isBusy)
        co_return;
    this->callerGone = true;
    if (this->notifyGone)
        this->notifyGone();
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

namespace {

    /// In place of an answer that there is no memory for: the request may have run.
    HttpResponse undeliverable()
    {
        auto response
            = errorResponse(makeError(ErrorKind::BackendBroke, "no memory for the answer", "ask again later"));
        response.headers.push_back({ "Topaztack-Outcome", "unknown" });
        return response;
    }

} // namespace

asio::awaitable<bool> HttpConnection::respond(HttpResponse response)
{
    if (!this->beginAnswer())
        co_return false;
    const bool hasRoom = this->hold(this->held.answer, response.body.size());
    if (!hasRoom && response.body.size() > smallAnswer)
        response = undeliverable();
    this->enter(ConnectionPhase::Sending);
    auto message = this->makeHead(response);
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (this->current.method == "HEAD")
        message.body().clear();
    this->startWriteTimer();
    http::response_serializer<http::string_body> serializer(message);
    boost::system::error_code problem;
    while (!problem && !serializer.is_done()) {
        std::size_t size = 0;
        std::tie(problem, size) = co_await http::async_write_some(this->stream, serializer, asTuple);
        this->recordProgress(size);
    }
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

namespace {

    /// How many connections more than the limit may be open while evicted ones are closed.
    constexpr std::size_t closingConnections = 16;

    /// Makes room for a new connection, if needed in place of another one.
    /// @return false if there is none.
    bool makeRoom(HttpServer::State& server, const HttpServerLimits& limits)
    {
        std::vector<std::shared_ptr<HttpConnection>> evicted;
        {
            const std::lock_guard guard(server.lock);
            auto& budget = server.budget;
            if (budget.connections - budget.evictedConnections < limits.maxConnections)
                return budget.connections < limits.maxConnections + closingConnections;
            auto* use = evictForNewConnection(budget, Clock::now());
            if (!use)
                return false;
            evicted = connectionsOf({ use });
        }
        for (const auto& connection : evicted)
            connection->closeEvicted();
        logPressure(server, evicted.size());
        return true;
    }

} // namespace

void startHttpConnection(const std::shared_ptr<HttpServer::State>& server, tcp::socket socket)
{
    const auto limits = server->limits();
    if (!makeRoom(*server, limits))
        return;
    auto& loop = server->threads.at(IoThreads::here());
    const auto connection = std::make_shared<HttpConnection>(server, loop, std::move(socket), limits);
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
            // A connection takes the lock while it answers.
            std::vector<std::shared_ptr<HttpConnection>> connections;
            {
                const std::lock_guard guard(server->lock);
                for (auto* connection : server->open) {
                    auto held = connection->weak_from_this().lock();
                    if (held && connection->belongsTo(loop))
                        connections.push_back(std::move(held));
                }
            }
            for (const auto& connection : connections)
                connection->answerPending(response);
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
