#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/control/settings.hpp>
#include <topaztack/gateway/protocol.hpp>

#include <memory>

/// @file
/// A VM whose configuration, backend servers and jobs stand in the platform's store.

namespace topaztack {

class Gateway {
public:
    /// @param protocol must outlive the gateway.
    Gateway(VmSettings settings, VmIdentity identity, const GatewayProtocol& protocol);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// @brief Listens and serves.
    /// @return ErrorKind::BadSettings if an address can't be bound.
    Result<void> start();

    /// @brief Hands jobs and orders over, answers what is in flight and what still arrives, then stops.
    void shutDown();

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace topaztack
