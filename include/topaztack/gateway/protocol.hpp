#pragma once

#include <topaztack/control/route_table.hpp>
#include <topaztack/control/server_registry.hpp>
#include <topaztack/samples/job.hpp>
#include <topaztack/wire/http.hpp>
#include <topaztack/wire/sse.hpp>
#include <topaztack/wire/store_client.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// How a gateway speaks with callers, backend servers and the store: pure functions between bytes and types. A
/// deployment brings its own.

namespace topaztack {

/// @brief What a caller asks for, apart from what its route says.
enum class CallerAction : std::uint8_t {
    /// A request for a pool, or a job where the route takes jobs.
    Route,
    ReadResults,
    ReadItemBody,
    EndJob,
};

/// @brief A caller's request as decoded from its head.
struct CallerRequest {
    CallerAction action { CallerAction::Route };
    RequestId id;
    std::string host;
    /// How long the caller waits, if it says so.
    std::optional<std::chrono::milliseconds> timeLimit;
    /// The last event that the caller has of a stream that it resumes.
    std::optional<std::uint64_t> lastEvent;
    JobId job;
    ItemId item;
    /// Results are wanted from this position on.
    std::uint64_t position { 0 };
    /// How long the caller lets a read wait for a result.
    std::chrono::milliseconds wait { 0 };
};

/// @brief A page of results as a caller gets it.
struct ResultPage {
    std::uint64_t total { 0 };
    /// The position after the last result of the page.
    std::uint64_t next { 0 };
    std::vector<ItemResult> results;
};

/// @brief What the head of a backend server's answer says.
struct ServerResponseHead {
    /// It states that it did not run the request.
    bool saysNotRun { false };
    /// Another server has the address: not run.
    bool isOtherServer { false };
    /// The server is leaving or closes the connection for another reason.
    bool closesConnection { false };
    /// The id of the request that it answers; empty if it says none.
    RequestId request;
    /// It carries the mark without which a success doesn't count.
    bool hasServerStamp { false };
    /// The weights that the generation began with.
    std::optional<WeightVersion> version;
};

/// @brief One event of a generation.
struct GenerationEvent {
    std::uint64_t number { 0 };
    std::string data;
    /// Set on an event from which on other weights are used.
    std::optional<WeightVersion> version;
};

/// @brief What an engine does with running generations while it loads other weights.
enum class LoadMode : std::uint8_t {
    FinishFirst,
    Reset,
    Continue,
};

/// @brief An order to load weights.
struct LoadOrder {
    ModelName model;
    WeightVersion version;
    LoadMode mode { LoadMode::FinishFirst };
    VmName holder;
    FencingNumber fencingNumber;
    /// Orders that the engine must have accepted before; another number makes it refuse.
    std::uint64_t expectedOrders { 0 };
};

enum class OrderResponse : std::uint8_t {
    /// It is being carried out.
    Accepted,
    /// The engine has the version already.
    AlreadyLoaded,
    /// Another order is under way, or the number of orders differs.
    Conflict,
    /// A newer fencing number was seen.
    FencedOff,
    /// The engine doesn't know the model or the version.
    Refused,
    /// Another server has the address.
    OtherServer,
    /// No answer: it may be carried out, at once or later.
    Unknown,
};

/// @brief What an engine reports of itself.
struct EngineReport {
    std::vector<LoadedModel> models;
    std::uint64_t orders { 0 };
    bool isBusy { false };
};

/// @brief The newest version that a trainer named for a model.
struct PublishedVersion {
    ModelName model;
    WeightVersion version;
};

/// @brief Where the platform keeps what a gateway follows.
struct StoreLayout {
    /// Configuration and named versions.
    std::string operatorTable;
    std::string configurationKey;
    std::string namedVersionPrefix;
    std::string serversTable;
};

struct GatewayProtocol {
    /// Path at which the platform asks whether this VM takes callers.
    std::string_view readinessPath;
    StoreLayout places;
    const StoreProtocol* store;

    /// BadRequest if a field is not understood.
    Result<CallerRequest> (*decodeCall)(const HttpRequest&);
    Result<JobSpec> (*decodeSubmission)(const StoredSubmission&);
    HttpResponse (*encodeResults)(const ResultPage&);

    /// The caller's request as a backend server gets it.
    HttpRequest (*encodeServiceRequest)(
        const HttpRequest& original, const ServerRecord& server, std::chrono::milliseconds left);
    HttpRequest (*encodeItemRequest)(
        const JobSpec& job, const JobItem& item, const ServerRecord& server, std::optional<std::uint64_t> lastEvent);
    ServerResponseHead (*decodeAnswer)(const HttpResponse&);
    Result<GenerationEvent> (*decodeEvent)(const SseEvent&);
    HttpRequest (*encodeOrder)(const LoadOrder& order, const ServerRecord& server);
    OrderResponse (*decodeOrder)(const HttpResponse&);
    HttpRequest (*encodeReportQuery)(const ServerRecord& server);
    Result<EngineReport> (*decodeReport)(const HttpResponse&);

    Result<boost::intrusive_ptr<RouteTable>> (*decodeConfiguration)(std::string_view bytes);
    Result<ServerRecord> (*decodeServer)(std::string_view name, std::string_view bytes);
    Result<PublishedVersion> (*decodePublishedVersion)(std::string_view key, std::string_view bytes);
};

} // namespace topaztack
