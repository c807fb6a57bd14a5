#pragma once

#include "context.hpp"

#include <functional>
#include <string>
#include <vector>

/// @file
/// Follows one table of the store: reads the whole table, then its changes. A row never reverts to an older version.

namespace topaztack {

/// @brief Which table to follow, and how often to ask for its changes.
struct FollowOptions {
    std::string table;
    std::vector<std::string> parts;
    /// Long-poll time: how long the store holds a call open while nothing changes.
    std::chrono::milliseconds wait { 1000 };
    /// Pause between two calls, so that one response carries many changes.
    std::chrono::milliseconds pause { 0 };
};

class TableFollower {
public:
    /// Receives rows that are new to this VM. `isFullTable` says that they are the whole table.
    using RowHandler = std::function<void(const std::vector<StoreRow>& rows, bool isFullTable)>;

    TableFollower(GatewayContext& context, FollowOptions options, RowHandler onRows);

    void start();

    /// @brief Since when every change has been seen without a gap; empty while the store doesn't answer.
    std::optional<TimePoint> freshSince() const { return this->gaplessSince; }

    /// @brief When the store last answered.
    TimePoint answeredAt() const { return this->lastAnswerAt; }

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> readNext();
    boost::asio::awaitable<bool> readTable();
    boost::asio::awaitable<bool> readChanges();
    void logStaleRead(RowVersion version) const;

    GatewayContext& context;
    const FollowOptions options;
    const RowHandler onRows;
    /// Every change up to this version of the table has been delivered.
    RowVersion position;
    /// Whether the whole table was read, so that reading its changes is enough.
    bool hasReadTable { false };
    std::optional<TimePoint> gaplessSince;
    TimePoint lastAnswerAt;
};

} // namespace topaztack
