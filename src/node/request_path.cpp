#include <topaztack/node/request_path.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace topaztack {

namespace {

    constexpr std::uint64_t longestDeadlineMs = 86'400'000;

    bool sameName(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char one, char other) {
            return std::tolower(static_cast<unsigned char>(one)) == std::tolower(static_cast<unsigned char>(other));
        });
    }

    bool isHopHeader(std::string_view name)
    {
        static constexpr std::array<std::string_view, 4> ownHeaders { "host", ticketHeader, outcomeHeader,
            settlingHeader };
        return isConnectionHeader(name)
            || std::any_of(
                ownHeaders.begin(), ownHeaders.end(), [name](std::string_view own) { return sameName(name, own); });
    }

    std::string wholeSeconds(std::chrono::milliseconds time)
    {
        return std::to_string(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(time).count()));
    }

} // namespace

HttpResponse withOutcome(HttpResponse response, Outcome outcome)
{
    setHeader(response.headers, outcomeHeader, std::string(outcomeName(outcome)));
    return response;
}

HttpResponse errorWithOutcome(
    const Error& error, const RequestId& id, Outcome outcome, std::chrono::milliseconds retryAfter)
{
    auto response = errorResponse(error, id.value());
    if (response.status == 503 || response.status == 429)
        response.headers.push_back({ "Retry-After", wholeSeconds(retryAfter) });
    return withOutcome(std::move(response), outcome);
}

HttpResponse unknownAnswer(const Error& error, const RequestId& id, Settling settling)
{
    auto response = errorWithOutcome(error, id, Outcome::Unknown);
    setHeader(response.headers, settlingHeader, settling == Settling::AskAgain ? "ask-again" : "never");
    return response;
}

Outcome statedOutcome(const HttpResponse& response)
{
    return parseOutcome(findHeader(response.headers, outcomeHeader)).value_or(Outcome::Unknown);
}

std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader>& headers)
{
    std::vector<HttpHeader> kept;
    for (const auto& header : headers) {
        if (!isHopHeader(header.name))
            kept.push_back(header);
    }
    return kept;
}

void setHeader(std::vector<HttpHeader>& headers, std::string_view name, std::string value)
{
    std::erase_if(headers, [name](const HttpHeader& header) { return sameName(header.name, name); });
    headers.push_back({ std::string(name), std::move(value) });
}

Result<Duration> allowedTime(const HttpRequest& request, std::chrono::microseconds poolDeadline)
{
    const auto text = findHeader(request.headers, deadlineHeader);
    if (text.empty())
        return Duration(poolDeadline);
    std::uint64_t milliseconds = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool isWhole = problem == std::errc {} && end == text.data() + text.size();
    if (!isWhole || milliseconds == 0 || milliseconds > longestDeadlineMs)
        return makeError(ErrorKind::BadRequest, std::string(deadlineHeader) + " is not in 1..86400000",
            "send whole milliseconds, or leave the header out");
    return Duration(std::chrono::milliseconds(milliseconds));
}

CallerName callerOf(const HttpExchange& exchange)
{
    const auto named = findHeader(exchange.request().headers, callerHeader);
    return CallerName(named.empty() ? exchange.caller().address : std::string(named));
}

bool isReadOnly(std::string_view method) { return method == "GET" || method == "HEAD"; }

CachedResponsePtr toKept(const HttpResponse& response)
{
    boost::intrusive_ptr<CachedResponse> kept(new CachedResponse);
    kept->status = response.status;
    for (const auto& header : response.headers)
        kept->headers.push_back({ header.name, header.value });
    kept->body = response.body;
    return kept;
}

HttpResponse fromKept(const CachedResponse& answer)
{
    HttpResponse response;
    response.status = answer.status;
    for (const auto& header : answer.headers)
        response.headers.push_back({ header.name, header.value });
    response.body = answer.body;
    return response;
}

} // namespace topaztack
