#include "session.hpp"

#include <topaztack/base/random.hpp>
#include <topaztack/control/operator_tokens.hpp>

#include <algorithm>

namespace topaztack::console {

namespace {

    constexpr std::size_t csrfTokenLength = 32;

    bool isCsrfToken(const std::string& text)
    {
        return text.size() == csrfTokenLength
            && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
    }

} // namespace

std::string findCookie(const HttpRequest& request, std::string_view name)
{
    std::string_view rest = findHeader(request.headers, "Cookie");
    while (!rest.empty()) {
        const auto end = std::min(rest.find(';'), rest.size());
        auto pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        while (pair.starts_with(' '))
            pair.remove_prefix(1);
        if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
            return std::string(pair.substr(name.size() + 1));
    }
    return {};
}

std::string csrfTokenFor(const HttpRequest& request)
{
    auto csrfToken = findCookie(request, csrfCookieName);
    if (isCsrfToken(csrfToken))
        return csrfToken;
    return toHex(systemSeed()) + toHex(systemSeed());
}

bool passesCsrfCheck(const HttpRequest& request, const FormFields& fields)
{
    const auto cookie = findCookie(request, csrfCookieName);
    const auto field = fields.find(std::string(csrfFieldName));
    if (!isCsrfToken(cookie) || field == fields.end() || !equalsInConstantTime(cookie, field->second))
        return false;
    const auto origin = findHeader(request.headers, "Origin");
    const std::string host(findHeader(request.headers, "Host"));
    return origin.empty() || origin == "http://" + host || origin == "https://" + host;
}

void setCookie(HttpResponse& response, std::string_view name, const std::string& value)
{
    response.headers.push_back(
        { "Set-Cookie", std::string(name) + "=" + value + "; Path=/; HttpOnly; SameSite=Strict" });
}

HttpResponse htmlResponse(unsigned status, std::string html, const std::string& csrfToken)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "text/html; charset=utf-8" });
    response.headers.push_back({ "Cache-Control", "no-store" });
    response.headers.push_back({ "Content-Security-Policy",
        "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'" });
    setCookie(response, csrfCookieName, csrfToken);
    response.body = std::move(html);
    return response;
}

} // namespace topaztack::console
