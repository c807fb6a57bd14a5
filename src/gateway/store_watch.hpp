#pragma once

#include "context.hpp"
#include "peer_directory.hpp"

#include <topaztack/wire/http.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string_view>

/// @file
/// Whether the store is away for all VMs or for this one alone: other VMs are asked while it is silent here.

namespace topaztack {

/// Path at which VMs tell each other whether they reach the store.
inline constexpr std::string_view storeContactPath = "/store-contact";

class StoreWatch {
public:
    StoreWatch(GatewayContext& context, const PeerDirectory& peers);

    void start();

    /// @brief The store is away here, and every VM that was asked of late said the same. No VM can have taken this VM's
    /// jobs over then, nor can a trainer have ended them.
    bool isUnreachableForAll() const;

    /// @brief What this VM tells others.
    HttpResponse answer() const;

private:
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<void> ask();

    GatewayContext& context;
    const PeerDirectory& peers;
    /// When other VMs last said that they don't reach the store either.
    std::optional<TimePoint> confirmedAt;
};

} // namespace topaztack
