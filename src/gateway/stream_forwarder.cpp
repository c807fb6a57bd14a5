#include "stream_forwarder.hpp"

#include "service_call.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/policy/event_stream.hpp>
#include <topaztack/wire/sse.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// How long a stream waits for a server that can go on with it; then the caller may do better at another VM.
    constexpr Duration maxResumeWait = 1s;
    constexpr Duration serverCheckInterval = 50ms;
    constexpr std::size_t maxPlainAnswer = 1024 * 1024;
    constexpr std::uint64_t maxTokens = 1'000'000;

} // namespace

/// How an attempt at one server ended.
enum class StreamForwarder::AttemptEnd : std::uint8_t {
    /// The whole answer was passed on.
    Complete,
    CallerGone,
    /// No byte of the request was written.
    NotReached,
    /// The server stated that it did not run the request.
    Refused,
    /// Another server has the address now.
    Replaced,
    /// The server sent no event in time, or broke off, or what it sent is not valid.
    Broken,
};

/// State of one caller's stream.
struct StreamForwarder::Forwarding {
    const CallerRequest& call;
    const Route& route;
    CallOrigin origin;
    TimePoint startedAt;
    TimePoint deadline;
    ServerRequirements requirements;
    CallerIdentity identity;
    /// Servers to which the stream was sent and that may have run it.
    std::uint64_t attempts { 0 };
    std::uint64_t unreached { 0 };
    /// Number of the last event that the caller has.
    std::optional<std::uint64_t> lastEvent;
    std::uint64_t events { 0 };
    bool hasBegun { false };
    bool mayHaveRun { false };
    bool isCallerGone { false };
    bool isComplete { false };
    std::optional<Error> problem;
    SuspectPass pass;
    /// Whether the server that began it has proved to be the process of its record, and so of its software.
    std::shared_ptr<bool> isOriginProven { std::make_shared<bool>(false) };

    bool isResumable() const { return this->route.isResumable; }
    CarriedCall carriedCall() const
    {
        return { this->call.id, this->identity, this->requirements.pool, this->deadline, this->isResumable() };
    }
    bool mayAttempt() const
    {
        return this->attempts < this->route.maxAttempts && this->unreached < maxUnreachedServers
            && (this->isResumable() || !this->mayHaveRun) && (!this->hasBegun || *this->isOriginProven)
            && Clock::now() < this->deadline;
    }
};

StreamForwarder::StreamForwarder(GatewayContext& context, ServerTable& servers, ServerIdentity& identity,
    StreamOrigins& origins, SoftwareRecords& software, SuspectGate& suspects, ServerReach& reach, CallCarrier& carrier,
    UsageCounter& usage)
    : context(context)
    , servers(servers)
    , identity(identity)
    , origins(origins)
    , software(software)
    , suspects(suspects)
    , reach(reach)
    , carrier(carrier)
    , usage(usage)
    , resumes(context.metrics.counter(
          "topaztack_streams_resumed_total", "Callers' streams that went on at another server within an answer"))
    , takenUp(context.metrics.counter("topaztack_streams_taken_up_total", "Streams that callers took up again"))
    , originsUnknown(context.metrics.counter("topaztack_stream_origins_unknown_total",
          "Streams that callers took up and that were refused since nothing proves which software began them"))
    , originsUnproven(context.metrics.counter("topaztack_stream_origins_unproven_total",
          "Streams whose server did not prove to be the process of its record, so that no software is told for them"))
    , firstEventTime(context.metrics.latency("topaztack_stream_first_event_seconds", "Time to a stream's first event"))
    , eventGap(context.metrics.latency("topaztack_stream_event_gap_seconds", "Time between two events of a stream"))
{
}

