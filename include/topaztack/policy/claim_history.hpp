#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

/// @file
/// Whether a VM can say, without the table service, that a caller's key was never claimed.
///
/// A claim's row outlives what VMs remember of it, and a VM may claim a key and be gone. So a VM vouches only as long
/// as nothing happened that could hide a claim from the VMs that are asked.

namespace topaztack {

/// @brief What one VM knows of claims that it can't see any more.
struct ClaimHistory {
    /// The last moment at which a claim may have become hidden; nothing while the table was seen without claims since.
    std::optional<TimePoint> uncertainSince;
    /// Members as last seen; one that is missing later may have claimed keys.
    std::vector<VmIdentity> members;
    /// Hashes of keys that were claimed here and whose tickets are no longer kept, in the order of their expiry.
    std::unordered_set<std::uint64_t> forgotten;
    std::deque<std::pair<TimePoint, std::uint64_t>> expiries;
};

/// Forgotten keys remembered by their hash, at about 60 bytes each.
inline constexpr std::size_t maxDroppedKeys = 500'000;

/// @brief A witness of a process that has just started: an earlier process may have claimed anything.
ClaimHistory makeClaimHistory(TimePoint now);

/// @brief The table was read and holds no claim at all: whatever was hidden has expired.
void onClaimTableEmpty(ClaimHistory& witness);

/// @brief The membership view changed. A member that is gone, dead or replaced may have claimed keys.
void onMembersChanged(ClaimHistory& witness, std::vector<VmIdentity> members, TimePoint now);

/// @brief A key's ticket is no longer kept here, while its row stands until `expires`.
void recordDroppedKey(ClaimHistory& witness, std::uint64_t keyHash, TimePoint expires, TimePoint now);

/// @brief Whether this VM can say that neither it nor a VM that is gone has claimed the key.
/// @param retention time for which a claim's row stands.
bool isKnownUnclaimed(const ClaimHistory& witness, std::uint64_t keyHash, TimePoint now, Duration retention);

} // namespace topaztack
