#include "peer_relay.hpp"

#include "error_responses.hpp"
#include "job_service.hpp"

#include <topaztack/base/log.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// The caller is told of an outage of the whole store after this many VMs have reported it.
    constexpr std::size_t maxPeersAsked = 3;
    /// Time for another VM to respond, in addition to the time for which the call itself may wait.
    constexpr Duration responseTimeout = 1200ms;
    constexpr unsigned firstServerErrorStatus = 500;
    constexpr unsigned statusNotFound = 404;

    /// A 404 for a job submission doesn't count: the other VM may have an older configuration than the one that
    /// accepted the call here.
    bool isUsableResponse(const HttpResponse& response, const CallerRequest& call)
    {
        const bool lacksRoute = call.action == CallerAction::Route && response.status == statusNotFound;
        return response.status < firstServerErrorStatus && !lacksRoute;
    }

} // namespace

PeerRelay::PeerRelay(GatewayContext& context, const PeerDirectory& peers)
    : context(context)
    , peers(peers)
    , relayedCalls(context.metrics.counter("topaztack_calls_passed_total", "Calls about jobs answered by another VM"))
    , failedCalls(
          context.metrics.counter("topaztack_calls_not_passed_total", "Calls about jobs that no VM could answer"))
{
}

asio::awaitable<RelayResult> PeerRelay::relayCall(const HttpRequest& request, const CallerRequest& call)
{
    RelayResult result;
    const bool hasEffect = call.action == CallerAction::Route || call.action == CallerAction::EndJob;
    const auto timeLimit = responseTimeout + std::min(call.wait, maxResultWait);
    for (const auto& peer : this->peers.candidates(maxPeersAsked)) {
        auto relayed = this->context.protocol.encodeRelayedCall(request, identityOf(call));
        auto answered
            = co_await this->context.httpClient.call(peer.endpoint, std::move(relayed), Clock::now() + timeLimit);
        const bool isUsable = answered && isUsableResponse(answered.value(), call);
        logEvent(LogLevel::Info, "call-passed",
            { { "id", call.id.value() }, { "job", call.job.value() }, { "vm", peer.vm.name.value() },
                { "status", answered ? std::to_string(answered.value().status) : "none" },
                { "error", answered ? "" : answered.error().error.message } });
        if (isUsable) {
            this->relayedCalls.add();
            auto& response = answered.value();
            std::erase_if(response.headers, [](const HttpHeader& header) { return isConnectionHeader(header.name); });
            result.answer = std::move(response);
            co_return result;
        }
        const bool saidNotRun
            = answered && (answered.value().status == statusNotRun || answered.value().status == statusNotFound);
        const bool wasWritten = answered || answered.error().progress != AttemptProgress::NothingWritten;
        result.mayHaveRun = result.mayHaveRun || (hasEffect && wasWritten && !saidNotRun);
    }
    this->failedCalls.add();
    co_return result;
}

} // namespace topaztack
