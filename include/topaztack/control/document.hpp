#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/ini.hpp>
#include <topaztack/control/workspace_keys.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The configuration document that operators submit: pools, backend servers, trainers and limits. It is validated as a
/// whole.

namespace topaztack {

/// @brief Kind of a pool's backend servers.
enum class PoolKind : std::uint8_t {
    Engine,
    Service,
};

/// @brief How a pool's backend servers report that they did not run a request.
enum class NotRunSign : std::uint8_t {
    /// They never report it: a request is known not to have run only if none of its bytes were written.
    Never,
    /// Status 503 with the header `Topaztack-Not-Run: 1`.
    Header,
};

/// @brief `[pool NAME]`
struct PoolSettings {
    PoolName name;
    PoolKind kind { PoolKind::Service };
    /// Maximum concurrent requests to one backend server from all VMs together.
    std::uint64_t inFlightPerBackend { 0 };
    /// Maximum number of requests that wait in one VM.
    std::uint64_t queueLimit { 0 };
    /// Total time for a request whose caller states no deadline.
    std::chrono::microseconds deadline { 0 };
    /// Whether requests with a method other than GET and HEAD run at most once.
    bool nonIdempotent { true };
    NotRunSign notRunSign { NotRunSign::Never };
};

/// @brief `[backend NAME]`: a backend server.
struct BackendSettings {
    BackendName name;
    PoolName pool;
    Endpoint endpoint;
    DataCentre dataCentre;
    /// Whether the backend server rejects orders with an outdated fencing number.
    bool checksFencing { true };
    /// Whether an operator has excluded it from new work.
    bool draining { false };
};

/// @brief `[trainer NAME]`
struct TrainerSettings {
    TrainerName name;
    PoolName pool;
    /// Maximum number of versions by which a delivered sample may lag behind the newest.
    std::uint64_t stalenessBound { 0 };
    /// Maximum age of a delivered sample; zero for no limit.
    std::chrono::microseconds stalenessTime { 0 };
    /// Share of the pool relative to other trainers.
    std::uint64_t weight { 1 };
    std::uint64_t maxTokens { 0 };
    /// Weights of trainer idle time and of staleness in the straggler rule.
    double idleWeight { 0.5 };
    double stalenessWeight { 0.5 };
};

/// @brief `[workspace NAME]`: callers that share keys and a rank.
struct WorkspaceSettings {
    WorkspaceName name;
    std::vector<KeyDigest> keys;
    /// 0 is the most urgent.
    std::uint64_t rank { 0 };
};

/// @brief `[limits]`
struct LimitsSettings {
    std::uint64_t maxBody { 0 };
    std::uint64_t callerInFlight { 0 };
    std::uint64_t callerConnections { 0 };
    std::chrono::microseconds callerIdle { 0 };
    std::chrono::microseconds retention { 0 };
    /// Retries allowed, as a percentage of first attempts.
    std::uint64_t retryBudgetPercent { 0 };
    std::chrono::microseconds drainTime { 0 };
};

/// @brief A parsed document. `text` is the operator's original text.
struct Document {
    std::vector<PoolSettings> pools;
    std::vector<BackendSettings> backends;
    std::vector<TrainerSettings> trainers;
    /// If there are any, callers identify themselves by a key.
    std::vector<WorkspaceSettings> workspaces;
    WorkspaceKeys workspaceKeys;
    LimitsSettings limits;
    std::string text;
};

/// @brief A document and the version under which it was accepted.
struct AcceptedDocument : boost::intrusive_ref_counter<AcceptedDocument> {
    ConfigVersion version;
    Document document;
};

using AcceptedDocumentPtr = boost::intrusive_ptr<const AcceptedDocument>;

/// @brief Parses a document and validates it as a whole: keys, ranges, references, duplicate addresses.
/// @param problems every problem found is appended; the document may be used only if there was none.
Document parseDocument(std::string_view text, std::string_view fileName, std::vector<IniProblem>& problems);

/// @name Rules for parsing the sections, also used for docs/SETTINGS.md and the console's forms.
/// @{
const std::vector<KeyRule<PoolSettings>>& poolRules();
const std::vector<KeyRule<BackendSettings>>& backendRules();
const std::vector<KeyRule<TrainerSettings>>& trainerRules();
const std::vector<KeyRule<WorkspaceSettings>>& workspaceRules();
const std::vector<KeyRule<LimitsSettings>>& limitsRules();
/// @}

/// @brief The pool with that name, or nullptr.
const PoolSettings* findPool(const Document& document, const PoolName& name);

/// @brief The trainer with that name, or nullptr.
const TrainerSettings* findTrainer(const Document& document, const TrainerName& name);

} // namespace topaztack
