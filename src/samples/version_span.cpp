#include <topaztack/samples/version_span.hpp>

#include <algorithm>

namespace topaztack {

void appendChunk(VersionSpans& spans, WeightVersion version, std::uint32_t tokens)
{
    if (tokens == 0)
        return;
    const std::uint32_t from = spans.empty() ? 0 : spans.back().to;
    if (!spans.empty() && spans.back().version == version)
        spans.back().to = from + tokens;
    else
        spans.push_back({ version, from, from + tokens });
}

std::optional<WeightVersion> oldestVersion(const VersionSpans& spans)
{
    if (spans.empty())
        return std::nullopt;
    const auto oldest = std::min_element(spans.begin(), spans.end(),
        [](const VersionSpan& left, const VersionSpan& right) { return left.version < right.version; });
    return oldest->version;
}

bool coversAllTokens(const VersionSpans& spans, std::uint32_t tokens)
{
    std::uint32_t next = 0;
    for (const auto& span : spans) {
        if (span.from != next || span.to <= span.from)
            return false;
        next = span.to;
    }
    return next == tokens;
}

} // namespace topaztack
