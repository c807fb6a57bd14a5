#pragma once

#include <topaztack/base/metrics.hpp>
#include <topaztack/node/context.hpp>
#include <topaztack/node/request_path.hpp>
#include <topaztack/policy/crash_evidence.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <mutex>
#include <string>

/// @file
/// What one VM knows of requests under which backend servers ended, shared by its threads. Other VMs don't hear of it.

namespace topaztack {

class CrashMemory {
public:
    explicit CrashMemory(NodeContext& context);

    /// @brief Whether the request crashes the servers that run it.
    bool isHeld(const CallInHand& call);

    /// @brief Records that the connection of an attempt broke. Counts against the request if nothing listens at the
    /// server's address any more.
    boost::asio::awaitable<void> recordBreak(const CallInHand& call, BackendName server, Endpoint endpoint);

    /// @brief Records that a server ran the request and went on.
    void recordRun(const CallInHand& call);

private:
    void recordEnd(const CallInHand& call, const BackendName& server);

    NodeContext& context;
    std::mutex lock;
    std::map<std::string, CrashEvidence> evidence;
    Counter& ends;
    Counter& refused;
};

} // namespace topaztack
