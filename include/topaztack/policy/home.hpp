#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/control/membership.hpp>
#include <topaztack/control/settings.hpp>

#include <vector>

/// @file
/// Where a request with a ticket is settled: only at the VM and incarnation that issued the ticket.

namespace topaztack {

enum class HomeKind : std::uint8_t {
    /// This process issued the ticket.
    Here,
    /// An earlier process of this VM issued it: nobody can settle it any more.
    Gone,
    /// Another VM did; send the request there.
    Elsewhere,
    /// No address is known for the VM that issued it.
    NoAddress,
};

struct HomeDecision {
    HomeKind kind { HomeKind::NoAddress };
    Endpoint endpoint;
    /// Membership believes the VM dead; it is a hint, so one short attempt is made all the same.
    bool isBelievedDead { false };
};

/// @brief Decides where a ticket is settled. Addresses come from membership, else from the settings.
/// @param view may be nullptr.
HomeDecision decideHome(
    const TicketId& ticket, const VmIdentity& self, const MembershipView* view, const std::vector<PeerSettings>& peers);

} // namespace topaztack
