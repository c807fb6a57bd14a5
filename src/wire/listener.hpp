#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>
#include <topaztack/wire/io_threads.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <optional>

/// @file
/// Accepts connections at one address and deals them out to the threads in turn.

namespace topaztack {

/// @brief Must be held by a shared pointer that outlives its threads' loops.
class Listener : public std::enable_shared_from_this<Listener> {
public:
    /// Called on the thread whose loop the socket belongs to.
    using Taker = std::function<void(boost::asio::ip::tcp::socket)>;

    Listener(IoThreads& threads, const Endpoint& endpoint, Taker take)
        : threads(threads)
        , endpoint(endpoint)
        , take(std::move(take))
        , acceptor(threads.at(0))
    {
    }

    /// @brief Binds and starts to accept.
    /// @param socketBuffer bytes that the kernel holds of an accepted connection, in each direction; nothing for its
    /// own choice.
    /// @return ErrorKind::BadSettings if the address can't be bound.
    Result<void> start(std::optional<std::size_t> socketBuffer = std::nullopt);

    /// @brief Stops accepting; may be called on any thread. A connection whose handshake was done is still taken: new
    /// handshakes are dropped first, what is queued is accepted, and only then is the socket closed.
    void stop();

    /// @brief Closes the socket at once; connections that wait to be accepted are reset.
    void abort();

    bool isAccepting() const { return !this->isStopping; }

    std::uint16_t port() const { return this->boundPort; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> closeAfterQueue();

    IoThreads& threads;
    const Endpoint endpoint;
    const Taker take;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint16_t boundPort { 0 };
    std::atomic<bool> isStopping { false };
};

} // namespace topaztack
