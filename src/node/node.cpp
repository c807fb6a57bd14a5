#include <topaztack/node/node.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/node/caller_gate.hpp>
#include <topaztack/node/claim_desk.hpp>
#include <topaztack/node/completion_relay.hpp>
#include <topaztack/node/config_desk.hpp>
#include <topaztack/node/config_keeper.hpp>
#include <topaztack/node/forwarder.hpp>
#include <topaztack/node/lease_keeper.hpp>
#include <topaztack/node/member_agent.hpp>
#include <topaztack/node/operator_gate.hpp>
#include <topaztack/node/peer_desk.hpp>
#include <topaztack/node/retry_desk.hpp>
#include <topaztack/node/service_relay.hpp>
#include <topaztack/node/status_desk.hpp>
#include <topaztack/node/ticket_desk.hpp>
#include <topaztack/node/trainer_desk.hpp>
#include <topaztack/wire/server_share.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <thread>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto defaultDrainTime = 30s;
    constexpr auto drainCheckInterval = 10ms;
    /// For writing answers in place of handlers that don't end.
    constexpr auto lastAnswerTime = 100ms;
    constexpr unsigned statusBadGateway = 502;
    constexpr auto keyCheckInterval = 2s;
    constexpr std::size_t operatorBodyLimit = 4 * 1024 * 1024;

    /// Calls to other VMs from whichever thread asks.
    PeerCaller callerOf(NodeContext& context)
    {
        return [&context](Endpoint endpoint, PeerCall call, TimePoint deadline) {
            return context.clients().peers.call(std::move(endpoint), std::move(call), deadline);
        };
    }

} // namespace

struct Node::Parts {
    Parts(VmSettings settings, VmIdentity identity);

    void addPeerHandlers();
    asio::awaitable<void> watchKeys();
    void addOperatorRoutes();
    asio::awaitable<void> answerText(HttpExchange& exchange, std::string contentType, std::string body);
    json::value dump() const;
    /// Requests of callers and of other VMs that have no answer yet.
    std::size_t inFlight() const { return this->callerServer.inFlight() + this->services.forwardedInHand(); }

    /// Whether a request is in flight or may still arrive from a caller.
    bool isServing() const
    {
        return this->callerServer.isAccepting() || this->callerServer.openConnections() > 0 || this->inFlight() > 0;
    }
    HttpServerLimits callerLimits() const;
    void answerPending();

    NodeContext context;
    ConfigKeeper config;
    ConfigDesk configDesk;
    StatusDesk statusDesk;
    OperatorGate gate;
    CallerGate callerGate;
    LeaseKeeper leases;
    BackendTable backends;
    TicketDesk tickets;
    RetryDesk retries;
    CallerLimits inHand;
    CrashMemory crashes;
    Forwarder forwarder;
    ClaimDesk claims;
    ServiceRelay services;
    CompletionRelay completions;
    LedgerStore ledgers;
    WeightRoller weights;
    SampleCollector samples;
    TrainerDesk trainers;
    PeerDesk peers;
    HttpRouter callerRoutes;
    HttpRouter operatorRoutes;
    HttpServer callerServer;
    HttpServer operatorServer;
    std::function<void()> drainRequested;
    PeerServer peerServer;
    MemberAgent members;
};

