#pragma once

#include <cstdint>

/// @file
/// What the machine and the system allow this process.

namespace topaztack {

/// @brief Memory of the machine in bytes, as the system reports it; containers may allow less.
std::uint64_t machineMemory();

/// @brief Descriptors that this process may have open.
std::uint64_t maxDescriptors();

/// @brief Memory in bytes that this process has in use now; 0 if the system doesn't tell.
std::uint64_t residentMemory();

} // namespace topaztack
