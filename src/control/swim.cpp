#include <topaztack/control/swim.hpp>

#include <algorithm>
#include <bit>

namespace topaztack {

namespace {

    constexpr std::size_t updatesPerDatagram = 8;
    constexpr std::size_t indirectProbes = 3;
    constexpr std::size_t announceTargets = 4;
    /// Seeds that are not alive members are tried this often, in probe periods, so that partitions heal.
    constexpr std::uint64_t seedPeriods = 8;
    constexpr std::size_t relayLimit = 256;

    bool takesPart(MemberState state) { return state != MemberState::Dead; }

    /// How often a report is sent on: a few times the logarithm of the number of members reaches all of them.
    std::uint32_t sendLimit(const SwimState& state)
    {
        return 3 * static_cast<std::uint32_t>(std::bit_width(state.members.size() + 1));
    }

    template <typename Value> void shuffle(std::vector<Value>& values, Random& random)
    {
        for (std::size_t index = values.size(); index > 1; --index)
            std::swap(values[index - 1], values[random.below(index)]);
    }

    std::vector<VmIdentity> localMembers(const SwimState& state)
    {
        std::vector<VmIdentity> found;
        for (const auto& [identity, member] : state.members) {
            if (takesPart(member.update.state) && member.update.dataCentre == state.self.dataCentre)
                found.push_back(identity);
        }
        return found;
    }

    /// Newest reports first, then random others, so that a fresh VM learns of all and divergence heals.
    std::vector<MemberUpdate> pickUpdates(SwimState& state, Random& random)
    {
        std::vector<SwimMember*> fresh;
        std::vector<SwimMember*> settled;
        for (auto& [identity, member] : state.members)
            (member.timesSent < sendLimit(state) ? fresh : settled).push_back(&member);
        shuffle(fresh, random);
        std::stable_sort(fresh.begin(), fresh.end(),
            [](const SwimMember* left, const SwimMember* right) { return left->timesSent < right->timesSent; });
        shuffle(settled, random);
        fresh.insert(fresh.end(), settled.begin(), settled.end());
        std::vector<MemberUpdate> updates;
        for (auto* member : fresh) {
            if (updates.size() == updatesPerDatagram)
                break;
            updates.push_back(member->update);
            ++member->timesSent;
        }
        return updates;
    }

    /// What the receiver needs to hear to refute it.
    const MemberUpdate* findBelief(const SwimState& state, const Endpoint& to)
    {
        const MemberUpdate* belief = nullptr;
        for (const auto& [identity, member] : state.members) {
            if (member.update.endpoint != to)
                continue;
            if (takesPart(member.update.state))
                return member.update.state == MemberState::Suspect ? &member.update : nullptr;
            belief = &member.update;
        }
        return belief;
    }

    GossipSend makeSend(SwimState& state, GossipKind kind, const Endpoint& to, std::uint64_t nonce, Random& random)
    {
        GossipDatagram datagram;
        datagram.kind = kind;
        datagram.sender = state.self;
        datagram.nonce = nonce;
        datagram.updates = pickUpdates(state, random);
        if (const auto* belief = findBelief(state, to))
            datagram.updates.push_back(*belief);
        return { to, std::move(datagram) };
    }

    /// A suspicion or death of this process is refuted by a higher round.
    bool refute(SwimState& state, const MemberUpdate& update)
    {
        if (update.round < state.self.round || update.state <= state.self.state)
            return false;
        state.self.round = update.round + 1;
        return true;
    }

    bool apply(SwimState& state, const MemberUpdate& update, TimePoint now)
    {
        if (update.identity == state.self.identity)
            return refute(state, update);
        const auto place = state.members.find(update.identity);
        if (place == state.members.end()) {
            if (!takesPart(update.state))
                return false;
            state.members.emplace(update.identity, SwimMember { update, now });
            return true;
        }
        auto& known = place->second;
        if (!replaces(update, known.update)) {
            known.update.inForce = std::max(known.update.inForce, update.inForce);
            return false;
        }
        const auto inForce = std::max(known.update.inForce, update.inForce);
        known = SwimMember { update, now };
        known.update.inForce = inForce;
        return true;
    }

    /// A process that speaks from an address has replaced any other incarnation there.
    bool buryPredecessors(SwimState& state, const MemberUpdate& sender, TimePoint now)
    {
        const auto place = state.members.find(sender.identity);
        if (place == state.members.end() || !takesPart(place->second.update.state))
            return false;
        bool isChanged = false;
        for (auto& [identity, member] : state.members) {
            const bool isOther = identity != sender.identity && member.update.endpoint == sender.endpoint;
            if (!isOther || !takesPart(member.update.state))
                continue;
            auto dead = member.update;
            dead.state = MemberState::Dead;
            member = SwimMember { dead, now };
            isChanged = true;
        }
        return isChanged;
    }

    bool setState(SwimMember& member, MemberState worse, TimePoint now)
    {
        auto update = member.update;
        update.state = worse;
        member = SwimMember { update, now };
        return true;
    }

