#include <topaztack/node/config_keeper.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/control/acceptance.hpp>
#include <topaztack/control/swim.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    /// A VM that becomes a poller does so after at most this long.
    constexpr auto roleCheck = 250ms;
    constexpr auto firstPollSpread = 200ms;
    constexpr auto peerTimeout = 800ms;
    constexpr auto startUpStep = 100ms;

    /// The version in the row, or nothing if the row is not understood.
    std::optional<ConfigVersion> parseVersionRow(const std::string& text)
    {
        try {
            return ConfigVersion(json::parse(text).at("version").to_number<std::uint64_t>());
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

    std::vector<RowKey> oneKey(RowKey key)
    {
        std::vector<RowKey> keys;
        keys.push_back(std::move(key));
        return keys;
    }

} // namespace

ConfigKeeper::ConfigKeeper(NodeContext& context, PeerCaller callPeer)
    : context(context)
    , callPeer(std::move(callPeer))
    , random(systemSeed())
    , versionInForce(context.metrics.gauge("topaztack_config_version", "Version of the document in force"))
    , reads(context.metrics.counter("topaztack_config_reads_total", "Reads of configuration rows sent to the platform"))
    , fetches(context.metrics.counter("topaztack_config_fetches_total", "Documents fetched from other VMs"))
{
}

void ConfigKeeper::start()
{
    this->spread.startedAt = Clock::now();
    asio::co_spawn(this->context.threads.at(0), this->poll(), asio::detached);
    asio::co_spawn(this->context.threads.at(0), this->startUp(), asio::detached);
}

std::string ConfigKeeper::readStaticDocument() const
{
    const auto& name = this->context.settings.documentFile;
    if (name.empty())
        return {};
    std::ifstream file(name);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        logEvent(LogLevel::Error, "static-document-unreadable", { { "file", name } });
    return text.str();
}

/// Asks other VMs until a document is in force; falls back on the static one when the rule lets it.
asio::awaitable<void> ConfigKeeper::startUp()
{
    const auto staticText = this->readStaticDocument();
    asio::steady_timer timer(this->context.threads.at(0));
    std::size_t next = 0;
    const auto& seeds = this->context.settings.peerList;
    while (!this->spread.hasDocument) {
        if (!staticText.empty() && mayUseStaticDocument(this->spread, Clock::now())) {
            this->take(ConfigVersion(0), staticText, DocumentSource::Static);
            break;
        }
        if (!seeds.empty())
            co_await this->fetchFromPeer(seeds[next++ % seeds.size()].endpoint);
        timer.expires_after(startUpStep);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void ConfigKeeper::noteHeard(ConfigVersion version)
{
    this->spread.heard = std::max(this->spread.heard, version);
    this->heard.store(this->spread.heard.value());
}

void ConfigKeeper::take(ConfigVersion version, std::string_view text, DocumentSource source)
{
    if (!acceptsVersion(this->spread, version) || (version == this->refusedVersion && version.value() > 0))
        return;
    std::vector<IniProblem> problems;
    auto document = parseDocument(text, "document", problems);
    if (!problems.empty()) {
        this->refusedVersion = version;
        logEvent(LogLevel::Error, "document-refused",
            { { "version", std::to_string(version.value()) }, { "problem", toText(problems.front()) } });
        return;
    }
    auto* accepted = new AcceptedDocument;
    accepted->version = version;
    accepted->document = std::move(document);
    this->context.inForce.store(AcceptedDocumentPtr(accepted));
    setInForce(this->spread, version, source);
    this->noteHeard(version);
    this->source.store(source);
    this->versionInForce.set(static_cast<std::int64_t>(version.value()));
    logEvent(LogLevel::Info, "document-in-force",
        { { "version", std::to_string(version.value()) }, { "source", std::string(sourceName(source)) } });
    if (this->notify)
        this->notify(version);
}

bool ConfigKeeper::isPoller() const
{
    const auto view = this->context.members.load();
    if (!view || view->members.size() < 2)
        return true;
    return isSelectedForTask(*view, this->context.identity, "config-poll", pollersPerDataCentre);
}

asio::awaitable<void> ConfigKeeper::poll()
{
    asio::steady_timer timer(this->context.threads.at(0));
    auto next = Clock::now() + firstPollSpread * this->random.unit();
    bool wasPoller = this->isPoller();
    while (true) {
        const auto now = Clock::now();
        const bool isNewPoller = this->isPoller() && !wasPoller;
        wasPoller = this->isPoller();
        if (now >= next || isNewPoller) {
            const bool isAnswered = co_await this->pollOnce();
            next = Clock::now() + afterPoll(this->spread, isAnswered, wasPoller, this->random);
        }
        timer.expires_at(std::min<TimePoint>(std::chrono::time_point_cast<Duration>(next), Clock::now() + roleCheck));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/// @return whether the platform answered.
asio::awaitable<bool> ConfigKeeper::pollOnce()
{
    this->reads.add();
    const auto rows = co_await this->context.clients().platform.read(oneKey(RowKey(std::string(versionRowKey))));
    if (!rows || rows.value().empty())
        co_return false;
    const auto& row = rows.value().front();
    if (row.version.value() == 0)
        co_return true;
    const auto version = parseVersionRow(row.value);
    if (!version) {
        logEvent(LogLevel::Error, "version-row-not-understood", { { "row", std::string(versionRowKey) } });
        co_return true;
    }
    this->noteHeard(*version);
    if (acceptsVersion(this->spread, *version) && *version != this->refusedVersion)
        co_return co_await this->fetchDocument(*version);
    co_return true;
}

asio::awaitable<bool> ConfigKeeper::fetchDocument(ConfigVersion version)
{
    this->reads.add();
    const auto rows = co_await this->context.clients().platform.read(oneKey(documentRowKey(version)));
    if (!rows || rows.value().empty())
        co_return false;
    const auto row = parseDocumentRow(rows.value().front().value);
    if (row)
        this->take(row->version, row->text, DocumentSource::Platform);
    else
        logEvent(LogLevel::Error, "document-row-not-understood", { { "version", std::to_string(version.value()) } });
    co_return true;
}

asio::awaitable<bool> ConfigKeeper::fetchFromPeer(Endpoint peer)
{
    DocumentFetch fetch;
    fetch.newerThan = this->spread.inForce;
    this->fetches.add();
    const auto answer = co_await this->callPeer(std::move(peer), PeerCall(fetch), Clock::now() + peerTimeout);
    if (!answer)
        co_return false;
    const auto* document = std::get_if<DocumentAnswer>(&answer.value());
    if (!document || document->version.value() == 0)
        co_return false;
    this->take(document->version, document->text, DocumentSource::Peer);
    co_return true;
}

asio::awaitable<void> ConfigKeeper::fetchHeard(Endpoint peer)
{
    co_await this->fetchFromPeer(std::move(peer));
    this->isFetching = false;
}

void ConfigKeeper::hear(ConfigVersion version, const Endpoint& from)
{
    this->noteHeard(version);
    const bool isNew = version.value() > 0 && acceptsVersion(this->spread, version) && version != this->refusedVersion;
    if (!isNew || this->isFetching)
        return;
    this->isFetching = true;
    asio::co_spawn(this->context.threads.at(0), this->fetchHeard(from), asio::detached);
}

asio::awaitable<void> ConfigKeeper::takeAccepted(ConfigVersion version, std::string text)
{
    this->take(version, text, DocumentSource::Platform);
    co_return;
}

asio::awaitable<void> ConfigKeeper::put(ConfigVersion version, std::string text)
{
    auto work = this->takeAccepted(version, std::move(text));
    co_await asio::co_spawn(this->context.threads.at(0), std::move(work), asio::use_awaitable);
}

json::value ConfigKeeper::dump() const
{
    const auto document = this->context.document();
    return json::object { { "in_force", document ? document->version.value() : 0 },
        { "source", sourceName(this->source.load()) }, { "newest_heard", this->heard.load() } };
}

} // namespace topaztack