asio::awaitable<void> StreamForwarder::handle(
    HttpExchange& exchange, const CallerRequest& call, const Route& route, CallOrigin origin)
{
    Forwarding forwarding {
        .call = call, .route = route, .origin = origin, .pass = SuspectPass(call, exchange.request())
    };
    forwarding.identity = identityOf(call);
    forwarding.startedAt = Clock::now();
    forwarding.deadline = forwarding.startedAt + std::min(call.timeLimit.value_or(route.timeout), route.timeout);
    forwarding.lastEvent = call.lastEvent;
    auto& need = forwarding.requirements;
    const auto* pool = choosePool(route, this->context.random.next());
    if (pool)
        need.pool = *pool;
    need.model = call.model;
    need.tokens = std::min(call.promptTokens, maxTokens) + std::min(call.expectedTokens, maxTokens);
    need.hasCaller = true;
    need.needsRecordedSoftware = route.isResumable;
    co_await this->answer(exchange, forwarding);
    co_await this->suspects.leave(forwarding.pass);
    if (!forwarding.hasBegun && !forwarding.isCallerGone)
        co_await exchange.respond(failureResponse(
            this->servers, need.pool, forwarding.mayHaveRun, forwarding.problem, call.id, forwarding.pass.retryAfter));
    this->finish(exchange, forwarding);
}

/// A stream that reaches no server from here is carried by another VM, which finds out itself who began it.
asio::awaitable<void> StreamForwarder::answer(HttpExchange& exchange, Forwarding& forwarding)
{
    if (!this->mayBeCarried(forwarding)) {
        const bool isOriginKnown = co_await this->findOrigin(exchange, forwarding);
        if (isOriginKnown)
            co_await this->forward(exchange, forwarding);
    }
    if (this->mayBeCarried(forwarding) && !exchange.isCallerGone())
        co_await this->carry(exchange, forwarding);
}

bool StreamForwarder::mayBeCarried(const Forwarding& forwarding) const
{
    const bool mayBeSent = forwarding.isResumable() || !forwarding.mayHaveRun;
    return forwarding.origin == CallOrigin::Caller && !forwarding.hasBegun && mayBeSent
        && Clock::now() < forwarding.deadline && this->reach.isCutOff(forwarding.requirements.pool);
}

asio::awaitable<void> StreamForwarder::carry(HttpExchange& exchange, Forwarding& forwarding)
{
    const auto carried = forwarding.carriedCall();
    auto result = co_await this->carrier.carryStream(exchange, carried);
    forwarding.mayHaveRun = forwarding.mayHaveRun || result.mayHaveRun;
    forwarding.hasBegun = result.hasBegun;
    forwarding.isComplete = result.isComplete;
    forwarding.problem = std::move(result.problem);
    if (!result.answer)
        co_return;
    forwarding.hasBegun = true;
    forwarding.isComplete = co_await exchange.respond(std::move(*result.answer));
}

/// For a stream that the caller takes up: finds the software version that began it.
asio::awaitable<bool> StreamForwarder::findOrigin(HttpExchange& exchange, Forwarding& forwarding)
{
    const auto& call = forwarding.call;
    if (!call.lastEvent)
        co_return true;
    if (!forwarding.isResumable()) {
        // This VM's configuration may be older than the caller's.
        forwarding.problem = makeError(ErrorKind::NotReady, "the route's streams can't be resumed");
        co_return false;
    }
    this->takenUp.add();
    auto origin = co_await this->origins.find(call.resumedAttempt);
    if (!origin)
        origin = co_await this->software.findOnlyVersion(forwarding.requirements.pool);
    forwarding.isCallerGone = exchange.isCallerGone();
    if (origin) {
        forwarding.requirements.softwareVersion = std::move(origin);
        co_return true;
    }
    this->originsUnknown.add();
    logEvent(LogLevel::Info, "stream-origin-unknown",
        { { "id", call.id.value() }, { "resumes", call.resumedAttempt.value() },
            { "pool", forwarding.requirements.pool.value() }, { "last_event", std::to_string(*call.lastEvent) } });
    forwarding.problem = makeError(ErrorKind::NoBackendServer, "nothing proves which software version began the stream",
        "start it again without the last event's id");
    co_return false;
}

/// A stream that has begun was run by a server that went on, so it is not suspected.
asio::awaitable<SuspectGate::Entry> StreamForwarder::enter(Forwarding& forwarding, TimePoint waitUntil)
{
    if (!forwarding.hasBegun)
        co_return co_await this->suspects.enter(forwarding.pass, forwarding.requirements, waitUntil);
    SuspectGate::Entry entry;
    entry.server = this->servers.acquire(forwarding.requirements);
    co_return entry;
}

