#pragma once

#include "context.hpp"
#include "crash_records.hpp"
#include "notifier.hpp"
#include "peer_directory.hpp"
#include "request_quota.hpp"
#include "software_records.hpp"

#include <topaztack/control/server_registry.hpp>
#include <topaztack/policy/pool_scaling.hpp>
#include <topaztack/policy/server_choice.hpp>
#include <topaztack/policy/server_pace.hpp>
#include <topaztack/policy/server_speed.hpp>

#include <boost/json/value.hpp>

#include <array>
#include <functional>
#include <set>

/// @file
/// The backend servers known to this VM: their records, this VM's outstanding requests there and how the servers
/// respond.

namespace topaztack {

/// @brief What a request requires of a server.
struct ServerRequirements {
    PoolName pool;
    /// Servers that were already chosen for the request, including those that could not be reached.
    std::set<BackendName> tried;
    /// For generations: the model, and the oldest weight version that may serve it.
    ModelName model;
    WeightVersion oldestVersion;
    /// The only version that may serve it; 0 for any.
    WeightVersion exactVersion;
    /// The only software version that may serve it, if another server began it.
    std::optional<std::string> softwareVersion;
    /// Whether the software version of the server must be recorded in the store, so that the stream can be resumed.
    bool needsRecordedSoftware { false };
    /// Tokens of an engine's KV cache that the generation is expected to take.
    std::uint64_t tokens { 0 };
    /// Whether no caller waits for the request, so that it yields to those of callers.
    bool isBackground { false };
    /// Whether a caller waits for the generation, so that it may queue at an engine whose slots are taken.
    bool hasCaller { false };
    /// Whether the request may wait, so that with the setting `server_pace` it is not sent beyond the window of a
    /// server that was late or full, whatever room other servers have.
    bool isWithinPace { false };
    /// Servers that are not to be chosen: other suspected requests run there.
    std::set<BackendName> reserved;
    /// Server that is preferred for its prompt cache while it has room; empty for none.
    BackendName preferred;
};

/// @brief Numbers of a pool's engines, for log lines.
struct EngineCount {
    std::size_t known { 0 };
    std::size_t withVersion { 0 };
    /// Engines with the version that have a free slot. One whose memory is full may still accept nothing.
    std::size_t withFreeSlot { 0 };
};

/// @brief What this VM's callers take of a pool, for the decision on how many servers to order.
struct PoolUsage {
    /// Callers' requests that are at servers.
    std::uint64_t running { 0 };
    /// Callers' requests that wait for a server.
    std::uint64_t waiting { 0 };
    /// Callers' requests per second that got no server, over the last few seconds.
    double refusedPerSecond { 0 };
    /// Mean time to the head of an answer; 0 if unknown.
    Duration answerTime { 0 };
    /// All generations at servers, and the tokens that they are expected to take.
    std::uint64_t generations { 0 };
    std::uint64_t tokens { 0 };
};

/// @brief How a request at a server ended.
enum class ServerOutcome : std::uint8_t {
    Answered,
    /// The server was full or didn't accept the request at this time.
    Refused,
    /// Another server now has its address.
    Replaced,
    Failed,
    /// The caller gave up.
    Cancelled,
};

/// Requests that one VM sends to a server of a plain service beyond its slots; they queue there.
inline constexpr std::uint32_t maxQueuedPerServer = 4;

class ServerTable {
public:
    ServerTable(GatewayContext& context, RequestQuota& quota, CrashRecords& crashes, SoftwareRecords& software,
        const PeerDirectory& peers);

    void applyRows(const std::vector<StoreRow>& rows, bool isFullTable);

    /// @brief Drops servers whose records stayed absent, and notes when the store answers again after an outage.
    void expire();

    /// @brief Chooses a server and counts a request as outstanding there; finish() must follow.
    /// @return empty if no server can take the request now.
    std::optional<ServerRecord> acquire(const ServerRequirements& requirements);

    /// @brief Whether the request for which acquire() chose a server may be sent there now: the server may take only so
    /// many requests per second from all VMs together, and it may have begun to leave while another VM was asked.
    boost::asio::awaitable<bool> admit(const ServerRecord& server);

