#pragma once

#include "context.hpp"

#include <topaztack/control/lease.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

/// @file
/// The lease of the one VM that gives orders to engines.

namespace topaztack {

class OrderLease {
public:
    explicit OrderLease(GatewayContext& context);

    void start();

    /// @brief The fencing number if an order may be given now. To be asked immediately before each order.
    std::optional<FencingNumber> mayOrder() const;

    /// @brief Gives the lease up; done when the store has it, or at the deadline.
    boost::asio::awaitable<void> release(TimePoint deadline);

    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> keep();
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> commit(LeaseStep step);
    void noteHeld();

    GatewayContext& context;
    LeaseContender holder;
    /// Whether nobody held the lease before this VM: then no earlier order has to be waited for.
    bool isFirst { false };
    /// The number under which it is held, and since when.
    std::optional<FencingNumber> number;
    /// When the row was last seen to be changed by another VM, and the version that it then had.
    TimePoint foreignChangeAt;
    RowVersion seenVersion;
    /// When the last renewal that took effect was sent.
    TimePoint renewedAt;
    std::uint64_t operations { 0 };
};

} // namespace topaztack
