#include <topaztack/node/claim_desk.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/base/random.hpp>

/// Removes claims' rows whose time is over.

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto cleanUpInterval = 60s;
    constexpr std::size_t rowsPerCleanUp = 200;
    constexpr std::string_view claimsPrefix = "claim/";

    std::size_t vmCount(const NodeContext& context)
    {
        const auto view = context.members.load();
        return std::max<std::size_t>(1, view ? view->members.size() : context.settings.peerList.size() + 1);
    }

} // namespace

/// Each VM takes its turn at random, so that all VMs together pass over the rows about once a round.
asio::awaitable<void> ClaimDesk::cleanUp()
{
    Random random(systemSeed());
    std::string after;
    while (true) {
        const auto jitter = std::chrono::milliseconds(random.below(toMilliseconds(cleanUpInterval).count()));
        co_await this->pauseUntil(Clock::now() + cleanUpInterval / 2 + jitter);
        if (random.below(vmCount(this->context)) != 0)
            continue;
        auto rows = co_await this->context.clients().platform.scan(std::string(claimsPrefix), after, rowsPerCleanUp);
        if (!rows)
            continue;
        after = rows.value().size() < rowsPerCleanUp ? std::string {} : rows.value().back().key.value();
        co_await this->removeExpired(std::move(rows).value());
    }
}

asio::awaitable<void> ClaimDesk::removeExpired(std::vector<TableRow> rows)
{
    TableCommit commit;
    commit.operation = this->context.newOperation();
    for (const auto& row : rows) {
        const auto claim = parseClaimRow(row.value);
        if (!claim || claim->expires > WallClock::now())
            continue;
        commit.conditions.push_back({ row.key, row.version });
        commit.writes.push_back({ row.key, std::nullopt });
    }
    if (commit.writes.empty())
        co_return;
    const auto removed = commit.writes.size();
    const auto answer = co_await this->context.clients().platform.commit(std::move(commit));
    if (answer && answer.value().isCommitted)
        logEvent(LogLevel::Info, "claims-removed", { { "rows", std::to_string(removed) } });
}

} // namespace topaztack
