#pragma once

#include <topaztack/control/membership.hpp>

#include <cstdint>
#include <vector>

/// @file
/// Datagrams of the membership protocol.

namespace topaztack {

/// @brief Purpose of a datagram.
enum class GossipKind : std::uint8_t {
    Probe,
    Ack,
    /// Asks the receiver to probe `subject` on behalf of the sender.
    IndirectProbe,
    /// Carries updates only.
    Push,
};

/// @brief One UDP datagram of the membership protocol.
struct GossipDatagram {
    GossipKind kind { GossipKind::Probe };
    MemberUpdate sender;
    /// Identifies a probe; the acknowledgement repeats it.
    std::uint64_t nonce { 0 };
    /// Target of an indirect probe.
    VmName subject;
    Endpoint subjectEndpoint;
    std::vector<MemberUpdate> updates;
};

} // namespace topaztack
