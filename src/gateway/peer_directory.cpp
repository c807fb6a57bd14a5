#include "peer_directory.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

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
    /// VMs come and go rarely; a job that is handed to one that is gone is claimed half a second later.
    constexpr std::chrono::milliseconds feedWait { 5000 };
    constexpr std::chrono::milliseconds feedPause { 1000 };
    constexpr Duration rewriteInterval = 60s;
    constexpr Duration publishRetry = 500ms;
    /// A row that its VM has not written for this long is another VM's to remove.
    constexpr std::chrono::milliseconds rowLifetime { 300'000 };

    FollowOptions directoryRules()
    {
        FollowOptions rules;
        rules.table = peersTable;
        rules.parts.emplace_back();
        rules.wait = feedWait;
        rules.pause = feedPause;
        return rules;
    }

    StoreRowKey placeOf(const VmName& name) { return { std::string(peersTable), "", name.value() }; }

} // namespace

std::string toText(const PeerRecord& record)
{
    return json::serialize(
        json::object { { "vm", record.vm.name.value() }, { "incarnation", record.vm.incarnation.value() },
            { "data_centre", record.dataCentre.value() }, { "address", toText(record.endpoint) },
            { "processor", record.processor }, { "written_ms", record.writtenAt.count() } });
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
            return makeError(ErrorKind::BadFrame, "row of a VM not understood: its address is not IP:PORT");
        record.endpoint = *endpoint;
        // Rows of an earlier release don't say it.
        if (const auto* processor = value.as_object().if_contains("processor"))
            record.processor = processor->to_number<double>();
        if (!(record.processor > 0))
            return makeError(ErrorKind::BadFrame, "row of a VM not understood: `processor` is not above 0");
        record.writtenAt = std::chrono::milliseconds(value.at("written_ms").to_number<std::int64_t>());
        return record;
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::BadFrame, std::string("row of a VM not understood: ") + problem.what());
    }
}

PeerDirectory::PeerDirectory(GatewayContext& context)
    : context(context)
    , rows(context, directoryRules(),
          [this](const std::vector<StoreRow>& rows, bool isWhole) { this->applyRows(rows, isWhole); })
{
}

void PeerDirectory::start()
{
    this->rows.start();
    asio::co_spawn(this->context.loop(), this->publish(), asio::detached);
}

void PeerDirectory::applyRows(const std::vector<StoreRow>& changed, bool isWhole)
{
    if (isWhole)
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

std::vector<PeerRecord> PeerDirectory::candidates(std::size_t most) const
{
    std::multimap<std::pair<bool, std::uint64_t>, const PeerRecord*> ranked;
    for (const auto& [name, record] : this->peers) {
        const bool isNear = record.dataCentre == this->context.settings.dataCentre;
        ranked.emplace(std::pair { isNear, this->context.random.next() }, &record);
    }
    std::vector<PeerRecord> chosen;
    for (auto place = ranked.begin(); place != ranked.end() && chosen.size() < most; ++place)
        chosen.push_back(*place->second);
    return chosen;
}

/// Writes this VM's row, and again now and then, so that rows of VMs that are gone for good can be told by their age.
asio::awaitable<void> PeerDirectory::publish()
{
    while (!this->isWithdrawn) {
        PeerRecord own { this->context.identity, this->context.settings.dataCentre, this->context.settings.peers,
            this->context.settings.gateway.processor(), unixTime() };
        StoreTransaction transaction;
        transaction.writes.push_back({ placeOf(own.vm.name), toText(own) });
        const auto written = co_await this->context.store.commit(std::move(transaction));
        if (!written) {
            co_await pauseFor(publishRetry);
            continue;
        }
        co_await pauseFor(rewriteInterval);
        co_await this->removeOne();
    }
}

asio::awaitable<void> PeerDirectory::removeOne()
{
    const auto oldest = unixTime() - rowLifetime;
    const auto found = std::find_if(
        this->peers.begin(), this->peers.end(), [oldest](const auto& peer) { return peer.second.writtenAt < oldest; });
    if (found == this->peers.end())
        co_return;
    const auto name = found->first;
    StoreTransaction transaction;
    transaction.writes.push_back({ placeOf(name), std::nullopt });
    const auto removed = co_await this->context.store.commit(std::move(transaction));
    logEvent(LogLevel::Info, removed ? "peer-row-removed" : "peer-row-not-removed",
        { { "vm", name.value() }, { "error", removed ? "" : removed.error().message } });
}

asio::awaitable<void> PeerDirectory::withdraw()
{
    this->isWithdrawn = true;
    StoreTransaction transaction;
    transaction.writes.push_back({ placeOf(this->context.identity.name), std::nullopt });
    const auto removed = co_await this->context.store.commit(std::move(transaction));
    if (!removed)
        logEvent(LogLevel::Info, "peer-row-not-removed",
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
