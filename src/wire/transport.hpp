#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>

/// @file
/// A TCP connection, with TLS if keys are given, behind one stream type that Asio's and Beast's operations take.

namespace topaztack {

class Transport {
public:
    using executor_type = boost::beast::tcp_stream::executor_type;
    using TlsKeys = std::shared_ptr<boost::asio::ssl::context>;
    using Role = boost::asio::ssl::stream_base::handshake_type;

    explicit Transport(boost::asio::io_context& loop)
        : socketStream(loop)
    {
    }

    explicit Transport(boost::asio::ip::tcp::socket socket)
        : socketStream(std::move(socket))
    {
    }

    executor_type get_executor() { return this->socketStream.get_executor(); }
    boost::beast::tcp_stream& tcp() { return this->socketStream; }
    boost::asio::ip::tcp::socket& socket() { return this->socketStream.socket(); }

    /// @brief Shakes hands for TLS; without keys there is nothing to do.
    boost::asio::awaitable<boost::system::error_code> secure(TlsKeys keys, Role role);

    /// @brief Whether an idle connection can be used again: the other side has neither closed it nor sent anything.
    bool isStillOpen();

    template <typename Buffers, typename Token> auto async_read_some(const Buffers& buffers, Token&& token)
    {
        return boost::asio::async_initiate<Token, void(boost::system::error_code, std::size_t)>(
            [this](auto handler, const Buffers& into) {
                if (this->tls)
                    this->tls->async_read_some(into, std::move(handler));
                else
                    this->socketStream.async_read_some(into, std::move(handler));
            },
            token, buffers);
    }

    template <typename Buffers, typename Token> auto async_write_some(const Buffers& buffers, Token&& token)
    {
        return boost::asio::async_initiate<Token, void(boost::system::error_code, std::size_t)>(
            [this](auto handler, const Buffers& from) {
                if (this->tls)
                    this->tls->async_write_some(from, std::move(handler));
                else
                    this->socketStream.async_write_some(from, std::move(handler));
            },
            token, buffers);
    }

private:
    boost::beast::tcp_stream socketStream;
    TlsKeys keys;
    std::optional<boost::asio::ssl::stream<boost::beast::tcp_stream&>> tls;
};

} // namespace topaztack
