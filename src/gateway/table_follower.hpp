#pragma once

#include "context.hpp"

#include <functional>
#include <string>
#include <vector>

/// @file
/// Follows one table of the store: reads it whole, then its changes. A row never goes back to an older version.

namespace topaztack {

struct FollowOptions {
    std::string table;
    std::vector<std::string> parts;
    /// How long the store holds a call open when nothing changes.
    std::chrono::milliseconds wait { 1000 };
    /// Between two calls, so that many changes come in one answer.
    std::chrono::milliseconds pause { 0 };
};

class TableFollower {
public:
    /// Rows that are new to this VM. `isWhole` says that the rows are the whole table.
    using Taker = std::function<void(const std::vector<StoreRow>& rows, bool isWhole)>;

    TableFollower(GatewayContext& context, FollowOptions rules, Taker take);

    void start();

    /// @brief Since when every change has been seen without a gap; nothing while the store does not answer.
    std::optional<TimePoint> freshSince() const { return this->fresh; }

    /// @brief When the store last answered.
    TimePoint answeredAt() const { return this->answered; }

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> readWhole();
    boost::asio::awaitable<bool> readChanges();
    void logStaleRead(RowVersion version) const;

    GatewayContext& context;
    const FollowOptions rules;
    const Taker take;
    RowVersion position;
    bool isWhole { false };
    std::optional<TimePoint> fresh;
    TimePoint answered;
};

} // namespace topaztack
