#include <topaztack/wire/sse.hpp>

namespace topaztack {

namespace {

    constexpr std::size_t compactAbove = 16 * 1024;

    /// The data lines of one event, joined by line feeds.
    std::optional<std::string> dataOf(std::string_view event)
    {
        std::optional<std::string> data;
        while (!event.empty()) {
            const auto end = event.find('\n');
            auto line = event.substr(0, end);
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            if (line.starts_with("data:")) {
                line.remove_prefix(5);
                if (line.starts_with(' '))
                    line.remove_prefix(1);
                data = data ? *data + "\n" + std::string(line) : std::string(line);
            }
            if (end == std::string_view::npos)
                break;
            event.remove_prefix(end + 1);
        }
        return data;
    }

} // namespace

void SseReader::feed(std::string_view piece)
{
    if (this->start > compactAbove) {
        this->buffer.erase(0, this->start);
        this->start = 0;
    }
    this->buffer += piece;
}

std::optional<std::string> SseReader::next()
{
    while (true) {
        const std::string_view rest = std::string_view(this->buffer).substr(this->start);
        auto end = rest.find("\n\n");
        std::size_t gap = 2;
        const auto crlf = rest.find("\r\n\r\n");
        if (crlf < end) {
            end = crlf;
            gap = 4;
        }
        if (end == std::string_view::npos)
            return std::nullopt;
        auto data = dataOf(rest.substr(0, end));
        this->start += end + gap;
        if (data)
            return data;
    }
}

std::string sseEvent(std::string_view data) { return "data: " + std::string(data) + "\n\n"; }

} // namespace topaztack
