#include <topaztack/wire/sse.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    constexpr std::size_t compactAbove = 16 * 1024;

    /// @return false if the line is neither a field nor a comment.
    bool takeLine(std::string_view line, SseEvent& event, bool& hasData)
    {
        const auto colon = line.find(':');
        if (colon == 0 || line.empty())
            return true;
        if (colon == std::string_view::npos)
            return false;
        const auto name = line.substr(0, colon);
        auto value = line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (name == "data") {
            if (hasData)
                event.data += '\n';
            event.data += value;
            hasData = true;
        } else if (name == "id") {
            event.id = value;
        } else {
            event.others.push_back({ std::string(name), std::string(value) });
        }
        return true;
    }

    /// Nothing if the block has no data.
    /// @param isForeign set if the block has text that is no part of an event.
    std::optional<SseEvent> toEvent(std::string_view block, bool& isForeign)
    {
        SseEvent event;
        bool hasData = false;
        while (!block.empty()) {
            const auto end = block.find('\n');
            auto line = block.substr(0, end);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            if (!takeLine(line, event, hasData))
                isForeign = true;
            if (end == std::string_view::npos)
                break;
            block.remove_prefix(end + 1);
        }
        if (hasData)
            return event;
        isForeign = isForeign || std::any_of(event.others.begin(), event.others.end(), [](const SseField& field) {
            return field.name != "event" && field.name != "retry";
        });
        return std::nullopt;
    }

} // namespace

void SseReader::feed(std::string_view piece)
{
    const auto used = this->hasEvent ? this->start : this->first;
    if (used > compactAbove) {
        this->buffer.erase(0, used);
        this->start -= used;
        this->searched -= std::min(this->searched, used);
        this->first = 0;
        this->hasEvent = false;
    }
    this->buffer += piece;
}

/// The bytes up to the next blank line; valid until more is fed.
std::optional<std::string_view> SseReader::nextBlock()
{
    static constexpr std::string_view blankLine = "\n\n";
    static constexpr std::string_view blankLineWithReturns = "\r\n\r\n";
    const std::string_view text = this->buffer;
    const auto from = std::max(this->start, this->searched);
    auto end = text.find(blankLine, from);
    auto gap = blankLine.size();
    const auto withReturns = text.find(blankLineWithReturns, from);
    if (withReturns < end) {
        end = withReturns;
        gap = blankLineWithReturns.size();
    }
    if (end == std::string_view::npos) {
        // A blank line may be cut between two pieces.
        this->searched = text.size() - std::min(text.size(), blankLineWithReturns.size() - 1);
        return std::nullopt;
    }
    const auto block = text.substr(this->start, end - this->start);
    this->start = end + gap;
    return block;
}

std::optional<SseEvent> SseReader::nextEvent()
{
    if (this->hasEvent)
        this->first = this->start;
    this->hasEvent = false;
    while (const auto block = this->nextBlock()) {
        auto event = toEvent(*block, this->isForeign);
        this->hasEvent = event.has_value();
        if (event)
            return event;
    }
    return std::nullopt;
}

std::string_view SseReader::bytes() const
{
    return std::string_view(this->buffer).substr(this->first, this->start - this->first);
}

std::optional<std::string> SseReader::next()
{
    auto event = this->nextEvent();
    if (!event)
        return std::nullopt;
    return std::move(event->data);
}

bool isEventStream(const HttpResponse& head)
{
    static constexpr std::string_view type = "text/event-stream";
    static constexpr unsigned statusOk = 200;
    const auto stated = findHeader(head.headers, "Content-Type");
    const bool isTyped = boost::beast::iequals(stated.substr(0, type.size()), type)
        && (stated.size() == type.size() || stated[type.size()] == ';' || stated[type.size()] == ' ');
    return head.status == statusOk && isTyped && findHeader(head.headers, "Content-Encoding").empty();
}

std::string sseEvent(std::string_view data) { return "data: " + std::string(data) + "\n\n"; }

} // namespace topaztack
