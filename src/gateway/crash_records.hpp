#pragma once

#include "context.hpp"
#include "notifier.hpp"
#include "table_follower.hpp"

#include <topaztack/policy/crash_evidence.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

/// @file
/// What all VMs know of requests under which backend servers ended. The evidence is kept in the store, so that a
/// request that crashes servers is recognised at whichever VM it comes again, also after VMs were restarted.

namespace topaztack {

/// @brief What a caller asks for, whichever attempt of it this is. The request must outlive it.
class RequestContent {
public:
    RequestContent(const CallerRequest& call, const HttpRequest& request);

    /// @brief A digest of who asks, for what and with which body; made at the first use.
    const std::string& digest();

    /// @brief A cheap hash of host, method and target.
    std::uint64_t target() const { return this->targetHash; }

private:
    const CallerRequest& call;
    const HttpRequest& request;
    std::uint64_t targetHash;
    std::string madeDigest;
};

/// @brief Whether a server could be set aside for a suspected request.
enum class Reservation : std::uint8_t {
    /// No other suspected request is run at the server until it is released.
    Made,
    /// Another suspected request runs there.
    Taken,
    /// The store did not say.
    Unknown,
};

class CrashRecords {
public:
    /// @param onEnd called when another VM tells that a server ended.
    CrashRecords(GatewayContext& context, std::function<void(const ServerStart&)> onEnd);

    void start();

    CrashVerdict verdict(RequestContent& content);

    /// @brief Time until a held request may be run again.
    Duration timeHeld(RequestContent& content);

    /// @brief Records that a server ended while it ran the request.
    /// @param wasAlone whether the server was reserved for it.
    void recordEnd(RequestContent& content, const ServerRecord& server, bool wasAlone);

    /// @brief Records that a server ran the request and went on: it doesn't crash servers.
    void recordRun(RequestContent& content);

    /// @brief Waits until the store has what this VM tells the others of the request, so that its caller, told of the
    /// failure, meets VMs that know of it; or until a time limit.
    boost::asio::awaitable<void> waitUntilTold(RequestContent& content);

    /// @brief Takes back that a server ended.
    void withdrawEnd(const ServerStart& start);

    boost::asio::awaitable<Reservation> reserve(ServerStart server);
    void release(const ServerStart& server);

    /// @brief Drops what is too old, also in the store.
    void expire();

    /// @brief The requests that are suspected or held.
    boost::json::value dump() const;

private:
    struct Record {
        std::uint64_t target { 0 };
        /// Whether the store has, or may have, a row of this VM.
        bool isPublished { false };
        /// What each VM saw.
        std::map<VmName, CrashEvidence> seenBy;
    };

    Record* find(RequestContent& content);
    void queueOwnRow(RequestContent& content);
    bool mayTellOfFirstEnd(TimePoint now);
    static CrashEvidence combine(const Record& record);
    void applyRows(const std::vector<StoreRow>& rows, bool isFullTable);
    void applyRow(const StoreRow& row);
    void drop(const std::string& digest);
    void queueRemoval(const std::string& digest, const Record& record);
    const CrashEvidence* findEvidence(const std::string& key) const;
    std::size_t countEnds(const std::string& key) const;
    StoreWrite makeWrite(const std::string& key) const;
    boost::asio::awaitable<void> writeRows();
    boost::asio::awaitable<void> removeReservation(ServerStart server);
    boost::asio::awaitable<void> removeAbandoned(StoreRow row);

    GatewayContext& context;
    const std::function<void(const ServerStart&)> onEnd;
    TableFollower rows;
    std::map<std::string, Record> records;
    /// Targets of the requests in `records`, so that no digest is made of others.
    std::multiset<std::uint64_t> targets;
    /// Keys of rows that are to be written or removed.
    std::set<std::string> unwritten;
    Notifier unwrittenNotifier;
    Notifier writtenNotifier;
    /// First ends told to other VMs since `firstEndsCountedAt`.
    std::uint32_t recentFirstEnds { 0 };
    TimePoint firstEndsCountedAt;
    /// Reservations asked for since `reservationsCountedAt`.
    std::uint32_t recentReservations { 0 };
    TimePoint reservationsCountedAt;
    Counter& ends;
    Counter& held;
    Counter& cleared;
};

} // namespace topaztack
