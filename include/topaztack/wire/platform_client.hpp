#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>
#include <topaztack/wire/http_client.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The platform's table service, object store and VM list. docs/PLATFORM.md gives their protocol.

namespace topaztack {

/// @brief A row as read. Version 0 says that the row is absent.
struct TableRow {
    RowKey key;
    RowVersion version;
    std::string value;
};

/// @brief A commit takes effect only if the row still has this version; 0 means that it must be absent.
struct RowCondition {
    RowKey key;
    RowVersion version;
};

/// @brief A new value for a row, or its removal.
struct RowWrite {
    RowKey key;
    std::optional<std::string> value;
};

/// @brief One transaction. All conditions hold and all writes take effect, or none does.
struct TableCommit {
    OperationId operation;
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

/// @brief What the table said of a commit.
struct CommitAnswer {
    bool isCommitted { false };
    /// Rows whose condition did not hold.
    std::vector<RowKey> conflicts;
};

/// @brief A VM as the platform's lagging list has it.
struct ListedVm {
    std::string name;
    Endpoint endpoint;
    DataCentre dataCentre;
    bool isLeaving { false };
};

/// @brief A client of the platform for one thread.
///
/// Errors of every call: PlatformUnreachable (nothing was written: it did not take effect),
/// PlatformAmbiguous (it may have taken effect), PlatformThrottled (refused, it did not take effect).
class PlatformClient {
public:
    PlatformClient(HttpClient& client, Endpoint endpoint, std::chrono::microseconds timeout);

    /// @brief Reads rows; an absent row is returned with version 0.
    boost::asio::awaitable<Result<std::vector<TableRow>>> read(std::vector<RowKey> keys);

    /// @brief Reads up to `limit` rows whose keys begin with `prefix`, in order, after the key `after`.
    boost::asio::awaitable<Result<std::vector<TableRow>>> scan(
        std::string prefix, std::string after, std::size_t limit);

    boost::asio::awaitable<Result<CommitAnswer>> commit(TableCommit commit);

    boost::asio::awaitable<Result<void>> putObject(ObjectKey key, std::string value);

    /// @return ObjectMissing if there is no such object.
    boost::asio::awaitable<Result<std::string>> getObject(ObjectKey key);

    boost::asio::awaitable<Result<std::vector<ListedVm>>> listVms();

private:
    boost::asio::awaitable<Result<HttpResponse>> call(std::string method, std::string target, std::string body);

    HttpClient& client;
    Endpoint endpoint;
    std::chrono::microseconds timeout;
};

} // namespace topaztack
