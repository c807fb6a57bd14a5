#include "frame_link.hpp"

#include <topaztack/wire/tls.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fstream>
#include <map>
#include <sstream>
#include <vector>

namespace topaztack {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t mostIdlePerPeer = 8;
    /// Shorter than the server's idle time, so that a link isn't closed just as it is taken up again.
    constexpr std::chrono::seconds longestIdle { 20 };
    constexpr std::size_t shortestSecret = 16;

    using LinkPtr = std::unique_ptr<FrameLink>;

    struct IdleLink {
        LinkPtr link;
        TimePoint since;
    };

    CallFailure failure(const boost::system::error_code& problem, const Endpoint& endpoint, AttemptProgress progress)
    {
        return { makeError(ErrorKind::PeerUnreachable, "VM at " + toText(endpoint) + ": " + problem.message()),
            progress };
    }

} // namespace

Result<PeerKey> readPeerKey(const std::string& file)
{
    if (file.empty())
        return PeerKey {};
    std::ifstream input(file);
    std::stringstream text;
    text << input.rdbuf();
    if (!input)
        return makeError(
            ErrorKind::BadSettings, file + " can't be read", "check peer_key in [vm] and the file's permissions");
    auto secret = text.str();
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    if (secret.size() < shortestSecret)
        return makeError(ErrorKind::BadSettings, file + " holds a key of fewer than 16 bytes",
            "make one with `openssl rand -hex 32` and give it to every VM");
    return PeerKey { std::move(secret) };
}

struct PeerClient::State {
    State(asio::io_context& loop, PeerKey key, TlsContext* tls)
        : loop(loop)
        , key(std::move(key))
        , tls(tls)
    {
    }

    LinkPtr takeIdle(const Endpoint& endpoint)
    {
        auto& links = this->idle[endpoint];
        while (!links.empty()) {
            auto kept = std::move(links.back());
            links.pop_back();
            if (Clock::now() - kept.since < longestIdle && kept.link->transport().isStillOpen())
                return std::move(kept.link);
        }
        return nullptr;
    }

    void keep(const Endpoint& endpoint, LinkPtr link)
    {
        auto& links = this->idle[endpoint];
        link->transport().tcp().expires_never();
        if (links.size() < mostIdlePerPeer)
            links.push_back({ std::move(link), Clock::now() });
    }

    asio::awaitable<CallResult<LinkPtr>> connect(Endpoint endpoint, TimePoint deadline)
    {
        auto kept = this->takeIdle(endpoint);
        if (kept)
            co_return std::move(kept);
        Transport transport(this->loop);
        boost::system::error_code problem;
        const tcp::endpoint address(asio::ip::make_address(endpoint.address, problem), endpoint.port);
        if (problem)
            co_return failure(problem, endpoint, AttemptProgress::NothingWritten);
        transport.tcp().expires_at(deadline);
        const auto [connectProblem] = co_await transport.tcp().async_connect(address, asTuple);
        if (connectProblem)
            co_return failure(connectProblem, endpoint, AttemptProgress::NothingWritten);
        transport.socket().set_option(tcp::no_delay(true), problem);
        auto link = std::make_unique<FrameLink>(std::move(transport), this->key.secret, LinkSide::Caller);
        auto tlsKeys = clientKeysOf(this->tls);
        problem = co_await link->transport().secure(std::move(tlsKeys), asio::ssl::stream_base::client);
        if (!problem)
            problem = co_await link->greet();
        if (problem)
            co_return failure(problem, endpoint, AttemptProgress::NothingWritten);
        co_return std::move(link);
    }

    asio::io_context& loop;
    PeerKey key;
    TlsContext* tls;
    std::map<Endpoint, std::vector<IdleLink>> idle;
};

PeerClient::PeerClient(asio::io_context& loop, PeerKey key, TlsContext* tls)
    : state(std::make_shared<State>(loop, std::move(key), tls))
{
}

PeerClient::~PeerClient() = default;

asio::awaitable<CallResult<PeerAnswer>> PeerClient::call(Endpoint endpoint, PeerCall call, TimePoint deadline)
{
    const auto client = this->state;
    auto payload = encode(call);
    if (payload.size() > longestFrame)
        co_return CallFailure { makeError(ErrorKind::RequestTooLarge, "call to another VM is too long"),
            AttemptProgress::NothingWritten };
    auto connected = co_await client->connect(endpoint, deadline);
    if (!connected)
        co_return std::move(connected).error();
    auto link = std::move(connected).value();
    link->transport().tcp().expires_at(deadline);
    const auto writtenBefore = link->bytesWritten();
    auto problem = co_await link->write(std::move(payload));
    const bool hasWritten = link->bytesWritten() > writtenBefore;
    if (problem)
        co_return failure(problem, endpoint, hasWritten ? AttemptProgress::Written : AttemptProgress::NothingWritten);
    std::string answerBytes;
    problem = co_await link->read(answerBytes);
    if (problem)
        co_return failure(problem, endpoint, AttemptProgress::Written);
    auto answer = decodeAnswer(answerBytes);
    if (!answer)
        co_return CallFailure { answer.error(), AttemptProgress::Written };
    client->keep(endpoint, std::move(link));
    co_return std::move(answer).value();
}

} // namespace topaztack
