#pragma once

#include "peer_directory.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>

/// @file
/// The software versions that began callers' streams. A caller may take a stream up at any VM, so a few VMs, found by
/// the id of the attempt that began it, keep its version in memory.

namespace topaztack {

/// Path at which VMs tell each other about streams, and ask.
inline constexpr std::string_view streamOriginPath = "/stream-origin";

class StreamOrigins {
public:
    StreamOrigins(GatewayContext& context, const PeerDirectory& peers);

    /// @brief Records which software began a stream, here and at the VMs that keep it.
    /// @param attempt id of the attempt that brought the first event.
    void record(const RequestId& attempt, const std::string& softwareVersion);

    /// @brief The software that began a stream; empty if no VM that answers knows it.
    boost::asio::awaitable<std::optional<std::string>> find(RequestId attempt);

    /// @brief Answers another VM.
    HttpResponse answer(const HttpRequest& request);

    /// @brief Forgets streams that no caller waits for any more.
    void expire();

private:
    struct Origin {
        std::string softwareVersion;
        TimePoint recordedAt;
    };
    struct Query;

    void store(const RequestId& attempt, const std::string& softwareVersion);
    boost::asio::awaitable<void> tell(PeerRecord keeper, std::string body);
    boost::asio::awaitable<void> ask(PeerRecord keeper, RequestId attempt, std::shared_ptr<Query> query);
    HttpResponse answerChecked(const HttpRequest& request);

    GatewayContext& context;
    const PeerDirectory& peers;
    std::map<RequestId, Origin> origins;
    Counter& untold;
};

} // namespace topaztack
