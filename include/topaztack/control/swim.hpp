#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/control/gossip.hpp>

#include <chrono>
#include <map>
#include <vector>

/// @file
/// Membership protocol after SWIM, without I/O. In each probe period a VM probes one member of its data centre; without
/// an acknowledgement it asks other members to probe the target, then suspects it, then declares it dead. Reports are
/// piggybacked on the datagrams. A few delegates of each data centre also probe members of other data centres. The
/// number of datagrams that a VM sends does not depend on the number of VMs.
///
/// Of two reports on one process, the one with the higher round wins, then the one with the worse state. Only the
/// process itself increments its round. A process that resumes after a pause can therefore refute its death, and a
/// replaced process (same address, new incarnation) stays dead.

namespace topaztack {

/// @brief Intervals and timeouts of the protocol.
struct SwimTiming {
    std::chrono::milliseconds probePeriod { 500 };
    std::chrono::milliseconds ackTimeout { 150 };
    /// From suspicion to death: the time in which a paused or overloaded VM can refute the suspicion.
    std::chrono::milliseconds suspicionTimeout { 2000 };
    /// How long a dead member is remembered.
    std::chrono::milliseconds deadRetention { 600000 };
    /// Two ticks at least this far apart mean that this process itself was paused.
    std::chrono::milliseconds pauseThreshold { 1000 };
};

/// @brief VMs of each data centre that probe members of other data centres.
inline constexpr std::size_t delegatesPerDataCentre = 2;

/// @brief A datagram to send and its destination.
struct GossipSend {
    Endpoint to;
    GossipDatagram datagram;
};

/// @brief What the caller has to do after an event.
struct SwimActions {
    std::vector<GossipSend> sends;
    /// Whether the membership view changed and has to be published.
    bool isViewChanged { false };
};

/// @brief One process and its state as believed by this VM.
struct SwimMember {
    MemberUpdate update;
    /// When this VM last adopted a new state or round.
    TimePoint stateSince;
    /// Number of datagrams in which this VM has sent the report.
    std::uint32_t timesSent { 0 };
};

/// @brief A probe sent by this VM that has not been acknowledged yet.
struct SwimProbe {
    VmIdentity target;
    std::uint64_t nonce { 0 };
    TimePoint sentAt;
    /// Whether other members were asked to probe the target.
    bool hasIndirectProbes { false };
};

/// @brief A probe sent on behalf of another VM.
struct SwimRelay {
    Endpoint requester;
    std::uint64_t requesterNonce { 0 };
    TimePoint sentAt;
};

/// @brief State of the protocol at one VM. Seeds are addresses at which VMs may run, taken from the settings and the
/// platform's VM list.
struct SwimState {
    SwimTiming timing;
    MemberUpdate self;
    std::vector<Endpoint> seeds;
    std::map<VmIdentity, SwimMember> members;
    std::vector<VmIdentity> probeOrder;
    std::vector<SwimProbe> probes;
    std::map<std::uint64_t, SwimRelay> relays;
    TimePoint nextProbe;
    TimePoint lastTick;
    std::uint64_t lastNonce { 0 };
};

SwimState makeSwimState(SwimTiming timing, MemberUpdate self, std::vector<Endpoint> seeds);

/// @brief Sends the probes and makes the state transitions that are due. To be called several times in a probe period.
/// @complexity linear in the number of known members.
SwimActions swimTick(SwimState& state, TimePoint now, Random& random);

/// @brief Handles a received datagram.
SwimActions swimReceive(
    SwimState& state, const GossipDatagram& datagram, const Endpoint& from, TimePoint now, Random& random);

/// @brief Merges the complete member list of another VM.
SwimActions swimMerge(SwimState& state, const std::vector<MemberUpdate>& members, TimePoint now);

/// @brief Records that this VM has a newer document in force and tells a few random members immediately.
SwimActions swimAnnounce(SwimState& state, ConfigVersion inForce, Random& random);

/// @brief Marks this VM as leaving and tells a few random members immediately.
SwimActions swimLeave(SwimState& state, Random& random);

/// @brief This VM and all members known to it.
MembershipView swimView(const SwimState& state);

/// @brief Whether report `received` takes precedence over `known`; both concern the same process.
bool supersedes(const MemberUpdate& received, const MemberUpdate& known);

/// @brief Whether a VM is among the first `count` alive VMs of its data centre in the order of a stable hash of name
/// and task. VMs with the same view thereby agree, without communicating, on which of them perform the task.
bool isSelectedForTask(const MembershipView& view, const VmIdentity& self, std::string_view task, std::size_t count);

} // namespace topaztack
