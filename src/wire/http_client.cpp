#include <topaztack/wire/http_client.hpp>

#include "http_head.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffer_ref.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace topaztack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t pieceSize = 16 * 1024;
    constexpr std::uint32_t longestAnswerHeader = 64 * 1024;
    /// What a connection holds unparsed: a whole head, the header of a chunk or a trailer, and bytes that follow it.
    /// The library limits only the first of these.
    constexpr std::size_t maxBuffered = longestAnswerHeader + 16UL * 1024;
    constexpr int maxInterimAnswers = 16;

    /// A connection to a backend server and what was read beyond the last answer.
    struct Link {
        explicit Link(asio::io_context& loop)
            : stream(loop)
            , buffer(maxBuffered)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
    };

    using LinkPtr = std::unique_ptr<Link>;

    template <typename Body> using ParserPtr = std::unique_ptr<http::response_parser<Body>>;

    struct IdleLink {
        LinkPtr link;
        /// Not to be used again after this.
        TimePoint until;
    };

    /// The time limit that a `Keep-Alive` header states in whole seconds; nothing if it states none.
    std::optional<std::chrono::seconds> statedTimeout(std::string_view keepAlive)
    {
        static constexpr std::string_view name = "timeout=";
        const auto place = keepAlive.find(name);
        if (place == std::string_view::npos)
            return std::nullopt;
        const auto digits = keepAlive.substr(place + name.size());
        std::uint32_t seconds = 0;
        const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        if (problem != std::errc {})
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

    CallFailure failure(const boost::system::error_code& problem, const Endpoint& endpoint, AttemptProgress progress)
    {
        ErrorKind kind = ErrorKind::BackendBroke;
        if (progress == AttemptProgress::NothingWritten)
            kind = ErrorKind::BackendUnreachable;
        else if (problem == beast::error::timeout)
            kind = ErrorKind::BackendTimeout;
        return { makeError(kind, toText(endpoint) + ": " + problem.message()), progress };
    }

    /// A kept connection may have been closed by the other side; such a one is not used again.
    bool isStillOpen(Link& link)
    {
        auto& socket = link.stream.socket();
        char byte = 0;
        boost::system::error_code problem;
        socket.non_blocking(true, problem);
        if (problem)
            return false;
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, problem);
        return problem == asio::error::would_block;
    }

    void guard(CallControl* control, Link& link)
    {
        if (control)
            control->setCloser([&link] { link.stream.close(); });
    }

    void guard(CallControl* control)
    {
        if (control)
            control->setCloser({});
    }

    /// @return a message that refers to the request's body.
    http::request<http::span_body<const char>> toMessage(const HttpRequest& request, const Endpoint& endpoint)
    {
        const auto verb = http::string_to_verb(request.method);
        http::request<http::span_body<const char>> message;
        message.version(11);
        if (verb == http::verb::unknown)
            message.method_string(request.method);
        else
            message.method(verb);
        message.target(request.target);
        for (const auto& header : request.headers)
            message.insert(header.name, header.value);
        if (message.find(http::field::host) == message.end())
            message.set(http::field::host, toText(endpoint));
        const auto body = bodyToSend(request);
        message.body() = { body.data(), body.size() };
        message.prepare_payload();
        return message;
    }

    template <typename Message> HttpResponse toResponse(const Message& message)
    {
        HttpResponse response;
        response.status = message.result_int();
        for (const auto& field : message)
            response.headers.push_back({ std::string(field.name_string().data(), field.name_string().size()),
                std::string(field.value().data(), field.value().size()) });
        return response;
    }

} // namespace

struct HttpClient::State {
    State(asio::io_context& loop, HttpClientLimits limits)
        : loop(loop)
        , limits(limits)
        , budget(std::make_shared<MemoryBudget>(MemoryBudget { limits.maxHeld }))
    {
    }

    LinkPtr takeIdle(const Endpoint& endpoint)
    {
        auto& links = this->idle[endpoint];
        while (!links.empty()) {
            auto kept = std::move(links.back());
            links.pop_back();
            if (Clock::now() < kept.until && isStillOpen(*kept.link))
                return std::move(kept.link);
        }
        return nullptr;
    }

