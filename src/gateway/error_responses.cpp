#include "error_responses.hpp"

namespace topaztack {

namespace {

    constexpr unsigned statusBadGateway = 502;
    constexpr unsigned statusTimeout = 504;

    /// Formats a time as seconds with three decimals.
    std::string formatSeconds(std::chrono::milliseconds time)
    {
        const auto whole = std::to_string(time.count() / 1000);
        auto fraction = std::to_string(time.count() % 1000);
        fraction.insert(0, 3 - fraction.size(), '0');
        return whole + "." + fraction;
    }

} // namespace

HttpResponse notRunResponse(const Error& error, const RequestId& id, std::chrono::milliseconds retryAfter)
{
    auto response = errorResponse(error, id.value());
    response.status = statusNotRun;
    response.headers.push_back({ "Retry-After", formatSeconds(retryAfter) });
    return response;
}

HttpResponse mayHaveRunResponse(const Error& error, const RequestId& id)
{
    auto response = errorResponse(error, id.value());
    const bool isTimeout = error.kind == ErrorKind::BackendTimeout || error.kind == ErrorKind::PlatformAmbiguous;
    response.status = isTimeout ? statusTimeout : statusBadGateway;
    return response;
}

} // namespace topaztack
