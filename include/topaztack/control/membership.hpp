#pragma once

#include <topaztack/base/ids.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

/// @file
/// One VM's view of the other VMs. The view is only a hint: correctness never depends on it.

namespace topaztack {

/// @brief Believed state of a member, from best to worst. Of two reports with the same round, the worse state wins.
enum class MemberState : std::uint8_t {
    Alive,
    Leaving,
    Suspect,
    Dead,
};

/// @brief A report on one member, as sent between VMs.
struct MemberUpdate {
    VmIdentity identity;
    DataCentre dataCentre;
    /// Address on which it receives calls from other VMs, TCP and UDP.
    Endpoint endpoint;
    MemberState state { MemberState::Alive };
    /// SWIM's incarnation number: incremented only by the member itself, to refute a suspicion.
    std::uint64_t round { 0 };
    /// Newest document version that the member is known to have in force.
    ConfigVersion inForce;

    bool operator==(const MemberUpdate&) const = default;
};

/// @brief All members known to a VM, including itself. Immutable; read through NodeContext::members.
struct MembershipView : boost::intrusive_ref_counter<MembershipView> {
    std::vector<MemberUpdate> members;
};

using MembershipViewPtr = boost::intrusive_ptr<const MembershipView>;

/// @brief Returns `alive`, `leaving`, `suspect` or `dead`.
std::string_view stateName(MemberState state);

/// @brief The member with this name and incarnation, or nullptr.
const MemberUpdate* findMember(const MembershipView& view, const VmIdentity& identity);

/// @brief Number of alive members of a data centre, which are those that accept new work.
std::uint32_t countAlive(const MembershipView& view, const DataCentre& dataCentre);

} // namespace topaztack
