#pragma once

#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// Which backend server gets a request: the least loaded one that is not suspected, in this VM's data centre first.

namespace topaztack {

/// @brief What a VM knows of one candidate.
struct ServerLoad {
    /// Requests of this VM that it has not answered yet.
    std::uint32_t outstanding { 0 };
    /// Requests that it may be given by this VM.
    std::uint32_t allowance { 1 };
    bool isLocal { false };
    /// It failed or refused lately.
    bool isSuspected { false };
    /// The same request was sent there before.
    bool wasTried { false };
    /// A connection to it stands; a new one takes a server's time and a way there and back.
    bool hasConnection { true };
    /// Its weights are older than those of another candidate.
    bool hasOlderWeights { false };
    /// Tokens that an engine's memory holds, 0 for no limit; those that its requests will take, and this one.
    std::uint64_t capacityTokens { 0 };
    std::uint64_t reservedTokens { 0 };
    std::uint64_t requestTokens { 0 };
    /// How much longer a request takes, as a part, where the server has all that it is allowed.
    double slowdownAtFullLoad { 1 };
    /// Mean time of a unit of its work against the pool's; 1 is the mean.
    double slowness { 1 };
};

/// @brief Whether a server can take one more request. An engine whose memory runs out stops its newest requests; one
/// that is idle takes a request of any size.
bool hasCapacity(const ServerLoad& server);

/// @brief The best candidate. Suspected and tried servers are taken only if there is no other.
/// @return its index; nothing if each has all that it is allowed.
std::optional<std::size_t> chooseServer(const std::vector<ServerLoad>& servers, Random& random);

/// @brief Whether a long request that can go on elsewhere is better off at one of these servers.
/// @param slownessHere of the server where it is.
bool isWorthMoving(double slownessHere, const std::vector<ServerLoad>& servers);

/// @brief Whether a move could pay at all, where the fastest server is as given.
bool couldGainByMoving(double slownessHere, double fastest);

/// @brief Whether a long request is to leave a server even while others wait for one.
bool isUrgentToMove(double slownessHere);

/// @brief How long a server is suspected after a number of failures in a row.
Duration suspicionTime(std::uint32_t failuresInRow);

} // namespace topaztack
