#pragma once

#include <topaztack/base/time.hpp>

#include <cstddef>

/// @file
/// What the answers of other VMs prove about the store: unreachable for all VMs, or only for some.

namespace topaztack {

/// VMs that must confirm an outage in a round of queries: a single one may itself be cut off from the store.
inline constexpr std::size_t minConfirmations = 2;
/// Rounds in a row that must confirm an outage. The store may turn away a part of the VMs, and one round may happen to
/// ask only these.
inline constexpr std::size_t minConfirmingRounds = 3;
/// How long a confirmation stays valid.
inline constexpr std::chrono::milliseconds confirmationLifetime { 1500 };

/// @brief The answers of one round of queries.
struct OutageRound {
    /// VMs that don't reach the store.
    std::size_t away { 0 };
    /// VMs that reach it.
    std::size_t reached { 0 };
};

/// @brief What was learnt since this VM lost the store; a new outage begins with a new value.
struct OutageEvidence {
    std::size_t confirmingRounds { 0 };
    TimePoint confirmedAt;
};

/// @brief Takes in a round of queries. A single VM that reaches the store refutes what earlier rounds seemed to
/// confirm.
void recordRound(OutageEvidence& evidence, const OutageRound& round, TimePoint now);

/// @brief Whether the store is unreachable for all VMs, as far as the last rounds tell.
bool isOutageConfirmed(const OutageEvidence& evidence, TimePoint now);

} // namespace topaztack
