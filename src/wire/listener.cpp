#include "listener.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace topaztack {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    /// Time before the next try when no connection can be accepted, such as with no file descriptors left.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };

} // namespace

Result<void> Listener::start()
{
    boost::system::error_code problem;
    const tcp::endpoint address(asio::ip::make_address(this->endpoint.address, problem), this->endpoint.port);
    if (!problem)
        this->acceptor.open(address.protocol(), problem);
    if (!problem)
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
    if (!problem)
        this->acceptor.bind(address, problem);
    if (!problem)
        this->acceptor.listen(asio::socket_base::max_listen_connections, problem);
    if (problem)
        return makeError(ErrorKind::BadSettings, "can't listen at " + toText(this->endpoint) + ": " + problem.message(),
            "free the port or change the address in the settings");
    this->boundPort = this->acceptor.local_endpoint(problem).port();
    asio::co_spawn(this->threads.at(0), this->accept(), asio::detached);
    return boost::outcome_v2::success();
}

void Listener::stop()
{
    this->isStopping = true;
    asio::post(this->threads.at(0), [self = this->shared_from_this()] {
        boost::system::error_code ignored;
        self->acceptor.close(ignored);
    });
}

asio::awaitable<void> Listener::accept()
{
    const auto self = this->shared_from_this();
    std::size_t next = 0;
    while (!this->isStopping) {
        auto& loop = this->threads.at(next % this->threads.size());
        auto [problem, socket] = co_await this->acceptor.async_accept(loop, asTuple);
        if (this->isStopping || problem == asio::error::operation_aborted)
            break;
        if (problem) {
            logEvent(LogLevel::Warning, "accept-failed", { { "error", problem.message() } });
            asio::steady_timer timer(this->threads.at(0), acceptRetryDelay);
            co_await timer.async_wait(asTuple);
            continue;
        }
        ++next;
        asio::post(loop, [self, socket = std::move(socket)]() mutable { self->take(std::move(socket)); });
    }
}

} // namespace topaztack
