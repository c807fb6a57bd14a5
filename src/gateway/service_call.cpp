#include "service_call.hpp"

#include "error_responses.hpp"

#include <topaztack/base/log.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;

namespace {

    /// An attempt is abandoned after this many latency objectives of its route.
    constexpr int latencyObjectivesPerAttempt = 2;
    constexpr std::chrono::milliseconds minAttemptTime { 50 };
    /// Retry-After of a request that was refused because no server was free.
    constexpr std::chrono::milliseconds refusalRetryAfter { 100 };

    ServiceCallResult failedCall(ServiceCallOutcome outcome, Error problem)
    {
        return { outcome, std::nullopt, std::move(problem) };
    }

    /// @param answer the decoded head of `response`.
    ServiceCallResult classifyAnswer(
        const ServerRecord& server, const ServerResponseHead& answer, HttpResponse response)
    {
        if (answer.isOtherServer || answer.saysNotRun)
            return failedCall(ServiceCallOutcome::Refused,
                makeError(
                    ErrorKind::Overloaded, server.name.value() + " refused with " + std::to_string(response.status)));
        const bool isEncoded = !findHeader(response.headers, "Content-Encoding").empty();
        if (answer.serverStamp.empty() || isEncoded)
            return failedCall(ServiceCallOutcome::Unknown,
                makeError(ErrorKind::BackendAnswerMalformed,
                    server.name.value() + " answered without its server stamp or with a content encoding"));
        return { ServiceCallOutcome::Answered, std::move(response), std::nullopt };
    }

    ServerOutcome toServerOutcome(const ServerResponseHead& answer, const ServiceCallResult& result)
    {
        if (answer.isOtherServer)
            return ServerOutcome::Replaced;
        if (answer.saysNotRun)
            return ServerOutcome::Refused;
        const bool isFailure = !result.response || isServerError(result.response->status);
        return isFailure ? ServerOutcome::Failed : ServerOutcome::Answered;
    }

} // namespace

HttpResponse failureResponse(ServerTable& servers, const PoolName& pool, bool mayHaveRun,
    const std::optional<Error>& problem, const RequestId& id, std::optional<std::chrono::milliseconds> retryAfter)
{
    if (mayHaveRun)
        return mayHaveRunResponse(
            problem.value_or(makeError(ErrorKind::BackendTimeout, "no backend server answered before the deadline")),
            id);
    servers.recordUnserved(pool);
    const auto error
        = problem.value_or(makeError(ErrorKind::NoBackendServer, "pool `" + pool.value() + "` has no free server"));
    const auto serverFree = std::max(refusalRetryAfter, toMilliseconds(servers.timeUntilAdmission(pool)));
    return notRunResponse(error, id, retryAfter.value_or(serverFree));
}

void logBrokenAttempt(const RequestId& id, RequestContent& content, const ServerRecord& server,
    const ServerTable& servers, const std::optional<Error>& problem)
{
    logEvent(LogLevel::Info, "attempt-broke-off",
        { { "id", id.value() }, { "content", content.digest() }, { "server", server.name.value() },
            { "software", server.softwareVersion }, { "others", std::to_string(servers.outstanding(server.name)) },
            { "error", problem ? problem->message : "" } });
}

Duration repeatableAttemptTime(const Route& route)
{
    return std::max(minAttemptTime, latencyObjectivesPerAttempt * route.latencyObjective);
}

asio::awaitable<ServiceCallResult> callService(GatewayContext& context, ServerTable& servers, HttpRequest request,
    RequestId id, ServerRecord server, TimePoint deadline, CallControl& control, const ServerRequirements& requirements)
{
    CallOptions options;
    options.control = &control;
    options.accepts = [&context, &id](const HttpResponse& response) {
        const auto answer = context.protocol.decodeAnswer(response);
        return answer.request.value().empty() || answer.request == id;
    };
    const auto sentAt = Clock::now();
    servers.recordSend(server, requirements, sentAt);
    auto called = co_await context.httpClient.call(server.endpoint, std::move(request), deadline, std::move(options));
    if (!called) {
        const bool isReached = called.error().progress != AttemptProgress::NothingWritten;
        servers.finish(
            server, control.isCancelled() ? ServerOutcome::Cancelled : ServerOutcome::Failed, requirements, sentAt);
        co_return failedCall(
            isReached ? ServiceCallOutcome::Unknown : ServiceCallOutcome::NotReached, std::move(called.error().error));
    }
    const auto answer = context.protocol.decodeAnswer(called.value());
    servers.recordAnswer(server, answer, sentAt);
    auto result = classifyAnswer(server, answer, std::move(called).value());
    servers.finish(server, toServerOutcome(answer, result), requirements, sentAt);
    co_return result;
}

} // namespace topaztack