    /// @brief Whether the server's process ended, asked after a request there broke off. A server that ended gets
    /// nothing more until its record changes.
    boost::asio::awaitable<bool> hasEnded(ServerRecord server);

    /// @brief Marks a server that another VM saw end.
    void markEnded(const ServerStart& server);

    /// @brief Whether a request that may crash its server can be run: enough other servers of the pool can serve.
    bool canSpareServer(const PoolName& pool);

    /// @brief Addresses of some servers of the pool, chosen at random, that neither leave nor have ended.
    std::vector<Endpoint> someEndpoints(const PoolName& pool, std::size_t maxCount);

    /// @brief Whether any server of the pool sent this VM something after a time.
    bool hasAnsweredSince(const PoolName& pool, TimePoint time);

    /// @brief Marks a server that a suspected request runs at: others avoid it while they can.
    void setRisk(const BackendName& name, bool isAtRisk);

    /// @brief Counts a request that is sent whatever limit the server states.
    boost::asio::awaitable<void> charge(const ServerRecord& server);

    /// @brief Time until a server of the pool may get a request within the limit that it states; 0 if none is waited
    /// for.
    Duration timeUntilAdmission(const PoolName& pool);

    /// @brief Records that a plain request for which acquire() chose a server is sent now, so that an overdue answer is
    /// noticed before it arrives.
    void recordSend(const ServerRecord& server, const ServerRequirements& requirements, TimePoint sentAt);

    /// @brief Records the time from sending a generation to its first event.
    void recordFirstEvent(const ServerRecord& server, Duration took);

    /// @brief Time until a server's window lets through a request with `isWithinPace`, unless an answer does so before;
    /// 0 if none is waited for.
    Duration timeUntilPaceOpens(const PoolName& pool);

    /// @brief Ends the request that acquire() counted.
    /// @param requirements as passed to acquire(), or as updated by updateTokenReservation().
    /// @param sentAt as passed to recordSend(); empty if that was not called.
    void finish(const ServerRecord& server, ServerOutcome outcome, const ServerRequirements& requirements = {},
        std::optional<TimePoint> sentAt = {});

    /// @brief Learns from the head of a server's answer that the server is not silent, which limit it states, and
    /// whether it is leaving; it gets nothing more then.
    /// @param sentAt when the request was sent.
    void recordAnswer(const ServerRecord& server, const ServerResponseHead& answer, TimePoint sentAt);

    /// @brief Changes the number of tokens that a running generation is expected to take, here and in `requirements`.
    void updateTokenReservation(const BackendName& name, ServerRequirements& requirements, std::uint64_t tokens);

    /// @brief Number of this VM's requests that a server has not completed yet.
    std::uint32_t outstanding(const BackendName& name) const;

    /// @brief Number of this VM's running generations at each engine of a pool, and of its background requests at each
    /// server of any pool.
    std::map<BackendName, std::uint32_t> inFlight(const PoolName& pool) const;

    /// @brief Records how many generations and background requests another VM reported at each server; they count for a
    /// limited time.
    void setPeerLoad(const VmName& vm, std::map<BackendName, std::uint32_t> counts);

    /// @brief Records that a server sent something on any of this VM's requests.
    void recordActivity(const BackendName& name);

    /// @brief Marks a server as silent: it gets one generation at a time, and only if no other server can take it,
    /// until it sends something.
    void markSilent(const ServerRecord& server);

    /// @brief Whether a server sent something after a time.
    bool wasHeardSince(const BackendName& name, TimePoint time) const;

    /// @brief Servers that newly stopped sending on all of this VM's requests. They are marked as silent.
    std::set<BackendName> takeSilentServers();

    /// @brief Disregards past silence: this VM did not read what servers sent.
    void forgiveSilence();

    /// @brief Records the time between two events of a generation.
    void recordEventInterval(const BackendName& name, Duration interval);

    /// @brief The median over the pool's engines of the mean time between two events; empty if none was measured.
    std::optional<Duration> medianEventInterval(const PoolName& pool);

