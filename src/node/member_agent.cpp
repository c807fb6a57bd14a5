#include <topaztack/node/member_agent.hpp>

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto tickInterval = 50ms;
    /// The view is published at most this often, since publishing waits for readers.
    constexpr auto publishInterval = 200ms;
    constexpr auto vmListInterval = 60s;
    constexpr auto leaveTime = 100ms;

    MemberUpdate makeSelf(const NodeContext& context)
    {
        MemberUpdate self;
        self.identity = context.identity;
        self.dataCentre = context.settings.dataCentre;
        self.endpoint = context.settings.peers;
        return self;
    }

    std::vector<Endpoint> settingsSeeds(const VmSettings& settings)
    {
        std::vector<Endpoint> seeds;
        for (const auto& peer : settings.peerList)
            seeds.push_back(peer.endpoint);
        return seeds;
    }

    json::object memberJson(const MemberUpdate& member)
    {
        return { { "vm", member.identity.name.value() }, { "incarnation", toHex(member.identity.incarnation.value()) },
            { "data_centre", member.dataCentre.value() }, { "address", toText(member.endpoint) },
            { "state", stateName(member.state) }, { "round", member.round }, { "in_force", member.inForce.value() } };
    }

} // namespace

MemberAgent::MemberAgent(NodeContext& context, ConfigKeeper& config, const PeerKey& key)
    : context(context)
    , config(config)
    , random(systemSeed())
    , state(makeSwimState(SwimTiming {}, makeSelf(context), settingsSeeds(context.settings)))
    , alive(context.metrics.gauge("topaztack_members_alive", "VMs believed alive, this one included"))
    , socket(
          context.threads.at(0), context.settings.peers, key,
          [this](const GossipDatagram& datagram, const Endpoint& from) { this->receive(datagram, from); },
          context.metrics)
{
    config.onInForce(
        [this](ConfigVersion version) { this->carryOut(swimAnnounce(this->state, version, this->random)); });
}

Result<void> MemberAgent::start()
{
    BOOST_OUTCOME_TRYV(this->socket.start());
    asio::co_spawn(this->context.threads.at(0), this->tick(), asio::detached);
    asio::co_spawn(this->context.threads.at(0), this->readVmList(), asio::detached);
    return boost::outcome_v2::success();
}

asio::awaitable<void> MemberAgent::tick()
{
    asio::steady_timer timer(this->context.threads.at(0));
    while (true) {
        this->carryOut(swimTick(this->state, Clock::now(), this->random));
        this->publish();
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/// The platform's list lags; its addresses are seeds beside those of the settings.
asio::awaitable<void> MemberAgent::readVmList()
{
    asio::steady_timer timer(this->context.threads.at(0));
    while (true) {
        const auto list = co_await this->context.clients().platform.listVms();
        if (list) {
            auto seeds = settingsSeeds(this->context.settings);
            for (const auto& vm : list.value())
                seeds.push_back(vm.endpoint);
            this->state.seeds = std::move(seeds);
        }
        const auto jitter = std::chrono::duration_cast<Duration>(vmListInterval * this->random.unit());
        timer.expires_after(vmListInterval / 2 + jitter);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void MemberAgent::receive(const GossipDatagram& datagram, const Endpoint& from)
{
    this->hearDocuments(datagram);
    this->carryOut(swimReceive(this->state, datagram, from, Clock::now(), this->random));
}

/// The sender itself is asked first; it spoke a moment ago.
void MemberAgent::hearDocuments(const GossipDatagram& datagram)
{
    this->config.hear(datagram.sender.inForce, datagram.sender.endpoint);
    for (const auto& update : datagram.updates) {
        const bool isOther = update.identity != this->context.identity;
        if (isOther && update.state != MemberState::Dead)
            this->config.hear(update.inForce, update.endpoint);
    }
}

void MemberAgent::carryOut(const SwimActions& actions)
{
    for (const auto& send : actions.sends)
        this->socket.send(send.to, send.datagram);
    this->isViewStale |= actions.isViewChanged;
}

void MemberAgent::publish()
{
    const auto now = Clock::now();
    if (!this->isViewStale || now < this->publishedAt + publishInterval)
        return;
    this->isViewStale = false;
    this->publishedAt = now;
    auto* view = new MembershipView(swimView(this->state));
    std::int64_t count = 0;
    for (const auto& member : view->members)
        count += member.state == MemberState::Alive ? 1 : 0;
    if (count != this->alive.value())
        logEvent(LogLevel::Info, "members-changed", { { "alive", std::to_string(count) } });
    this->alive.set(count);
    this->context.members.store(MembershipViewPtr(view));
}

asio::awaitable<void> MemberAgent::leave()
{
    this->carryOut(swimLeave(this->state, this->random));
    asio::steady_timer timer(this->context.threads.at(0));
    timer.expires_after(leaveTime);
    co_await timer.async_wait(asio::use_awaitable);
}

json::value MemberAgent::dump() const
{
    json::array list;
    if (const auto view = this->context.members.load()) {
        for (const auto& member : view->members)
            list.push_back(memberJson(member));
    }
    return list;
}

} // namespace topaztack
