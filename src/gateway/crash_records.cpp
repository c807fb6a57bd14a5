#include "crash_records.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/wire/content_digest.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr std::string_view recordsTable = "crash-records";
    constexpr std::string_view reservationsTable = "crash-reservations";
    constexpr std::chrono::milliseconds feedWait { 1000 };
    constexpr Duration writeRetryDelay = 200ms;
    /// For how long the caller of a request under which a server ended may have to wait for its failure.
    constexpr Duration publishTimeLimit = 100ms;
    /// A server that another VM saw end longer ago is back, or its record is gone.
    constexpr Duration recentEnd = 5s;
    /// The store takes at most 100 entries in a transaction.
    constexpr std::size_t maxRowsPerWrite = 90;
    /// Requests beyond these are not remembered, so that a mass failure of servers can't fill the memory.
    constexpr std::size_t maxRecords = 10'000;
    /// A reservation is released after its request; one that is older belongs to a VM that is gone.
    constexpr std::chrono::milliseconds maxReservationAge { 15'000 };
    /// When many servers end at once no single request is the cause, and the store is needed for other things.
    constexpr std::uint32_t maxReservationsPerInterval = 20;
    constexpr Duration reservationInterval = 1s;
    constexpr std::uint32_t maxFirstEndsPerInterval = 5;
    constexpr Duration firstEndInterval = 1s;

    FollowOptions followOptions()
    {
        FollowOptions options;
        options.table = recordsTable;
        options.parts.emplace_back();
        options.wait = feedWait;
        return options;
    }

    std::string rowKey(const std::string& digest, const VmName& vm) { return digest + "/" + vm.value(); }

    std::string toText(std::uint64_t target, const CrashEvidence& evidence, TimePoint now)
    {
        json::array ends;
        for (const auto& [start, wasAlone] : evidence.ends)
            ends.push_back(json::object { { "server", toText(start) }, { "alone", wasAlone } });
        const auto lastAt = unixTime() - toMilliseconds(now - evidence.lastAt);
        return json::serialize(json::object {
            { "target", std::to_string(target) }, { "ends", std::move(ends) }, { "last_ms", lastAt.count() } });
    }

    CrashEvidence decodeEvidence(const json::value& value, TimePoint now)
    {
        CrashEvidence evidence;
        // Clocks of VMs differ; no end lies in the future.
        const std::chrono::milliseconds lastAt(value.at("last_ms").to_number<std::int64_t>());
        const auto at = now - std::clamp<std::chrono::milliseconds>(unixTime() - lastAt, 0ms, 24h);
        for (const auto& end : value.at("ends").as_array()) {
            const auto start = parseServerStart(json::value_to<std::string>(end.at("server")));
            if (start)
                recordEnd(evidence, *start, end.at("alone").as_bool(), at);
        }
        return evidence;
    }

    StoreRowKey reservationKey(const ServerStart& server)
    {
        return { std::string(reservationsTable), "", toText(server) };
    }

    bool isAbandoned(const StoreRow& row)
    {
        std::int64_t madeAt = 0;
        try {
            madeAt = json::parse(row.value).at("made_ms").to_number<std::int64_t>();
        } catch (const std::exception& malformed) {
            logEvent(LogLevel::Warning, "crash-reservation-malformed", { { "error", malformed.what() } });
        }
        const auto age = unixTime() - std::chrono::milliseconds(madeAt);
        return age > maxReservationAge || age < -maxReservationAge;
    }

    std::string_view verdictName(CrashVerdict verdict) { return verdict == CrashVerdict::Held ? "held" : "suspected"; }

} // namespace

RequestContent::RequestContent(const CallerRequest& call, const HttpRequest& request)
    : call(call)
    , request(request)
    , targetHash(stableHash(request.target, stableHash(call.host, stableHash(request.method))))
{
}

const std::string& RequestContent::digest()
{
    if (this->madeDigest.empty()) {
        // The digest is told to other VMs and stored, so nothing in it may come from a key.
        const auto& caller = this->call.hasWorkspaces ? this->call.workspace.value() : this->call.credential;
        this->madeDigest = contentDigest(
            { this->call.host, this->request.method, this->request.target, caller, this->request.body });
    }
    return this->madeDigest;
}

