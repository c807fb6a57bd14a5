#include <topaztack/control/swim.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

constexpr auto tickInterval = 50ms;

/// One VM and the datagrams that it receives at its next tick.
struct SimulatedVm {
    SwimState state;
    bool isRunning { true };
    bool isPaused { false };
    std::vector<std::pair<GossipDatagram, Endpoint>> inbox;
};

/// Simulated VMs in two data centres and a network that delays and loses datagrams and can be partitioned.
class Network {
public:
    Network(std::size_t count, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->vms.push_back(this->makeVm(index));
    }

    SimulatedVm makeVm(std::size_t index)
    {
        MemberUpdate self;
        self.identity = { VmName("vm-" + std::to_string(index)), Incarnation(this->random.next()) };
        self.dataCentre = DataCentre(index % 2 == 0 ? "north" : "south");
        self.endpoint = endpointOf(index);
        return { makeSwimState(SwimTiming {}, self, { endpointOf(0), endpointOf(1), endpointOf(2) }) };
    }

    static Endpoint endpointOf(std::size_t index) { return { "127.0.0.1", static_cast<std::uint16_t>(1000 + index) }; }

    void replace(std::size_t index) { this->vms[index] = this->makeVm(index); }

    void run(Duration time)
    {
        for (const auto end = this->now + time; this->now < end; this->now += tickInterval) {
            for (std::size_t index = 0; index < this->vms.size(); ++index)
                this->runTick(index);
        }
    }

    /// Whether every running VM believes exactly the running VMs to be alive.
    bool hasConverged() const
    {
        std::vector<VmIdentity> running;
        for (const auto& vm : this->vms) {
            if (vm.isRunning)
                running.push_back(vm.state.self.identity);
        }
        std::sort(running.begin(), running.end());
        return std::all_of(this->vms.begin(), this->vms.end(),
            [&](const SimulatedVm& vm) { return !vm.isRunning || this->aliveMembers(vm) == running; });
    }

    static std::vector<VmIdentity> aliveMembers(const SimulatedVm& vm)
    {
        std::vector<VmIdentity> alive;
        for (const auto& member : swimView(vm.state).members) {
            if (member.state == MemberState::Alive)
                alive.push_back(member.identity);
        }
        std::sort(alive.begin(), alive.end());
        return alive;
    }

    bool runUntilConverged(Duration limit)
    {
        for (Duration spent {}; spent < limit; spent += 500ms) {
            if (this->hasConverged())
                return true;
            this->run(500ms);
        }
        return this->hasConverged();
    }

    std::vector<SimulatedVm> vms;
    Random random;
    TimePoint now { 1h };
    double lossRate { 0 };
    std::function<bool(std::size_t, std::size_t)> isLinkDown = [](std::size_t, std::size_t) { return false; };
    std::size_t sent { 0 };

private:
    void runTick(std::size_t index)
    {
        auto& vm = this->vms[index];
        if (!vm.isRunning || vm.isPaused)
            return;
        this->deliver(index, swimTick(vm.state, this->now, this->random));
        auto inbox = std::move(vm.inbox);
        vm.inbox.clear();
        for (const auto& [datagram, from] : inbox)
            this->deliver(index, swimReceive(vm.state, datagram, from, this->now, this->random));
    }

    void deliver(std::size_t from, const SwimActions& actions)
    {
        for (const auto& send : actions.sends) {
            ++this->sent;
            const auto to = static_cast<std::size_t>(send.to.port - 1000);
            if (this->random.unit() < this->lossRate || this->isLinkDown(from, to) || !this->vms[to].isRunning)
                continue;
            this->vms[to].inbox.emplace_back(send.datagram, endpointOf(from));
        }
    }
};

} // namespace

TEST_GROUP(Swim) {};

TEST(Swim, VmsDiscoverEachOtherFromThreeSeeds)
{
    Network network(24, 3);
    CHECK_TRUE(network.runUntilConverged(60s));
}

TEST(Swim, StoppedVmIsDeclaredDeadByAllOthersWithin15Seconds)
{
    Network network(12, 4);
    CHECK_TRUE(network.runUntilConverged(60s));
    network.vms[4].isRunning = false;
    CHECK_FALSE(network.hasConverged());
    CHECK_TRUE(network.runUntilConverged(15s));
}