asio::awaitable<IdentityCheck> StreamForwarder::checkIdentity(ServerRecord server)
{
    const auto check = co_await this->identity.check(server);
    if (check == IdentityCheck::Other)
        this->servers.markEnded({ server.name, server.startedAt });
    co_return check;
}

/// Tells other VMs which software began a stream, once its server has proved to be the process of its record.
asio::awaitable<void> StreamForwarder::recordOrigin(
    RequestId attempt, ServerRecord server, std::shared_ptr<bool> isProven)
{
    const auto check = co_await this->checkIdentity(server);
    if (check == IdentityCheck::Same) {
        *isProven = true;
        this->origins.record(attempt, server.softwareVersion);
        co_return;
    }
    this->originsUnproven.add();
    logEvent(LogLevel::Info, "stream-origin-unproven",
        { { "id", attempt.value() }, { "server", server.name.value() }, { "software", server.softwareVersion } });
}

asio::awaitable<std::optional<ServerRecord>> StreamForwarder::chooseServer(
    HttpExchange& exchange, Forwarding& forwarding)
{
    const auto now = Clock::now();
    const Duration wait = forwarding.hasBegun ? maxResumeWait : Duration(forwarding.route.latencyObjective) / 4;
    const auto end = std::min(forwarding.deadline, now + wait);
    while (!exchange.isCallerGone()) {
        auto entry = co_await this->enter(forwarding, end);
        auto& server = entry.server;
        const bool isAdmitted = server && co_await this->servers.admit(*server);
        auto check = IdentityCheck::Same;
        // A stream that goes on must do so with the software that began it.
        if (isAdmitted && forwarding.requirements.softwareVersion)
            check = co_await this->checkIdentity(*server);
        if (isAdmitted && check == IdentityCheck::Same && !exchange.isCallerGone())
            co_return std::move(server);
        if (server) {
            const auto outcome = check == IdentityCheck::Unknown ? ServerOutcome::Failed : ServerOutcome::Cancelled;
            this->servers.finish(*server, outcome, forwarding.requirements);
            this->suspects.release(forwarding.pass);
            continue;
        }
        if (entry.refusal) {
            forwarding.problem = std::move(entry.refusal);
            break;
        }
        const auto asked = Clock::now();
        if (asked >= end)
            break;
        co_await this->servers.changed().waitUntil(std::min<TimePoint>(end, asked + serverCheckInterval));
    }
    co_return std::nullopt;
}

bool StreamForwarder::mayContinue(const Forwarding& forwarding, AttemptEnd end) const
{
    return end != AttemptEnd::Complete && end != AttemptEnd::CallerGone && !this->isAbandoned
        && forwarding.mayAttempt();
}

asio::awaitable<void> StreamForwarder::forward(HttpExchange& exchange, Forwarding& forwarding)
{
    AttemptEnd end = AttemptEnd::Refused;
    while (this->mayContinue(forwarding, end) && !this->reach.isCutOff(forwarding.requirements.pool)) {
        auto server = co_await this->chooseServer(exchange, forwarding);
        if (!server)
            break;
        if (forwarding.hasBegun) {
            this->resumes.add();
            logEvent(LogLevel::Info, "stream-resumed",
                { { "id", forwarding.call.id.value() }, { "server", server->name.value() },
                    { "software", server->softwareVersion },
                    { "last_event", std::to_string(forwarding.lastEvent.value_or(0)) } });
        }
        forwarding.requirements.tried.insert(server->name);
        Attempt attempt(std::move(*server));
        attempt.isResumable = forwarding.isResumable();
        this->open.push_back(attempt);
        end = co_await this->attempt(exchange, forwarding, attempt);
    }
    forwarding.isCallerGone = end == AttemptEnd::CallerGone || exchange.isCallerGone();
    forwarding.isComplete = end == AttemptEnd::Complete;
}

