#pragma once

#include "context.hpp"
#include "notifier.hpp"

#include <topaztack/control/server_registry.hpp>
#include <topaztack/policy/software_history.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// @file
/// The software versions that servers of each pool had, kept in the store, so that VMs that all lost their memory can
/// still tell which version may have begun a stream. A version is recorded before any stream is begun with it.

namespace topaztack {

class SoftwareRecords {
public:
    explicit SoftwareRecords(GatewayContext& context);

    /// @brief Records the versions of the listed servers that aren't recorded yet, and those that have gone. Only pools
    /// to which routes with resumable streams lead are recorded.
    void update(const ServerRegistry& servers);

    /// @brief Whether streams may be begun at servers of a version.
    bool isRecorded(const PoolName& pool, const std::string& version) const;

    /// @brief The only version that can have begun a stream, read from the store at or after the call.
    /// @return empty if there are several, or the store doesn't answer.
    boost::asio::awaitable<std::optional<std::string>> findOnlyVersion(PoolName pool);

    boost::json::value dump() const;

private:
    struct Version {
        /// Whether the store has a record that says that it is in service.
        bool isRecorded { false };
        /// When a server of the version was last listed.
        TimePoint listedAt;
        /// No write is made before this time.
        TimePoint retryAt;
        bool isBeingWritten { false };
    };
    enum class RecordMode : std::uint8_t {
        ReadOnly,
        Write,
    };
    struct StoredSpan {
        RowVersion row;
        SoftwareSpan span;
    };
    struct Table {
        std::chrono::milliseconds now { 0 };
        std::map<PoolName, std::map<std::string, StoredSpan>> pools;
    };
    /// One read of the table, shared by all callers that came before it was sent.
    struct Read {
        explicit Read(boost::asio::io_context& loop)
            : done(loop)
        {
        }

        bool isDone { false };
        std::shared_ptr<const Table> table;
        Notifier done;
    };

    std::set<PoolName> streamingPools() const;
    void addStoredVersions(const Table& table);
    static const StoredSpan* find(const Table& table, const PoolName& pool, const std::string& version);
    boost::asio::awaitable<bool> recordStored(PoolName pool, std::string version, RecordMode mode);
    boost::asio::awaitable<void> record(PoolName pool, std::string version);
    boost::asio::awaitable<bool> recordStoredGone(PoolName pool, std::string version);
    boost::asio::awaitable<void> recordGone(PoolName pool, std::string version);
    boost::asio::awaitable<void> removeForgettable(std::shared_ptr<const Table> table);
    boost::asio::awaitable<bool> write(PoolName pool, RowVersion condition, SoftwareSpan span);
    static std::shared_ptr<const Table> parseTable(const StoreRows& rows);
    boost::asio::awaitable<std::shared_ptr<const Table>> readTable();
    boost::asio::awaitable<std::shared_ptr<const Table>> sharedRead();

    GatewayContext& context;
    std::map<PoolName, std::map<std::string, Version>> versions;
    std::shared_ptr<Read> nextRead;
    bool isReading { false };
    Counter& recordings;
};

} // namespace topaztack