TEST(Swim, PredecessorOfAReplacedVmIsDeclaredDead)
{
    Network network(12, 5);
    CHECK_TRUE(network.runUntilConverged(60s));
    network.replace(4);
    CHECK_TRUE(network.runUntilConverged(20s));
}

TEST(Swim, DelayedDatagramOfThePredecessorDoesNotMarkTheNewProcessDead)
{
    Network network(3, 6);
    CHECK_TRUE(network.runUntilConverged(60s));
    GossipDatagram delayed;
    delayed.kind = GossipKind::Push;
    delayed.sender = network.vms[2].state.self;
    network.replace(2);
    CHECK_TRUE(network.runUntilConverged(30s));
    const auto before = Network::aliveMembers(network.vms[0]);
    swimReceive(network.vms[0].state, delayed, Network::endpointOf(2), network.now, network.random);
    CHECK_TRUE(before == Network::aliveMembers(network.vms[0]));
}

TEST(Swim, ResumedVmRefutesItsDeathAndDeclaresNoOtherVmDead)
{
    Network network(12, 7);
    CHECK_TRUE(network.runUntilConverged(60s));
    network.vms[4].isPaused = true;
    network.run(20s);
    CHECK_FALSE(network.hasConverged());
    network.vms[4].isPaused = false;
    network.run(tickInterval);
    LONGS_EQUAL(12, Network::aliveMembers(network.vms[4]).size());
    CHECK_TRUE(network.runUntilConverged(30s));
}

TEST(Swim, ResumedVmExtendsASuspicionByTheLengthOfItsPause)
{
    Network network(2, 10);
    auto& state = network.vms[0].state;
    auto suspect = network.vms[1].state.self;
    suspect.dataCentre = state.self.dataCentre;
    suspect.state = MemberState::Suspect;
    state.members.emplace(suspect.identity, SwimMember { suspect, network.now });
    swimTick(state, network.now, network.random);
    swimTick(state, network.now + 20s, network.random);
    CHECK_TRUE(state.members.at(suspect.identity).update.state == MemberState::Suspect);
    for (auto later = 20s + 500ms; later <= 23s; later += 500ms)
        swimTick(state, network.now + later, network.random);
    CHECK_TRUE(state.members.at(suspect.identity).update.state == MemberState::Dead);
}

TEST(Swim, LeavingVmIsReportedAsLeaving)
{
    Network network(6, 8);
    CHECK_TRUE(network.runUntilConverged(60s));
    const auto identity = network.vms[2].state.self.identity;
    swimLeave(network.vms[2].state, network.random);
    network.run(5s);
    const auto view = swimView(network.vms[0].state);
    CHECK_TRUE(findMember(view, identity)->state == MemberState::Leaving);
}

TEST(Swim, DatagramsSentPerVmDoNotGrowWithTheNumberOfVms)
{
    const auto sentPerVm = [](std::size_t count) {
        Network network(count, 9);
        network.runUntilConverged(90s);
        network.sent = 0;
        network.run(20s);
        return static_cast<double>(network.sent) / static_cast<double>(count);
    };
    CHECK_TRUE(sentPerVm(48) < sentPerVm(12) * 1.25);
}

TEST(Swim, ViewsConvergeAfterLossPartitionDeathAndReplacement)
{
    CHECK_TRUE(rc::check("converges", [] {
        Network network(10, *rc::gen::arbitrary<std::uint64_t>());
        network.lossRate = 0.2;
        network.run(20s);
        const auto firstOfOtherSide = *rc::gen::inRange<std::size_t>(1, 9);
        network.isLinkDown = [firstOfOtherSide](std::size_t from, std::size_t to) {
            return (from < firstOfOtherSide) != (to < firstOfOtherSide);
        };
        network.run(std::chrono::seconds(*rc::gen::inRange(1, 30)));
        network.replace(*rc::gen::inRange<std::size_t>(0, 10));
        network.vms[9].isRunning = *rc::gen::arbitrary<bool>();
        network.run(std::chrono::seconds(*rc::gen::inRange(1, 10)));
        network.isLinkDown = [](std::size_t, std::size_t) { return false; };
        network.lossRate = 0;
        RC_ASSERT(network.runUntilConverged(120s));
    }));
}
