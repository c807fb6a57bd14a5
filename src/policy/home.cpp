#include <topaztack/policy/home.hpp>

namespace topaztack {

namespace {

    /// The member with that identity, else the one of that name with the best state.
    const MemberUpdate* memberFor(const MembershipView& view, const VmIdentity& home)
    {
        const MemberUpdate* best = nullptr;
        for (const auto& member : view.members) {
            if (member.identity == home)
                return &member;
            if (member.identity.name == home.name && (!best || member.state < best->state))
                best = &member;
        }
        return best;
    }

} // namespace

HomeDecision decideHome(
    const TicketId& ticket, const VmIdentity& self, const MembershipView* view, const std::vector<PeerSettings>& peers)
{
    if (ticket.home == self)
        return { HomeKind::Here, {}, false };
    if (ticket.home.name == self.name)
        return { HomeKind::Gone, {}, false };
    const auto* member = view ? memberFor(*view, ticket.home) : nullptr;
    if (member)
        return { HomeKind::Elsewhere, member->endpoint, member->state == MemberState::Dead };
    for (const auto& peer : peers) {
        if (peer.name == ticket.home.name)
            return { HomeKind::Elsewhere, peer.endpoint, false };
    }
    return { HomeKind::NoAddress, {}, false };
}

} // namespace topaztack
