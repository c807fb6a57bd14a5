#include "frame_link.hpp"
#include "listener.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/wire/tls.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <mutex>
#include <set>

namespace topaztack {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    /// Every thread of every other VM may hold a few: 350 VMs with 2 threads and 8 links each are 5,600.
    constexpr std::int64_t mostConnections = 8192;
    constexpr std::chrono::seconds longestIdle { 60 };
    constexpr std::chrono::seconds longestGreeting { 5 };
    /// Time for an answer to be taken by the other VM.
    constexpr std::chrono::seconds longestWrite { 30 };

    class PeerConnection;

} // namespace

struct PeerServer::State {
    IoThreads& threads;
    PeerKey key;
    PeerHandler handler;
    TlsContext* tls;
    Counter& calls;
    Counter& badFrames;
    Counter& refused;
    Gauge& connections;
    std::shared_ptr<Listener> listener;
    std::mutex lock;
    std::set<PeerConnection*> open;
};

namespace {

    class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
    public:
        PeerConnection(std::shared_ptr<PeerServer::State> server, std::size_t thread, tcp::socket socket)
            : server(std::move(server))
            , thread(thread)
            , link(Transport(std::move(socket)), this->server->key.secret, LinkSide::Server)
        {
            this->server->connections.add(1);
            const std::lock_guard guard(this->server->lock);
            this->server->open.insert(this);
        }

        ~PeerConnection()
        {
            this->server->connections.add(-1);
            const std::lock_guard guard(this->server->lock);
            this->server->open.erase(this);
        }

        PeerConnection(const PeerConnection&) = delete;
        PeerConnection& operator=(const PeerConnection&) = delete;

        std::size_t threadIndex() const { return this->thread; }

        void close() { this->link.transport().tcp().close(); }

        asio::awaitable<void> serve()
        {
            const auto self = this->shared_from_this();
            auto& tcpStream = this->link.transport().tcp();
            boost::system::error_code problem;
            this->link.transport().socket().set_option(tcp::no_delay(true), problem);
            tcpStream.expires_after(longestGreeting);
            auto tlsKeys = serverKeysOf(this->server->tls);
            problem = co_await this->link.transport().secure(std::move(tlsKeys), asio::ssl::stream_base::server);
            if (!problem)
                problem = co_await this->link.greet();
            if (problem == asio::error::no_protocol_option)
                this->server->badFrames.add();
            bool goesOn = !problem;
            while (goesOn)
                goesOn = co_await this->serveCall();
            tcpStream.close();
        }

    private:
        asio::awaitable<bool> serveCall()
        {
            auto& tcpStream = this->link.transport().tcp();
            tcpStream.expires_after(longestIdle);
            std::string bytes;
            auto problem = co_await this->link.read(bytes);
            const bool isBad = problem == asio::error::message_size || problem == asio::error::no_permission;
            if (isBad)
                this->server->badFrames.add();
            if (problem)
                co_return false;
            tcpStream.expires_never();
            auto call = decodeCall(bytes);
            if (!call) {
                this->server->badFrames.add();
                co_return false;
            }
            this->server->calls.add();
            const auto answer = co_await this->answer(std::move(call).value());
            auto payload = encode(answer);
            if (payload.size() > longestFrame)
                payload = encode(
                    PeerAnswer(makeError(ErrorKind::RequestTooLarge, "answer is too long to be sent to another VM")));
            tcpStream.expires_after(longestWrite);
            problem = co_await this->link.write(std::move(payload));
            co_return !problem;
        }

        asio::awaitable<PeerAnswer> answer(PeerCall call)
        {
            std::string what;
            try {
                co_return co_await this->server->handler(std::move(call));
            } catch (const std::exception& problem) {
                what = problem.what();
            }
            logEvent(LogLevel::Error, "peer-handler-failed", { { "error", what } });
            co_return makeError(ErrorKind::Internal, "handler failed: " + what);
        }

        std::shared_ptr<PeerServer::State> server;
        std::size_t thread;
        FrameLink link;
    };

    void startConnection(const std::shared_ptr<PeerServer::State>& server, tcp::socket socket)
    {
        if (server->connections.value() >= mostConnections) {
            server->refused.add();
            return;
        }
        const auto thread = IoThreads::here();
        const auto connection = std::make_shared<PeerConnection>(server, thread, std::move(socket));
        asio::co_spawn(server->threads.at(thread), connection->serve(), asio::detached);
    }

} // namespace

PeerServer::PeerServer(IoThreads& threads, const Endpoint& endpoint, PeerKey key, PeerHandler handler,
    MetricsRegistry& metrics, TlsContext* tls)
{
    this->state = std::shared_ptr<State>(new State {
        threads,
        std::move(key),
        std::move(handler),
        tls,
        metrics.counter("topaztack_peer_calls_total", "Calls from other VMs"),
        metrics.counter("topaztack_peer_bad_frames_total", "Frames dropped: too long, not authentic or not understood"),
        metrics.counter("topaztack_peer_refused_connections_total", "Connections refused beyond the limit"),
        metrics.gauge("topaztack_peer_connections", "Open connections from other VMs"),
    });
    const std::weak_ptr<State> weak = this->state;
    this->state->listener = std::make_shared<Listener>(threads, endpoint, [weak](tcp::socket socket) {
        const auto server = weak.lock();
        if (server)
            startConnection(server, std::move(socket));
    });
}

PeerServer::~PeerServer() = default;

Result<void> PeerServer::start() { return this->state->listener->start(); }

std::uint16_t PeerServer::port() const { return this->state->listener->port(); }

void PeerServer::stop()
{
    this->state->listener->stop();
    for (std::size_t index = 0; index < this->state->threads.size(); ++index) {
        asio::post(this->state->threads.at(index), [server = this->state, index] {
            const std::lock_guard guard(server->lock);
            for (auto* connection : server->open) {
                if (connection->threadIndex() == index)
                    connection->close();
            }
        });
    }
}

} // namespace topaztack
