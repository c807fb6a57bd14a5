#pragma once

#include "context.hpp"
#include "table_follower.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <vector>

/// @file
/// Where the other VMs of the deployment take calls: each keeps a row of its own in the store.

namespace topaztack {

/// @brief What a VM says of itself.
struct PeerRecord {
    VmIdentity vm;
    DataCentre dataCentre;
    Endpoint endpoint;
    /// Cores' worth of processor time that it may use.
    double processor { 1 };
    /// When it last wrote its row, in milliseconds of Unix time by its clock.
    std::chrono::milliseconds writtenAt { 0 };
};

std::string toText(const PeerRecord& record);

/// @return BadFrame with what is wrong.
Result<PeerRecord> parsePeerRecord(std::string_view text);

class PeerDirectory {
public:
    explicit PeerDirectory(GatewayContext& context);

    void start();

    /// @brief Other VMs in the order in which they are to be asked: those of other data centres first, since the store
    /// may turn away a whole data centre; apart from that at random.
    std::vector<PeerRecord> candidates(std::size_t most) const;

    /// @brief The other VMs that have a row.
    const std::map<VmName, PeerRecord>& known() const { return this->peers; }

    /// @brief Removes this VM's row.
    boost::asio::awaitable<void> withdraw();

    boost::json::value dump() const;

private:
    void applyRows(const std::vector<StoreRow>& rows, bool isWhole);
    boost::asio::awaitable<void> publish();
    boost::asio::awaitable<void> removeOne();

    GatewayContext& context;
    TableFollower rows;
    std::map<VmName, PeerRecord> peers;
    bool isWithdrawn { false };
};

} // namespace topaztack
