#include "peer_relay.hpp"

#include "error_responses.hpp"
#include "job_service.hpp"

#include <topaztack/base/log.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// An outage of the whole store is told after this many VMs have said so.
    constexpr std::size_t mostPeers = 3;
    /// For an answer, beyond the time for which the call itself may wait.
    constexpr Duration answerTime = 1200ms;
    constexpr unsigned lowestServerError = 500;
    constexpr unsigned statusNoRoute = 404;

    /// A VM may have an older configuration than the one by which the call was let in.
    bool isAnswer(const HttpResponse& response, const CallerRequest& call)
    {
        const bool lacksRoute = call.action == CallerAction::Route && response.status == statusNoRoute;
        return response.status < lowestServerError && !lacksRoute;
    }

    HttpRequest withoutConnectionHeaders(HttpRequest request)
    {
        std::erase_if(request.headers, [](const HttpHeader& header) { return isConnectionHeader(header.name); });
        return request;
    }

} // namespace

PeerRelay::PeerRelay(GatewayContext& context, const PeerDirectory& peers)
    : context(context)
    , peers(peers)
    , passed(context.metrics.counter("topaztack_calls_passed_total", "Calls about jobs answered by another VM"))
    , failed(context.metrics.counter("topaztack_calls_not_passed_total", "Calls about jobs that no VM could answer"))
{
}

asio::awaitable<PassedCall> PeerRelay::relayCall(const HttpRequest& request, const CallerRequest& call)
{
    PassedCall result;
    const bool hasEffect = call.action == CallerAction::Route || call.action == CallerAction::EndJob;
    const auto allowed = answerTime + std::min(call.wait, maxResultWait);
    for (const auto& peer : this->peers.candidates(mostPeers)) {
        auto answered = co_await this->context.httpClient.call(
            peer.endpoint, withoutConnectionHeaders(request), Clock::now() + allowed);
        const bool isUsable = answered && isAnswer(answered.value(), call);
        logEvent(LogLevel::Info, "call-passed",
            { { "id", call.id.value() }, { "job", call.job.value() }, { "vm", peer.vm.name.value() },
                { "status", answered ? std::to_string(answered.value().status) : "none" },
                { "error", answered ? "" : answered.error().error.message } });
        if (isUsable) {
            this->passed.add();
            auto& response = answered.value();
            std::erase_if(response.headers, [](const HttpHeader& header) { return isConnectionHeader(header.name); });
            result.answer = std::move(response);
            co_return result;
        }
        const bool saidNotRun
            = answered && (answered.value().status == statusNotRun || answered.value().status == statusNoRoute);
        const bool wasWritten = answered || answered.error().progress != AttemptProgress::NothingWritten;
        result.mayHaveRun = result.mayHaveRun || (hasEffect && wasWritten && !saidNotRun);
    }
    this->failed.add();
    co_return result;
}

} // namespace topaztack
