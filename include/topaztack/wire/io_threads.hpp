#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

/// @file
/// A fixed set of threads, each with an event loop of its own; a connection stays on one of them.

namespace topaztack {

class IoThreads {
public:
    explicit IoThreads(std::size_t count);
    ~IoThreads();
    IoThreads(const IoThreads&) = delete;
    IoThreads& operator=(const IoThreads&) = delete;

    void start();

    /// @brief Ends every loop, joins the threads and destroys what still waited on them, while the objects that it
    /// refers to are still alive. Calling it again does nothing.
    void stop();

    std::size_t size() const { return this->loops.size(); }
    boost::asio::io_context& at(std::size_t index) { return this->loops[index]->context; }

    /// @brief Index of the calling thread; 0 on a thread that isn't one of these.
    static std::size_t here();

private:
    /// An event loop whose pending work can be destroyed before the loop itself is.
    struct Context : boost::asio::io_context {
        Context()
            : boost::asio::io_context(1)
        {
        }
        using boost::asio::execution_context::shutdown;
    };

    struct Loop {
        Context context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
        std::thread thread;
    };

    std::vector<std::unique_ptr<Loop>> loops;
};

} // namespace topaztack
