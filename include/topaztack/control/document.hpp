#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/ini.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The accepted document: pools, backend servers, trainers and limits. It is validated as a whole.

namespace topaztack {

/// @brief What a pool's backend servers are.
enum class PoolKind : std::uint8_t {
    Engine,
    Service,
};

/// @brief How a pool's backend server says that it did not run a request.
enum class NotRunSign : std::uint8_t {
    /// It never says so; only bytes not written prove it.
    Never,
    /// Status 503 with the header `Topaztack-Not-Run: 1`.
    Header,
};

/// @brief `[pool NAME]`
struct PoolSettings {
    PoolName name;
    PoolKind kind { PoolKind::Service };
    /// Requests that one backend server is given at once, by all VMs together.
    std::uint64_t inFlightPerBackend { 0 };
    /// Requests that may wait in one VM.
    std::uint64_t queueLimit { 0 };
    /// Time a request may take in all when the caller states none.
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
    /// Whether the backend server refuses orders that carry an old fencing number.
    bool checksFencing { true };
    /// Whether an operator has taken it out of use.
    bool draining { false };
};

/// @brief `[trainer NAME]`
struct TrainerSettings {
    TrainerName name;
    PoolName pool;
    /// Versions by which a delivered sample may lag behind the newest.
    std::uint64_t stalenessBound { 0 };
    /// Age of a delivered sample; zero for no bound in time.
    std::chrono::microseconds stalenessTime { 0 };
    /// Share of the pool against other trainers.
    std::uint64_t weight { 1 };
    std::uint64_t maxTokens { 0 };
    /// Weights of the two measures in the straggler rule.
    double idleWeight { 0.5 };
    double stalenessWeight { 0.5 };
};

/// @brief `[limits]`
struct LimitsSettings {
    std::uint64_t maxBody { 0 };
    std::uint64_t callerInFlight { 0 };
    std::uint64_t callerConnections { 0 };
    std::chrono::microseconds callerIdle { 0 };
    std::chrono::microseconds retention { 0 };
    /// Extra attempts allowed, in percent of first attempts.
    std::uint64_t retryBudgetPercent { 0 };
    std::chrono::microseconds drainTime { 0 };
};

/// @brief A whole document. `text` is what the operator wrote.
struct Document {
    std::vector<PoolSettings> pools;
    std::vector<BackendSettings> backends;
    std::vector<TrainerSettings> trainers;
    LimitsSettings limits;
    std::string text;
};

/// @brief A document and the version it was accepted as.
struct AcceptedDocument : boost::intrusive_ref_counter<AcceptedDocument> {
    ConfigVersion version;
    Document document;
};

using AcceptedDocumentPtr = boost::intrusive_ptr<const AcceptedDocument>;

/// @brief Reads and validates a document as a whole: keys, ranges, references, duplicate addresses.
/// @param problems everything found wrong is appended; the document may be used only if nothing was.
Document parseDocument(std::string_view text, std::string_view fileName, std::vector<IniProblem>& problems);

/// @name The rules by which sections are read, for docs/SETTINGS.md and the console's forms.
/// @{
const std::vector<KeyRule<PoolSettings>>& poolRules();
const std::vector<KeyRule<BackendSettings>>& backendRules();
const std::vector<KeyRule<TrainerSettings>>& trainerRules();
const std::vector<KeyRule<LimitsSettings>>& limitsRules();
/// @}

/// @brief The pool of that name, or nullptr.
const PoolSettings* findPool(const Document& document, const PoolName& name);

/// @brief The trainer of that name, or nullptr.
const TrainerSettings* findTrainer(const Document& document, const TrainerName& name);

} // namespace topaztack
