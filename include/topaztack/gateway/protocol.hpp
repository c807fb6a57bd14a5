#pragma once

#include <topaztack/control/route_table.hpp>
#include <topaztack/control/server_registry.hpp>
#include <topaztack/control/workspace_keys.hpp>
#include <topaztack/samples/job.hpp>
#include <topaztack/wire/http.hpp>
#include <topaztack/wire/sse.hpp>
#include <topaztack/wire/store_client.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The protocol adapter of a gateway: pure functions that convert the messages of callers, backend servers and the
/// store to and from the library's types. Each deployment supplies its own.

namespace topaztack {

/// @brief The operation that a caller requests.
enum class CallerAction : std::uint8_t {
    /// Forwards a request to a pool or, on a route that takes jobs, submits a job.
    Route,
    ReadResults,
    ReadItemBody,
    EndJob,
};

/// @brief Fields decoded from the head of a caller's request.
struct CallerRequest {
    CallerAction action { CallerAction::Route };
    RequestId id;
    std::string host;
    /// With what the caller identifies itself; empty if with nothing.
    std::string credential;
    /// The key with which the caller identifies its workspace; empty if it sent none. It is passed on to nobody.
    std::string apiKey;
    /// The workspace of the caller; empty if the configuration has no workspaces, or the route is public and no known
    /// key was sent.
    WorkspaceName workspace;
    /// Whether the VM that the caller called has workspaces in its configuration.
    bool hasWorkspaces { false };
    AccessVerdict access { AccessVerdict::Admitted };
    /// Time for which the caller waits for the response; empty if the request doesn't state it.
    std::optional<std::chrono::milliseconds> timeLimit;
    /// Number of the last event that the caller received, if it resumes a stream.
    std::optional<std::uint64_t> lastEvent;
    /// The attempt that brought the first event of that stream; empty if not stated.
    RequestId resumedAttempt;
    /// For generations: the model, and the tokens that the prompt has and the answer is expected to have.
    ModelName model;
    std::uint64_t promptTokens { 0 };
    std::uint64_t expectedTokens { 0 };
    JobId job;
    ItemId item;
    /// Position of the first result to return.
    std::uint64_t position { 0 };
    /// Longest time for which a read may wait for a result.
    std::chrono::milliseconds wait { 0 };
};

/// @brief How a caller is identified to backend servers and other VMs.
struct CallerIdentity {
    /// Whether the configuration has workspaces. If not, requests are passed on with the headers that identify the
    /// caller; otherwise these are replaced by the workspace's name.
    bool hasWorkspaces { false };
    /// Empty if the caller has none.
    WorkspaceName workspace;
};

inline CallerIdentity identityOf(const CallerRequest& call) { return { call.hasWorkspaces, call.workspace }; }

/// @brief One page of a job's results.
struct ResultPage {
    std::uint64_t total { 0 };
    /// Position after the last result of the page.
    std::uint64_t next { 0 };
    std::vector<ItemResult> results;
};

/// @brief Fields decoded from the head of a backend server's response.
struct ServerResponseHead {
    /// The server states that it did not run the request.
    bool saysNotRun { false };
    /// Another server now has the address, so the request was not run.
    bool isOtherServer { false };
    /// The server closes the connection, because it is leaving or for another reason.
    bool closesConnection { false };
    /// The server announces its departure: it serves what it has and is to get nothing more.
    bool isLeaving { false };
    /// The requests per second that the server takes from all VMs together; empty if it names no limit.
    std::optional<double> requestsPerSecond;
    /// It names a limit that is not understood.
    bool isLimitMalformed { false };
    /// Id of the request that the response belongs to; empty if it carries none.
    RequestId request;
    /// The server's signature of its response; without one a success doesn't count.
    std::string serverStamp;
    /// Weight version with which the generation began.
    std::optional<WeightVersion> version;
};

/// @brief One event of a streamed generation.
struct GenerationEvent {
    std::uint64_t number { 0 };
    std::string data;
    /// Set on the first event that was generated with other weights.
    std::optional<WeightVersion> version;
};

/// @brief What an engine does with its running generations when it loads other weights.
enum class LoadMode : std::uint8_t {
    FinishFirst,
    Reset,
    Continue,
};

/// @brief An order to an engine to load a weight version.
struct LoadOrder {
    ModelName model;
    WeightVersion version;
    LoadMode mode { LoadMode::FinishFirst };
    /// The VM that holds the order lease, and the lease's fencing number.
    VmName holder;
    FencingNumber fencingNumber;
    /// Number of orders that the engine must have accepted so far; it refuses if its own count differs.
    std::uint64_t expectedOrders { 0 };
};

/// @brief How an engine answered an order.
enum class OrderResponse : std::uint8_t {
    /// The engine is carrying the order out.
    Accepted,
    /// The engine already has the version.
    AlreadyLoaded,
    /// Another order is in progress, or the number of orders differs.
    Conflict,
    /// The engine has seen a newer fencing number.
    FencedOff,
    /// The engine doesn't know the model or the version.
    Refused,
    /// Another server now has the address.
    OtherServer,
    /// No response: the order may be carried out, immediately or later.
    Unknown,
};

/// @brief The state that an engine reports.
struct EngineReport {
    std::vector<LoadedModel> models;
    /// Orders that it has accepted since its start.
    std::uint64_t orders { 0 };
    bool isBusy { false };
    /// Start of its process in Unix time; 0 if it states none.
    std::chrono::milliseconds startedAt { 0 };
};

/// @brief The newest weight version that a trainer published for a model.
struct PublishedVersion {
    ModelName model;
    WeightVersion version;
};

/// @brief The requests of each workspace that servers began in one window.
struct UsageReport {
    std::uint64_t window { 0 };
    std::map<WorkspaceName, std::uint64_t> counts;

