#include "transport.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace topaztack {

namespace asio = boost::asio;

asio::awaitable<boost::system::error_code> Transport::secure(TlsKeys keysToUse, Role role)
{
    if (!keysToUse)
        co_return boost::system::error_code {};
    this->keys = std::move(keysToUse);
    this->tls.emplace(this->socketStream, *this->keys);
    const auto [problem] = co_await this->tls->async_handshake(role, asio::as_tuple(asio::use_awaitable));
    co_return problem;
}

bool Transport::isStillOpen()
{
    char byte = 0;
    boost::system::error_code problem;
    this->socket().non_blocking(true, problem);
    if (problem)
        return false;
    this->socket().receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, problem);
    return problem == asio::error::would_block;
}

} // namespace topaztack
