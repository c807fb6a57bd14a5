#pragma once

#include <topaztack/control/settings.hpp>
#include <topaztack/wire/http_client.hpp>
#include <topaztack/wire/http_server.hpp>

/// @file
/// The parts of a process's memory and descriptors that its servers and clients may use. What is left is for the
/// process's own state.

namespace topaztack {

enum class ServedPort : std::uint8_t {
    Callers,
    Operators,
    Peers,
};

/// @brief Limits the memory of a server's connections, and their number, to its part of the process's.
HttpServerLimits limitToShare(HttpServerLimits limits, ServedPort port, const VmSettings& settings);

/// @brief Limits the memory of answers that clients are reading to their part of the process's.
HttpClientLimits limitToShare(HttpClientLimits limits, const VmSettings& settings);

} // namespace topaztack
