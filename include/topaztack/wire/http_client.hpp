#pragma once

#include <topaztack/base/time.hpp>
#include <topaztack/wire/http.hpp>
#include <topaztack/wire/memory_budget.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

/// @file
/// HTTP/1.1 towards backend servers, the platform and other VMs: pooled connections, answers whole or streamed.
/// Each failure says whether any byte of the request was written.

namespace topaztack {

/// @brief An answer whose body arrives in pieces. Dropping it closes its connection unless the body was read to its
/// end.
class HttpStream {
public:
    virtual ~HttpStream() = default;

    /// @brief Status and headers; the body is empty.
    virtual const HttpResponse& head() const = 0;

    /// @brief Waits for the next piece of the body.
    /// @return an empty text at the end of the body.
    virtual boost::asio::awaitable<CallResult<std::string>> read(TimePoint deadline) = 0;

    /// @brief Closes the connection; a waiting read fails.
    virtual void cancel() = 0;
};

/// @brief Cancels a call from outside: its connection is closed at whatever point it is.
class CallControl {
public:
    CallControl() = default;
    CallControl(const CallControl&) = delete;
    CallControl& operator=(const CallControl&) = delete;

    void cancel();
    bool isCancelled() const { return this->cancelled; }

    /// @brief Set by the client: how to close the connection in use; empty for none.
    void setCloser(std::function<void()> close);

private:
    std::function<void()> close;
    bool cancelled { false };
};

/// @brief What a call may be given besides its request.
struct CallOptions {
    /// Must outlive the call, and the stream that open() returns.
    CallControl* control { nullptr };
    /// Whether the answer is the request's own; the connection of one that isn't is closed. Empty accepts all.
    std::function<bool(const HttpResponse&)> accepts;
};

/// @brief Whether something listens at an endpoint.
enum class ProbeResult : std::uint8_t {
    Listening,
    /// Nothing listens there: the process is gone.
    Refused,
    Unknown,
};

/// @brief How to find out whether something listens.
enum class ProbeMode : std::uint8_t {
    /// A kept connection that is still open is enough.
    AnyConnection,
    /// A kept connection may be cut without a sign, so a new one is made.
    NewConnection,
};

/// @brief How long connections are kept.
struct HttpClientLimits {
    /// Idle connections kept to one endpoint.
    std::size_t idlePerEndpoint { 64 };
    /// Backend servers close idle connections too, many of them after 5 s; one that is closed just as it is taken up
    /// again would leave the outcome of its request unknown.
    std::chrono::milliseconds longestIdle { 3000 };
    /// Where an answer's `Keep-Alive` states the server's own time limit, the connection is kept until this long
    /// before.
    std::chrono::milliseconds keepAliveMargin { 1500 };
    /// Size of the body of an answer that call() reads whole; a longer one fails. A server in trouble may send bytes
    /// without end.
    std::uint64_t maxAnswer { 64ULL * 1024 * 1024 };
    /// Bytes of all answers that are being read; one answer gets half of it at most (MemoryBudget).
    std::size_t maxHeld { 128UL * 1024 * 1024 };
    /// Time to establish a connection.
    std::chrono::milliseconds connectTime { 60'000 };
};

/// @brief A client for one thread: its connections belong to one event loop.
class HttpClient {
public:
    explicit HttpClient(boost::asio::io_context& loop, HttpClientLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// @brief Sends a request and reads the whole answer. The `Host` header is the request's own, else the endpoint.
    /// @return BackendUnreachable with NothingWritten if no byte was written; BackendTimeout or BackendBroke otherwise;
    /// BackendAnswerMalformed if the options don't accept the answer.
    boost::asio::awaitable<CallResult<HttpResponse>> call(
        Endpoint endpoint, HttpRequest request, TimePoint deadline, CallOptions options = {});

    /// @brief Sends a request and reads the head of the answer.
    boost::asio::awaitable<CallResult<std::unique_ptr<HttpStream>>> open(
        Endpoint endpoint, HttpRequest request, TimePoint deadline, CallOptions options = {});

    /// @brief Whether something listens at the endpoint. A connection that is made for this is closed again.
    boost::asio::awaitable<ProbeResult> probe(Endpoint endpoint, TimePoint deadline, ProbeMode mode);

    /// @brief Connections to the endpoint that are kept and could be used now.
    std::size_t idleConnections(const Endpoint& endpoint) const;

    /// @brief Connections made so far.
    std::uint64_t connectionsMade() const;

    /// @brief The memory of the answers that are being read. Who collects the pieces of a stream takes a share for what
    /// is not yet understood.
    const std::shared_ptr<MemoryBudget>& answerBudget() const;

    /// What its connections share; defined in the source file.
    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace topaztack
