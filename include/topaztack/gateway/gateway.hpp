#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/control/settings.hpp>
#include <topaztack/gateway/protocol.hpp>

#include <memory>

/// @file
/// A gateway that keeps its configuration, its list of backend servers and its jobs in the platform's store.

namespace topaztack {

/// @brief Serves callers, operators and the other VMs of the deployment.
class Gateway {
public:
    /// @param protocol must outlive the gateway.
    Gateway(VmSettings settings, VmIdentity identity, const GatewayProtocol& protocol);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// @brief Starts to listen and to serve.
    /// @return ErrorKind::BadSettings if an address can't be bound.
    Result<void> start();

    /// @brief Hands the order lease and the jobs over to other VMs, answers requests that are in flight or still
    /// arrive, then stops.
    void shutDown();

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace topaztack
