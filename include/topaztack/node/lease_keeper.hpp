#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/node/context.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <memory>
#include <optional>

/// @file
/// The leases of one VM. Each is a row of the table service; all held ones are renewed in one write.

namespace topaztack {

class LeaseKeeper {
public:
    explicit LeaseKeeper(NodeContext& context);
    ~LeaseKeeper();

    /// @brief Starts to compete for a lease; thread-safe, returns at once.
    void want(LeaseName name);

    /// @brief Stops competing and gives the lease up.
    void unwant(const LeaseName& name);

    /// @brief The fencing number if the lease is held at this very moment by the monotonic clock with its margin;
    /// to be asked immediately before each order.
    std::optional<FencingNumber> held(const LeaseName& name) const;

    void start();

    /// @brief Gives up every lease, for a graceful shutdown.
    boost::asio::awaitable<void> releaseAll();

    boost::json::value dump() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace topaztack
