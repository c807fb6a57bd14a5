#pragma once

#include <topaztack/base/time.hpp>
#include <topaztack/wire/http.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

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

/// @brief A client for one thread: its connections belong to one event loop.
class HttpClient {
public:
    /// @param idlePerEndpoint idle connections kept to one endpoint.
    explicit HttpClient(boost::asio::io_context& loop, std::size_t idlePerEndpoint = 64);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// @brief Sends a request and reads the whole answer.
    /// @return BackendUnreachable with NothingWritten if no byte was written; BackendTimeout or BackendBroke otherwise.
    boost::asio::awaitable<CallResult<HttpResponse>> call(Endpoint endpoint, HttpRequest request, TimePoint deadline);

    /// @brief Sends a request and reads the head of the answer.
    /// @param started called once the connection stands and before the first byte is written; may be empty.
    boost::asio::awaitable<CallResult<std::unique_ptr<HttpStream>>> open(
        Endpoint endpoint, HttpRequest request, TimePoint deadline);

    /// What its connections share; defined in the source file.
    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace topaztack
