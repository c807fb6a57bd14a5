#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/metrics.hpp>
#include <topaztack/base/rcu_cell.hpp>
#include <topaztack/control/document.hpp>
#include <topaztack/control/membership.hpp>
#include <topaztack/control/settings.hpp>
#include <topaztack/control/weight_view.hpp>
#include <topaztack/policy/drain.hpp>
#include <topaztack/wire/http_client.hpp>
#include <topaztack/wire/io_threads.hpp>
#include <topaztack/wire/peer_link.hpp>
#include <topaztack/wire/platform_client.hpp>
#include <topaztack/wire/tls.hpp>

#include <atomic>
#include <memory>
#include <vector>

/// @file
/// What all parts of one VM's process share: settings, identity, metrics, the document in force, clients by thread.

namespace topaztack {

/// @brief The clients of one thread.
struct ThreadClients {
    ThreadClients(boost::asio::io_context& loop, const VmSettings& settings, const PeerKey& peerKey, TlsContext* tls)
        : backends(loop)
        , platformLink(loop)
        , platform(platformLink, settings.platform, settings.platformTimeout)
        , peers(loop, peerKey, tls)
    {
    }

    HttpClient backends;
    HttpClient platformLink;
    PlatformClient platform;
    PeerClient peers;
};

/// @brief Thread 0 runs control work (polls, leases, membership); callers are served on all threads.
class NodeContext {
public:
    NodeContext(VmSettings settings, VmIdentity identity);

    /// @brief The clients of the calling thread.
    ThreadClients& clients() { return *this->clientsByThread[IoThreads::here()]; }

    /// @brief The document in force, or nullptr before the first.
    AcceptedDocumentPtr document() const { return this->inForce.load(); }

    /// @brief An operation id that no other process draws.
    OperationId newOperation();

    RequestId newRequestId();

    const VmSettings settings;
    const VmIdentity identity;
    /// Read from the settings' file; an error keeps the node from starting.
    const Result<PeerKey> peerKey;
    /// Keys for TLS between VMs, nullptr for plain TCP; an error keeps the node from starting.
    const Result<std::unique_ptr<TlsContext>> tls;

    TlsContext* peerTls() const { return this->tls ? this->tls.value().get() : nullptr; }
    MetricsRegistry metrics;
    RcuCell<AcceptedDocument> inForce;
    /// Published by membership; empty until it has started.
    RcuCell<MembershipView> members;
    /// Published by the weight rollout; empty until engines were read.
    RcuCell<WeightView> weights;
    IoThreads threads;
    std::atomic<bool> isDraining { false };
    /// Set before isDraining is.
    DrainSchedule drain;

private:
    std::vector<std::unique_ptr<ThreadClients>> clientsByThread;
    std::atomic<std::uint64_t> operationCounter { 0 };
    std::atomic<std::uint64_t> requestCounter { 0 };
};

} // namespace topaztack
