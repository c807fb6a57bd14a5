#include <topaztack/policy/software_history.hpp>

namespace topaztack {

namespace {

    bool mayHaveBegunStream(
        const SoftwareSpan& span, std::chrono::milliseconds now, std::chrono::milliseconds maxStreamAge)
    {
        // A time in the future means that the store's clock began anew: nothing is known of the span's age then.
        return !span.leftAt || *span.leftAt > now || now - *span.leftAt < maxStreamAge;
    }

} // namespace

std::optional<std::string> onlyPossibleSoftware(
    const std::vector<SoftwareSpan>& history, std::chrono::milliseconds now, std::chrono::milliseconds maxStreamAge)
{
    const SoftwareSpan* only = nullptr;
    for (const auto& span : history) {
        if (!mayHaveBegunStream(span, now, maxStreamAge))
            continue;
        if (only)
            return std::nullopt;
        only = &span;
    }
    return only ? std::optional(only->version) : std::nullopt;
}

bool isForgettable(const SoftwareSpan& span, std::chrono::milliseconds now, std::chrono::milliseconds maxStreamAge)
{
    // Twice the age, so that no VM relies on a record that another one removes.
    return !mayHaveBegunStream(span, now, 2 * maxStreamAge);
}

} // namespace topaztack