asio::awaitable<StreamForwarder::AttemptEnd> StreamForwarder::attempt(
    HttpExchange& exchange, Forwarding& forwarding, Attempt& attempt)
{
    const auto& server = attempt.server;
    const auto sentAt = Clock::now();
    attempt.sentAt = sentAt;
    const auto eventsBefore = forwarding.events;
    const auto timeLeft = std::max(1ms, toMilliseconds(forwarding.deadline - sentAt));
    auto request = this->context.protocol.encodeServiceRequest(
        exchange.request(), server, timeLeft, forwarding.lastEvent, forwarding.identity);
    CallOptions options;
    options.control = &attempt.control;
    options.accepts = [this, &forwarding](const HttpResponse& response) {
        const auto answered = this->context.protocol.decodeAnswer(response).request;
        return answered.value().empty() || answered == forwarding.call.id;
    };
    exchange.onCallerGone([&attempt] { attempt.control.cancel(); });
    // Only a stream that may be resumed can be tried elsewhere once it was sent.
    auto headDeadline = forwarding.deadline;
    if (forwarding.isResumable() && forwarding.attempts + 1 < forwarding.route.maxAttempts)
        headDeadline = std::min<TimePoint>(headDeadline,
            sentAt + firstEventTimeLimit(forwarding.route.latencyObjective, this->servers.eventInterval(server.name)));
    auto opened
        = co_await this->context.httpClient.open(server.endpoint, std::move(request), headDeadline, std::move(options));
    auto end = AttemptEnd::Broken;
    if (!opened) {
        const bool isReached = opened.error().progress != AttemptProgress::NothingWritten;
        end = isReached ? AttemptEnd::Broken : AttemptEnd::NotReached;
        forwarding.problem = std::move(opened.error().error);
    } else {
        const auto answer = this->context.protocol.decodeAnswer(opened.value()->head());
        this->servers.recordAnswer(server, answer, sentAt);
        end = co_await this->receive(exchange, forwarding, attempt, *opened.value(), answer);
    }
    exchange.onCallerGone({});
    // A caller may leave as soon as it has the whole answer.
    if (end != AttemptEnd::Complete && exchange.isCallerGone())
        end = AttemptEnd::CallerGone;
    if (end == AttemptEnd::Broken && this->isAbandoned)
        forwarding.problem = makeError(ErrorKind::ShuttingDown, "this VM stopped before the server answered");
    const bool hasBroken = end == AttemptEnd::Broken && forwarding.events == eventsBefore && !this->isAbandoned;
    if (hasBroken && forwarding.problem->kind == ErrorKind::BackendBroke)
        co_await this->suspects.recordBreak(forwarding.pass, server);
    this->suspects.release(forwarding.pass);
    if (end == AttemptEnd::Broken)
        logBrokenAttempt(forwarding.call.id, forwarding.pass.content, server, this->servers, forwarding.problem);
    if (end == AttemptEnd::NotReached)
        ++forwarding.unreached;
    const bool mayHaveRun = end == AttemptEnd::Broken || end == AttemptEnd::Complete || end == AttemptEnd::CallerGone;
    forwarding.mayHaveRun = forwarding.mayHaveRun || mayHaveRun;
    forwarding.attempts += mayHaveRun ? 1 : 0;
    this->servers.finish(server, toServerOutcome(end), forwarding.requirements);
    if (end == AttemptEnd::NotReached || hasBroken)
        co_await this->reach.checkAfter(forwarding.requirements.pool, sentAt, end != AttemptEnd::NotReached);
    co_return end;
}

ServerOutcome StreamForwarder::toServerOutcome(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Complete:
        return ServerOutcome::Answered;
    case AttemptEnd::CallerGone:
        return ServerOutcome::Cancelled;
    case AttemptEnd::Refused:
        return ServerOutcome::Refused;
    case AttemptEnd::Replaced:
        return ServerOutcome::Replaced;
    case AttemptEnd::NotReached:
    case AttemptEnd::Broken:
        break;
    }
    return ServerOutcome::Failed;
}

/// Takes what a server answers, from its head on.
asio::awaitable<StreamForwarder::AttemptEnd> StreamForwarder::receive(HttpExchange& exchange, Forwarding& forwarding,
    Attempt& attempt, HttpStream& stream, const ServerResponseHead& answer)
{
    const auto& server = attempt.server.name.value();
    if (answer.isOtherServer || answer.saysNotRun) {
        forwarding.problem
            = makeError(ErrorKind::Overloaded, server + " refused with " + std::to_string(stream.head().status));
        co_return answer.isOtherServer ? AttemptEnd::Replaced : AttemptEnd::Refused;
    }
    if (answer.serverStamp.empty()) {
        forwarding.problem
            = makeError(ErrorKind::BackendAnswerMalformed, server + " answered without its server stamp");
        co_return AttemptEnd::Broken;
    }
    if (isEventStream(stream.head()))
        co_return co_await this->passEvents(exchange, forwarding, attempt, stream);
    co_return co_await this->passAnswer(exchange, forwarding, attempt, stream);
}

