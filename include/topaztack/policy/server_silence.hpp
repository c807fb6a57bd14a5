#pragma once

#include <topaztack/base/time.hpp>

#include <cstdint>

/// @file
/// Detection of a backend server that stopped sending on all of its streams, as one that is cut off does.

namespace topaztack {

/// A server that sends nothing for less than this is not silent.
inline constexpr std::chrono::milliseconds minSilence { 600 };
/// Nor is one that sends nothing for less than this many of its event intervals.
inline constexpr int minSilentIntervals = 8;
/// A single stream may pause while its engine's memory is full.
inline constexpr std::uint32_t minSilentRequests = 2;

/// @brief What a VM last saw of a server.
struct ServerActivity {
    /// Requests of this VM that the server has not completed.
    std::uint32_t outstanding { 0 };
    /// When the server last sent anything on any of them.
    TimePoint heardAt;
    /// Mean time between two events of one stream; zero if not known.
    Duration eventInterval { 0 };
};

/// @brief Whether a server with several requests in progress has sent nothing on any of them for too long. A slow
/// server still sends, and its event interval extends the time.
/// @complexity constant.
bool isSilent(const ServerActivity& activity, TimePoint now);

} // namespace topaztack
