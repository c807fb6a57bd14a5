#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/policy/outcome.hpp>
#include <topaztack/wire/http_router.hpp>

#include <boost/json/value.hpp>

#include <map>
#include <mutex>

/// @file
/// Issues tickets and keeps what became of the requests that used them.

namespace topaztack {

class TicketDesk {
public:
    explicit TicketDesk(NodeContext& context);

    /// @brief Adds `POST /v1/tickets` to the callers' paths.
    void addRoutes(HttpRouter& callers);

    /// @brief What a request with this ticket may do.
    enum class Claim : std::uint8_t {
        Dispatch,
        InFlight,
        Finished,
        Foreign,
    };

    /// @brief Claims the right to dispatch; a finished request's answer is stored in `answer`.
    Claim claim(const TicketId& ticket, HttpResponse& answer);

    /// @brief Keeps the answer for repeats.
    void finish(const TicketId& ticket, const HttpResponse& answer);

    /// @brief Gives the right back after proof that nothing ran.
    void release(const TicketId& ticket);

    boost::json::value dump() const;

private:
    struct Entry {
        bool isFinished { false };
        HttpResponse answer;
    };

    NodeContext& context;
    mutable std::mutex lock;
    std::uint64_t issued { 0 };
    std::map<std::uint64_t, Entry> entries;
};

} // namespace topaztack
