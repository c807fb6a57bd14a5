#include <topaztack/policy/claim_history.hpp>

#include <algorithm>

namespace topaztack {

ClaimHistory makeClaimHistory(TimePoint now)
{
    ClaimHistory history;
    history.lastUncertainAt = now;
    return history;
}

void onClaimTableEmpty(ClaimHistory& history) { history.lastUncertainAt.reset(); }

void onMembersChanged(ClaimHistory& history, std::vector<VmIdentity> members, TimePoint now)
{
    std::sort(members.begin(), members.end());
    const bool hasAllPreviousMembers
        = std::includes(members.begin(), members.end(), history.members.begin(), history.members.end());
    if (!hasAllPreviousMembers)
        history.lastUncertainAt = now;
    history.members = std::move(members);
}

void recordDroppedKey(ClaimHistory& history, std::uint64_t keyHash, TimePoint expires, TimePoint now)
{
    while (!history.expiries.empty() && history.expiries.front().first <= now) {
        history.droppedKeys.erase(history.expiries.front().second);
        history.expiries.pop_front();
    }
    if (history.droppedKeys.size() >= maxDroppedKeys) {
        history.lastUncertainAt = now;
        return;
    }
    history.droppedKeys.insert(keyHash);
    history.expiries.emplace_back(expires, keyHash);
}

bool isKnownUnclaimed(const ClaimHistory& history, std::uint64_t keyHash, TimePoint now, Duration retention)
{
    if (history.lastUncertainAt && now - *history.lastUncertainAt < retention)
        return false;
    return !history.droppedKeys.contains(keyHash);
}

} // namespace topaztack
