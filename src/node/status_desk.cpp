#include <topaztack/node/status_desk.hpp>

#include <topaztack/control/acceptance.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto askTimeout = 1s;
    constexpr auto waitStep = 5ms;
    constexpr std::size_t askedAtOnce = 64;

    /// Calls of one status request; outlives the request if a call is late.
    struct Round {
        std::vector<VmStatus> vms;
        std::size_t next { 0 };
        std::size_t finished { 0 };
    };

    asio::awaitable<void> askVms(std::shared_ptr<Round> round, PeerCaller callPeer, TimePoint deadline)
    {
        while (round->next < round->vms.size()) {
            const auto index = round->next++;
            const auto endpoint = round->vms[index].endpoint;
            const auto answer = co_await callPeer(endpoint, PeerCall(StatusFetch {}), deadline);
            const auto* status = answer ? std::get_if<StatusAnswer>(&answer.value()) : nullptr;
            if (status) {
                auto& vm = round->vms[index];
                vm.identity = status->identity;
                vm.dataCentre = status->dataCentre;
                vm.inForce = status->inForce;
                vm.isReachable = true;
            }
            ++round->finished;
        }
    }

    json::object vmJson(const VmStatus& vm)
    {
        json::object value { { "vm", vm.identity.name.value() }, { "state", stateName(vm.believed) },
            { "reachable", vm.isReachable }, { "address", toText(vm.endpoint) } };
        if (vm.isReachable)
            value["in_force"] = vm.inForce.value();
        return value;
    }

    json::array byDataCentre(const std::vector<VmStatus>& vms, ConfigVersion accepted)
    {
        std::map<DataCentre, std::vector<const VmStatus*>> groups;
        for (const auto& vm : vms)
            groups[vm.dataCentre].push_back(&vm);
        json::array list;
        for (const auto& [dataCentre, members] : groups) {
            json::array entries;
            std::size_t count = 0;
            for (const auto* vm : members) {
                entries.push_back(vmJson(*vm));
                count += vm->isReachable && vm->inForce >= accepted ? 1 : 0;
            }
            json::object group;
            group["name"] = dataCentre.value();
            group["in_force"] = count;
            group["of"] = members.size();
            group["vms"] = std::move(entries);
            list.push_back(std::move(group));
        }
        return list;
    }

    json::array namesOfUnreachable(const std::vector<VmStatus>& vms)
    {
        json::array names;
        for (const auto& vm : vms) {
            if (!vm.isReachable)
                names.emplace_back(vm.identity.name.value());
        }
        return names;
    }

    json::object statusJson(const std::vector<VmStatus>& vms, ConfigVersion accepted, bool isPlatformAnswering)
    {
        const bool isEverywhere = std::all_of(
            vms.begin(), vms.end(), [&](const VmStatus& vm) { return vm.isReachable && vm.inForce >= accepted; });
        json::object value;
        value["accepted"] = accepted.value();
        value["accepted_from"] = isPlatformAnswering ? "platform" : "newest-known";
        value["in_force_everywhere"] = isEverywhere;
        value["unreachable"] = namesOfUnreachable(vms);
        value["data_centres"] = byDataCentre(vms, accepted);
        return value;
    }

    std::vector<RowKey> versionKey()
    {
        std::vector<RowKey> keys;
        keys.emplace_back(std::string(versionRowKey));
        return keys;
    }

} // namespace

StatusDesk::StatusDesk(NodeContext& context, ConfigKeeper& keeper, PeerCaller callPeer)
    : context(context)
    , keeper(keeper)
    , callPeer(std::move(callPeer))
{
}

void StatusDesk::addRoutes(HttpRouter& operators)
{
    operators.add("GET", "/v1/config/status", [this](HttpExchange& exchange) { return this->handleStatus(exchange); });
}

/// Members that are not dead, and VMs of the settings that membership does not know.
std::vector<VmStatus> StatusDesk::listVms() const
{
    std::vector<VmStatus> vms;
    const auto view = this->context.members.load();
    if (view) {
        for (const auto& member : view->members) {
            if (member.state != MemberState::Dead && member.identity != this->context.identity)
                vms.push_back({ member.identity, member.dataCentre, member.endpoint, member.state });
        }
    }
    for (const auto& peer : this->context.settings.peerList) {
        const bool isListed
            = std::any_of(vms.begin(), vms.end(), [&](const VmStatus& vm) { return vm.endpoint == peer.endpoint; });
        if (!isListed)
            vms.push_back({ { peer.name, {} }, peer.dataCentre, peer.endpoint, MemberState::Dead });
    }
    return vms;
}

VmStatus StatusDesk::ownStatus() const
{
    const auto document = this->context.document();
    VmStatus own;
    own.identity = this->context.identity;
    own.dataCentre = this->context.settings.dataCentre;
    own.endpoint = this->context.settings.peers;
    own.believed = this->context.isDraining ? MemberState::Leaving : MemberState::Alive;
    own.isReachable = true;
    own.inForce = document ? document->version : ConfigVersion(0);
    return own;
}

asio::awaitable<std::vector<VmStatus>> StatusDesk::askAll()
{
    const auto executor = co_await asio::this_coro::executor;
    auto round = std::make_shared<Round>();
    round->vms = this->listVms();
    const auto deadline = Clock::now() + askTimeout;
    for (std::size_t index = 0; index < std::min(askedAtOnce, round->vms.size()); ++index)
        asio::co_spawn(executor, askVms(round, this->callPeer, deadline), asio::detached);
    asio::steady_timer timer(executor);
    while (round->finished < round->vms.size() && Clock::now() < deadline) {
        timer.expires_after(waitStep);
        co_await timer.async_wait(asio::use_awaitable);
    }
    auto vms = round->vms;
    vms.push_back(this->ownStatus());
    std::sort(vms.begin(), vms.end(),
        [](const VmStatus& left, const VmStatus& right) { return left.identity.name < right.identity.name; });
    co_return vms;
}

asio::awaitable<void> StatusDesk::handleStatus(HttpExchange& exchange)
{
    const auto rows = co_await this->context.clients().platform.read(versionKey());
    const bool isAnswered = rows && !rows.value().empty();
    auto accepted = this->keeper.newestHeard();
    if (isAnswered)
        accepted = std::max(accepted, ConfigVersion(rows.value().front().version.value()));
    const auto vms = co_await this->askAll();
    auto body = statusJson(vms, accepted, isAnswered);
    body["vm"] = this->context.identity.name.value();
    body["document"] = this->keeper.dump();
    co_await exchange.respond(jsonResponse(200, json::serialize(body)));
}

} // namespace topaztack