    /// @brief The mean time between two events of a generation at the server; 0 if none was measured.
    Duration eventInterval(const BackendName& name) const;

    /// @brief Whether the pool has a server that is neither leaving nor suspected or silent.
    /// @param softwareVersion the version that it must run; empty for any.
    bool hasUsableServer(const PoolName& pool, const std::optional<std::string>& softwareVersion);

    /// @brief Records that a caller's request got no server of the pool.
    void recordUnserved(const PoolName& pool);

    PoolUsage usageOf(const PoolName& pool) const;

    /// @brief The listed servers of a pool by data centre and kind.
    std::map<ServerGroup, ServerGroupCount> countGroups(const PoolName& pool);

    EngineCount countEngines(const PoolName& pool, const ModelName& model, WeightVersion oldest);

    /// @brief Whether a generation at this server should move to a faster one.
    /// @param mayMove called only if a move could pay off, with whether the server is very slow.
    bool isWorthMoving(const ServerRecord& server, const ServerRequirements& requirements,
        const std::function<bool(bool isUrgent)>& mayMove);

    /// @brief The current record; nullptr if there is none.
    const ServerRecord* find(const BackendName& name) const;

    /// @brief Records a weight version that an engine was seen to have before its record shows it.
    void recordVersion(const BackendName& name, const ModelName& model, WeightVersion version);

    const ServerRegistry& registry() const { return this->servers; }

    /// @brief Notified of every change that may let a waiting request proceed.
    Notifier& changed() { return this->changeNotifier; }

    boost::json::value dump() const;

private:
    /// A plain request that a server has not answered yet.
    struct SentRequest {
        WorkKind kind { WorkKind::Request };
        /// This VM's requests at the server when it was sent, itself included.
        std::uint32_t concurrency { 1 };
    };

    struct ServerUsage {
        std::uint32_t outstanding { 0 };
        /// Those of them that no caller waits for.
        std::uint32_t background { 0 };
        /// Those of them that callers wait for.
        std::uint32_t callers { 0 };
        /// Tokens that this VM's generations there are expected to take.
        std::uint64_t tokens { 0 };
        std::uint32_t consecutiveFailures { 0 };
        TimePoint suspectedUntil;
        /// Moving average of the time between two events of a generation; 0 if unknown.
        double intervalSeconds { 0 };
        std::uint32_t consecutiveRefusals { 0 };
        std::map<ModelName, TimePoint> refusingUntil;
        /// When the server last sent anything, or when the first of the outstanding requests was sent.
        TimePoint heardAt;
        /// When the server last sent anything.
        TimePoint answeredAt;
        bool isSilent { false };
        /// A suspected request runs there.
        bool isAtRisk { false };
        /// When its process was found to be gone; empty if it wasn't.
        std::optional<TimePoint> endedAt;
        /// @name Used only with the setting `server_pace`
        /// @{
        ServerPace pace;
        ServerSpeed speed;
        std::multimap<TimePoint, SentRequest> sent;
        /// Choices of another server since the last request was sent there.
        std::uint32_t passedOver { 0 };
        /// @}
    };

    /// The generations that another VM last reported.
    struct PeerLoad {
        std::map<BackendName, std::uint32_t> counts;
        TimePoint reportedAt;
    };

    /// A server of a pool with values that are looked up once for many choices.
    struct PoolMember {
        const ServerRecord* record { nullptr };
        ServerUsage* usage { nullptr };
        /// Generations and background requests of other VMs at the server.
        std::uint32_t peerOutstanding { 0 };
        /// Idle connections to it, minus those taken by choices since the snapshot was made.
        std::size_t idleConnections { 0 };
    };

    /// The servers of a pool. Its pointers are valid until a server is dropped.
    struct PoolSnapshot {
        TimePoint builtAt;
        std::vector<PoolMember> members;
        /// Median of the servers' event intervals, so that one slow server doesn't distort it; 0 if none is known.
        double medianIntervalSeconds { 0 };
        double shortestIntervalSeconds { 0 };
        /// The usual time for each kind of work: medians over the servers; 0 if not known.
        std::array<double, workKinds> usualSeconds {};
        /// Tokens that an engine's KV cache holds; 0 if the configuration doesn't state it.
        std::uint64_t memoryTokens { 0 };
    };

