#pragma once

#include <topaztack/base/ids.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Counts of requests that servers began, by window, VM and workspace. Counts only grow, so that copies are merged by
/// their maximum, in any order and any number of times.

namespace topaztack {

using UsageCounts = std::map<WorkspaceName, std::uint64_t>;

/// @brief The counts of several windows, by the process that counted.
struct UsageWindows {
    std::map<std::uint64_t, std::map<VmIdentity, UsageCounts>> windows;
};

/// @brief Takes over counts that another VM sent. What would exceed the limits on memory is dropped.
void mergeUsage(UsageWindows& usage, std::uint64_t window, const VmIdentity& origin, const UsageCounts& counts);

/// @brief Raises each count to at least the other one.
void mergeCounts(UsageCounts& counts, const UsageCounts& others);

/// @brief The counts of one process in a window; empty if there are none.
UsageCounts usageOf(const UsageWindows& usage, std::uint64_t window, const VmIdentity& origin);

/// @brief The sum over all processes.
UsageCounts sumUsage(const std::map<VmIdentity, UsageCounts>& origins);

std::uint64_t totalOf(const UsageCounts& counts);

/// @brief Removes the windows before `oldest`.
void expireUsage(UsageWindows& usage, std::uint64_t oldest);

/// @brief Whether counts that are missing could put a workspace's count off by more than the tolerance.
/// @param counted the sum of what is known.
/// @param missing estimates of what is missing, one for each VM.
bool mayExceedTolerance(const UsageCounts& counted, const std::vector<UsageCounts>& missing, double tolerance);

/// @brief Prints counts as a JSON object.
std::string toText(const UsageCounts& counts);

/// @return empty if the text is no such object.
std::optional<UsageCounts> parseUsageCounts(std::string_view text);

} // namespace topaztack