    /// Sends probes in the place of this VM's own, through members that are not the target.
    void probeIndirectly(SwimState& state, SwimProbe& probe, SwimActions& actions, Random& random)
    {
        probe.isIndirect = true;
        const auto target = state.members.find(probe.target);
        if (target == state.members.end())
            return;
        auto others = localMembers(state);
        std::erase(others, probe.target);
        shuffle(others, random);
        others.resize(std::min(others.size(), indirectProbes));
        for (const auto& other : others) {
            const auto& endpoint = state.members.at(other).update.endpoint;
            auto send = makeSend(state, GossipKind::IndirectProbe, endpoint, probe.nonce, random);
            send.datagram.subject = probe.target.name;
            send.datagram.subjectEndpoint = target->second.update.endpoint;
            actions.sends.push_back(std::move(send));
        }
    }

    void checkProbes(SwimState& state, TimePoint now, SwimActions& actions, Random& random)
    {
        for (auto& probe : state.probes) {
            if (!probe.isIndirect && now >= probe.sentAt + state.timing.ackTimeout)
                probeIndirectly(state, probe, actions, random);
        }
        const auto isOver = [&](const SwimProbe& probe) { return now >= probe.sentAt + state.timing.probeEvery; };
        for (const auto& probe : state.probes) {
            const auto place = state.members.find(probe.target);
            if (!isOver(probe) || place == state.members.end() || place->second.update.state >= MemberState::Suspect)
                continue;
            actions.isViewChanged |= setState(place->second, MemberState::Suspect, now);
            actions.sends.push_back(
                makeSend(state, GossipKind::Probe, place->second.update.endpoint, probe.nonce, random));
        }
        std::erase_if(state.probes, isOver);
    }

    void checkSuspects(SwimState& state, TimePoint now, SwimActions& actions)
    {
        for (auto& [identity, member] : state.members) {
            const bool isLocal = member.update.dataCentre == state.self.dataCentre;
            if (isLocal && member.update.state == MemberState::Suspect
                && now >= member.since + state.timing.suspectTime)
                actions.isViewChanged |= setState(member, MemberState::Dead, now);
        }
        const auto forgotten = std::erase_if(state.members, [&](const auto& entry) {
            const auto& member = entry.second;
            return !takesPart(member.update.state) && now >= member.since + state.timing.forgetDead;
        });
        actions.isViewChanged |= forgotten > 0;
    }

    void probeNext(SwimState& state, TimePoint now, SwimActions& actions, Random& random)
    {
        while (true) {
            if (state.probeOrder.empty()) {
                state.probeOrder = localMembers(state);
                shuffle(state.probeOrder, random);
            }
            if (state.probeOrder.empty())
                return;
            const auto target = state.probeOrder.back();
            state.probeOrder.pop_back();
            const auto place = state.members.find(target);
            if (place == state.members.end() || !takesPart(place->second.update.state))
                continue;
            state.probes.push_back({ target, ++state.lastNonce, now });
            actions.sends.push_back(
                makeSend(state, GossipKind::Probe, place->second.update.endpoint, state.lastNonce, random));
            return;
        }
    }

    /// Delegates tie data centres together. No answer proves nothing about a VM there: the path may be cut.
    void probeOtherDataCentre(SwimState& state, SwimActions& actions, Random& random)
    {
        std::map<DataCentre, std::vector<Endpoint>> others;
        for (const auto& [identity, member] : state.members) {
            if (takesPart(member.update.state) && member.update.dataCentre != state.self.dataCentre)
                others[member.update.dataCentre].push_back(member.update.endpoint);
        }
        if (others.empty())
            return;
        const auto place = std::next(others.begin(), static_cast<std::ptrdiff_t>(random.below(others.size())));
        const auto& endpoint = place->second[random.below(place->second.size())];
        actions.sends.push_back(makeSend(state, GossipKind::Probe, endpoint, ++state.lastNonce, random));
    }

    void probeSeed(SwimState& state, SwimActions& actions, Random& random)
    {
        std::vector<Endpoint> strangers;
        for (const auto& seed : state.seeds) {
            const bool isKnown = std::any_of(state.members.begin(), state.members.end(), [&](const auto& entry) {
                return entry.second.update.endpoint == seed && takesPart(entry.second.update.state);
            });
            if (!isKnown && seed != state.self.endpoint)
                strangers.push_back(seed);
        }
        if (strangers.empty() || (!state.members.empty() && random.below(seedPeriods) != 0))
            return;
        const auto& seed = strangers[random.below(strangers.size())];
        actions.sends.push_back(makeSend(state, GossipKind::Probe, seed, ++state.lastNonce, random));
    }

    /// After a pause of this process nothing is concluded from answers that could not arrive.
    void forgivePause(SwimState& state, TimePoint now)
    {
        const auto pause = now - state.lastTick;
        if (state.lastTick == TimePoint {} || pause < state.timing.pauseNoticed)
            return;
        state.probes.clear();
        for (auto& [identity, member] : state.members)
            member.since += pause;
    }

