#pragma once

#include <cstdint>

/// @file
/// What the machine and the system allow this process.

namespace topaztack {

/// @brief Memory of the machine in bytes, as the system reports it; containers may allow less.
std::uint64_t machineMemory();

} // namespace topaztack
