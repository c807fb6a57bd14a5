#include "standins/raw_worker.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace topaztack::test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr int maxSendBuffer = 64 * 1024;

} // namespace

RawWorker::RawWorker(IoThreads& threads, std::string name, std::function<RawAnswer(const std::string& id)> answer)
    : name(std::move(name))
    , shared(std::make_shared<Shared>())
    , acceptor(std::make_shared<tcp::acceptor>(threads.at(0), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)))
{
    this->shared->answer = std::move(answer);
    asio::co_spawn(threads.at(0), accept(this->acceptor, this->shared), asio::detached);
}

RawWorker::~RawWorker()
{
    asio::post(this->acceptor->get_executor(), [acceptor = this->acceptor] { acceptor->close(); });
}

std::string RawWorker::record(const std::string& pool) const
{
    return json::serialize(json::object { { "service", pool }, { "address", toText(this->endpoint()) },
        { "zone", "z1" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "coldRemainingMs", 0 },
        { "sequence", 1 }, { "models", json::array { json::object { { "name", "m" }, { "version", 1 } } } } });
}

asio::awaitable<void> RawWorker::accept(std::shared_ptr<tcp::acceptor> acceptor, std::shared_ptr<Shared> shared)
{
    while (true) {
        auto [problem, socket] = co_await acceptor->async_accept(asTuple);
        if (problem)
            co_return;
        asio::co_spawn(acceptor->get_executor(), serve(std::move(socket), shared), asio::detached);
    }
}

asio::awaitable<void> RawWorker::serve(tcp::socket socket, std::shared_ptr<Shared> shared)
{
    // What the socket holds would count as taken by the caller.
    socket.set_option(tcp::socket::send_buffer_size(maxSendBuffer));
    beast::flat_buffer buffer;
    while (true) {
        http::request<http::string_body> request;
        const auto [readProblem, size] = co_await http::async_read(socket, buffer, request, asTuple);
        if (readProblem)
            co_return;
        ++shared->requests;
        const auto id = request["Topaztack-Request-Id"];
        const auto answer = shared->answer(std::string(id.data(), id.size()));
        auto [problem, written] = co_await asio::async_write(socket, asio::buffer(answer.bytes), asTuple);
        while (!problem && !answer.repeated.empty()) {
            std::tie(problem, written) = co_await asio::async_write(socket, asio::buffer(answer.repeated), asTuple);
            shared->repeatedBytes += written;
        }
        if (problem || answer.closes)
            co_return;
    }
}

} // namespace topaztack::test
