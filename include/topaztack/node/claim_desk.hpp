#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/node/forwarder.hpp>
#include <topaztack/node/ticket_desk.hpp>
#include <topaztack/policy/claim_batch.hpp>
#include <topaztack/policy/claim_history.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

/// @file
/// Binds callers' own keys to tickets through the table service, many in one commit.

namespace topaztack {

/// The part named in calls between VMs that ask what ticket a claim's row names.
inline constexpr std::string_view claimsPart = "claims";

/// @brief What a key is bound to.
struct Binding {
    ClaimVerdict verdict { ClaimVerdict::Open };
    /// Valid if the verdict is Bound or Taken.
    TicketId ticket;
};

/// @brief Whether an earlier request with a key can have been run, as far as VMs can tell without the table service.
enum class KeyKnowledge : std::uint8_t {
    /// Every VM that is known says that it never saw the key.
    NeverSeen,
    /// A VM knows the key's ticket.
    Seen,
    /// Some VM could not be asked.
    Uncertain,
};

class ClaimDesk {
public:
    ClaimDesk(NodeContext& context, TicketDesk& tickets, PeerCaller caller);

    /// @brief Starts to look for claims of earlier processes and to remove rows whose retention is over.
    void start();

    /// @brief Binds a pool's key to a ticket; waits for the table service until the deadline.
    /// @return Open if the deadline came first.
    boost::asio::awaitable<Binding> bind(PoolName pool, IdempotencyKey key, TimePoint deadline);

    /// @brief Asks the other VMs about a key while the table service is out.
    boost::asio::awaitable<KeyKnowledge> askPeers(RowKey row, TicketId& ticket, TimePoint deadline);

    /// @brief Answers another VM's question of `claimsPart`.
    /// @return the ticket as text, nothing if this VM vouches that the key is new, or `doubtAnswer`.
    PartAnswer handlePart(const PartCall& call);

    /// @brief The ticket that this VM knows a row to name; nothing if it knows none.
    std::optional<TicketId> known(const RowKey& row);

    boost::json::value dump() const;

private:
    struct Pending {
        Pending(boost::asio::io_context& loop)
            : timer(loop)
        {
        }
        boost::asio::steady_timer timer;
        Binding binding;
        bool isSettled { false };
    };
    using PendingPtr = std::shared_ptr<Pending>;

    struct Remembered {
        TicketId ticket;
        TimePoint until;
    };

    PendingPtr enqueue(const RowKey& row);
    boost::asio::awaitable<void> flush();
    boost::asio::awaitable<void> runBatch(ClaimBatch& batch);
    boost::asio::awaitable<void> commitOpen(ClaimBatch& batch);
    boost::asio::awaitable<void> readOpen(ClaimBatch& batch);
    ClaimBatch takeBatch();
    void settle(const ClaimBatch& batch);
    void remember(const RowKey& row, const TicketId& ticket);
    boost::asio::awaitable<void> pauseUntil(TimePoint time);
    boost::asio::awaitable<void> cleanUp();
    boost::asio::awaitable<void> lookForClaims();
    boost::asio::awaitable<void> watchMembers();
    bool vouches(const RowKey& row);
    boost::asio::awaitable<void> removeExpired(std::vector<TableRow> rows);
    boost::asio::awaitable<KeyKnowledge> askOne(Endpoint endpoint, RowKey row, TicketId& ticket, TimePoint deadline);

    NodeContext& context;
    TicketDesk& tickets;
    PeerCaller caller;
    mutable std::mutex lock;
    std::unordered_map<std::string, std::vector<PendingPtr>> waiting;
    std::deque<Claim> queue;
    std::unordered_map<std::string, Remembered> remembered;
    std::deque<std::pair<TimePoint, std::string>> expiries;
    ClaimHistory witness { makeClaimHistory(Clock::now()) };
    bool isFlushing { false };
    TimePoint nextCommit;
    TimePoint storeOutUntil;
    Counter& commits;
    Counter& claims;
    Counter& refused;
};

} // namespace topaztack
