#pragma once

#include <topaztack/base/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// The time of day on which VMs agree though the clocks of some of them are off: the store's steady clock plus the
/// median of the differences between the VMs' times of day and that clock.

namespace topaztack {

/// @brief How the store's steady clock relates to this VM's.
struct StoreClock {
    /// Largest differences between the store's clock and this VM's at the arrival of an answer, in the current and in
    /// the previous period: an answer arrives late, never early.
    std::optional<std::chrono::microseconds> current;
    std::optional<std::chrono::microseconds> previous;
    TimePoint periodStart;
    /// Consecutive answers whose difference is far below, which means that the store's clock was set back.
    unsigned farBelow { 0 };
    std::chrono::microseconds maxFarBelow { 0 };
};

/// @brief Records the store's clock as stated in an answer.
/// @param storeTime 0 if the answer doesn't state it.
/// @param receivedAt by the clock that counts suspensions.
/// @return whether the store's clock turned out to have been set back; agreed offsets are void then.
bool recordStoreTime(StoreClock& clock, std::chrono::milliseconds storeTime, TimePoint receivedAt);

/// @brief The store's clock now; empty before the first answer.
std::optional<std::chrono::milliseconds> storeTimeAt(const StoreClock& clock, TimePoint now);

/// @brief The difference between time of day and the store's clock that the VMs agree on.
/// @param offsets one of each VM that stated its own; clocks of up to a third of the VMs may be off by any amount.
/// @param vms number of VMs that are known, those without an offset included.
/// @return empty unless two thirds of the VMs stated an offset and more than half of these agree.
std::optional<std::chrono::milliseconds> agreeOnOffset(std::vector<std::chrono::milliseconds> offsets, std::size_t vms);

/// @brief The offset in use.
struct TrueTime {
    std::optional<std::chrono::milliseconds> offset;
    /// An agreement that differs from the offset in use, and since when there has been one.
    std::optional<std::chrono::milliseconds> candidate;
    TimePoint candidateSince;
};

/// @brief Takes over what agreeOnOffset() returned. An offset stays in use while there is no agreement; a small change
/// is taken at once, a large one only after it has lasted: published offsets may be a minute old, so that a second
/// group of VMs whose clocks jump could form a majority with the first one for a while.
void updateTrueTime(TrueTime& time, std::optional<std::chrono::milliseconds> agreed, TimePoint now);

/// @brief The number of the window that contains a time.
std::uint64_t windowAt(std::chrono::milliseconds trueTime, std::chrono::microseconds window);

/// @brief The time at which a window begins.
std::chrono::milliseconds windowStart(std::uint64_t number, std::chrono::microseconds window);

} // namespace topaztack