    bool operator==(const UsageReport&) const = default;
};

/// @brief An order for servers of a pool in a data centre.
struct ServerOrder {
    PoolName pool;
    DataCentre dataCentre;
    std::uint64_t count { 0 };
    /// Whether the servers may be reclaimed by the platform.
    bool isReclaimable { false };
};

/// @brief How the platform answered a call that one VM at a time makes.
enum class DutyResponse : std::uint8_t {
    Accepted,
    /// None of the servers that were ordered are to be had there now.
    Unavailable,
    /// Too many calls; the call had no effect.
    Limited,
    /// The call is malformed.
    Refused,
    /// No usable response: the call may have taken effect.
    Unknown,
};

/// @brief Tables and keys of the store that a gateway follows.
struct StoreLayout {
    /// Holds the configuration and the published versions.
    std::string operatorTable;
    std::string configurationKey;
    std::string publishedVersionPrefix;
    std::string serversTable;
};

/// @brief The functions and names with which a deployment adapts a gateway to its platform.
struct GatewayProtocol {
    /// Path at which the platform checks whether this VM accepts callers.
    std::string_view readinessPath;
    StoreLayout storeLayout;
    const StoreProtocol* store;

    /// Fails with BadRequest if a field is malformed.
    Result<CallerRequest> (*decodeCall)(const HttpRequest&);
    /// How the VM that passed a request on identified its caller; only for requests on the port between VMs.
    CallerIdentity (*decodeIdentity)(const HttpRequest&);
    /// `mayHold` is asked before the parsed submission grows, with its size in bytes; empty for no limit.
    Result<JobSpec> (*decodeSubmission)(const StoredSubmission&, const std::function<bool(std::size_t)>& mayHold);
    HttpResponse (*encodeResults)(const ResultPage&);

    /// Builds the request to a backend server from the caller's; `timeLeft` is the time until the caller's deadline.
    /// With `lastEvent`, the server goes on after that event of the stream.
    HttpRequest (*encodeServiceRequest)(const HttpRequest& original, const ServerRecord& server,
        std::chrono::milliseconds timeLeft, std::optional<std::uint64_t> lastEvent, const CallerIdentity& identity);
    /// Builds the request to another VM that is to carry the caller's; `timeLeft` is the time until its deadline.
    HttpRequest (*encodeCarriedRequest)(
        const HttpRequest& original, std::chrono::milliseconds timeLeft, const CallerIdentity& identity);
    /// Builds the request to another VM that is to answer a caller's call about a job.
    HttpRequest (*encodeRelayedCall)(const HttpRequest& original, const CallerIdentity& identity);
    HttpRequest (*encodeItemRequest)(
        const JobSpec& job, const JobItem& item, const ServerRecord& server, std::optional<std::uint64_t> lastEvent);
    /// `timeLeft` is the time that the server may take.
    HttpRequest (*encodeScoringRequest)(
        const ScoringCall& call, const ServerRecord& server, std::chrono::milliseconds timeLeft);
    ServerResponseHead (*decodeAnswer)(const HttpResponse&);
    Result<GenerationEvent> (*decodeEvent)(const SseEvent&);
    HttpRequest (*encodeOrder)(const LoadOrder& order, const ServerRecord& server);
    OrderResponse (*decodeOrder)(const HttpResponse&);
    HttpRequest (*encodeReportQuery)(const ServerRecord& server);
    Result<EngineReport> (*decodeReport)(const HttpResponse&);
    /// The holder of a duty and its fencing number go with each call.
    HttpRequest (*encodeUsageReport)(const UsageReport& report, const VmName& holder, FencingNumber fencingNumber);
    HttpRequest (*encodeServerOrder)(const ServerOrder& order, const VmName& holder, FencingNumber fencingNumber);
    DutyResponse (*decodeDutyAnswer)(const HttpResponse&);

    Result<boost::intrusive_ptr<RouteTable>> (*decodeConfiguration)(std::string_view bytes);
    Result<ServerRecord> (*decodeServer)(std::string_view name, std::string_view bytes);
    Result<PublishedVersion> (*decodePublishedVersion)(std::string_view key, std::string_view bytes);
};

} // namespace topaztack
