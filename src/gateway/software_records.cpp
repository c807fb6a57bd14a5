#include "software_records.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/base/random.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr std::string_view softwareTable = "software-versions";
    /// Longer than any caller waits for a stream, and than a VM serves with an old list of servers.
    constexpr std::chrono::milliseconds maxStreamAge = 10min;
    /// A version is recorded as gone once no server of it has been listed for this long. Records of servers vanish for
    /// seconds around outages of the store.
    constexpr Duration minAbsence = 30s;
    /// All VMs see a new version at the same moment; one of them is to write it, and the others to read that.
    constexpr Duration maxWriteDelay = 50ms;
    constexpr Duration retryDelay = 500ms;
    /// How long a take-up waits for the store.
    constexpr Duration findTimeout = 700ms;
    /// The store takes at most 100 entries in a transaction.
    constexpr std::size_t maxRemovals = 40;

    /// The value has the names; the key only has to be distinct and short enough for the store.
    std::string rowKey(const PoolName& pool, const std::string& version)
    {
        return toHex(stableHash(pool.value())) + "-" + toHex(stableHash(version, stableHash(pool.value())));
    }

    std::string toText(const PoolName& pool, const SoftwareSpan& span)
    {
        json::object object { { "pool", pool.value() }, { "software", span.version } };
        if (span.leftAt)
            object["left_ms"] = span.leftAt->count();
        return json::serialize(object);
    }

    std::pair<PoolName, SoftwareSpan> parseSpan(const std::string& text)
    {
        const auto value = json::parse(text);
        SoftwareSpan span;
        span.version = json::value_to<std::string>(value.at("software"));
        if (const auto* leftAt = value.as_object().if_contains("left_ms"))
            span.leftAt = std::chrono::milliseconds(leftAt->to_number<std::int64_t>());
        return { PoolName(json::value_to<std::string>(value.at("pool"))), std::move(span) };
    }

    StoreRowKey rowPlace(const PoolName& pool, const std::string& version)
    {
        return { std::string(softwareTable), "", rowKey(pool, version) };
    }

    StoreTransaction makeWrite(const PoolName& pool, RowVersion condition, const SoftwareSpan& span)
    {
        StoreTransaction transaction;
        transaction.conditions.push_back({ rowPlace(pool, span.version), condition });
        transaction.writes.push_back({ rowPlace(pool, span.version), toText(pool, span) });
        return transaction;
    }

    void addRemoval(StoreTransaction& transaction, const StoreRowKey& place, RowVersion condition)
    {
        transaction.conditions.push_back({ place, condition });
        transaction.writes.push_back({ place, std::nullopt });
    }

    StoreRange wholeTable()
    {
        StoreRange range;
        range.table = softwareTable;
        return range;
    }

} // namespace

SoftwareRecords::SoftwareRecords(GatewayContext& context)
    : context(context)
    , recordings(context.metrics.counter(
          "topaztack_software_versions_recorded_total", "Software versions of servers that this VM wrote to the store"))
{
}

std::set<PoolName> SoftwareRecords::streamingPools() const
{
    std::set<PoolName> pools;
    if (!this->context.routes)
        return pools;
    for (const auto& route : this->context.routes->routes) {
        if (route.kind != RouteKind::Streaming || !route.isResumable)
            continue;
        for (const auto& share : route.pools)
            pools.insert(share.pool);
    }
    return pools;
}

void SoftwareRecords::update(const ServerRegistry& servers)
{
    const auto pools = this->streamingPools();
    if (pools.empty())
        return;
    const auto now = Clock::now();
    for (const auto& [name, entry] : servers.entries) {
        if (pools.contains(entry.record.pool))
            this->versions[entry.record.pool][entry.record.softwareVersion].listedAt = now;
    }
    const bool isStoreAway = topaztack::isStoreAway(this->context.store.contact(), now);
    for (auto& [pool, known] : this->versions) {
        for (auto& [name, version] : known) {
            if (version.isBeingWritten || now < version.retryAt || isStoreAway)
                continue;
            const bool isListed = version.listedAt == now;
            if (isListed && !version.isRecorded) {
                version.isBeingWritten = true;
                asio::co_spawn(this->context.loop(), this->record(pool, name), asio::detached);
            } else if (!isListed && now - version.listedAt >= minAbsence) {
                version.isRecorded = false;
                version.isBeingWritten = true;
                asio::co_spawn(this->context.loop(), this->recordGone(pool, name), asio::detached);
            }
        }
    }
}