/// Passes on an answer that is not a stream, such as the server's own failure, unless another server may be tried.
asio::awaitable<StreamForwarder::AttemptEnd> StreamForwarder::passAnswer(
    HttpExchange& exchange, Forwarding& forwarding, Attempt& attempt, HttpStream& stream)
{
    auto response = stream.head();
    forwarding.problem = makeError(
        ErrorKind::BackendBroke, attempt.server.name.value() + " answered " + std::to_string(response.status));
    const bool mayTryAnother = forwarding.isResumable() && forwarding.attempts + 1 < forwarding.route.maxAttempts;
    const bool isEncoded = !findHeader(response.headers, "Content-Encoding").empty();
    if (forwarding.hasBegun || isEncoded || (isServerError(response.status) && mayTryAnother))
        co_return AttemptEnd::Broken;
    BudgetShare share(this->context.httpClient.answerBudget());
    while (true) {
        const auto piece = co_await stream.read(forwarding.deadline);
        const bool isTooLong = response.body.size() > maxPlainAnswer || !share.resize(response.body.size());
        if (!piece || isTooLong)
            co_return AttemptEnd::Broken;
        if (piece.value().empty())
            break;
        response.body += piece.value();
    }
    std::erase_if(response.headers, [](const HttpHeader& header) { return isConnectionHeader(header.name); });
    forwarding.hasBegun = true;
    this->suspects.recordRun(forwarding.pass);
    const bool isDelivered = co_await exchange.respond(std::move(response));
    co_return isDelivered ? AttemptEnd::Complete : AttemptEnd::CallerGone;
}

/// Passes on bytes of whole events, with the head of the first server before the first of them.
asio::awaitable<bool> StreamForwarder::passBytes(
    HttpExchange& exchange, Forwarding& forwarding, const HttpStream& stream, std::string_view bytes)
{
    if (!forwarding.hasBegun) {
        auto head = stream.head();
        std::erase_if(head.headers, [](const HttpHeader& header) { return isConnectionHeader(header.name); });
        forwarding.hasBegun = true;
        if (!co_await exchange.beginStream(std::move(head)))
            co_return false;
    }
    co_return co_await exchange.writeChunk(bytes);
}

void StreamForwarder::recordFirstEvent(Forwarding& forwarding, const Attempt& attempt)
{
    const auto& server = attempt.server;
    this->servers.recordFirstEvent(server, Clock::now() - attempt.sentAt);
    // A stream that goes on was counted with its first event.
    if (!forwarding.call.lastEvent && !forwarding.hasBegun)
        this->usage.recordBegin(forwarding.call.workspace, Clock::now());
    if (!forwarding.call.lastEvent)
        this->firstEventTime.record(Clock::now() - forwarding.startedAt);
    forwarding.requirements.softwareVersion = server.softwareVersion;
    if (!forwarding.isResumable())
        return;
    const auto& resumed = forwarding.call.resumedAttempt;
    const bool isResumed = forwarding.call.lastEvent && !resumed.value().empty();
    asio::co_spawn(this->context.loop(),
        this->recordOrigin(isResumed ? resumed : forwarding.call.id, server, forwarding.isOriginProven),
        asio::detached);
}

