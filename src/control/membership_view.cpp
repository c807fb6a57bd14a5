#include <topaztack/control/membership.hpp>

namespace topaztack {

std::string_view stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        break;
    }
    return "dead";
}

const MemberUpdate* findMember(const MembershipView& view, const VmIdentity& identity)
{
    for (const auto& member : view.members) {
        if (member.identity == identity)
            return &member;
    }
    return nullptr;
}

std::uint32_t countAlive(const MembershipView& view, const DataCentre& dataCentre)
{
    std::uint32_t count = 0;
    for (const auto& member : view.members) {
        if (member.state == MemberState::Alive && member.dataCentre == dataCentre)
            ++count;
    }
    return count;
}

} // namespace topaztack