CrashRecords::CrashRecords(GatewayContext& context, std::function<void(const ServerStart&)> onEnd)
    : context(context)
    , onEnd(std::move(onEnd))
    , rows(context, followOptions(),
          [this](const std::vector<StoreRow>& changed, bool isFullTable) { this->applyRows(changed, isFullTable); })
    , unwrittenNotifier(context.loop())
    , writtenNotifier(context.loop())
    , ends(context.metrics.counter("topaztack_server_ends_total", "Servers that ended while they ran a request"))
    , held(context.metrics.counter(
          "topaztack_requests_held_total", "Requests that crash servers, at the time when they were recognised"))
    , cleared(context.metrics.counter(
          "topaztack_requests_cleared_total", "Requests under which a server ended and that ran to their end later"))
{
}

void CrashRecords::start()
{
    this->rows.start();
    asio::co_spawn(this->context.loop(), this->writeRows(), asio::detached);
}

CrashRecords::Record* CrashRecords::find(RequestContent& content)
{
    if (!this->targets.contains(content.target()))
        return nullptr;
    const auto found = this->records.find(content.digest());
    return found == this->records.end() ? nullptr : &found->second;
}

CrashEvidence CrashRecords::combine(const Record& record)
{
    CrashEvidence evidence;
    for (const auto& [vm, seen] : record.seenBy)
        mergeEvidence(evidence, seen);
    return evidence;
}

CrashVerdict CrashRecords::verdict(RequestContent& content)
{
    const auto* record = this->find(content);
    return record ? judge(combine(*record), Clock::now()) : CrashVerdict::Clear;
}

Duration CrashRecords::timeHeld(RequestContent& content)
{
    const auto* record = this->find(content);
    return record ? std::max<Duration>(Duration(0), heldUntil(combine(*record)) - Clock::now()) : Duration(0);
}

void CrashRecords::recordEnd(RequestContent& content, const ServerRecord& server, bool wasAlone)
{
    const auto now = Clock::now();
    auto* record = this->find(content);
    if (!record && this->records.size() >= maxRecords)
        return;
    if (!record) {
        record = &this->records[content.digest()];
        record->target = content.target();
        this->targets.insert(record->target);
    }
    const auto before = judge(combine(*record), now);
    topaztack::recordEnd(record->seenBy[this->context.identity.name], { server.name, server.startedAt }, wasAlone, now);
    const auto evidence = combine(*record);
    const auto verdict = judge(evidence, now);
    this->ends.add();
    if (verdict == CrashVerdict::Held && before != CrashVerdict::Held)
        this->held.add();
    logEvent(LogLevel::Info, "request-suspected",
        { { "content", content.digest() }, { "server", server.name.value() }, { "alone", wasAlone ? "1" : "0" },
            { "ends", std::to_string(evidence.ends.size()) }, { "verdict", std::string(verdictName(verdict)) } });
    if (evidence.ends.size() > 1 || this->mayTellOfFirstEnd(now))
        this->queueOwnRow(content);
}

void CrashRecords::recordRun(RequestContent& content)
{
    const auto* record = this->find(content);
    if (!record)
        return;
    this->cleared.add();
    logEvent(LogLevel::Info, "request-cleared",
        { { "content", content.digest() }, { "ends", std::to_string(combine(*record).ends.size()) } });
    this->queueRemoval(content.digest(), *record);
    this->drop(content.digest());
    this->unwrittenNotifier.notify();
}

void CrashRecords::queueRemoval(const std::string& digest, const Record& record)
{
    for (const auto& [vm, seen] : record.seenBy) {
        if (vm != this->context.identity.name || record.isPublished)
            this->unwritten.insert(rowKey(digest, vm));
    }
}

/// Every VM hears of each row. When many servers end at once, most of the requests that stood there are told of only if
/// a second server ends under them.
bool CrashRecords::mayTellOfFirstEnd(TimePoint now)
{
    if (now - this->firstEndsCountedAt >= firstEndInterval) {
        this->firstEndsCountedAt = now;
        this->recentFirstEnds = 0;
    }
    return ++this->recentFirstEnds <= maxFirstEndsPerInterval;
}

void CrashRecords::queueOwnRow(RequestContent& content)
{
    auto* record = this->find(content);
    if (!record)
        return;
    record->isPublished = true;
    this->unwritten.insert(rowKey(content.digest(), this->context.identity.name));
    this->unwrittenNotifier.notify();
}

