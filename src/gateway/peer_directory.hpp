#pragma once

#include "context.hpp"
#include "table_follower.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <optional>
#include <vector>

/// @file
/// Addresses of the other VMs of the deployment. Each VM publishes its address in its own row of the store.

namespace topaztack {

/// @brief The row that a VM publishes about itself.
struct PeerRecord {
    VmIdentity vm;
    DataCentre dataCentre;
    Endpoint endpoint;
    /// Processor time that it may use, in cores.
    double processor { 1 };
    /// When it last wrote its row, in milliseconds of Unix time by its own clock.
    std::chrono::milliseconds writtenAt { 0 };
    /// Difference between its time of day and the store's clock when it wrote its row; empty if it didn't know it, or
    /// use is not reported.
    std::optional<std::chrono::milliseconds> clockOffset;
};

std::string toText(const PeerRecord& record);

/// @return BadFrame with a description of what is malformed.
Result<PeerRecord> parsePeerRecord(std::string_view text);

class PeerDirectory {
public:
    explicit PeerDirectory(GatewayContext& context);

    void start();

    /// @brief At most `maxCount` other VMs, in the order in which to ask them: those in other data centres first, since
    /// the store may refuse a whole data centre, otherwise in random order.
    std::vector<PeerRecord> candidates(std::size_t maxCount) const;

    /// @brief The other VMs that have a row.
    const std::map<VmName, PeerRecord>& known() const { return this->peers; }

    /// @brief The VMs that keep the shared state of a key, this one possibly among them: see rankKeepers().
    std::vector<PeerRecord> keepersOf(std::string_view key) const;

    /// @brief When this VM first wrote its row; empty before, and once it is removed.
    const std::optional<TimePoint>& publishedAt() const { return this->firstPublishedAt; }

    /// @brief Removes this VM's row.
    boost::asio::awaitable<void> withdraw();

    boost::json::value dump() const;

private:
    void applyRows(const std::vector<StoreRow>& rows, bool isFullTable);
    boost::asio::awaitable<void> publish();
    boost::asio::awaitable<void> removeStaleRow();
    PeerRecord ownRecord() const;

    GatewayContext& context;
    TableFollower rows;
    std::map<VmName, PeerRecord> peers;
    std::optional<TimePoint> firstPublishedAt;
    bool isWithdrawn { false };
};

} // namespace topaztack