asio::awaitable<StreamForwarder::AttemptEnd> StreamForwarder::passEvents(
    HttpExchange& exchange, Forwarding& forwarding, Attempt& attempt, HttpStream& stream)
{
    const auto& server = attempt.server;
    const auto broken = [&forwarding, &server](const std::string& what) {
        forwarding.problem = makeError(ErrorKind::BackendBroke, server.name.value() + ": " + what);
        return AttemptEnd::Broken;
    };
    SseReader reader;
    BudgetShare share(this->context.httpClient.answerBudget());
    std::uint64_t count = 0;
    auto eventAt = Clock::now();
    while (true) {
        const auto interval = this->servers.eventInterval(server.name);
        // A stream that runs once can't go on elsewhere, so a pause is no reason to end it.
        const auto limit = forwarding.isResumable()
            ? std::min<TimePoint>(forwarding.deadline, eventAt + eventTimeLimit(interval))
            : forwarding.deadline;
        const auto piece = co_await stream.read(limit);
        if (attempt.isServerSilent)
            co_return broken("silent on all of its streams");
        if (!piece)
            co_return broken(piece.error().error.message);
        if (piece.value().empty())
            break;
        this->servers.recordActivity(server.name);
        reader.feed(piece.value());
        const auto before = count;
        const auto arrivedAt = Clock::now();
        while (const auto event = reader.nextEvent()) {
            const auto decoded = this->context.protocol.decodeEvent(*event);
            if (!decoded)
                co_return broken(decoded.error().message);
            if (!isNextEvent(forwarding.lastEvent, decoded.value().number))
                co_return broken("an event is out of order");
            if (reader.hasForeignText())
                break;
            if (++count == 1) {
                this->recordFirstEvent(forwarding, attempt);
                this->suspects.recordRun(forwarding.pass);
                this->suspects.release(forwarding.pass);
            }
            // Counted before it is written: what may have reached the caller must not come again.
            forwarding.lastEvent = decoded.value().number;
            ++forwarding.events;
            if (!co_await this->passBytes(exchange, forwarding, stream, reader.bytes()))
                co_return AttemptEnd::CallerGone;
        }
        // Such as the text of an error; the caller would find it in the middle of the stream.
        if (reader.hasForeignText())
            co_return broken("it sent text that is no event");
        if (reader.sinceLastEvent() > maxEventSize || !share.resize(reader.sinceLastEvent()))
            co_return broken("its bytes make no event");
        if (count > before) {
            if (before > 0) {
                const auto gap = (arrivedAt - eventAt) / static_cast<std::int64_t>(count - before);
                this->servers.recordEventInterval(server.name, gap);
                this->eventGap.record(gap);
            }
            // The time in which the caller didn't read is not the server's.
            eventAt = Clock::now();
        }
    }
    if (reader.pending() > 0 || !forwarding.lastEvent)
        co_return broken("the stream ended within an event or without any");
    const bool isEnded
        = co_await this->passBytes(exchange, forwarding, stream, reader.bytes()) && co_await exchange.endStream();
    co_return isEnded ? AttemptEnd::Complete : AttemptEnd::CallerGone;
}

void StreamForwarder::leaveServers(const std::set<BackendName>& silent)
{
    for (auto& attempt : this->open) {
        if (!attempt.isResumable || !silent.contains(attempt.server.name))
            continue;
        attempt.isServerSilent = true;
        attempt.control.cancel();
    }
}

void StreamForwarder::abandonAll()
{
    this->isAbandoned = true;
    for (auto& attempt : this->open)
        attempt.control.cancel();
}

void StreamForwarder::finish(const HttpExchange& exchange, const Forwarding& forwarding)
{
    const bool isCallerGone = forwarding.isCallerGone || exchange.isCallerGone();
    std::string_view outcome = "broken-off";
    if (forwarding.isComplete)
        outcome = "complete";
    else if (isCallerGone)
        outcome = "caller-gone";
    else if (!forwarding.hasBegun)
        outcome = forwarding.mayHaveRun ? "failed" : "refused";
    this->context.metrics
        .counter(
            "topaztack_streams_total", "Callers' streams by outcome", R"(outcome=")" + std::string(outcome) + R"(")")
        .add();
    logEvent(forwarding.isComplete ? LogLevel::Debug : LogLevel::Info, "stream-ended",
        { { "id", forwarding.call.id.value() }, { "route", forwarding.route.name.value() },
            { "outcome", std::string(outcome) }, { "events", std::to_string(forwarding.events) },
            { "last_event", std::to_string(forwarding.lastEvent.value_or(0)) },
            { "resumes", forwarding.call.resumedAttempt.value() },
            { "software", forwarding.requirements.softwareVersion.value_or("none") },
            { "attempts", std::to_string(forwarding.attempts) },
            { "took_ms", std::to_string(toMilliseconds(Clock::now() - forwarding.startedAt).count()) },
            { "error", !forwarding.isComplete && forwarding.problem ? forwarding.problem->message : "" } });
}

} // namespace topaztack
