#include "http_head.hpp"

#include <boost/beast/core/string.hpp>

namespace topaztack {

namespace {

    constexpr std::size_t mostFields = 100;
    constexpr unsigned oldVersion = 10;
    constexpr unsigned minStatus = 100;
    constexpr unsigned maxStatus = 599;
    constexpr unsigned statusSwitchingProtocols = 101;

    Error refused(std::string_view what)
    {
        return makeError(ErrorKind::BadRequest, "request not understood: " + std::string(what));
    }

    bool isForbiddenControl(char character)
    {
        const auto code = static_cast<unsigned char>(character);
        const bool isAllowed = character == '\t' || character == '\r' || character == '\n';
        return (code < 0x20 && !isAllowed) || code == 0x7f;
    }

    std::size_t countHeaders(const std::vector<HttpHeader>& headers, std::string_view name)
    {
        std::size_t count = 0;
        for (const auto& header : headers)
            count += boost::beast::iequals(header.name, name) ? 1 : 0;
        return count;
    }

} // namespace

std::optional<std::string_view> checkHead(std::string_view head)
{
    for (std::size_t place = 0; place < head.size(); ++place) {
        const char character = head[place];
        const char next = place + 1 < head.size() ? head[place + 1] : '\0';
        const bool isFirst = place == 0;
        if (character == '\n' && (isFirst || head[place - 1] != '\r'))
            return "a line ends with a bare line feed";
        if (character == '\r' && next != '\n')
            return "a bare carriage return";
        if (character == '\n' && (next == ' ' || next == '\t'))
            return "a field continues on another line";
        if (isForbiddenControl(character))
            return "a control character";
    }
    return std::nullopt;
}

std::optional<Error> checkFields(const std::vector<HttpHeader>& headers, unsigned version)
{
    if (headers.size() > mostFields)
        return makeError(ErrorKind::RequestTooLarge, "more than " + std::to_string(mostFields) + " header fields");
    const auto codings = countHeaders(headers, "Transfer-Encoding");
    const auto lengths = countHeaders(headers, "Content-Length");
    if (codings > 0 && version <= oldVersion)
        return refused("Transfer-Encoding with HTTP/1.0");
    if (codings > 1 || (codings == 1 && !boost::beast::iequals(findHeader(headers, "Transfer-Encoding"), "chunked")))
        return refused("a transfer coding other than chunked");
    if (lengths > 1 || (lengths == 1 && codings == 1))
        return refused("more than one length");
    if (countHeaders(headers, "Host") > 1)
        return refused("more than one Host");
    return std::nullopt;
}

std::optional<Error> checkStatus(unsigned status)
{
    if (status >= minStatus && status <= maxStatus && status != statusSwitchingProtocols)
        return std::nullopt;
    return makeError(ErrorKind::BackendAnswerMalformed, "answered with the status " + std::to_string(status));
}

} // namespace topaztack
