#include <src/gateway/notifier.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace topaztack;
using namespace std::chrono_literals;

TEST_GROUP(Notifier) {};

// The time limit of a wait expires in the same pass of the loop in which the waiter is woken and drops the notifier;
// the handler of the limit runs after that. AddressSanitizer sees the use of freed memory.
TEST(Notifier, ALimitThatExpiresAsItsWaiterIsWokenOutlivesTheNotifier)
{
    boost::asio::io_context loop;
    auto notifier = std::make_unique<Notifier>(loop);
    bool isDone = false;
    const auto wait = [&]() -> boost::asio::awaitable<void> {
        co_await notifier->waitUntil(Clock::now() + 1ms);
        notifier.reset();
        isDone = true;
    };
    boost::asio::co_spawn(loop, wait(), boost::asio::detached);
    boost::asio::post(loop, [&] {
        std::this_thread::sleep_for(5ms);
        notifier->notify();
    });
    loop.run();
    CHECK_TRUE(isDone);
}
