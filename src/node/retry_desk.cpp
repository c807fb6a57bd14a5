#include <topaztack/node/retry_desk.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace topaztack {

namespace asio = boost::asio;

RetryDesk::RetryDesk(NodeContext& context)
    : context(context)
    , random(systemSeed())
    , retries(context.metrics.counter("topaztack_retries_total", "Further attempts made"))
    , refused(context.metrics.counter("topaztack_retries_refused_total", "Further attempts that were not made"))
{
}

void RetryDesk::earn()
{
    const auto accepted = this->context.document();
    const std::lock_guard guard(this->lock);
    if (!accepted)
        return;
    const auto percent = accepted->document.limits.retryBudgetPercent;
    if (!this->budget)
        this->budget = initialRetryBudget(percent);
    earnRetry(*this->budget, percent);
}

std::chrono::microseconds RetryDesk::decide(const RetryContext& facts)
{
    const std::lock_guard guard(this->lock);
    RetryBudget none;
    return decideRetry(this->budget ? *this->budget : none, facts, this->random);
}

asio::awaitable<bool> RetryDesk::waitForRetry(RetryContext facts)
{
    const auto pause = this->decide(facts);
    if (pause.count() < 0) {
        this->refused.add();
        co_return false;
    }
    this->retries.add();
    asio::steady_timer timer(this->context.threads.at(IoThreads::here()), pause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return true;
}

} // namespace topaztack