Node::Parts::Parts(VmSettings settings, VmIdentity identity)
    : context(std::move(settings), std::move(identity))
    , config(this->context, callerOf(this->context))
    , configDesk(this->context, this->config)
    , statusDesk(this->context, this->config, callerOf(this->context))
    , gate(this->context)
    , callerGate(this->context)
    , leases(this->context)
    , backends(this->context)
    , tickets(this->context)
    , retries(this->context)
    , inHand(this->context)
    , crashes(this->context)
    , forwarder(this->context, callerOf(this->context))
    , claims(this->context, this->tickets, callerOf(this->context))
    , services(this->context, this->backends, this->tickets, this->claims, this->forwarder, this->retries, this->inHand,
          this->crashes)
    , completions(this->context, this->backends, this->retries, this->inHand)
    , ledgers(this->context)
    , weights(this->context, this->leases)
    , samples(this->context, this->completions, this->ledgers, this->leases)
    , trainers(this->context, this->ledgers, this->samples, this->weights)
    , peers(this->context)
    , callerServer(
          this->context.threads, this->context.settings.callers,
          [this] { return limitToShare(this->callerLimits(), ServedPort::Callers, this->context.settings); },
          [this](HttpExchange& exchange) { return this->callerGate.handle(exchange, this->callerRoutes); },
          this->context.metrics, "callers")
    , operatorServer(
          this->context.threads, this->context.settings.operators,
          [this] {
              return limitToShare({ .maxBody = operatorBodyLimit }, ServedPort::Operators, this->context.settings);
          },
          [this](HttpExchange& exchange) { return this->gate.handle(exchange, this->operatorRoutes); },
          this->context.metrics, "operators")
    , peerServer(
          this->context.threads, this->context.settings.peers,
          this->context.peerKey ? this->context.peerKey.value() : PeerKey {},
          [this](PeerCall call) { return this->peers.answer(std::move(call)); }, this->context.metrics,
          this->context.peerTls())
    , members(this->context, this->config, this->context.peerKey ? this->context.peerKey.value() : PeerKey {})
{
    this->addPeerHandlers();
    this->tickets.addRoutes(this->callerRoutes);
    this->services.addRoutes(this->callerRoutes);
    this->completions.addRoutes(this->callerRoutes);
    this->trainers.addRoutes(this->callerRoutes);
    this->configDesk.addRoutes(this->operatorRoutes);
    this->statusDesk.addRoutes(this->operatorRoutes);
    this->addOperatorRoutes();
}

HttpServerLimits Node::Parts::callerLimits() const
{
    HttpServerLimits limits;
    const auto accepted = this->context.document();
    if (!accepted)
        return limits;
    limits.maxBody = accepted->document.limits.maxBody;
    limits.maxConnections = accepted->document.limits.callerConnections;
    limits.idle = accepted->document.limits.callerIdle;
    return limits;
}

/// Tells the callers whose requests are still in hand that they may have run.
void Node::Parts::answerPending()
{
    auto unknown = errorResponse(makeError(ErrorKind::ShuttingDown, "this VM stopped before there was an answer"));
    unknown.status = statusBadGateway;
    setHeader(unknown.headers, settlingHeader, "never");
    unknown = withOutcome(std::move(unknown), Outcome::Unknown);
    const auto end = Clock::now() + lastAnswerTime;
    while (this->callerServer.inFlight() > 0 && Clock::now() < end) {
        this->callerServer.answerPending(unknown);
        std::this_thread::sleep_for(drainCheckInterval);
    }
}

asio::awaitable<void> Node::Parts::answerText(HttpExchange& exchange, std::string contentType, std::string body)
{
    HttpResponse response;
    response.headers.push_back({ "Content-Type", std::move(contentType) });
    response.body = std::move(body);
    co_await exchange.respond(std::move(response));
}

void Node::Parts::addPeerHandlers()
{
    this->peers.onForwarded([this](ForwardedCall call) -> asio::awaitable<PeerAnswer> {
        auto response = co_await this->services.handleForwarded(std::move(call));
        co_return ForwardedAnswer { std::move(response) };
    });
    this->peers.onPart(std::string(claimsPart),
        [this](PartCall call) -> asio::awaitable<PeerAnswer> { co_return this->claims.handlePart(call); });
}

