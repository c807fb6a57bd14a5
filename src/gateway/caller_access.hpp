#pragma once

#include "context.hpp"

#include <functional>
#include <optional>

/// @file
/// Admits callers by the key of their workspace, and calls that other VMs pass on by what those VMs state.

namespace topaztack {

class CallerAccess {
public:
    /// @param confirmedAt when the store last confirmed the configuration.
    CallerAccess(GatewayContext& context, std::function<TimePoint()> confirmedAt);

    /// @brief Whether the configuration was confirmed so long ago that it may lack a route or key that callers already
    /// use.
    bool isConfigurationStale() const;

    /// @brief Identifies the caller of a request and removes its key from `call`.
    /// @param route nullptr for calls about a job.
    /// @return the refusal; nothing if the caller is admitted. Whether a call about a job needs a key may depend on the
    /// job, so it is then admitted without a workspace and `call.access` tells why it has none.
    std::optional<HttpResponse> admit(CallerRequest& call, const Route* route);

    /// @brief Takes over how the VM that passed a request on identified its caller.
    /// @return the refusal; nothing if the request is admitted.
    std::optional<HttpResponse> admitFromPeer(const HttpRequest& request, CallerRequest& call);

    /// @brief The response to a caller whose `access` is not Admitted.
    HttpResponse refuse(const CallerRequest& call);

private:
    void recordRefusal(const CallerRequest& call, std::string_view reason);
    void recordAdmission();
    std::string configurationAge() const;

    GatewayContext& context;
    const std::function<TimePoint()> confirmedAt;
    /// Requests admitted on a stale configuration since the last log line about them.
    std::uint64_t staleAdmissions { 0 };
    TimePoint staleAdmissionsLoggedAt;
};

/// @brief The response to a caller that sent no key or an unknown one.
HttpResponse notIdentifiedResponse(const RequestId& id, std::string message);

} // namespace topaztack
