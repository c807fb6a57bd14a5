#pragma once

#include "server_reach.hpp"

#include <topaztack/wire/http_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>

/// @file
/// Has callers' requests carried by other VMs while this one reaches no backend server of their pool.

namespace topaztack {

/// @brief Where a request comes from. One that another VM passed on is not passed on again.
enum class CallOrigin : std::uint8_t {
    Caller,
    Peer,
};

/// @brief A request that is to be carried.
struct CarriedCall {
    RequestId id;
    CallerIdentity identity;
    PoolName pool;
    TimePoint deadline;
    /// Whether it may be sent to another VM after one that may have run it.
    bool isRepeatable { false };
};

/// @brief How the attempt to have a request carried ended.
struct CarryResult {
    /// The answer to be delivered; empty if there is none, or if it was streamed to the caller.
    std::optional<HttpResponse> answer;
    /// Whether an answer was begun at the caller's connection.
    bool hasBegun { false };
    /// Whether it was streamed to its end.
    bool isComplete { false };
    bool mayHaveRun { false };
    std::optional<Error> problem;
};

class CallCarrier {
public:
    CallCarrier(GatewayContext& context, ServerReach& reach);

    /// @brief Has a request carried and returns the whole answer.
    boost::asio::awaitable<CarryResult> carry(HttpExchange& exchange, CarriedCall call);

    /// @brief Has a stream carried and passes its bytes on as they arrive.
    boost::asio::awaitable<CarryResult> carryStream(HttpExchange& exchange, CarriedCall call);

private:
    enum class Mode : std::uint8_t {
        Whole,
        Streamed,
    };

    boost::asio::awaitable<CarryResult> tryCarriers(HttpExchange& exchange, CarriedCall call, Mode mode);
    boost::asio::awaitable<bool> sendTo(
        const PeerRecord& peer, HttpExchange& exchange, const CarriedCall& call, Mode mode, CarryResult& result);
    CallOptions optionsFor(const CarriedCall& call, CallControl& control) const;
    void takeAnswer(const PeerRecord& peer, HttpResponse response, CarryResult& result) const;
    boost::asio::awaitable<std::optional<CallFailure>> callWhole(const PeerRecord& peer, HttpRequest request,
        const CarriedCall& call, CallControl& control, CarryResult& result);
    boost::asio::awaitable<std::optional<CallFailure>> callStreamed(const PeerRecord& peer, HttpExchange& exchange,
        HttpRequest request, const CarriedCall& call, CallControl& control, CarryResult& result);
    static boost::asio::awaitable<void> passStream(
        HttpExchange& exchange, const CarriedCall& call, HttpStream& stream, CarryResult& result);

    GatewayContext& context;
    ServerReach& reach;
    Counter& carried;
    Counter& notCarried;
};

} // namespace topaztack