    bool isPaced() const { return this->context.settings.gateway.hasServerPace; }
    void beginPace(const ServerRecord& server, std::string_view reason, bool isSharedStart);
    void recordPaceChange(const ServerRecord& server, PaceChange change, std::string_view cause);
    WorkKind pacedKind(const ServerRecord& server) const;
    bool startsForAll(const ServerRecord& server) const;
    void learnSpeed(const ServerRecord& server, ServerUsage& usage, const SentRequest& request, Duration took);
    void recordPacedEnd(const ServerRecord& server, ServerOutcome outcome, std::optional<TimePoint> sentAt);
    void recordPacedChoice(std::size_t chosen, TimePoint now);
    void logPace(const ServerRecord& server, std::string_view phase, std::string_view cause);
    void learnUsualTimes(PoolSnapshot& snapshot) const;
    double slownessOf(const PoolMember& member, const ServerRequirements& requirements, const PoolSnapshot& snapshot,
        TimePoint now) const;
    Duration usualTime(const ServerRecord& server, WorkKind kind, TimePoint now);
    static double overdueSlownessOf(
        const ServerUsage& usage, const std::array<double, workKinds>& usualSeconds, TimePoint now);
    boost::json::object dumpPace(const ServerRecord& server, const ServerUsage& usage) const;
    /// Callers' requests of one second that got no server.
    struct UnservedSecond {
        TimePoint startedAt;
        std::uint64_t count { 0 };
    };

    std::uint32_t countPeerOutstanding(const BackendName& name, TimePoint now) const;
    void applyRecord(ServerRecord record);
    boost::asio::awaitable<bool> reachesAnotherServer(BackendName except);
    void keepRandom(std::vector<Endpoint>& endpoints, std::size_t maxCount);
    void recordSignOfLife(const ServerRecord& server);
    void recordPoolSizes(TimePoint now);
    PoolSnapshot& snapshotOf(const PoolName& pool, TimePoint now);
    bool canServe(const PoolMember& member, const ServerRequirements& requirements, TimePoint now) const;
    ServerLoad loadOf(const PoolMember& member, const ServerRequirements& requirements, const PoolSnapshot& snapshot,
        TimePoint now) const;
    void gatherCandidates(PoolSnapshot& snapshot, const ServerRequirements& requirements, TimePoint now);

    GatewayContext& context;
    RequestQuota& quota;
    CrashRecords& crashes;
    SoftwareRecords& software;
    const PeerDirectory& peers;
    Counter& paceBegun;
    Counter& paceHalved;
    Counter& paceHeldBack;
    Counter& paceOverridden;
    Counter& slowDowns;
    /// Lines about paces in the current second.
    TimePoint paceLogSecond;
    std::uint32_t paceLines { 0 };
    ServerRegistry servers;
    std::map<BackendName, ServerUsage> usageByServer;
    std::map<VmName, PeerLoad> peerLoads;
    std::map<PoolName, PoolSnapshot> snapshots;
    /// Set by gatherCandidates(): the members that can serve a request, and the load of each. Kept to reuse their
    /// memory.
    std::vector<PoolMember*> candidates;
    std::vector<ServerLoad> loads;
    Notifier changeNotifier;
    std::optional<TimePoint> storeRegainedAt;
    /// The most servers that each pool had lately, and when it had them.
    std::map<PoolName, std::pair<std::size_t, TimePoint>> largestPools;
    /// When the servers were first read; empty before.
    std::optional<TimePoint> watchedSince;
    /// The last few seconds in which callers' requests got no server.
    std::map<PoolName, std::vector<UnservedSecond>> unserved;
    /// Moving average of the time to the head of an answer, in seconds.
    std::map<PoolName, double> answerSeconds;
};

} // namespace topaztack
