#include <topaztack/policy/claim_history.hpp>

#include <algorithm>

namespace topaztack {

ClaimHistory makeClaimHistory(TimePoint now)
{
    ClaimHistory witness;
    witness.uncertainSince = now;
    return witness;
}

void onClaimTableEmpty(ClaimHistory& witness) { witness.uncertainSince.reset(); }

void onMembersChanged(ClaimHistory& witness, std::vector<VmIdentity> members, TimePoint now)
{
    std::sort(members.begin(), members.end());
    const bool areAllStillHere
        = std::includes(members.begin(), members.end(), witness.members.begin(), witness.members.end());
    if (!areAllStillHere)
        witness.uncertainSince = now;
    witness.members = std::move(members);
}

void recordDroppedKey(ClaimHistory& witness, std::uint64_t keyHash, TimePoint expires, TimePoint now)
{
    while (!witness.expiries.empty() && witness.expiries.front().first <= now) {
        witness.forgotten.erase(witness.expiries.front().second);
        witness.expiries.pop_front();
    }
    if (witness.forgotten.size() >= maxDroppedKeys) {
        witness.uncertainSince = now;
        return;
    }
    witness.forgotten.insert(keyHash);
    witness.expiries.emplace_back(expires, keyHash);
}

bool isKnownUnclaimed(const ClaimHistory& witness, std::uint64_t keyHash, TimePoint now, Duration retention)
{
    if (witness.uncertainSince && now - *witness.uncertainSince < retention)
        return false;
    return !witness.forgotten.contains(keyHash);
}

} // namespace topaztack
