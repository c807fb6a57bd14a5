#include "peer_directory.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/policy/keepers.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr std::string_view peersTable = "gateways";
    /// A slow feed is enough: VMs rarely start or stop, and a job that is handed to one that has stopped is claimed
    /// half a second later.
    constexpr std::chrono::milliseconds feedWait { 5000 };
    constexpr std::chrono::milliseconds feedPause { 1000 };
    constexpr Duration rewriteInterval = 60s;
    constexpr Duration publishRetryDelay = 500ms;
    /// The store's clock is known after the first answer.
    constexpr Duration offsetRewriteDelay = 300ms;
    /// Other VMs remove a row that its own VM has not rewritten for this long.
    constexpr std::chrono::milliseconds maxRowAge { 300'000 };

    FollowOptions followOptions()
    {
        FollowOptions options;
        options.table = peersTable;
        options.parts.emplace_back();
        options.wait = feedWait;
        options.pause = feedPause;
        return options;
    }

    StoreRowKey rowKeyOf(const VmName& name) { return { std::string(peersTable), "", name.value() }; }

} // namespace

std::string toText(const PeerRecord& record)
{
    json::object object { { "vm", record.vm.name.value() }, { "incarnation", record.vm.incarnation.value() },
        { "data_centre", record.dataCentre.value() }, { "address", toText(record.endpoint) },
        { "processor", record.processor }, { "written_ms", record.writtenAt.count() } };
    if (record.clockOffset)
        object["clock_offset_ms"] = record.clockOffset->count();
    return json::serialize(object);
}

Result<PeerRecord> parsePeerRecord(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        PeerRecord record;
        record.vm.name = VmName(json::value_to<std::string>(value.at("vm")));
        record.vm.incarnation = Incarnation(value.at("incarnation").to_number<std::uint64_t>());
        record.dataCentre = DataCentre(json::value_to<std::string>(value.at("data_centre")));
        const auto endpoint = parseEndpoint(json::value_to<std::string>(value.at("address")));
        if (!endpoint)
            return makeError(ErrorKind::BadFrame, "malformed row of a VM: `address` is not IP:PORT");
        record.endpoint = *endpoint;
        // Rows written by earlier releases lack this field.
        if (const auto* processor = value.as_object().if_contains("processor"))
            record.processor = processor->to_number<double>();
        if (!(record.processor > 0))
            return makeError(ErrorKind::BadFrame, "malformed row of a VM: `processor` is not above 0");
        record.writtenAt = std::chrono::milliseconds(value.at("written_ms").to_number<std::int64_t>());
        if (const auto* offset = value.as_object().if_contains("clock_offset_ms"))
            record.clockOffset = std::chrono::milliseconds(offset->to_number<std::int64_t>());
        return record;
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::BadFrame, std::string("malformed row of a VM: ") + problem.what());
    }
}

PeerDirectory::PeerDirectory(GatewayContext& context)
    : context(context)
    , rows(context, followOptions(),
          [this](const std::vector<StoreRow>& rows, bool isFullTable) { this->applyRows(rows, isFullTable); })
{
}

void PeerDirectory::start()
{
    this->rows.start();
    asio::co_spawn(this->context.loop(), this->publish(), asio::detached);
}

void PeerDirectory::applyRows(const std::vector<StoreRow>& changed, bool isFullTable)
{
    if (isFullTable)
        this->peers.clear();
    for (const auto& row : changed) {
        const VmName name(row.place.key);
        if (row.isRemoved || name == this->context.identity.name) {
            this->peers.erase(name);
            continue;
        }
        auto record = parsePeerRecord(row.value);
        if (record)
            this->peers[name] = std::move(record).value();
        else
            logEvent(
                LogLevel::Error, "peer-row-refused", { { "vm", name.value() }, { "error", record.error().message } });
    }
}

