#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/metrics.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/wire/http_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The platform's store as tables of rows and named objects. The protocol is a parameter; what a failure proves, the
/// time limits and the outage clock are the same for every protocol.

namespace topaztack {

/// @brief Where a row stands. Rows of one part share a transaction.
struct StoreRowKey {
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const StoreRowKey&) const = default;
};

/// @brief A row as read. Version 0 says that the row is absent.
struct StoreRow {
    StoreRowKey place;
    RowVersion version;
    std::string value;
    bool isRemoved { false };
};

struct StoreCondition {
    StoreRowKey place;
    /// 0 requires that the row is absent.
    RowVersion version;
};

/// @brief A new value, or the row's removal.
struct StoreWrite {
    StoreRowKey place;
    std::optional<std::string> value;
};

/// @brief All conditions hold and all writes take effect, or none does.
struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
};

struct StoreCommit {
    bool isCommitted { false };
    /// The version that the written rows have now.
    RowVersion version;
    /// The store's steady clock at the answer; 0 if it doesn't state it.
    std::chrono::milliseconds storeTime { 0 };
    /// The rows of the conditions as they are, if a condition did not hold.
    std::vector<StoreRow> conflicts;
};

/// @brief Rows of one part with `from` <= key < `to`; an empty bound is open.
struct StoreRange {
    std::string table;
    std::string part;
    std::string from;
    std::string to;
};

/// @brief Rows or changes, and the store's version up to which they are complete.
struct StoreRows {
    std::vector<StoreRow> rows;
    RowVersion version;
    /// The store's steady clock at the answer; 0 if it doesn't state it.
    std::chrono::milliseconds storeTime { 0 };
    /// More rows follow the last one.
    bool hasMore { false };
    /// The changes asked for are no longer kept: the table is to be read again.
    bool isHistoryLost { false };
};

/// @brief Changes of a table after a version, waited for if there are none.
struct StoreFeedQuery {
    std::string table;
    RowVersion after;
    std::chrono::milliseconds wait { 0 };
};

/// @brief How the store is spoken to. Decoders return PlatformThrottled where the answer says that nothing was done,
/// PlatformAmbiguous where it is not understood.
struct StoreProtocol {
    HttpRequest (*encodeTransaction)(const StoreTransaction&);
    Result<StoreCommit> (*decodeCommit)(const HttpResponse&);
    HttpRequest (*encodeRange)(const StoreRange&);
    HttpRequest (*encodeFeed)(const StoreFeedQuery&);
    Result<StoreRows> (*decodeRows)(const HttpResponse&);
    HttpRequest (*encodeObjectPut)(const ObjectKey&, std::string bytes);
    /// True if it was stored, false if an object of that name stood there already.
    Result<bool> (*decodeObjectPut)(const HttpResponse&);
    HttpRequest (*encodeObjectGet)(const ObjectKey&);
    /// ObjectMissing if there is none.
    Result<std::string> (*decodeObject)(const HttpResponse&);
    HttpRequest (*encodeObjectDrop)(const ObjectKey&);
};

/// Calls that fail for less than this are no outage: the store refuses single calls where many come at once.
inline constexpr std::chrono::milliseconds shortestOutage { 500 };

/// @brief Since when the store has not answered a call of this VM, and when the last outage ended.
struct StoreContact {
    std::optional<TimePoint> lostSince;
    std::optional<TimePoint> regainedAt;
};

/// @brief Takes in whether a call was answered.
/// @return the length of the outage that has just ended; nothing if none has.
std::optional<Duration> noteAnswer(StoreContact& contact, bool isAnswered, TimePoint now);

/// @brief Whether the store has not answered this VM for longer than single calls fail.
bool isStoreAway(const StoreContact& contact, TimePoint now);

/// @brief A client for one thread.
///
/// Errors of every call: PlatformUnreachable (it did not take effect), PlatformAmbiguous (it may have taken effect, or
/// may yet), PlatformThrottled (refused, it did not take effect).
class StoreClient {
public:
    StoreClient(HttpClient& client, Endpoint endpoint, std::chrono::microseconds timeout, const StoreProtocol& protocol,
        MetricsRegistry& metrics);

    boost::asio::awaitable<Result<StoreCommit>> commit(StoreTransaction transaction);

    /// @brief All rows of the range, read page by page.
    boost::asio::awaitable<Result<StoreRows>> read(StoreRange range);

    /// @brief One page of the range.
    boost::asio::awaitable<Result<StoreRows>> readPage(StoreRange range);

    boost::asio::awaitable<Result<StoreRows>> changes(StoreFeedQuery query);

    /// @return false if an object of that name stands there already.
    boost::asio::awaitable<Result<bool>> putObject(ObjectKey key, std::string bytes);

    /// @return ObjectMissing if there is none.
    boost::asio::awaitable<Result<std::string>> getObject(ObjectKey key);

    boost::asio::awaitable<Result<void>> dropObject(ObjectKey key);

    const StoreContact& contact() const { return this->lastContact; }

    /// @brief Has each statement of the store's steady clock passed on, 0 if an answer states none.
    void onStoreTime(std::function<void(std::chrono::milliseconds)> handler) { this->handleTime = std::move(handler); }

private:
    boost::asio::awaitable<Result<HttpResponse>> call(HttpRequest request, std::chrono::microseconds allowed);
    void noteCall(bool isAnswered);
    template <typename Answer> Result<Answer> passTimeOn(Result<Answer> answer) const;

    HttpClient& client;
    const Endpoint endpoint;
    const std::chrono::microseconds timeout;
    const StoreProtocol& protocol;
    StoreContact lastContact;
    std::function<void(std::chrono::milliseconds)> handleTime;
    bool isOutageLogged { false };
    Counter& calls;
    Counter& failures;
    LatencyHistogram& latency;
};

} // namespace topaztack
