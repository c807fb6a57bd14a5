#include <topaztack/samples/item_length.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    /// Events that an item past its estimate is still expected to generate, as a fraction of those that it has: an
    /// eighth of all items run to several times their estimate.
    constexpr double tailFraction = 0.3;
    /// Lengths change as a model learns, so both sums are halved beyond this many tokens, a few hundred items.
    constexpr double decayThresholdTokens = 1e6;

} // namespace

void recordItemLength(LengthModel& model, std::uint64_t events, std::uint64_t expectedTokens)
{
    if (expectedTokens == 0)
        return;
    model.events += static_cast<double>(events);
    model.expectedTokens += static_cast<double>(expectedTokens);
    if (model.expectedTokens > decayThresholdTokens) {
        model.events /= 2;
        model.expectedTokens /= 2;
    }
}

double remainingEvents(const LengthModel& model, std::uint64_t expectedTokens, std::uint64_t eventsMade)
{
    if (model.expectedTokens == 0)
        return 0;
    const auto made = static_cast<double>(eventsMade);
    const auto expected = static_cast<double>(expectedTokens) * model.events / model.expectedTokens;
    return std::max(expected - made, made * tailFraction);
}

std::uint64_t expectedFinalTokens(const LengthModel& model, std::uint64_t expectedTokens, std::uint64_t eventsMade)
{
    if (model.events == 0)
        return expectedTokens;
    const auto events = static_cast<double>(eventsMade) + remainingEvents(model, expectedTokens, eventsMade);
    return static_cast<std::uint64_t>(events * model.expectedTokens / model.events);
}

} // namespace topaztack
