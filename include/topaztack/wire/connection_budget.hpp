#pragma once

#include <topaztack/base/time.hpp>

#include <boost/intrusive/list.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

/// @file
/// A limit for what the connections of a server hold together, and which of them are closed when it is reached.

namespace topaztack {

/// @brief What a connection is doing.
enum class ConnectionPhase : std::uint8_t {
    /// No byte of a request has arrived.
    Idle,
    /// A request is being read.
    Receiving,
    /// A whole request waits for its answer, or the answer is streamed.
    Handling,
    /// A whole answer is being written.
    Sending,
    /// The last answer was written; input is discarded until the caller closes.
    Closing,
};

inline constexpr std::size_t connectionPhases = 5;

/// @brief One connection's part of a ConnectionBudget.
struct ConnectionUse : public boost::intrusive::list_base_hook<> {
    ConnectionPhase phase { ConnectionPhase::Idle };
    /// Memory in bytes.
    std::size_t held { 0 };
    /// When the phase began, or when `minProgress` bytes had last been read or written.
    TimePoint progressAt;
    /// Bytes read or written since then.
    std::size_t moved { 0 };
    /// Whether it is being closed in favour of others, and the phase in which it was chosen.
    bool isEvicted { false };
    ConnectionPhase evictedIn { ConnectionPhase::Idle };
};

/// @brief Memory that connections share. Not locked.
struct ConnectionBudget {
    using List = boost::intrusive::list<ConnectionUse, boost::intrusive::constant_time_size<false>>;

    /// Bytes.
    std::size_t maxHeld { 0 };
    std::size_t held { 0 };
    std::size_t connections { 0 };
    /// Of both, the part of connections that are being closed.
    std::size_t heldByEvicted { 0 };
    std::size_t evictedConnections { 0 };
    /// Connections that are not being closed, each list in the order of progressAt.
    std::array<List, connectionPhases> byPhase;
};

/// Bytes that a connection has to move within `stallTime` to count as one that makes progress.
inline constexpr std::size_t minProgress = 16UL * 1024;
inline constexpr std::chrono::milliseconds stallTime { 1000 };

/// @brief What connections may hold while the process's other parts take more than was planned for them: what these
/// leave of the process's memory, and an eighth of the plan at least.
/// @param planned what connections may hold otherwise, in bytes.
/// @param processMemory of the whole process, in bytes.
/// @param resident what the process has in use now, with the connections; 0 if it isn't known.
std::size_t maxHeldBeside(
    const ConnectionBudget& budget, std::size_t planned, std::size_t processMemory, std::size_t resident);

void join(ConnectionBudget& budget, ConnectionUse& use, TimePoint now);
void leave(ConnectionBudget& budget, ConnectionUse& use);
void changePhase(ConnectionBudget& budget, ConnectionUse& use, ConnectionPhase phase, TimePoint now);
void recordProgress(ConnectionBudget& budget, ConnectionUse& use, std::size_t bytes, TimePoint now);

/// @brief Changes what a connection holds. Seven eighths of the budget are for whoever comes first. The last eighth is
/// for small requests: a connection may hold as much of it as then stays free for others, and half of it while the
/// others hold an eighth at most.
/// @param size what it holds then, in bytes.
/// @return false if it may not grow so far; nothing has changed then.
bool tryHold(ConnectionBudget& budget, ConnectionUse& use, std::size_t size);

/// @brief As tryHold(), for what the connection can do without: it may take the budget up to half.
bool tryHoldOptional(ConnectionBudget& budget, ConnectionUse& use, std::size_t size);

/// @brief Chooses connections to close while more than half of the budget is in use: those that have read or written
/// too little for `stallTime`, the longest stalled first. They count as evicted from then on.
/// @complexity linear in the connections chosen.
std::vector<ConnectionUse*> evictStalled(ConnectionBudget& budget, TimePoint now);

/// @brief Chooses a connection to close so that a new one finds room: one that only waits to be closed, one that is
/// stalled, the longest idle, or the one whose request has been arriving for the longest time. It counts as evicted
/// from then on.
/// @return nullptr if each has a request in hand.
ConnectionUse* evictForNewConnection(ConnectionBudget& budget, TimePoint now);

} // namespace topaztack
