#include <topaztack/node/row_updater.hpp>

#include <topaztack/base/random.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto firstPause = std::chrono::milliseconds(5);
    constexpr auto longestPause = std::chrono::milliseconds(500);

    /// Exponential backoff with full jitter.
    Duration pauseAfter(unsigned failures, Random& random)
    {
        const auto bound = std::min<Duration>(longestPause, firstPause * (1U << std::min(failures, 10U)));
        return Duration(static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(bound.count()) + 1)));
    }

    TableCommit commitOf(const RowKey& key, const RowCopy& copy, OperationId operation, std::string value)
    {
        TableCommit commit;
        commit.operation = std::move(operation);
        commit.conditions.push_back({ key, copy.version });
        commit.writes.push_back({ key, std::move(value) });
        return commit;
    }

} // namespace

RowUpdater::RowUpdater(NodeContext& context)
    : context(context)
    , commits(context.metrics.counter("topaztack_row_commits_total", "Commits of trainers' and weights' rows"))
    , conflicts(context.metrics.counter("topaztack_row_conflicts_total", "Commits that lost to another VM's"))
    , ambiguous(context.metrics.counter("topaztack_row_ambiguous_total", "Commits whose answer was lost; read back"))
{
}

asio::awaitable<Result<RowCopy>> RowUpdater::read(RowKey key)
{
    std::vector<RowKey> keys(1, key);
    auto rows = co_await this->context.clients().platform.read(std::move(keys));
    if (!rows)
        co_return std::move(rows).error();
    if (rows.value().empty())
        co_return makeError(ErrorKind::PlatformUnreachable, "platform answered no row for `" + key.value() + "`");
    RowCopy copy;
    copy.version = rows.value().front().version;
    copy.value = std::move(rows.value().front().value);
    co_return copy;
}

asio::awaitable<Result<RowCopy>> RowUpdater::update(
    RowKey key, RowChange change, std::optional<RowCopy> known, TimePoint giveUp)
{
    Random random(systemSeed());
    std::optional<RowCopy> copy = std::move(known);
    bool mayHaveLanded = false;
    for (unsigned failures = 0;; ++failures) {
        Error problem;
        if (!copy) {
            auto fresh = co_await this->read(key);
            if (fresh)
                copy = std::move(fresh).value();
            else
                problem = std::move(fresh).error();
        }
        if (copy) {
            auto operation = this->context.newOperation();
            auto changed = change(copy->value, operation);
            if (!changed)
                co_return std::move(changed).error();
            if (!changed.value())
                co_return std::move(*copy);
            this->commits.add();
            auto value = std::move(*changed.value());
            auto answer = co_await this->context.clients().platform.commit(commitOf(key, *copy, operation, value));
            if (answer && answer.value().isCommitted) {
                copy->version = RowVersion(copy->version.value() + 1);
                copy->value = std::move(value);
                co_return std::move(*copy);
            }
            if (answer)
                this->conflicts.add();
            else if (answer.error().kind == ErrorKind::PlatformAmbiguous)
                this->ambiguous.add();
            mayHaveLanded = mayHaveLanded || (!answer && answer.error().kind == ErrorKind::PlatformAmbiguous);
            problem = answer ? makeError(ErrorKind::PlatformConflict, "row `" + key.value() + "` keeps changing")
                             : std::move(answer).error();
            copy.reset();
        }
        if (Clock::now() >= giveUp && mayHaveLanded)
            co_return makeError(ErrorKind::PlatformAmbiguous, problem.message);
        if (Clock::now() >= giveUp)
            co_return problem;
        co_await waitFor(this->context, pauseAfter(failures, random));
    }
}

asio::awaitable<void> waitFor(NodeContext& context, Duration duration)
{
    asio::steady_timer timer(context.threads.at(IoThreads::here()));
    timer.expires_after(duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace topaztack
