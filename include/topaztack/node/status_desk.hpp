#pragma once

#include <topaztack/node/config_keeper.hpp>
#include <topaztack/wire/http_router.hpp>

/// @file
/// `GET /v1/config/status`: accepted told from in force, VM by VM; each VM is asked, and one that does not answer is
/// named as unreachable.

namespace topaztack {

/// @brief One VM in the status.
struct VmStatus {
    VmIdentity identity;
    DataCentre dataCentre;
    Endpoint endpoint;
    MemberState believed { MemberState::Alive };
    bool isReachable { false };
    ConfigVersion inForce;
};

class StatusDesk {
public:
    StatusDesk(NodeContext& context, ConfigKeeper& keeper, PeerCaller callPeer);

    void addRoutes(HttpRouter& operators);

private:
    boost::asio::awaitable<void> handleStatus(HttpExchange& exchange);
    boost::asio::awaitable<std::vector<VmStatus>> askAll();
    std::vector<VmStatus> listVms() const;
    VmStatus ownStatus() const;

    NodeContext& context;
    ConfigKeeper& keeper;
    PeerCaller callPeer;
};

} // namespace topaztack
