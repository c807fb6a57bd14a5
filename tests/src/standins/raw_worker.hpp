#pragma once

#include <topaztack/wire/http.hpp>
#include <topaztack/wire/io_threads.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

/// @file
/// A backend server on loopback that answers with bytes as given, whether they are HTTP or not.

namespace topaztack::test {

/// @brief What is sent in response to one request.
struct RawAnswer {
    std::string bytes;
    /// Sent after `bytes`, again and again, until the caller closes the connection; empty for nothing.
    std::string repeated {};
    /// Whether the connection is closed after `bytes`.
    bool closes { false };
};

class RawWorker {
public:
    /// @param answer the answer to the request with an id.
    RawWorker(IoThreads& threads, std::string name, std::function<RawAnswer(const std::string& id)> answer);
    ~RawWorker();
    RawWorker(const RawWorker&) = delete;
    RawWorker& operator=(const RawWorker&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", this->acceptor->local_endpoint().port() }; }

    /// @brief The record by which the server is listed in the store.
    std::string record(const std::string& pool) const;

    /// @brief Requests that were read.
    std::size_t requests() const { return this->shared->requests; }

    /// @brief Bytes of repeated parts that were written, over all connections.
    std::size_t repeatedBytes() const { return this->shared->repeatedBytes; }

    const std::string name;

private:
    /// What the connections use; they may outlive the stand-in.
    struct Shared {
        std::function<RawAnswer(const std::string& id)> answer;
        std::atomic<std::size_t> requests { 0 };
        std::atomic<std::size_t> repeatedBytes { 0 };
    };

    static boost::asio::awaitable<void> accept(
        std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor, std::shared_ptr<Shared> shared);
    static boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared);

    std::shared_ptr<Shared> shared;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor;
};

} // namespace topaztack::test