bool SoftwareRecords::isRecorded(const PoolName& pool, const std::string& version) const
{
    const auto known = this->versions.find(pool);
    if (known == this->versions.end())
        return false;
    const auto found = known->second.find(version);
    return found != known->second.end() && found->second.isRecorded;
}

/// Versions that earlier VMs recorded and nobody has recorded as gone.
void SoftwareRecords::addStoredVersions(const Table& table)
{
    for (const auto& [pool, spans] : table.pools) {
        for (const auto& [version, stored] : spans) {
            if (!stored.span.leftAt && !this->versions[pool].contains(version))
                this->versions[pool][version].listedAt = Clock::now();
        }
    }
}

/// Removes the records that are of no use any more; releases would otherwise let the table grow without limit.
asio::awaitable<void> SoftwareRecords::removeForgettable(std::shared_ptr<const Table> table)
{
    StoreTransaction transaction;
    for (const auto& [pool, spans] : table->pools) {
        for (const auto& [version, stored] : spans) {
            if (isForgettable(stored.span, table->now, maxStreamAge) && transaction.writes.size() < maxRemovals)
                addRemoval(transaction, rowPlace(pool, version), stored.row);
        }
    }
    if (transaction.writes.empty())
        co_return;
    const auto committed = co_await this->context.store.commit(std::move(transaction));
    if (!committed)
        logEvent(LogLevel::Debug, "software-records-kept", { { "error", committed.error().message } });
}

asio::awaitable<bool> SoftwareRecords::write(PoolName pool, RowVersion condition, SoftwareSpan span)
{
    auto transaction = makeWrite(pool, condition, span);
    const auto committed = co_await this->context.store.commit(std::move(transaction));
    co_return committed&& committed.value().isCommitted;
}

const SoftwareRecords::StoredSpan* SoftwareRecords::find(
    const Table& table, const PoolName& pool, const std::string& version)
{
    const auto spans = table.pools.find(pool);
    if (spans == table.pools.end())
        return nullptr;
    const auto stored = spans->second.find(version);
    return stored == spans->second.end() ? nullptr : &stored->second;
}

/// @return whether the store has the version as one that is in service.
asio::awaitable<bool> SoftwareRecords::recordStored(PoolName pool, std::string version, RecordMode mode)
{
    const auto table = co_await this->readTable();
    if (!table)
        co_return false;
    this->addStoredVersions(*table);
    const auto* stored = find(*table, pool, version);
    const bool isInService = stored && !stored->span.leftAt;
    if (isInService || mode == RecordMode::ReadOnly)
        co_return isInService;
    RowVersion condition;
    if (stored)
        condition = stored->row;
    SoftwareSpan span;
    span.version = version;
    const bool isWritten = co_await this->write(pool, condition, std::move(span));
    if (!isWritten)
        co_return false;
    this->recordings.add();
    logEvent(LogLevel::Info, "software-recorded", { { "pool", pool.value() }, { "software", version } });
    co_await this->removeForgettable(table);
    co_return true;
}

asio::awaitable<void> SoftwareRecords::record(PoolName pool, std::string version)
{
    bool isInService = co_await this->recordStored(pool, version, RecordMode::ReadOnly);
    if (!isInService) {
        const auto maxDelay = static_cast<std::uint64_t>(toMilliseconds(maxWriteDelay).count());
        co_await pauseFor(std::chrono::milliseconds(this->context.random.below(maxDelay)));
        isInService = co_await this->recordStored(pool, version, RecordMode::Write);
    }
    auto& known = this->versions[pool][version];
    known.isBeingWritten = false;
    known.isRecorded = isInService;
    known.retryAt = Clock::now() + (isInService ? Duration(0) : retryDelay);
}

