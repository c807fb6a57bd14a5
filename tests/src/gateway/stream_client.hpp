#pragma once

#include "gateway/fixture.hpp"

#include <topaztack/wire/sse.hpp>

/// @file
/// A caller that streams: reads events as they arrive, leaves early, takes streams up again.

namespace topaztack::test {

/// @brief What a caller received of a stream.
struct ReceivedStream {
    /// 0 if there was no answer.
    unsigned status { 0 };
    std::vector<HttpHeader> headers;
    std::vector<SseEvent> events;
    /// When each event arrived.
    std::vector<TimePoint> arrivals;
    /// Whether the body ended as a complete one.
    bool isComplete { false };
    std::string body;
};

/// @brief How a caller asks for a stream.
struct StreamCall {
    std::string id;
    std::string path { "/s/1" };
    /// The last event that it has; empty for a new stream.
    std::string lastEvent;
    /// The attempt that brought the first event.
    std::string resumes;
    /// It leaves after this many events; 0 for never.
    std::size_t leaveAfter { 0 };
    /// Time that it takes for each piece.
    std::chrono::milliseconds readPause { 0 };
    /// Headers beside the usual ones.
    std::vector<HttpHeader> headers {};
};

inline boost::asio::awaitable<ReceivedStream> receiveStream(HttpClient& client, Endpoint endpoint, HttpRequest request,
    std::size_t leaveAfter, std::chrono::milliseconds readPause)
{
    ReceivedStream received;
    auto opened = co_await client.open(endpoint, std::move(request), Clock::now() + callTimeout);
    if (!opened)
        co_return received;
    auto& stream = *opened.value();
    received.status = stream.head().status;
    received.headers = stream.head().headers;
    SseReader reader;
    while (true) {
        const auto piece = co_await stream.read(Clock::now() + callTimeout);
        received.isComplete = piece && piece.value().empty();
        if (!piece || piece.value().empty())
            co_return received;
        received.body += piece.value();
        reader.feed(piece.value());
        while (auto event = reader.nextEvent()) {
            received.events.push_back(std::move(*event));
            received.arrivals.push_back(Clock::now());
        }
        if (leaveAfter > 0 && received.events.size() >= leaveAfter) {
            stream.cancel();
            co_return received;
        }
        std::this_thread::sleep_for(readPause);
    }
}

inline HttpRequest streamRequest(const StreamCall& call)
{
    HttpRequest request;
    request.method = "POST";
    request.target = call.path;
    request.headers = { { "Host", "a.example" }, { "Topaztack-Request-Id", call.id },
        { "Topaztack-Deadline-Ms", "10000" }, { "Topaztack-Model", "m" } };
    if (!call.lastEvent.empty())
        request.headers.push_back({ "Last-Event-Id", call.lastEvent });
    if (!call.resumes.empty())
        request.headers.push_back({ "Resumes", call.resumes });
    request.headers.insert(request.headers.end(), call.headers.begin(), call.headers.end());
    request.body = "prompt";
    return request;
}

/// @brief Asks for a stream and reads it, on a thread and connection of its own.
inline ReceivedStream openStream(const RunningGateway& gateway, const StreamCall& call)
{
    boost::asio::io_context loop;
    HttpClient client { loop };
    Pending<ReceivedStream> received(
        loop, receiveStream(client, gateway.callers, streamRequest(call), call.leaveAfter, call.readPause));
    loop.run();
    return received.get();
}

} // namespace topaztack::test
