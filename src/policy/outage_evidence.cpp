#include <topaztack/policy/outage_evidence.hpp>

namespace topaztack {

void recordRound(OutageEvidence& evidence, const OutageRound& round, TimePoint now)
{
    if (round.reached > 0) {
        evidence = OutageEvidence {};
        return;
    }
    // Too few answers prove nothing, and refute nothing.
    if (round.away < minConfirmations)
        return;
    ++evidence.confirmingRounds;
    evidence.confirmedAt = now;
}

bool isOutageConfirmed(const OutageEvidence& evidence, TimePoint now)
{
    return evidence.confirmingRounds >= minConfirmingRounds && now - evidence.confirmedAt < confirmationLifetime;
}

} // namespace topaztack