asio::awaitable<void> CrashRecords::waitUntilTold(RequestContent& content)
{
    const auto* record = this->find(content);
    if (!record || !record->isPublished)
        co_return;
    const auto key = rowKey(content.digest(), this->context.identity.name);
    const auto end = Clock::now() + publishTimeLimit;
    while (this->unwritten.contains(key) && Clock::now() < end)
        co_await this->writtenNotifier.waitUntil(end);
}

void CrashRecords::withdrawEnd(const ServerStart& start)
{
    const auto& own = this->context.identity.name;
    std::vector<std::string> empty;
    for (auto& [digest, record] : this->records) {
        const auto seen = record.seenBy.find(own);
        if (seen == record.seenBy.end() || seen->second.ends.erase(start) == 0)
            continue;
        logEvent(
            LogLevel::Info, "request-suspicion-withdrawn", { { "content", digest }, { "server", start.name.value() } });
        this->unwritten.insert(rowKey(digest, own));
        if (seen->second.ends.empty())
            record.seenBy.erase(seen);
        if (record.seenBy.empty())
            empty.push_back(digest);
    }
    for (const auto& digest : empty)
        this->drop(digest);
    this->unwrittenNotifier.notify();
}

void CrashRecords::drop(const std::string& digest)
{
    const auto found = this->records.find(digest);
    if (found == this->records.end())
        return;
    this->targets.erase(this->targets.find(found->second.target));
    this->records.erase(found);
}

void CrashRecords::applyRows(const std::vector<StoreRow>& changed, bool isFullTable)
{
    const auto& own = this->context.identity.name;
    if (isFullTable) {
        std::vector<std::string> unseen;
        for (auto& [digest, record] : this->records) {
            std::erase_if(record.seenBy, [&own](const auto& seen) { return seen.first != own; });
            if (record.seenBy.empty())
                unseen.push_back(digest);
        }
        for (const auto& digest : unseen)
            this->drop(digest);
    }
    for (const auto& row : changed)
        this->applyRow(row);
}

void CrashRecords::applyRow(const StoreRow& row)
{
    const auto slash = row.place.key.find('/');
    if (slash == std::string::npos || this->unwritten.contains(row.place.key))
        return;
    const auto digest = row.place.key.substr(0, slash);
    const VmName vm(row.place.key.substr(slash + 1));
    const auto found = this->records.find(digest);
    if (row.isRemoved) {
        if (found != this->records.end() && found->second.seenBy.erase(vm) > 0 && found->second.seenBy.empty())
            this->drop(digest);
        return;
    }
    // Rows of its own tell a VM only what an earlier incarnation saw.
    const bool isOwnAndKnown = vm == this->context.identity.name && this->findEvidence(row.place.key);
    if (isOwnAndKnown || (found == this->records.end() && this->records.size() >= maxRecords))
        return;
    try {
        const auto value = json::parse(row.value);
        auto evidence = decodeEvidence(value, Clock::now());
        const auto target = std::stoull(json::value_to<std::string>(value.at("target")));
        if (found == this->records.end()) {
            auto& record = this->records[digest];
            record.target = target;
            this->targets.insert(target);
        }
        const bool isRecent = Clock::now() - evidence.lastAt < recentEnd;
        for (const auto& [server, wasAlone] : evidence.ends) {
            if (isRecent)
                this->onEnd(server);
        }
        auto& record = this->records[digest];
        record.isPublished = record.isPublished || vm == this->context.identity.name;
        record.seenBy[vm] = std::move(evidence);
    } catch (const std::exception& malformed) {
        logEvent(
            LogLevel::Warning, "crash-record-refused", { { "key", row.place.key }, { "error", malformed.what() } });
    }
}

/// What is known of the evidence that a row stands for; nullptr for nothing.
const CrashEvidence* CrashRecords::findEvidence(const std::string& key) const
{
    const auto slash = key.find('/');
    const auto found = this->records.find(key.substr(0, slash));
    if (found == this->records.end())
        return nullptr;
    const auto seen = found->second.seenBy.find(VmName(key.substr(slash + 1)));
    return seen == found->second.seenBy.end() ? nullptr : &seen->second;
}

std::size_t CrashRecords::countEnds(const std::string& key) const
{
    const auto* evidence = this->findEvidence(key);
    return evidence ? evidence->ends.size() : 0;
}

/// The row as this VM knows it now; its removal if there is nothing to keep.
StoreWrite CrashRecords::makeWrite(const std::string& key) const
{
    StoreWrite write;
    write.place = { std::string(recordsTable), "", key };
    if (const auto* evidence = this->findEvidence(key))
        write.value = toText(this->records.at(key.substr(0, key.find('/'))).target, *evidence, Clock::now());
    return write;
}

