#pragma once

#include <topaztack/base/time.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

/// @file
/// Wakes coroutines of one event loop that wait for a change, as a condition variable does for threads.

namespace topaztack {

class Notifier {
public:
    explicit Notifier(boost::asio::io_context& loop)
        : timer(std::make_shared<boost::asio::steady_timer>(loop, TimePoint::max()))
    {
    }

    /// @brief Wakes all waiting coroutines.
    void notify() { this->timer->expires_at(TimePoint::max()); }

    /// @brief Waits for notify(), at most until `deadline`.
    boost::asio::awaitable<void> waitUntil(TimePoint deadline)
    {
        // A limit that has expired can no longer be cancelled, and its handler may run after the notifier is gone.
        const auto shared = this->timer;
        boost::asio::steady_timer limit(shared->get_executor(), deadline);
        limit.async_wait([shared](const boost::system::error_code& problem) {
            // Wakes the other coroutines too; each checks again whether it has to wait.
            if (!problem)
                shared->expires_at(TimePoint::max());
        });
        co_await shared->async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

private:
    std::shared_ptr<boost::asio::steady_timer> timer;
};

/// @brief Suspends the calling coroutine; its event loop keeps running.
inline boost::asio::awaitable<void> pauseFor(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace topaztack