    /// How long a connection may be idle after an answer.
    Duration idleTime(const HttpResponse& response) const
    {
        const auto stated = statedTimeout(findHeader(response.headers, "Keep-Alive"));
        return stated ? Duration(*stated) - this->limits.keepAliveMargin : Duration(this->limits.longestIdle);
    }

    void keep(const Endpoint& endpoint, LinkPtr link, const HttpResponse& response)
    {
        auto& links = this->idle[endpoint];
        link->stream.expires_never();
        if (links.size() < this->limits.idlePerEndpoint && link->buffer.size() == 0)
            links.push_back({ std::move(link), Clock::now() + this->idleTime(response) });
    }

    asio::awaitable<CallResult<LinkPtr>> connect(Endpoint endpoint, TimePoint deadline, CallControl* control)
    {
        auto kept = this->takeIdle(endpoint);
        if (kept)
            co_return std::move(kept);
        ++this->made;
        auto link = std::make_unique<Link>(this->loop);
        boost::system::error_code problem;
        const tcp::endpoint address(asio::ip::make_address(endpoint.address, problem), endpoint.port);
        if (problem)
            co_return failure(problem, endpoint, AttemptProgress::NothingWritten);
        link->stream.expires_at(std::min<TimePoint>(deadline, Clock::now() + this->limits.connectTime));
        guard(control, *link);
        const auto [connectProblem] = co_await link->stream.async_connect(address, asTuple);
        guard(control);
        if (connectProblem)
            co_return failure(connectProblem, endpoint, AttemptProgress::NothingWritten);
        link->stream.socket().set_option(tcp::no_delay(true), problem);
        // A connection that is given up is reset: after an orderly close, what a partition holds up would still be
        // delivered when the partition ends.
        link->stream.socket().set_option(asio::socket_base::linger(true, 0), problem);
        co_return std::move(link);
    }

    /// Connects and writes the request.
    asio::awaitable<CallResult<LinkPtr>> send(
        Endpoint endpoint, HttpRequest request, TimePoint deadline, CallControl* control)
    {
        auto connected = co_await this->connect(endpoint, deadline, control);
        if (!connected)
            co_return std::move(connected).error();
        auto link = std::move(connected).value();
        if (control && control->isCancelled())
            co_return failure(asio::error::operation_aborted, endpoint, AttemptProgress::NothingWritten);
        guard(control, *link);
        const auto message = toMessage(request, endpoint);
        link->stream.expires_at(deadline);
        const auto [problem, size] = co_await http::async_write(link->stream, message, asTuple);
        if (problem) {
            guard(control);
            co_return failure(
                problem, endpoint, size == 0 ? AttemptProgress::NothingWritten : AttemptProgress::Written);
        }
        co_return std::move(link);
    }

    asio::io_context& loop;
    HttpClientLimits limits;
    std::shared_ptr<MemoryBudget> budget;
    std::map<Endpoint, std::vector<IdleLink>> idle;
    std::uint64_t made { 0 };
};

namespace {

    class Stream final : public HttpStream {
    public:
        Stream(std::shared_ptr<HttpClient::State> client, Endpoint endpoint, LinkPtr link,
            ParserPtr<http::buffer_body> parser, CallControl* control)
            : client(std::move(client))
            , endpoint(std::move(endpoint))
            , link(std::move(link))
            , parser(std::move(parser))
            , control(control)
            , answer(toResponse(this->parser->get()))
        {
        }

        ~Stream() override
        {
            if (this->link)
                guard(this->control);
        }

        const HttpResponse& head() const override { return this->answer; }

        asio::awaitable<CallResult<std::string>> read(TimePoint deadline) override
        {
            if (!this->link)
                co_return std::string {};
            auto& body = this->parser->get().body();
            std::string piece(pieceSize, '\0');
            std::size_t filled = 0;
            while (filled == 0 && !this->parser->is_done()) {
                body.data = piece.data();
                body.size = piece.size();
                this->link->stream.expires_at(deadline);
                auto [problem, size]
                    = co_await http::async_read_some(this->link->stream, this->link->buffer, *this->parser, asTuple);
                if (problem == http::error::need_buffer)
                    problem = {};
                if (problem) {
                    guard(this->control);
                    this->link.reset();
                    co_return failure(problem, this->endpoint, AttemptProgress::Written);
                }
                filled = piece.size() - body.size;
            }
            if (filled == 0)
                this->finish();
            piece.resize(filled);
            co_return std::move(piece);
        }

