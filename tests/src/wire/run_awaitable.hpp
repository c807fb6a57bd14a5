#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <future>
#include <optional>

/// @file
/// Runs a coroutine on another thread's loop and waits for its value.

namespace topaztack::test {

template <typename T> boost::asio::awaitable<void> keepValue(boost::asio::awaitable<T> work, std::optional<T>& value)
{
    value.emplace(co_await std::move(work));
}

/// @brief A coroutine under way; `get` waits for its value.
template <typename T> class Pending {
public:
    Pending(boost::asio::io_context& loop, boost::asio::awaitable<T> work)
    {
        boost::asio::co_spawn(loop, keepValue(std::move(work), this->value), [this](const std::exception_ptr& failure) {
            if (failure)
                this->done.set_exception(failure);
            else
                this->done.set_value();
        });
    }

    T get()
    {
        this->done.get_future().get();
        return std::move(*this->value);
    }

private:
    std::optional<T> value;
    std::promise<void> done;
};

template <typename T> T runOn(boost::asio::io_context& loop, boost::asio::awaitable<T> work)
{
    return Pending<T>(loop, std::move(work)).get();
}

} // namespace topaztack::test
