#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// The choice of a backend server for a request by cost: the least loaded one, with penalties for suspected servers and
/// those in other data centres.

namespace topaztack {

/// @brief The state of one candidate as a VM knows it.
struct ServerLoad {
    /// Requests of this VM that it has not completed yet.
    std::uint32_t outstanding { 0 };
    /// The most requests that this VM may have outstanding there.
    std::uint32_t allowance { 1 };
    bool isLocal { false };
    /// It recently failed or refused a request.
    bool isSuspected { false };
    /// This request was already sent there.
    bool wasTried { false };
    /// A connection to it is open. A new one costs the server processor time and the request a round trip.
    bool hasConnection { true };
    /// Its model weights are older than those of another candidate.
    bool hasOlderWeights { false };
    /// Tokens that the engine's memory holds; 0 for no limit.
    std::uint64_t capacityTokens { 0 };
    /// Tokens that its running requests are expected to need.
    std::uint64_t reservedTokens { 0 };
    /// Tokens that this request is expected to need.
    std::uint64_t requestTokens { 0 };
    /// By which fraction a request takes longer when the server is at its allowance; 1 for twice as long.
    double slowdownAtFullLoad { 1 };
    /// Its mean time per unit of work, relative to the mean of the pool.
    double slowness { 1 };
    /// How much its pace holds a request back; 0 if it doesn't. See server_pace.hpp.
    double paceShortfall { 0 };
};

/// @brief The allowance of a server for a request that no caller waits for. A third of the slots is left to callers;
/// but a server that has no such request always takes one, so that they progress whatever the load.
/// @param background requests outstanding there that no caller waits for.
/// @param outstanding all requests outstanding there.
std::uint32_t backgroundAllowance(std::uint64_t slots, std::uint32_t background, std::uint32_t outstanding);

/// @brief Whether a server can take one more request. An engine whose memory runs out preempts its newest requests, so
/// the expected memory is limited; an idle engine takes a request of any size.
bool hasCapacity(const ServerLoad& server);

/// @brief Chooses the candidate with the lowest cost, a random one of equals. Suspected servers, and after them those
/// already tried, are chosen only if there is no other.
/// @return its index; nothing if no candidate has capacity.
std::optional<std::size_t> chooseServer(const std::vector<ServerLoad>& servers, Random& random);

/// @brief As chooseServer(), with a random one of those whose cost is nearly the lowest: many VMs with few requests
/// each would otherwise all choose the one that is slightly faster.
std::optional<std::size_t> chooseNearlyBest(const std::vector<ServerLoad>& servers, Random& random);

/// @brief Whether a long request that can be resumed elsewhere should move to one of these servers.
/// @param slownessHere slowness of the server that runs it.
bool isWorthMoving(double slownessHere, const std::vector<ServerLoad>& servers);

/// @brief Whether a move could gain enough if the fastest server had capacity.
/// @param fastest slowness of the fastest server.
bool couldGainByMoving(double slownessHere, double fastest);

/// @brief Whether a long request should leave its server even while other requests wait for a slot.
bool isUrgentToMove(double slownessHere);

/// @brief How long a server is suspected after a number of consecutive failures.
Duration suspicionTime(std::uint32_t consecutiveFailures);

} // namespace topaztack