asio::awaitable<void> CrashRecords::writeRows()
{
    while (true) {
        while (this->unwritten.empty())
            co_await this->unwrittenNotifier.waitUntil(TimePoint::max());
        StoreTransaction transaction;
        std::map<std::string, std::size_t> written;
        for (const auto& key : this->unwritten) {
            if (written.size() == maxRowsPerWrite)
                break;
            transaction.writes.push_back(this->makeWrite(key));
            written.emplace(key, this->countEnds(key));
        }
        const auto committed = co_await this->context.store.commit(std::move(transaction));
        if (!committed) {
            logEvent(LogLevel::Info, "crash-records-not-written",
                { { "rows", std::to_string(written.size()) }, { "error", committed.error().message } });
            co_await pauseFor(writeRetryDelay);
            continue;
        }
        // A row that changed meanwhile is written again.
        for (const auto& [key, count] : written) {
            if (this->countEnds(key) == count)
                this->unwritten.erase(key);
        }
        this->writtenNotifier.notify();
    }
}

asio::awaitable<Reservation> CrashRecords::reserve(ServerStart server)
{
    const auto now = Clock::now();
    if (now - this->reservationsCountedAt >= reservationInterval) {
        this->reservationsCountedAt = now;
        this->recentReservations = 0;
    }
    if (++this->recentReservations > maxReservationsPerInterval)
        co_return Reservation::Unknown;
    StoreTransaction transaction;
    transaction.conditions.push_back({ reservationKey(server), RowVersion(0) });
    transaction.writes.push_back({ reservationKey(server),
        json::serialize(
            json::object { { "vm", this->context.identity.name.value() }, { "made_ms", unixTime().count() } }) });
    const auto committed = co_await this->context.store.commit(transaction);
    if (!committed)
        co_return Reservation::Unknown;
    if (committed.value().isCommitted)
        co_return Reservation::Made;
    for (const auto& row : committed.value().conflicts) {
        if (isAbandoned(row))
            co_await this->removeAbandoned(row);
    }
    co_return Reservation::Taken;
}

asio::awaitable<void> CrashRecords::removeAbandoned(StoreRow row)
{
    StoreTransaction transaction;
    transaction.conditions.push_back({ row.place, row.version });
    transaction.writes.push_back({ row.place, std::nullopt });
    const auto removed = co_await this->context.store.commit(std::move(transaction));
    logEvent(LogLevel::Info, "crash-reservation-abandoned",
        { { "key", row.place.key }, { "error", removed ? "" : removed.error().message } });
}

asio::awaitable<void> CrashRecords::removeReservation(ServerStart server)
{
    StoreTransaction transaction;
    transaction.writes.push_back({ reservationKey(server), std::nullopt });
    const auto removed = co_await this->context.store.commit(std::move(transaction));
    if (!removed)
        logEvent(LogLevel::Info, "crash-reservation-kept",
            { { "server", server.name.value() }, { "error", removed.error().message } });
}

void CrashRecords::release(const ServerStart& server)
{
    asio::co_spawn(this->context.loop(), this->removeReservation(server), asio::detached);
}

void CrashRecords::expire()
{
    const auto now = Clock::now();
    std::vector<std::string> outdated;
    for (const auto& [digest, record] : this->records) {
        if (!isOutdated(combine(record), now))
            continue;
        outdated.push_back(digest);
        this->queueRemoval(digest, record);
    }
    for (const auto& digest : outdated)
        this->drop(digest);
    if (!outdated.empty())
        this->unwrittenNotifier.notify();
}

json::value CrashRecords::dump() const
{
    const auto now = Clock::now();
    json::array list;
    for (const auto& [digest, record] : this->records) {
        const auto evidence = combine(record);
        json::array servers;
        for (const auto& [start, wasAlone] : evidence.ends)
            servers.push_back(json::object { { "server", start.name.value() }, { "alone", wasAlone } });
        list.push_back(json::object { { "content", digest }, { "verdict", verdictName(judge(evidence, now)) },
            { "ends", std::move(servers) },
            { "held_ms", toMilliseconds(std::max<Duration>(Duration(0), heldUntil(evidence) - now)).count() } });
    }
    return list;
}

} // namespace topaztack