/// @return whether the store has the version as one that has left, or not at all.
asio::awaitable<bool> SoftwareRecords::recordStoredGone(PoolName pool, std::string version)
{
    const auto table = co_await this->readTable();
    if (!table)
        co_return false;
    const auto* stored = find(*table, pool, version);
    if (!stored || stored->span.leftAt)
        co_return true;
    SoftwareSpan span;
    span.version = version;
    span.leftAt = table->now;
    const bool isWritten = co_await this->write(pool, stored->row, std::move(span));
    logEvent(LogLevel::Info, "software-gone",
        { { "pool", pool.value() }, { "software", version }, { "written", isWritten ? "1" : "0" } });
    co_return isWritten;
}

asio::awaitable<void> SoftwareRecords::recordGone(PoolName pool, std::string version)
{
    const bool isStored = co_await this->recordStoredGone(pool, version);
    auto& known = this->versions[pool];
    auto& gone = known[version];
    gone.isBeingWritten = false;
    gone.retryAt = Clock::now() + retryDelay;
    // A server of the version may have been listed meanwhile; it is recorded again then.
    if (isStored && Clock::now() - gone.listedAt >= minAbsence)
        known.erase(version);
}

/// @return nullptr if a row is malformed: it might name one more version.
std::shared_ptr<const SoftwareRecords::Table> SoftwareRecords::parseTable(const StoreRows& rows)
{
    auto table = std::make_shared<Table>();
    table->now = rows.storeTime;
    for (const auto& row : rows.rows) {
        try {
            const auto [pool, span] = parseSpan(row.value);
            table->pools[pool][span.version] = StoredSpan { row.version, span };
        } catch (const std::exception& malformed) {
            logEvent(LogLevel::Error, "software-record-malformed",
                { { "key", row.place.key }, { "error", malformed.what() } });
            return nullptr;
        }
    }
    return table;
}

asio::awaitable<std::shared_ptr<const SoftwareRecords::Table>> SoftwareRecords::readTable()
{
    const auto rows = co_await this->context.store.read(wholeTable());
    if (!rows)
        co_return std::shared_ptr<const Table> {};
    co_return parseTable(rows.value());
}

/// Joins a read that has not been sent yet: one that is on its way may miss what the caller of this one has seen.
asio::awaitable<std::shared_ptr<const SoftwareRecords::Table>> SoftwareRecords::sharedRead()
{
    const auto end = Clock::now() + findTimeout;
    if (!this->nextRead)
        this->nextRead = std::make_shared<Read>(this->context.loop());
    const auto read = this->nextRead;
    while (!read->isDone && Clock::now() < end) {
        if (this->isReading) {
            co_await read->done.waitUntil(end);
            continue;
        }
        this->isReading = true;
        this->nextRead.reset();
        read->table = co_await this->readTable();
        read->isDone = true;
        this->isReading = false;
        read->done.notify();
        if (this->nextRead)
            this->nextRead->done.notify();
    }
    co_return read->table;
}

asio::awaitable<std::optional<std::string>> SoftwareRecords::findOnlyVersion(PoolName pool)
{
    const auto table = co_await this->sharedRead();
    if (!table || !table->pools.contains(pool))
        co_return std::nullopt;
    std::vector<SoftwareSpan> history;
    for (const auto& [version, stored] : table->pools.at(pool))
        history.push_back(stored.span);
    co_return onlyPossibleSoftware(history, table->now, maxStreamAge);
}

json::value SoftwareRecords::dump() const
{
    json::object pools;
    for (const auto& [pool, known] : this->versions) {
        json::object list;
        for (const auto& [name, version] : known)
            list[name] = version.isRecorded ? "recorded" : "not-recorded";
        pools[pool.value()] = std::move(list);
    }
    return pools;
}

} // namespace topaztack