        void cancel() override
        {
            if (this->link)
                this->link->stream.close();
        }

    private:
        void finish()
        {
            guard(this->control);
            if (this->parser->get().keep_alive())
                this->client->keep(this->endpoint, std::move(this->link), this->answer);
            this->link.reset();
        }

        std::shared_ptr<HttpClient::State> client;
        Endpoint endpoint;
        LinkPtr link;
        ParserPtr<http::buffer_body> parser;
        CallControl* control;
        HttpResponse answer;
    };

} // namespace

void CallControl::cancel()
{
    this->cancelled = true;
    if (this->close)
        this->close();
}

void CallControl::setCloser(std::function<void()> closer) { this->close = std::move(closer); }

HttpClient::HttpClient(asio::io_context& loop, HttpClientLimits limits)
    : state(std::make_shared<State>(loop, limits))
{
}

HttpClient::~HttpClient() = default;

namespace {

    bool isAccepted(const CallOptions& options, const HttpResponse& response)
    {
        return !options.accepts || options.accepts(response);
    }

    CallFailure malformed(const Endpoint& endpoint, const std::string& what)
    {
        return { makeError(ErrorKind::BackendAnswerMalformed, toText(endpoint) + ": " + what),
            AttemptProgress::Written };
    }

    CallFailure notAccepted(const Endpoint& endpoint) { return malformed(endpoint, "answered another request"); }

    CallFailure exceedsBudget(const Endpoint& endpoint)
    {
        return { makeError(ErrorKind::BackendBroke, toText(endpoint) + ": no memory for the rest of the answer"),
            AttemptProgress::Written };
    }

    /// What an answer's body may be.
    struct BodyRules {
        /// Nothing for no limit.
        boost::optional<std::uint64_t> limit;
        /// Whether there is none, whatever the head says.
        bool isSkipped { false };
    };

    template <typename Body> ParserPtr<Body> makeParser(const BodyRules& rules)
    {
        auto parser = std::make_unique<http::response_parser<Body>>();
        parser->header_limit(longestAnswerHeader);
        parser->body_limit(rules.limit);
        parser->skip(rules.isSkipped);
        return parser;
    }

    /// Parses what the connection holds, as far as that goes.
    template <typename Body> boost::system::error_code parseBuffered(Link& link, http::response_parser<Body>& parser)
    {
        boost::system::error_code problem;
        link.buffer.consume(parser.put(link.buffer.data(), problem));
        return problem;
    }

    /// Reads the head of the final answer. Servers may send interim ones before it, unasked.
    template <typename Body>
    asio::awaitable<CallResult<ParserPtr<Body>>> readHead(Link& link, const Endpoint& endpoint, BodyRules rules)
    {
        for (int interim = 0; interim <= maxInterimAnswers; ++interim) {
            const auto [problem, size]
                = co_await asio::async_read_until(link.stream, beast::ref(link.buffer), HeadEnd {}, asTuple);
            if (problem)
                co_return failure(problem, endpoint, AttemptProgress::Written);
            const auto ambiguous = checkHead({ static_cast<const char*>(link.buffer.data().data()), size });
            if (ambiguous)
                co_return malformed(endpoint, "answer not understood: " + std::string(*ambiguous));
            auto parser = makeParser<Body>(rules);
            const auto parseProblem = parseBuffered(link, *parser);
            if (parseProblem)
                co_return failure(parseProblem, endpoint, AttemptProgress::Written);
            const auto status = parser->get().result_int();
            const auto wrong = checkStatus(status);
            if (wrong)
                co_return malformed(endpoint, wrong->message);
            if (status >= minFinalStatus)
                co_return std::move(parser);
        }
        co_return malformed(endpoint, "sent interim answers only");
    }

