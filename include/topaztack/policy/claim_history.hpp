#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

/// @file
/// Whether a VM can state, without the table service, that a caller's key was never claimed.
///
/// A claim's row outlives the ticket that a VM keeps for it, and a VM may claim a key and then leave. So a VM states
/// that a key is unclaimed only if nothing happened that could have hidden a claim from the VMs that are asked.

namespace topaztack {

/// @brief What one VM knows about claims whose tickets it no longer keeps.
struct ClaimHistory {
    /// The last time at which a claim may have become hidden; nothing if the table was read since then and held none.
    std::optional<TimePoint> lastUncertainAt;
    /// Sorted members of the last view; one that is missing in the next may have claimed keys.
    std::vector<VmIdentity> members;
    /// Hashes of keys that were claimed here and whose tickets are no longer kept.
    std::unordered_set<std::uint64_t> droppedKeys;
    /// When the rows of dropped keys expire, earliest first.
    std::deque<std::pair<TimePoint, std::uint64_t>> expiries;
};

/// Limit of the dropped keys that are recorded; each hash takes about 60 bytes.
inline constexpr std::size_t maxDroppedKeys = 500'000;

/// @brief The history of a process that has just started: an earlier process may have claimed any key.
ClaimHistory makeClaimHistory(TimePoint now);

/// @brief Records that the table was read and holds no claims: any hidden claim has expired.
void onClaimTableEmpty(ClaimHistory& history);

/// @brief Records a change of the membership view. A member that is gone, dead or replaced may have claimed keys.
void onMembersChanged(ClaimHistory& history, std::vector<VmIdentity> members, TimePoint now);

/// @brief Records that a key's ticket is no longer kept here while its row remains until `expires`. Above
/// `maxDroppedKeys` every key counts as possibly claimed.
void recordDroppedKey(ClaimHistory& history, std::uint64_t keyHash, TimePoint expires, TimePoint now);

/// @brief Whether this VM knows that neither it nor a VM that is gone has claimed the key.
/// @param retention lifetime of a claim's row.
bool isKnownUnclaimed(const ClaimHistory& history, std::uint64_t keyHash, TimePoint now, Duration retention);

} // namespace topaztack
