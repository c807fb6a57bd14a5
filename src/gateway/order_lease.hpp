#pragma once

#include "context.hpp"

#include <topaztack/control/lease.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

/// @file
/// The lease that lets one VM at a time send orders to engines.

namespace topaztack {

class OrderLease {
public:
    explicit OrderLease(GatewayContext& context);

    void start();

    /// @brief The fencing number for an order; empty if none may be sent now. Call it immediately before each order.
    std::optional<FencingNumber> fencingNumberForOrder() const;

    /// @brief Releases the lease. Returns once the store has recorded that, or at the deadline.
    boost::asio::awaitable<void> release(TimePoint deadline);

    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> commit(LeaseStep step);
    void updateHeldNumber();

    GatewayContext& context;
    LeaseContender holder;
    /// Whether no VM held the lease before this one; then there is no earlier order to wait for.
    bool isFirstHolder { false };
    /// Fencing number under which the lease is held; empty if it is not held.
    std::optional<FencingNumber> number;
    /// When another VM's change of the lease row was last seen.
    TimePoint changedByOtherAt;
    /// Version of the row when it was last read.
    RowVersion seenVersion;
    /// When the last acquisition or renewal that took effect was sent.
    TimePoint renewalSentAt;
    std::uint64_t operations { 0 };
};

} // namespace topaztack