    /// Reads the rest of an answer whose head has been read.
    asio::awaitable<std::optional<CallFailure>> readBody(
        Link& link, http::response_parser<http::string_body>& parser, const Endpoint& endpoint, BudgetShare& share)
    {
        boost::system::error_code problem;
        parser.eager(true);
        if (!parser.is_done() && link.buffer.size() > 0)
            problem = parseBuffered(link, parser);
        if (problem == http::error::need_more)
            problem = {};
        while (!problem && !parser.is_done()) {
            std::tie(problem, std::ignore) = co_await http::async_read_some(link.stream, link.buffer, parser, asTuple);
            if (!share.resize(parser.get().body().size()))
                co_return exceedsBudget(endpoint);
        }
        if (problem)
            co_return failure(problem, endpoint, AttemptProgress::Written);
        co_return std::nullopt;
    }

} // namespace

asio::awaitable<CallResult<HttpResponse>> HttpClient::call(
    Endpoint endpoint, HttpRequest request, TimePoint deadline, CallOptions options)
{
    const auto client = this->state;
    const bool isHead = request.method == "HEAD";
    auto sent = co_await client->send(endpoint, std::move(request), deadline, options.control);
    if (!sent)
        co_return std::move(sent).error();
    auto link = std::move(sent).value();
    const BodyRules rules { client->limits.maxAnswer, isHead };
    auto read = co_await readHead<http::string_body>(*link, endpoint, rules);
    if (!read) {
        guard(options.control);
        co_return std::move(read).error();
    }
    const auto parser = std::move(read).value();
    BudgetShare share(client->budget);
    auto wrong = co_await readBody(*link, *parser, endpoint, share);
    guard(options.control);
    if (wrong)
        co_return std::move(*wrong);
    auto& message = parser->get();
    auto response = toResponse(message);
    response.body = std::move(message.body());
    if (!isAccepted(options, response))
        co_return notAccepted(endpoint);
    if (message.keep_alive())
        client->keep(endpoint, std::move(link), response);
    co_return std::move(response);
}

asio::awaitable<ProbeResult> HttpClient::probe(Endpoint endpoint, TimePoint deadline, ProbeMode mode)
{
    const auto client = this->state;
    const auto kept = client->idle.find(endpoint);
    if (mode == ProbeMode::AnyConnection && kept != client->idle.end()) {
        for (const auto& idle : kept->second) {
            if (isStillOpen(*idle.link))
                co_return ProbeResult::Listening;
        }
    }
    ++client->made;
    boost::system::error_code problem;
    const tcp::endpoint address(asio::ip::make_address(endpoint.address, problem), endpoint.port);
    if (problem)
        co_return ProbeResult::Unknown;
    beast::tcp_stream stream(client->loop);
    stream.expires_at(deadline);
    const auto [connectProblem] = co_await stream.async_connect(address, asTuple);
    if (!connectProblem)
        co_return ProbeResult::Listening;
    co_return connectProblem == asio::error::connection_refused ? ProbeResult::Refused : ProbeResult::Unknown;
}

std::size_t HttpClient::idleConnections(const Endpoint& endpoint) const
{
    const auto found = this->state->idle.find(endpoint);
    if (found == this->state->idle.end())
        return 0;
    const auto now = Clock::now();
    return static_cast<std::size_t>(std::count_if(
        found->second.begin(), found->second.end(), [now](const auto& kept) { return now < kept.until; }));
}

std::uint64_t HttpClient::connectionsMade() const { return this->state->made; }

const std::shared_ptr<MemoryBudget>& HttpClient::answerBudget() const { return this->state->budget; }

asio::awaitable<CallResult<std::unique_ptr<HttpStream>>> HttpClient::open(
    Endpoint endpoint, HttpRequest request, TimePoint deadline, CallOptions options)
{
    const auto client = this->state;
    auto sent = co_await client->send(endpoint, std::move(request), deadline, options.control);
    if (!sent)
        co_return std::move(sent).error();
    auto link = std::move(sent).value();
    const BodyRules rules { boost::none };
    auto read = co_await readHead<http::buffer_body>(*link, endpoint, rules);
    if (!read) {
        guard(options.control);
        co_return std::move(read).error();
    }
    auto parser = std::move(read).value();
    if (!isAccepted(options, toResponse(parser->get()))) {
        guard(options.control);
        co_return notAccepted(endpoint);
    }
    std::unique_ptr<HttpStream> stream
        = std::make_unique<Stream>(client, std::move(endpoint), std::move(link), std::move(parser), options.control);
    co_return std::move(stream);
}

} // namespace topaztack
