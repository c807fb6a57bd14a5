#include <topaztack/control/swim.hpp>

#include <algorithm>
#include <bit>

namespace topaztack {

namespace {

    constexpr std::size_t maxUpdatesPerDatagram = 8;
    constexpr std::size_t indirectProbeCount = 3;
    /// Maximum number of members of the same data centre to which an announcement is pushed.
    constexpr std::size_t pushFanOut = 4;
    /// Average number of probe periods between probes of seeds at which no live member is known. These probes reconnect
    /// the VMs after a partition.
    constexpr std::uint64_t seedProbePeriods = 8;
    constexpr std::size_t maxRelays = 256;

    /// Whether a member in this state is still probed and sent reports.
    bool isParticipating(MemberState state) { return state != MemberState::Dead; }

    /// Number of datagrams in which a report is sent while it is new: a small multiple of the logarithm of the number
    /// of members spreads it to all of them.
    std::uint32_t transmitLimit(const SwimState& state)
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
            if (isParticipating(member.update.state) && member.update.dataCentre == state.self.dataCentre)
                found.push_back(identity);
        }
        return found;
    }

    /// The least often sent reports first, then random others, so that a new VM learns of all members and diverging
    /// views converge.
    std::vector<MemberUpdate> pickUpdates(SwimState& state, Random& random)
    {
        std::vector<SwimMember*> unsettled;
        std::vector<SwimMember*> settled;
        for (auto& [identity, member] : state.members)
            (member.timesSent < transmitLimit(state) ? unsettled : settled).push_back(&member);
        shuffle(unsettled, random);
        std::stable_sort(unsettled.begin(), unsettled.end(),
            [](const SwimMember* left, const SwimMember* right) { return left->timesSent < right->timesSent; });
        shuffle(settled, random);
        unsettled.insert(unsettled.end(), settled.begin(), settled.end());
        std::vector<MemberUpdate> updates;
        for (auto* member : unsettled) {
            if (updates.size() == maxUpdatesPerDatagram)
                break;
            updates.push_back(member->update);
            ++member->timesSent;
        }
        return updates;
    }

    /// The report of a suspicion or death that the receiver may have to refute, or nullptr.
    const MemberUpdate* findRefutableReport(const SwimState& state, const Endpoint& to)
    {
        const MemberUpdate* report = nullptr;
        for (const auto& [identity, member] : state.members) {
            if (member.update.endpoint != to)
                continue;
            if (isParticipating(member.update.state))
                return member.update.state == MemberState::Suspect ? &member.update : nullptr;
            report = &member.update;
        }
        return report;
    }

    GossipSend makeSend(SwimState& state, GossipKind kind, const Endpoint& to, std::uint64_t nonce, Random& random)
    {
        GossipDatagram datagram;
        datagram.kind = kind;
        datagram.sender = state.self;
        datagram.nonce = nonce;
        datagram.updates = pickUpdates(state, random);
        if (const auto* report = findRefutableReport(state, to))
            datagram.updates.push_back(*report);
        return { to, std::move(datagram) };
    }

    /// Refutes a report that this process is suspect or dead by raising its round.
    bool refute(SwimState& state, const MemberUpdate& update)
    {
        if (update.round < state.self.round || update.state <= state.self.state)
            return false;
        state.self.round = update.round + 1;
        return true;
    }

    /// @return whether the view changed.
    bool applyUpdate(SwimState& state, const MemberUpdate& update, TimePoint now)
    {
        if (update.identity == state.self.identity)
            return refute(state, update);
        const auto position = state.members.find(update.identity);
        if (position == state.members.end()) {
            if (!isParticipating(update.state))
                return false;
            state.members.emplace(update.identity, SwimMember { update, now });
            return true;
        }
        auto& known = position->second;
        if (!supersedes(update, known.update)) {
            known.update.inForce = std::max(known.update.inForce, update.inForce);
            return false;
        }
        const auto inForce = std::max(known.update.inForce, update.inForce);
        known = SwimMember { update, now };
        known.update.inForce = inForce;
        return true;
    }

    /// A process that sends from an address has replaced every other process at that address.
    bool markPredecessorsDead(SwimState& state, const MemberUpdate& sender, TimePoint now)
    {
        const auto position = state.members.find(sender.identity);
        if (position == state.members.end() || !isParticipating(position->second.update.state))
            return false;
        bool isChanged = false;
        for (auto& [identity, member] : state.members) {
            const bool isPredecessor = identity != sender.identity && member.update.endpoint == sender.endpoint;
            if (!isPredecessor || !isParticipating(member.update.state))
                continue;
            auto dead = member.update;
            dead.state = MemberState::Dead;
            member = SwimMember { dead, now };
            isChanged = true;
        }
        return isChanged;
    }

    /// @return true, because the view changed.
    bool setState(SwimMember& member, MemberState newState, TimePoint now)
    {
        auto update = member.update;
        update.state = newState;
        member = SwimMember { update, now };
        return true;
    }

    /// Asks other members to probe the target on behalf of this VM.
    void probeIndirectly(SwimState& state, SwimProbe& probe, SwimActions& actions, Random& random)
    {
        probe.hasIndirectProbes = true;
        const auto target = state.members.find(probe.target);
        if (target == state.members.end())
            return;
        auto others = localMembers(state);
        std::erase(others, probe.target);
        shuffle(others, random);
        others.resize(std::min(others.size(), indirectProbeCount));
        for (const auto& other : others) {
            const auto& endpoint = state.members.at(other).update.endpoint;
            auto send = makeSend(state, GossipKind::IndirectProbe, endpoint, probe.nonce, random);
            send.datagram.subject = probe.target.name;
            send.datagram.subjectEndpoint = target->second.update.endpoint;
            actions.sends.push_back(std::move(send));
        }
    }

    /// Starts indirect probes of targets that did not acknowledge within the timeout, and suspects targets that did not
    /// acknowledge within the probe period.
    void checkProbes(SwimState& state, TimePoint now, SwimActions& actions, Random& random)
    {
        for (auto& probe : state.probes) {
            if (!probe.hasIndirectProbes && now >= probe.sentAt + state.timing.ackTimeout)
                probeIndirectly(state, probe, actions, random);
        }
        const auto hasTimedOut = [&](const SwimProbe& probe) { return now >= probe.sentAt + state.timing.probePeriod; };
        for (const auto& probe : state.probes) {
            const auto position = state.members.find(probe.target);
            if (!hasTimedOut(probe) || position == state.members.end()
                || position->second.update.state >= MemberState::Suspect)
                continue;
            actions.isViewChanged |= setState(position->second, MemberState::Suspect, now);
            actions.sends.push_back(
                makeSend(state, GossipKind::Probe, position->second.update.endpoint, probe.nonce, random));
        }
        std::erase_if(state.probes, hasTimedOut);
    }

    /// Declares suspects of this data centre dead after the suspicion timeout, and removes dead members of any data
    /// centre after the retention time.
    void checkSuspects(SwimState& state, TimePoint now, SwimActions& actions)
    {
        for (auto& [identity, member] : state.members) {
            const bool isLocal = member.update.dataCentre == state.self.dataCentre;
            if (isLocal && member.update.state == MemberState::Suspect
                && now >= member.stateSince + state.timing.suspicionTimeout)
                actions.isViewChanged |= setState(member, MemberState::Dead, now);
        }
        const auto forgotten = std::erase_if(state.members, [&](const auto& entry) {
            const auto& member = entry.second;
            return !isParticipating(member.update.state) && now >= member.stateSince + state.timing.deadRetention;
        });
        actions.isViewChanged |= forgotten > 0;
    }

    /// Probes the next local member of a random order in which each member occurs once.
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
            const auto position = state.members.find(target);
            if (position == state.members.end() || !isParticipating(position->second.update.state))
                continue;
            state.probes.push_back({ target, ++state.lastNonce, now });
            actions.sends.push_back(
                makeSend(state, GossipKind::Probe, position->second.update.endpoint, state.lastNonce, random));
            return;
        }
    }

    /// Carries reports between data centres; done by delegates. A missing answer does not lead to a suspicion, because
    /// the network between the data centres may be partitioned.
    void probeOtherDataCentre(SwimState& state, SwimActions& actions, Random& random)
    {
        std::map<DataCentre, std::vector<Endpoint>> others;
        for (const auto& [identity, member] : state.members) {
            if (isParticipating(member.update.state) && member.update.dataCentre != state.self.dataCentre)
                others[member.update.dataCentre].push_back(member.update.endpoint);
        }
        if (others.empty())
            return;
        const auto position = std::next(others.begin(), static_cast<std::ptrdiff_t>(random.below(others.size())));
        const auto& endpoint = position->second[random.below(position->second.size())];
        actions.sends.push_back(makeSend(state, GossipKind::Probe, endpoint, ++state.lastNonce, random));
    }

    /// Probes a random seed at which no live member is known: always while this VM knows no members, otherwise once in
    /// `seedProbePeriods` probe periods on average.
    void probeSeed(SwimState& state, SwimActions& actions, Random& random)
    {
        std::vector<Endpoint> unknownSeeds;
        for (const auto& seed : state.seeds) {
            const bool isKnown = std::any_of(state.members.begin(), state.members.end(), [&](const auto& entry) {
                return entry.second.update.endpoint == seed && isParticipating(entry.second.update.state);
            });
            if (!isKnown && seed != state.self.endpoint)
                unknownSeeds.push_back(seed);
        }
        if (unknownSeeds.empty() || (!state.members.empty() && random.below(seedProbePeriods) != 0))
            return;
        const auto& seed = unknownSeeds[random.below(unknownSeeds.size())];
        actions.sends.push_back(makeSend(state, GossipKind::Probe, seed, ++state.lastNonce, random));
    }

    /// After a pause of this process, discards all outstanding probes and extends all suspicions by the length of the
    /// pause, because acknowledgements and refutations could not be received during it.
    void compensatePause(SwimState& state, TimePoint now)
    {
        const auto pause = now - state.lastTick;
        if (state.lastTick == TimePoint {} || pause < state.timing.pauseThreshold)
            return;
        state.probes.clear();
        for (auto& [identity, member] : state.members)
            member.stateSince += pause;
    }

    /// Pushes reports to a few random members of this data centre and to one of another.
    void pushToRandomMembers(SwimState& state, SwimActions& actions, Random& random)
    {
        std::vector<Endpoint> local;
        std::vector<Endpoint> remote;
        for (const auto& [identity, member] : state.members) {
            if (isParticipating(member.update.state))
                (member.update.dataCentre == state.self.dataCentre ? local : remote).push_back(member.update.endpoint);
        }
        shuffle(local, random);
        shuffle(remote, random);
        local.resize(std::min(local.size(), pushFanOut));
        if (!remote.empty())
            local.push_back(remote.front());
        for (const auto& endpoint : local)
            actions.sends.push_back(makeSend(state, GossipKind::Push, endpoint, 0, random));
    }

    void answerProbe(SwimState& state, const GossipDatagram& datagram, const Endpoint& from, TimePoint now,
        SwimActions& actions, Random& random)
    {
        if (datagram.kind == GossipKind::Probe) {
            actions.sends.push_back(makeSend(state, GossipKind::Ack, from, datagram.nonce, random));
        } else if (datagram.kind == GossipKind::IndirectProbe && state.relays.size() < maxRelays) {
            state.relays[++state.lastNonce] = { from, datagram.nonce, now };
            actions.sends.push_back(
                makeSend(state, GossipKind::Probe, datagram.subjectEndpoint, state.lastNonce, random));
        }
    }

    /// Completes the probe that is acknowledged; an acknowledgement of a relayed probe is passed on to its requester.
    void handleAck(SwimState& state, const GossipDatagram& datagram, SwimActions& actions, Random& random)
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