    void pushToSome(SwimState& state, SwimActions& actions, Random& random)
    {
        std::vector<Endpoint> near;
        std::vector<Endpoint> far;
        for (const auto& [identity, member] : state.members) {
            if (takesPart(member.update.state))
                (member.update.dataCentre == state.self.dataCentre ? near : far).push_back(member.update.endpoint);
        }
        shuffle(near, random);
        shuffle(far, random);
        near.resize(std::min(near.size(), announceTargets));
        if (!far.empty())
            near.push_back(far.front());
        for (const auto& endpoint : near)
            actions.sends.push_back(makeSend(state, GossipKind::Push, endpoint, 0, random));
    }

    void answerProbe(SwimState& state, const GossipDatagram& datagram, const Endpoint& from, TimePoint now,
        SwimActions& actions, Random& random)
    {
        if (datagram.kind == GossipKind::Probe) {
            actions.sends.push_back(makeSend(state, GossipKind::Ack, from, datagram.nonce, random));
        } else if (datagram.kind == GossipKind::IndirectProbe && state.relays.size() < relayLimit) {
            state.relays[++state.lastNonce] = { from, datagram.nonce, now };
            actions.sends.push_back(
                makeSend(state, GossipKind::Probe, datagram.subjectEndpoint, state.lastNonce, random));
        }
    }

    void takeAck(SwimState& state, const GossipDatagram& datagram, SwimActions& actions, Random& random)
    {
        std::erase_if(state.probes, [&](const SwimProbe& probe) { return probe.nonce == datagram.nonce; });
        const auto relay = state.relays.find(datagram.nonce);
        if (relay == state.relays.end())
            return;
        actions.sends.push_back(
            makeSend(state, GossipKind::Ack, relay->second.requester, relay->second.requesterNonce, random));
        state.relays.erase(relay);
    }

} // namespace

bool replaces(const MemberUpdate& fresh, const MemberUpdate& known)
{
    if (fresh.round != known.round)
        return fresh.round > known.round;
    return fresh.state > known.state;
}

SwimState makeSwimState(SwimTiming timing, MemberUpdate self, std::vector<Endpoint> seeds)
{
    SwimState state;
    state.timing = timing;
    state.self = std::move(self);
    state.seeds = std::move(seeds);
    return state;
}

SwimActions swimTick(SwimState& state, TimePoint now, Random& random)
{
    SwimActions actions;
    forgivePause(state, now);
    state.lastTick = now;
    checkProbes(state, now, actions, random);
    checkSuspects(state, now, actions);
    std::erase_if(
        state.relays, [&](const auto& entry) { return now >= entry.second.sentAt + state.timing.probeEvery; });
    if (now < state.nextProbe)
        return actions;
    state.nextProbe = now + state.timing.probeEvery;
    probeNext(state, now, actions, random);
    if (isSelectedForTask(swimView(state), state.self.identity, "delegate", delegatesPerDataCentre))
        probeOtherDataCentre(state, actions, random);
    probeSeed(state, actions, random);
    return actions;
}

SwimActions swimReceive(
    SwimState& state, const GossipDatagram& datagram, const Endpoint& from, TimePoint now, Random& random)
{
    SwimActions actions;
    if (datagram.sender.identity == state.self.identity)
        return actions;
    const auto round = state.self.round;
    actions.isViewChanged |= apply(state, datagram.sender, now);
    actions.isViewChanged |= buryPredecessors(state, datagram.sender, now);
    for (const auto& update : datagram.updates)
        actions.isViewChanged |= apply(state, update, now);
    answerProbe(state, datagram, from, now, actions, random);
    if (datagram.kind == GossipKind::Ack)
        takeAck(state, datagram, actions, random);
    if (state.self.round != round)
        pushToSome(state, actions, random);
    return actions;
}

SwimActions swimMerge(SwimState& state, const std::vector<MemberUpdate>& members, TimePoint now)
{
    SwimActions actions;
    for (const auto& update : members)
        actions.isViewChanged |= apply(state, update, now);
    return actions;
}

SwimActions swimAnnounce(SwimState& state, ConfigVersion inForce, Random& random)
{
    SwimActions actions;
    state.self.inForce = inForce;
    actions.isViewChanged = true;
    pushToSome(state, actions, random);
    return actions;
}

SwimActions swimLeave(SwimState& state, Random& random)
{
    SwimActions actions;
    state.self.state = MemberState::Leaving;
    ++state.self.round;
    actions.isViewChanged = true;
    pushToSome(state, actions, random);
    return actions;
}

MembershipView swimView(const SwimState& state)
{
    MembershipView view;
    view.members.push_back(state.self);
    for (const auto& [identity, member] : state.members)
        view.members.push_back(member.update);
    return view;
}

bool isSelectedForTask(const MembershipView& view, const VmIdentity& self, std::string_view task, std::size_t count)
{
    const auto* own = findMember(view, self);
    if (!own || own->state != MemberState::Alive)
        return false;
    const auto seed = stableHash(task);
    const auto rank = stableHash(self.name.value(), seed);
    std::size_t before = 0;
    for (const auto& member : view.members) {
        const bool isRival
            = member.dataCentre == own->dataCentre && member.state == MemberState::Alive && member.identity != self;
        if (isRival && stableHash(member.identity.name.value(), seed) < rank)
            ++before;
    }
    return before < count;
}

} // namespace topaztack
