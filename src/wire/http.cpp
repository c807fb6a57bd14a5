#include <topaztack/wire/http.hpp>

#include <boost/beast/core/string.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>

namespace topaztack {

namespace {

    int hexDigit(char character)
    {
        if (character >= '0' && character <= '9')
            return character - '0';
        if (character >= 'a' && character <= 'f')
            return character - 'a' + 10;
        if (character >= 'A' && character <= 'F')
            return character - 'A' + 10;
        return -1;
    }

    std::string percentDecode(std::string_view text)
    {
        std::string decoded;
        for (std::size_t place = 0; place < text.size(); ++place) {
            const bool isEscape = text[place] == '%' && place + 2 < text.size() && hexDigit(text[place + 1]) >= 0
                && hexDigit(text[place + 2]) >= 0;
            if (isEscape) {
                decoded += static_cast<char>(hexDigit(text[place + 1]) * 16 + hexDigit(text[place + 2]));
                place += 2;
            } else {
                decoded += text[place] == '+' ? ' ' : text[place];
            }
        }
        return decoded;
    }

} // namespace

std::string_view bodyToSend(const HttpRequest& request)
{
    return request.body.empty() ? request.borrowedBody : std::string_view(request.body);
}

std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (boost::beast::iequals(header.name, name))
            return header.value;
    }
    return {};
}

bool isConnectionHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 8> names { "connection", "keep-alive", "transfer-encoding",
        "content-length", "te", "trailer", "upgrade", "proxy-connection" };
    return std::any_of(
        names.begin(), names.end(), [name](std::string_view each) { return boost::beast::iequals(name, each); });
}

std::string_view targetPath(std::string_view target) { return target.substr(0, target.find('?')); }

std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos)
        return {};
    target.remove_prefix(mark + 1);
    while (!target.empty()) {
        const auto end = target.find('&');
        const auto pair = target.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percentDecode(pair.substr(equals + 1));
        if (end == std::string_view::npos)
            break;
        target.remove_prefix(end + 1);
    }
    return {};
}

HttpResponse jsonResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = std::move(body);
    return response;
}

HttpResponse errorResponse(const Error& error, std::string_view requestId)
{
    const boost::json::value body { { "error",
        { { "kind", kindName(error.kind) }, { "number", static_cast<unsigned>(error.kind) }, { "id", requestId },
            { "message", error.message }, { "remedy", error.remedy } } } };
    return jsonResponse(httpStatus(error.kind), boost::json::serialize(body));
}

unsigned httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::RequestTooLarge:
        return 413;
    case ErrorKind::UnknownPool:
    case ErrorKind::UnknownTrainer:
    case ErrorKind::UnknownPath:
    case ErrorKind::ObjectMissing:
        return 404;
    case ErrorKind::KeyReused:
        return 422;
    case ErrorKind::SlowCaller:
        return 408;
    case ErrorKind::CallerLimit:
        return 429;
    case ErrorKind::NotAuthorised:
    case ErrorKind::CallerNotIdentified:
        return 401;
    case ErrorKind::ConfigConflict:
    case ErrorKind::PlatformConflict:
    case ErrorKind::IncarnationGone:
    case ErrorKind::RetentionOver:
        return 409;
    case ErrorKind::BackendBroke:
    case ErrorKind::BackendAnswerMalformed:
        return 502;
    case ErrorKind::BackendTimeout:
        return 504;
    case ErrorKind::Internal:
        return 500;
    case ErrorKind::BadRequest:
    case ErrorKind::BadDocument:
    case ErrorKind::BadSettings:
    case ErrorKind::BadFrame:
        return 400;
    default:
        return 503;
    }
}

} // namespace topaztack