bool supersedes(const MemberUpdate& received, const MemberUpdate& known)
{
    if (received.round != known.round)
        return received.round > known.round;
    return received.state > known.state;
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
    compensatePause(state, now);
    state.lastTick = now;
    checkProbes(state, now, actions, random);
    checkSuspects(state, now, actions);
    std::erase_if(
        state.relays, [&](const auto& entry) { return now >= entry.second.sentAt + state.timing.probePeriod; });
    if (now < state.nextProbe)
        return actions;
    state.nextProbe = now + state.timing.probePeriod;
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
    actions.isViewChanged |= applyUpdate(state, datagram.sender, now);
    actions.isViewChanged |= markPredecessorsDead(state, datagram.sender, now);
    for (const auto& update : datagram.updates)
        actions.isViewChanged |= applyUpdate(state, update, now);
    answerProbe(state, datagram, from, now, actions, random);
    if (datagram.kind == GossipKind::Ack)
        handleAck(state, datagram, actions, random);
    if (state.self.round != round)
        pushToRandomMembers(state, actions, random);
    return actions;
}

SwimActions swimMerge(SwimState& state, const std::vector<MemberUpdate>& members, TimePoint now)
{
    SwimActions actions;
    for (const auto& update : members)
        actions.isViewChanged |= applyUpdate(state, update, now);
    return actions;
}

SwimActions swimAnnounce(SwimState& state, ConfigVersion inForce, Random& random)
{
    SwimActions actions;
    state.self.inForce = inForce;
    actions.isViewChanged = true;
    pushToRandomMembers(state, actions, random);
    return actions;
}

SwimActions swimLeave(SwimState& state, Random& random)
{
    SwimActions actions;
    state.self.state = MemberState::Leaving;
    ++state.self.round;
    actions.isViewChanged = true;
    pushToRandomMembers(state, actions, random);
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
        const bool isCandidate
            = member.dataCentre == own->dataCentre && member.state == MemberState::Alive && member.identity != self;
        if (isCandidate && stableHash(member.identity.name.value(), seed) < rank)
            ++before;
    }
    return before < count;
}

} // namespace topaztack
