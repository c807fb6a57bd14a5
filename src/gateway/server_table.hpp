#pragma once

#include "context.hpp"
#include "notifier.hpp"

#include <topaztack/control/server_registry.hpp>
#include <topaztack/policy/server_choice.hpp>

#include <boost/json/value.hpp>

#include <functional>
#include <set>

/// @file
/// The backend servers as this VM knows them: their records, what this VM has outstanding there and how they answer.

namespace topaztack {

/// @brief What a request needs of a server.
struct ServerRequirements {
    PoolName pool;
    std::set<BackendName> tried;
    /// For generations: the model, and the versions that may serve.
    ModelName model;
    WeightVersion oldestVersion;
    /// Only this version; 0 for any.
    WeightVersion exactVersion;
    /// Tokens of an engine's memory that it will take.
    std::uint64_t tokens { 0 };
    /// Preferred while it has room, for its prompt cache; empty for none.
    BackendName preferred;
};

/// @brief Engines of a pool as a log line tells of them.
struct EngineCount {
    std::size_t known { 0 };
    std::size_t withVersion { 0 };
    /// Of those with the version; one whose memory is taken may still take nothing.
    std::size_t withFreeSlot { 0 };
};

/// @brief How a request at a server ended.
enum class ServerOutcome : std::uint8_t {
    Answered,
    /// It said that it is full, or that it does not take the request now.
    Refused,
    /// Another server has its address.
    Replaced,
    Failed,
    /// The caller gave up.
    Cancelled,
};

class ServerTable {
public:
    explicit ServerTable(GatewayContext& context);

    void applyRows(const std::vector<StoreRow>& rows, bool isWhole);

    /// @brief Drops servers that stayed away, and notes the store's return.
    void expire();

    /// @brief Chooses a server and counts a request there; finish() must follow.
    /// @return nothing if none can take it now.
    std::optional<ServerRecord> acquire(const ServerRequirements& need);

    /// @brief Ends what acquire() began.
    /// @param need as it was given to acquire(), or as updateTokenReservation() left it.
    void finish(const ServerRecord& server, ServerOutcome outcome, const ServerRequirements& need = {});

    /// @brief A generation under way is expected to take so much memory by now.
    void updateTokenReservation(const BackendName& name, ServerRequirements& need, std::uint64_t tokens);

    /// @brief Generations of this VM at each engine.
    std::map<BackendName, std::uint32_t> inFlight(const PoolName& pool) const;

    /// @brief What another VM said of its generations, counted for a while.
    void setPeerLoad(const VmName& vm, std::map<BackendName, std::uint32_t> counts);

    /// @brief Learns from the time between two events of a generation.
    void recordEventInterval(const BackendName& name, Duration unitTime);

    /// @brief The usual time between two events at the pool's engines; nothing if none was measured.
    std::optional<Duration> medianEventInterval(const PoolName& pool);

    EngineCount countEngines(const PoolName& pool, const ModelName& model, WeightVersion oldest);

    /// @brief Whether a generation at this server is to be moved to a faster one.
    /// @param mayMove asked, with whether the server is very slow, once a move could pay.
    bool isWorthMoving(
        const ServerRecord& server, const ServerRequirements& need, const std::function<bool(bool isUrgent)>& mayMove);

    /// @brief The record as known now.
    const ServerRecord* find(const BackendName& name) const;

    /// @brief The weights that an engine was seen to have, ahead of its record.
    void recordVersion(const BackendName& name, const ModelName& model, WeightVersion version);

    const ServerRegistry& registry() const { return this->servers; }

    /// @brief Told of every change that may let a waiting request go.
    Notifier& changed() { return this->changeNotifier; }

    boost::json::value dump() const;

private:
    struct Use {
        std::uint32_t outstanding { 0 };
        /// Tokens that its generations of this VM will take.
        std::uint64_t tokens { 0 };
        std::uint32_t failuresInRow { 0 };
        TimePoint suspectedUntil;
        double unitSeconds { 0 };
        std::uint32_t refusalsInRow { 0 };
        std::map<ModelName, TimePoint> refusingUntil;
    };

    /// What another VM last said.
    struct OtherVm {
        std::map<BackendName, std::uint32_t> counts;
        TimePoint saidAt;
    };

    /// A server of a pool with what is looked up for it once for many choices.
    struct Member {
        const ServerRecord* record { nullptr };
        Use* use { nullptr };
        /// Generations that other VMs have there.
        std::uint32_t ofOthers { 0 };
        /// Connections that are kept to it, less those that choices since have taken.
        std::size_t idleConnections { 0 };
    };

    /// The servers of a pool. Its pointers hold until a server is dropped.
    struct PoolView {
        TimePoint builtAt;
        std::vector<Member> members;
        /// The median time of a unit, so that one slow server does not pass for usual; 0 if none is known.
        double usualUnitSeconds { 0 };
        double leastUnitSeconds { 0 };
        /// Tokens that an engine's memory holds; 0 if the configuration doesn't say.
        std::uint64_t memoryTokens { 0 };
    };

    std::uint32_t countOfOthers(const BackendName& name, TimePoint now) const;
    void takeRecord(ServerRecord record);
    PoolView& viewOf(const PoolName& pool, TimePoint now);
    bool canServe(const Member& member, const ServerRequirements& need, TimePoint now) const;
    ServerLoad loadOf(const Member& member, const ServerRequirements& need, const PoolView& view, TimePoint now) const;
    void gatherCandidates(PoolView& view, const ServerRequirements& need, TimePoint now);

    GatewayContext& context;
    ServerRegistry servers;
    std::map<BackendName, Use> uses;
    std::map<VmName, OtherVm> others;
    std::map<PoolName, PoolView> views;
    /// Those of a view that can serve the need at hand, and what each has to do; kept for their memory.
    std::vector<Member*> candidates;
    std::vector<ServerLoad> loads;
    Notifier changeNotifier;
    std::optional<TimePoint> lastReturn;
};

} // namespace topaztack
