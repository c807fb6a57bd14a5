#include <topaztack/policy/claim_witness.hpp>

#include <algorithm>

namespace topaztack {

ClaimWitness makeClaimWitness(TimePoint now)
{
    ClaimWitness witness;
    witness.doubtedAt = now;
    return witness;
}

void onNoClaims(ClaimWitness& witness) { witness.doubtedAt.reset(); }

void onMembers(ClaimWitness& witness, std::vector<VmIdentity> members, TimePoint now)
{
    std::sort(members.begin(), members.end());
    const bool areAllStillHere
        = std::includes(members.begin(), members.end(), witness.members.begin(), witness.members.end());
    if (!areAllStillHere)
        witness.doubtedAt = now;
    witness.members = std::move(members);
}

void onForgotten(ClaimWitness& witness, std::uint64_t keyHash, TimePoint expires, TimePoint now)
{
    while (!witness.expiries.empty() && witness.expiries.front().first <= now) {
        witness.forgotten.erase(witness.expiries.front().second);
        witness.expiries.pop_front();
    }
    if (witness.forgotten.size() >= mostForgottenKeys) {
        witness.doubtedAt = now;
        return;
    }
    witness.forgotten.insert(keyHash);
    witness.expiries.emplace_back(expires, keyHash);
}

bool canVouch(const ClaimWitness& witness, std::uint64_t keyHash, TimePoint now, Duration retention)
{
    if (witness.doubtedAt && now - *witness.doubtedAt < retention)
        return false;
    return !witness.forgotten.contains(keyHash);
}

} // namespace topaztack
