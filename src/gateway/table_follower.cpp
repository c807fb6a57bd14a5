#include "table_follower.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr std::chrono::milliseconds minBackoff { 50 };
    constexpr std::chrono::milliseconds maxBackoff { 400 };

    Duration backoffAfter(unsigned failures, Random& random)
    {
        const auto bound = std::min(maxBackoff, minBackoff * (1 << std::min(failures, 4U)));
        return bound / 2 + std::chrono::milliseconds(random.below(static_cast<std::uint64_t>(bound.count()) / 2 + 1));
    }

    StoreRange partRange(const std::string& table, const std::string& part)
    {
        StoreRange range;
        range.table = table;
        range.part = part;
        return range;
    }

} // namespace

TableFollower::TableFollower(GatewayContext& context, FollowOptions options, RowHandler onRows)
    : context(context)
    , options(std::move(options))
    , onRows(std::move(onRows))
{
}

void TableFollower::start() { asio::co_spawn(this->context.loop(), this->follow(), asio::detached); }

asio::awaitable<void> TableFollower::follow()
{
    unsigned failures = 0;
    while (true) {
        const bool isRead = co_await this->readNext();
        const auto now = Clock::now();
        if (isRead) {
            failures = 0;
            this->lastAnswerAt = now;
            if (!this->gaplessSince)
                this->gaplessSince = now;
            if (this->options.pause > 0ms)
                co_await pauseFor(this->options.pause);
        } else {
            this->gaplessSince.reset();
            co_await pauseFor(backoffAfter(++failures, this->context.random));
        }
    }
}

/// Reads the table, or its changes. An exception of the handler must not end the following; the whole table is read
/// again, since rows after the one that it failed at were not handled.
asio::awaitable<bool> TableFollower::readNext()
{
    try {
        if (this->hasReadTable)
            co_return co_await this->readChanges();
        co_return co_await this->readTable();
    } catch (const std::exception& problem) {
        logEvent(LogLevel::Error, "rows-not-handled",
            { { "table", this->options.table }, { "version", std::to_string(this->position.value()) },
                { "error", problem.what() } });
        this->hasReadTable = false;
        co_return false;
    }
}

/// A replica of the store may lag behind; a read that is older than what was already seen is dropped.
void TableFollower::logStaleRead(RowVersion version) const
{
    logEvent(LogLevel::Warning, "stale-read-dropped",
        { { "table", this->options.table }, { "version", std::to_string(version.value()) },
            { "known", std::to_string(this->position.value()) } });
}

asio::awaitable<bool> TableFollower::readTable()
{
    std::vector<StoreRow> all;
    RowVersion version;
    for (const auto& part : this->options.parts) {
        auto rows = co_await this->context.store.read(partRange(this->options.table, part));
        if (!rows)
            co_return false;
        if (version.value() == 0 || rows.value().version < version)
            version = rows.value().version;
        for (auto& row : rows.value().rows)
            all.push_back(std::move(row));
    }
    if (version < this->position) {
        this->logStaleRead(version);
        co_return false;
    }
    logEvent(LogLevel::Info, "table-read",
        { { "table", this->options.table }, { "rows", std::to_string(all.size()) },
            { "version", std::to_string(version.value()) } });
    this->position = version;
    this->hasReadTable = true;
    this->onRows(all, true);
    co_return true;
}

asio::awaitable<bool> TableFollower::readChanges()
{
    StoreFeedQuery query;
    query.table = this->options.table;
    query.after = this->position;
    query.wait = this->options.wait;
    auto changes = co_await this->context.store.changes(query);
    if (!changes)
        co_return false;
    if (changes.value().isHistoryLost) {
        logEvent(LogLevel::Info, "table-history-lost", { { "table", this->options.table } });
        this->hasReadTable = false;
        this->gaplessSince.reset();
        co_return co_await this->readTable();
    }
    if (changes.value().version < this->position) {
        this->logStaleRead(changes.value().version);
        co_return false;
    }
    auto& rows = changes.value().rows;
    // Drops rows that were delivered already. `position` is the lowest version of all parts, which are read one after
    // another, so newer rows of a part that was read later may still be delivered again.
    std::erase_if(rows, [this](const auto& row) { return !row.isRemoved && row.version <= this->position; });
    this->position = changes.value().version;
    if (!rows.empty())
        this->onRows(rows, false);
    co_return true;
}

} // namespace topaztack