std::vector<PeerRecord> PeerDirectory::candidates(std::size_t maxCount) const
{
    std::multimap<std::pair<bool, std::uint64_t>, const PeerRecord*> ranked;
    for (const auto& [name, record] : this->peers) {
        const bool isNear = record.dataCentre == this->context.settings.dataCentre;
        ranked.emplace(std::pair { isNear, this->context.random.next() }, &record);
    }
    std::vector<PeerRecord> chosen;
    for (auto place = ranked.begin(); place != ranked.end() && chosen.size() < maxCount; ++place)
        chosen.push_back(*place->second);
    return chosen;
}

std::vector<PeerRecord> PeerDirectory::keepersOf(std::string_view key) const
{
    std::vector<PeerRecord> records;
    std::vector<KeeperCandidate> vms;
    const auto add = [&](const PeerRecord& record) {
        records.push_back(record);
        vms.push_back({ record.vm.name, record.dataCentre });
    };
    if (!this->context.isDraining && this->firstPublishedAt) {
        PeerRecord own;
        own.vm = this->context.identity;
        own.dataCentre = this->context.settings.dataCentre;
        add(own);
    }
    for (const auto& [name, record] : this->peers)
        add(record);
    std::vector<PeerRecord> keepers;
    for (const auto index : rankKeepers(key, vms))
        keepers.push_back(records[index]);
    return keepers;
}

PeerRecord PeerDirectory::ownRecord() const
{
    PeerRecord own;
    own.vm = this->context.identity;
    own.dataCentre = this->context.settings.dataCentre;
    own.endpoint = this->context.settings.peers;
    own.processor = this->context.settings.gateway.processor();
    own.writtenAt = unixTime();
    own.clockOffset = this->context.clockOffset();
    return own;
}

/// Writes this VM's row and rewrites it periodically, so that rows of VMs that no longer exist can be recognised by
/// their age.
asio::awaitable<void> PeerDirectory::publish()
{
    while (!this->isWithdrawn) {
        const auto own = this->ownRecord();
        StoreTransaction transaction;
        transaction.writes.push_back({ rowKeyOf(own.vm.name), toText(own) });
        const auto written = co_await this->context.store.commit(std::move(transaction));
        if (!written) {
            co_await pauseFor(publishRetryDelay);
            continue;
        }
        if (!this->firstPublishedAt && !this->isWithdrawn)
            this->firstPublishedAt = Clock::now();
        if (this->context.settings.duties.reportsUsage && !own.clockOffset) {
            co_await pauseFor(offsetRewriteDelay);
            continue;
        }
        co_await pauseFor(rewriteInterval);
        co_await this->removeStaleRow();
    }
}

asio::awaitable<void> PeerDirectory::removeStaleRow()
{
    const auto oldest = unixTime() - maxRowAge;
    const auto found = std::find_if(
        this->peers.begin(), this->peers.end(), [oldest](const auto& peer) { return peer.second.writtenAt < oldest; });
    if (found == this->peers.end())
        co_return;
    const auto name = found->first;
    StoreTransaction transaction;
    transaction.writes.push_back({ rowKeyOf(name), std::nullopt });
    const auto removed = co_await this->context.store.commit(std::move(transaction));
    logEvent(LogLevel::Info, removed ? "peer-row-removed" : "peer-row-removal-failed",
        { { "vm", name.value() }, { "error", removed ? "" : removed.error().message } });
}

asio::awaitable<void> PeerDirectory::withdraw()
{
    this->isWithdrawn = true;
    this->firstPublishedAt.reset();
    StoreTransaction transaction;
    transaction.writes.push_back({ rowKeyOf(this->context.identity.name), std::nullopt });
    const auto removed = co_await this->context.store.commit(std::move(transaction));
    if (!removed)
        logEvent(LogLevel::Info, "peer-row-removal-failed",
            { { "vm", this->context.identity.name.value() }, { "error", removed.error().message } });
}

json::value PeerDirectory::dump() const
{
    json::object list;
    for (const auto& [name, record] : this->peers)
        list[name.value()] = toText(record.endpoint);
    return list;
}

} // namespace topaztack
