#include "table_follower.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr std::chrono::milliseconds shortestBackoff { 50 };
    constexpr std::chrono::milliseconds longestBackoff { 400 };

    Duration backoffAfter(unsigned failures, Random& random)
    {
        const auto bound = std::min(longestBackoff, shortestBackoff * (1 << std::min(failures, 4U)));
        return bound / 2 + std::chrono::milliseconds(random.below(static_cast<std::uint64_t>(bound.count()) / 2 + 1));
    }

    StoreRange wholePart(const std::string& table, const std::string& part)
    {
        StoreRange range;
        range.table = table;
        range.part = part;
        return range;
    }

} // namespace

TableFollower::TableFollower(GatewayContext& context, FollowOptions rules, Taker take)
    : context(context)
    , rules(std::move(rules))
    , take(std::move(take))
{
}

void TableFollower::start() { asio::co_spawn(this->context.loop(), this->follow(), asio::detached); }

asio::awaitable<void> TableFollower::follow()
{
    unsigned failures = 0;
    while (true) {
        const bool isRead = this->isWhole ? co_await this->readChanges() : co_await this->readWhole();
        const auto now = Clock::now();
        if (isRead) {
            failures = 0;
            this->answered = now;
            if (!this->fresh)
                this->fresh = now;
            if (this->rules.pause > 0ms)
                co_await pauseFor(this->rules.pause);
        } else {
            this->fresh.reset();
            co_await pauseFor(backoffAfter(++failures, this->context.random));
        }
    }
}

/// A copy of the store may be behind; what was seen before counts.
void TableFollower::logStaleRead(RowVersion version) const
{
    logEvent(LogLevel::Warning, "stale-read-dropped",
        { { "table", this->rules.table }, { "version", std::to_string(version.value()) },
            { "known", std::to_string(this->position.value()) } });
}

asio::awaitable<bool> TableFollower::readWhole()
{
    std::vector<StoreRow> all;
    RowVersion version;
    for (const auto& part : this->rules.parts) {
        auto rows = co_await this->context.store.read(wholePart(this->rules.table, part));
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
        { { "table", this->rules.table }, { "rows", std::to_string(all.size()) },
            { "version", std::to_string(version.value()) } });
    this->position = version;
    this->isWhole = true;
    this->take(all, true);
    co_return true;
}

asio::awaitable<bool> TableFollower::readChanges()
{
    StoreFeedQuery query;
    query.table = this->rules.table;
    query.after = this->position;
    query.wait = this->rules.wait;
    auto changes = co_await this->context.store.changes(query);
    if (!changes)
        co_return false;
    if (changes.value().isHistoryLost) {
        logEvent(LogLevel::Info, "table-history-lost", { { "table", this->rules.table } });
        this->isWhole = false;
        this->fresh.reset();
        co_return co_await this->readWhole();
    }
    if (changes.value().version < this->position) {
        this->logStaleRead(changes.value().version);
        co_return false;
    }
    auto& rows = changes.value().rows;
    // Rows of a part that was read after others come again.
    std::erase_if(rows, [this](const auto& row) { return !row.isRemoved && row.version <= this->position; });
    this->position = changes.value().version;
    if (!rows.empty())
        this->take(rows, false);
    co_return true;
}

} // namespace topaztack
