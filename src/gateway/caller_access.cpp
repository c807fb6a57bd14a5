#include "caller_access.hpp"

#include "error_responses.hpp"

#include <topaztack/base/log.hpp>

namespace topaztack {

using namespace std::chrono_literals;

namespace {

    /// A configuration that was confirmed longer ago than this may lack a route or a key that callers already use.
    constexpr Duration maxConfigurationAge = 1500ms;
    constexpr Duration staleAdmissionLogInterval = 1s;

} // namespace

HttpResponse notIdentifiedResponse(const RequestId& id, std::string message)
{
    auto response = errorResponse(makeError(ErrorKind::CallerNotIdentified, std::move(message)), id.value());
    response.headers.push_back({ "WWW-Authenticate", "Bearer" });
    return response;
}

CallerAccess::CallerAccess(GatewayContext& context, std::function<TimePoint()> confirmedAt)
    : context(context)
    , confirmedAt(std::move(confirmedAt))
{
}

bool CallerAccess::isConfigurationStale() const { return Clock::now() - this->confirmedAt() > maxConfigurationAge; }

std::string CallerAccess::configurationAge() const
{
    return std::to_string(toMilliseconds(Clock::now() - this->confirmedAt()).count());
}

void CallerAccess::recordRefusal(const CallerRequest& call, std::string_view reason)
{
    this->context.metrics
        .counter("topaztack_callers_refused_total", "Callers refused because of their key",
            R"(reason=")" + std::string(reason) + R"(")")
        .add();
    logEvent(LogLevel::Info, "caller-refused",
        { { "id", call.id.value() }, { "reason", std::string(reason) },
            { "configuration", std::to_string(this->context.routes->version.value()) },
            { "age_ms", this->configurationAge() } });
}

void CallerAccess::recordAdmission()
{
    if (!this->isConfigurationStale())
        return;
    ++this->staleAdmissions;
    const auto now = Clock::now();
    if (now - this->staleAdmissionsLoggedAt < staleAdmissionLogInterval)
        return;
    logEvent(LogLevel::Warning, "callers-admitted-on-stale-configuration",
        { { "requests", std::to_string(this->staleAdmissions) },
            { "configuration", std::to_string(this->context.routes->version.value()) },
            { "age_ms", this->configurationAge() } });
    this->staleAdmissions = 0;
    this->staleAdmissionsLoggedAt = now;
}

/// A key that a newer configuration may have is not called unknown.
HttpResponse CallerAccess::refuse(const CallerRequest& call)
{
    if (call.access == AccessVerdict::KeyMissing) {
        this->recordRefusal(call, "key-missing");
        return notIdentifiedResponse(call.id, "the request carries no key");
    }
    if (this->isConfigurationStale()) {
        this->recordRefusal(call, "key-unconfirmed");
        return notRunResponse(makeError(ErrorKind::NotReady, "the key is not known, and the configuration may be old"),
            call.id, notReadyRetryAfter);
    }
    this->recordRefusal(call, "key-unknown");
    return notIdentifiedResponse(call.id, "the key is not one of a workspace");
}

std::optional<HttpResponse> CallerAccess::admit(CallerRequest& call, const Route* route)
{
    const auto table = this->context.routes;
    if (!table)
        return notRunResponse(makeError(ErrorKind::NotReady, "no configuration yet"), call.id, notReadyRetryAfter);
    if (!table->hasWorkspaces)
        return std::nullopt;
    const auto access = decideAccess(*table, route, call.apiKey);
    call.apiKey.clear();
    call.credential.clear();
    call.hasWorkspaces = true;
    call.workspace = access.workspace;
    call.access = access.verdict;
    const bool isDecidedByHead = call.action != CallerAction::Route && hasPublicJobs(*table);
    if (access.verdict != AccessVerdict::Admitted && !isDecidedByHead)
        return this->refuse(call);
    this->recordAdmission();
    return std::nullopt;
}

std::optional<HttpResponse> CallerAccess::admitFromPeer(const HttpRequest& request, CallerRequest& call)
{
    const auto table = this->context.routes;
    if (!table)
        return notRunResponse(makeError(ErrorKind::NotReady, "no configuration yet"), call.id, notReadyRetryAfter);
    const auto identity = this->context.protocol.decodeIdentity(request);
    if (table->hasWorkspaces && !identity.hasWorkspaces) {
        this->recordRefusal(call, "peer-without-workspaces");
        return notRunResponse(makeError(ErrorKind::NotReady, "the VM that passed the request on has no workspaces yet"),
            call.id, notReadyRetryAfter);
    }
    call.hasWorkspaces = identity.hasWorkspaces;
    call.workspace = identity.workspace;
    call.apiKey.clear();
    if (call.hasWorkspaces)
        call.credential.clear();
    return std::nullopt;
}

} // namespace topaztack
