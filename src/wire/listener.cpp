#include "listener.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>

namespace topaztack {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    /// Time before the next try when no connection can be accepted, such as with no file descriptors left.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };
    /// Time for handshakes under way to end and for the queue to be accepted, once new ones are dropped.
    constexpr std::chrono::milliseconds queueTime { 100 };

    /// Has the kernel drop packets that begin a handshake (SYN without ACK) at a listening socket.
    void dropNewHandshakes(int socket)
    {
        constexpr std::uint32_t flagsOffset = 13;
        constexpr std::uint32_t synAndAck = 0x12;
        constexpr std::uint32_t syn = 0x02;
        constexpr std::uint32_t wholePacket = 0xffffffff;
        std::array<sock_filter, 5> program { {
            BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
            BPF_STMT(BPF_ALU | BPF_AND | BPF_K, synAndAck),
            BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1),
            BPF_STMT(BPF_RET | BPF_K, 0),
            BPF_STMT(BPF_RET | BPF_K, wholePacket),
        } };
        const sock_fprog filter { static_cast<unsigned short>(program.size()), program.data() };
        if (setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0)
            logEvent(LogLevel::Warning, "handshakes-not-dropped");
    }

} // namespace

Result<void> Listener::start(std::optional<std::size_t> socketBuffer)
{
    boost::system::error_code problem;
    const tcp::endpoint address(asio::ip::make_address(this->endpoint.address, problem), this->endpoint.port);
    if (!problem)
        this->acceptor.open(address.protocol(), problem);
    if (!problem)
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
    // Accepted sockets inherit the sizes, which the kernel then doesn't change by its own estimate.
    if (!problem && socketBuffer)
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(*socketBuffer)), problem);
    if (!problem && socketBuffer)
        this->acceptor.set_option(asio::socket_base::send_buffer_size(static_cast<int>(*socketBuffer)), problem);
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

void Listener::stop() { asio::co_spawn(this->threads.at(0), this->closeAfterQueue(), asio::detached); }

void Listener::abort()
{
    asio::post(this->threads.at(0), [self = this->shared_from_this()] {
        self->isStopping = true;
        boost::system::error_code ignored;
        self->acceptor.close(ignored);
    });
}

asio::awaitable<void> Listener::closeAfterQueue()
{
    const auto self = this->shared_from_this();
    dropNewHandshakes(this->acceptor.native_handle());
    asio::steady_timer timer(this->threads.at(0), queueTime);
    co_await timer.async_wait(asTuple);
    this->isStopping = true;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
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
