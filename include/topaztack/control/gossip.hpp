#pragma once

#include <topaztack/control/membership.hpp>

#include <cstdint>
#include <vector>

/// @file
/// What membership sends from VM to VM.

namespace topaztack {

enum class GossipKind : std::uint8_t {
    Probe,
    Ack,
    /// Asks the receiver to probe `subject` in the sender's place.
    IndirectProbe,
    /// Carries updates only.
    Push,
};

/// @brief One UDP datagram of membership.
struct GossipDatagram {
    GossipKind kind { GossipKind::Probe };
    MemberUpdate sender;
    /// Returned in the ack.
    std::uint64_t nonce { 0 };
    /// Whom an indirect probe is for.
    VmName subject;
    Endpoint subjectEndpoint;
    std::vector<MemberUpdate> updates;
};

} // namespace topaztack
