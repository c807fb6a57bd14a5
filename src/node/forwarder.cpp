#include <topaztack/node/forwarder.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/policy/home.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// Kept back from the deadline that the home is given, so that its answer arrives in time.
    constexpr Duration returnTime = 20ms;
    /// Time for a home that membership believes dead.
    constexpr Duration doubtedHomeTime = 500ms;

    HttpResponse homeUnreachable(const RequestId& id, const std::string& why)
    {
        return unknownAnswer(makeError(ErrorKind::HomeUnreachable, why), id, Settling::AskAgain);
    }

    ForwardedCall callFor(const TicketId& ticket, CallInHand call, TimePoint deadline)
    {
        const auto left = deadline - Clock::now();
        ForwardedCall forwarded;
        forwarded.id = std::move(call.id);
        forwarded.home = ticket.home;
        forwarded.request = std::move(call.request);
        forwarded.remaining = toMilliseconds(std::max<Duration>(left - std::min(returnTime, left / 4), 1ms));
        setHeader(forwarded.request.headers, ticketHeader, toText(ticket));
        setHeader(forwarded.request.headers, callerHeader, call.caller.value());
        return forwarded;
    }

} // namespace

HttpResponse incarnationGone(const RequestId& id)
{
    return unknownAnswer(
        makeError(ErrorKind::IncarnationGone, "the process that issued this ticket has ended"), id, Settling::Never);
}

Forwarder::Forwarder(NodeContext& context, PeerCaller caller)
    : context(context)
    , caller(std::move(caller))
    , forwarded(context.metrics.counter("topaztack_forwarded_total", "Requests sent on to their ticket's home"))
    , unreachable(context.metrics.counter(
          "topaztack_home_unreachable_total", "Requests whose ticket's home could not be reached"))
{
}

asio::awaitable<HttpResponse> Forwarder::forward(TicketId ticket, CallInHand call)
{
    const auto id = call.id;
    const auto view = this->context.members.load();
    const auto home = decideHome(ticket, this->context.identity, view.get(), this->context.settings.peerList);
    if (home.kind == HomeKind::Gone)
        co_return incarnationGone(id);
    if (home.kind == HomeKind::NoAddress)
        co_return homeUnreachable(id, "no address is known for VM `" + ticket.home.name.value() + "`");
    this->forwarded.add();
    auto deadline = call.deadline;
    if (home.isBelievedDead)
        deadline = std::min(deadline, Clock::now() + doubtedHomeTime);
    PeerCall message = callFor(ticket, std::move(call), deadline);
    auto answered = co_await this->caller(home.endpoint, std::move(message), deadline);
    const auto* answer = answered ? std::get_if<ForwardedAnswer>(&answered.value()) : nullptr;
    if (answer)
        co_return answer->response;
    this->unreachable.add();
    const auto why = answered ? std::string("the home VM did not take the request") : answered.error().error.message;
    logEvent(LogLevel::Warning, "home-unreachable",
        { { "request", id.value() }, { "home", ticket.home.name.value() }, { "error", why } });
    co_return homeUnreachable(id, why);
}

} // namespace topaztack
