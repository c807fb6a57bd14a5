#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// A small seeded generator that decisions take as an argument, and a stable hash.

namespace topaztack {

/// @brief splitmix64: one word of state, the same sequence on every machine for the same seed.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : state(seed)
    {
    }

    /// @brief The next 64 uniform bits.
    std::uint64_t next();

    /// @brief A number in [0, bound); 0 if bound is 0.
    std::uint64_t below(std::uint64_t bound);

    /// @brief A number in [0, 1).
    double unit();

private:
    std::uint64_t state;
};

/// @brief A seed from the operating system, for a process's first generator.
std::uint64_t systemSeed();

/// @brief 64-bit hash that is the same in every process and on every machine.
/// @complexity linear in the text.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// @brief Prints 16 hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace topaztack
