#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/control/membership.hpp>
#include <topaztack/control/settings.hpp>

#include <vector>

/// @file
/// The home of a ticket: the VM and incarnation that issued it, which alone can decide its requests.

namespace topaztack {

/// @brief Where the home of a ticket is.
enum class HomeKind : std::uint8_t {
    /// This process issued the ticket.
    Here,
    /// An earlier process of this VM issued it: nobody can decide its requests any more.
    Gone,
    /// Another VM issued it; the request is forwarded there.
    Elsewhere,
    /// No address is known for the VM that issued it.
    NoAddress,
};

/// @brief The home of a ticket and its address.
struct HomeDecision {
    HomeKind kind { HomeKind::NoAddress };
    /// Set if the kind is Elsewhere.
    Endpoint endpoint;
    /// The membership view lists the VM as dead. This is only a hint, so one short attempt is made nevertheless.
    bool isBelievedDead { false };
};

/// @brief Finds the home of a ticket. Its address comes from the membership view, else from the settings.
/// @param view may be nullptr.
HomeDecision decideHome(
    const TicketId& ticket, const VmIdentity& self, const MembershipView* view, const std::vector<PeerSettings>& peers);

} // namespace topaztack
