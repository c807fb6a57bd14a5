#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/control/gossip.hpp>

#include <chrono>
#include <map>
#include <vector>

/// @file
/// Membership decisions, SWIM style: each VM probes one member of its data centre a period, asks others to probe in its
/// place, suspects, and declares dead; reports travel on the probes. A few delegates of each data centre also probe
/// other data centres. The cost of a VM does not depend on the number of VMs.
///
/// Of two reports on one process the higher round counts, then the worse state. Only the process itself raises its
/// round, so a paused one that wakes refutes its death, and a replaced one (same address, new incarnation) stays dead.

namespace topaztack {

struct SwimTiming {
    std::chrono::milliseconds probeEvery { 500 };
    std::chrono::milliseconds ackTimeout { 150 };
    /// From suspicion to death, for a paused or overloaded VM to refute it.
    std::chrono::milliseconds suspectTime { 2000 };
    std::chrono::milliseconds forgetDead { 600000 };
    /// Ticks farther apart than this say that this process itself was paused.
    std::chrono::milliseconds pauseNoticed { 1000 };
};

inline constexpr std::size_t delegatesPerDataCentre = 2;

struct GossipSend {
    Endpoint to;
    GossipDatagram datagram;
};

/// @brief What an event leads to.
struct SwimActions {
    std::vector<GossipSend> sends;
    /// Whether the view differs from the one last published.
    bool isViewChanged { false };
};

/// @brief One process as this VM believes it to be.
struct SwimMember {
    MemberUpdate update;
    /// When its state last changed here.
    TimePoint since;
    /// How often the report was sent on.
    std::uint32_t timesSent { 0 };
};

/// @brief A probe of this VM that was not acknowledged yet.
struct SwimProbe {
    VmIdentity target;
    std::uint64_t nonce { 0 };
    TimePoint sentAt;
    bool isIndirect { false };
};

/// @brief A probe made in another VM's place.
struct SwimRelay {
    Endpoint requester;
    std::uint64_t requesterNonce { 0 };
    TimePoint sentAt;
};

/// @brief All that the decisions know. Seeds are addresses that may be VMs: from settings and the platform's list.
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

/// @brief Probes, suspicions and deaths that are due. Called several times a probe period.
/// @complexity linear in the members known.
SwimActions swimTick(SwimState& state, TimePoint now, Random& random);

/// @brief A datagram that arrived.
SwimActions swimReceive(
    SwimState& state, const GossipDatagram& datagram, const Endpoint& from, TimePoint now, Random& random);

/// @brief Members learnt from another VM's whole list.
SwimActions swimMerge(SwimState& state, const std::vector<MemberUpdate>& members, TimePoint now);

/// @brief This VM has a newer document in force: told to a few members at once.
SwimActions swimAnnounce(SwimState& state, ConfigVersion inForce, Random& random);

/// @brief This VM leaves: told to a few members at once.
SwimActions swimLeave(SwimState& state, Random& random);

/// @brief This VM and all members that it knows.
MembershipView swimView(const SwimState& state);

/// @brief Whether report `fresh` replaces `known`, both on one process.
bool replaces(const MemberUpdate& fresh, const MemberUpdate& known);

/// @brief Whether a VM is among the first `count` alive VMs of its data centre by a stable hash, so that VMs agree
/// without talking on who does a task that a few should do.
bool isSelectedForTask(const MembershipView& view, const VmIdentity& self, std::string_view task, std::size_t count);

} // namespace topaztack