/// Keys that were replaced on the VM are taken into use; bad ones are logged and the old ones stay.
asio::awaitable<void> Node::Parts::watchKeys()
{
    asio::steady_timer timer(this->context.threads.at(0));
    while (this->context.peerTls()) {
        timer.expires_after(keyCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        const auto reloaded = this->context.peerTls()->reloadIfChanged();
        if (!reloaded)
            logEvent(LogLevel::Error, "keys-refused", { { "error", toText(reloaded.error()) } });
        else if (reloaded.value())
            logEvent(LogLevel::Info, "keys-reloaded");
    }
}

void Node::Parts::addOperatorRoutes()
{
    this->operatorRoutes.add("GET", "/healthz",
        [this](HttpExchange& exchange) { return this->answerText(exchange, "text/plain", "alive\n"); });
    this->operatorRoutes.add("GET", "/readyz", [this](HttpExchange& exchange) -> asio::awaitable<void> {
        if (this->context.document() && !this->context.isDraining)
            co_await this->answerText(exchange, "text/plain", "ready\n");
        else
            co_await exchange.respond(
                errorResponse(makeError(ErrorKind::NotReady, "no document in force, or draining")));
    });
    this->operatorRoutes.add("GET", "/metrics", [this](HttpExchange& exchange) {
        return this->answerText(exchange, "text/plain; version=0.0.4", this->context.metrics.prometheusText());
    });
    this->operatorRoutes.add("POST", "/v1/drain", [this](HttpExchange& exchange) -> asio::awaitable<void> {
        co_await exchange.respond(jsonResponse(202, R"({"draining":true})"));
        if (this->drainRequested)
            this->drainRequested();
    });
    this->operatorRoutes.add("GET", "/debug/state", [this](HttpExchange& exchange) {
        return this->answerText(exchange, "application/json", json::serialize(this->dump()));
    });
}

json::value Node::Parts::dump() const
{
    return json::object {
        { "vm", this->context.identity.name.value() },
        { "incarnation", toHex(this->context.identity.incarnation.value()) },
        { "data_centre", this->context.settings.dataCentre.value() },
        { "draining", this->context.isDraining.load() },
        { "config", this->config.dump() },
        { "leases", this->leases.dump() },
        { "members", this->members.dump() },
        { "tickets", this->tickets.dump() },
        { "claims", this->claims.dump() },
        { "pools", this->backends.dump() },
        { "trainers", this->trainers.dump() },
        { "weights", this->weights.dump() },
        { "in_flight", this->inFlight() },
    };
}

Node::Node(VmSettings settings, VmIdentity identity)
    : parts(std::make_unique<Parts>(std::move(settings), std::move(identity)))
{
}

Node::~Node() = default;

void Node::onDrainRequested(std::function<void()> notify) { this->parts->drainRequested = std::move(notify); }

Result<void> Node::start()
{
    BOOST_OUTCOME_TRYV(this->parts->gate.start());
    if (!this->parts->context.peerKey)
        return this->parts->context.peerKey.error();
    if (!this->parts->context.tls)
        return this->parts->context.tls.error();
    this->parts->config.start();
    this->parts->claims.start();
    this->parts->backends.start();
    this->parts->leases.start();
    asio::co_spawn(this->parts->context.threads.at(0), this->parts->watchKeys(), asio::detached);
    this->parts->samples.start();
    this->parts->weights.start();
    BOOST_OUTCOME_TRYV(this->parts->callerServer.start());
    BOOST_OUTCOME_TRYV(this->parts->operatorServer.start());
    BOOST_OUTCOME_TRYV(this->parts->peerServer.start());
    BOOST_OUTCOME_TRYV(this->parts->members.start());
    this->parts->context.threads.start();
    logEvent(LogLevel::Info, "serving",
        { { "callers", toText(this->parts->context.settings.callers) },
            { "operators", toText(this->parts->context.settings.operators) } });
    return boost::outcome_v2::success();
}

void Node::shutDown()
{
    auto& context = this->parts->context;
    const auto accepted = context.document();
    const auto drainTime = accepted ? std::chrono::microseconds(accepted->document.limits.drainTime)
                                    : std::chrono::microseconds(defaultDrainTime);
    context.drain = planDrain(Clock::now(), drainTime);
    context.isDraining = true;
    asio::co_spawn(context.threads.at(0), this->parts->members.leave(), asio::use_future).wait();
    this->parts->callerServer.stopAccepting();
    while (this->parts->isServing() && Clock::now() < context.drain.answerAt)
        std::this_thread::sleep_for(drainCheckInterval);
    this->parts->answerPending();
    asio::co_spawn(context.threads.at(0), this->parts->leases.releaseAll(), asio::use_future).wait();
    logEvent(LogLevel::Info, "stopped",
        { { "cut_off", std::to_string(this->parts->inFlight()) },
            { "answers_not_kept_any_more", std::to_string(this->parts->tickets.kept()) } });
    this->parts->operatorServer.stopAccepting();
    this->parts->peerServer.stop();
    this->parts->members.stop();
    context.threads.stop();
}

} // namespace topaztack
