#pragma once

#include <topaztack/base/ids.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

/// @file
/// What a VM believes of the others. It is a hint: no promise rests on it.

namespace topaztack {

/// @brief How a member is believed to be, from best to worst; of two reports on one round the worse one counts.
enum class MemberState : std::uint8_t {
    Alive,
    Leaving,
    Suspect,
    Dead,
};

/// @brief One report on a member, as it travels between VMs.
struct MemberUpdate {
    VmIdentity identity;
    DataCentre dataCentre;
    /// Where it takes calls from other VMs, TCP and UDP.
    Endpoint endpoint;
    MemberState state { MemberState::Alive };
    /// Raised by the member itself to refute a suspicion (SWIM's incarnation number).
    std::uint64_t round { 0 };
    /// Newest document that the member is known to have in force.
    ConfigVersion inForce;

    bool operator==(const MemberUpdate&) const = default;
};

/// @brief All members that a VM knows of, itself included. Immutable; read through NodeContext::members.
struct MembershipView : boost::intrusive_ref_counter<MembershipView> {
    std::vector<MemberUpdate> members;
};

using MembershipViewPtr = boost::intrusive_ptr<const MembershipView>;

/// @brief Prints `alive`, `leaving`, `suspect` or `dead`.
std::string_view stateName(MemberState state);

/// @brief The member that has this name and incarnation, or nullptr.
const MemberUpdate* findMember(const MembershipView& view, const VmIdentity& identity);

/// @brief Members of a data centre that take new work (alive).
std::uint32_t countAlive(const MembershipView& view, const DataCentre& dataCentre);

} // namespace topaztack
