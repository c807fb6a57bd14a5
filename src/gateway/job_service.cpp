#include "job_service.hpp"

#include "caller_access.hpp"
#include "error_responses.hpp"

#include <topaztack/base/log.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr unsigned statusAccepted = 202;
    constexpr unsigned statusConflict = 409;
    /// How long a write whose answer was lost is repeated to find out whether it took effect.
    constexpr Duration maxResolveTime = 5s;
    constexpr Duration retryInterval = 100ms;
    /// Limit for the results in one page, in bytes of JSON; a longer result is a page of its own.
    constexpr std::size_t bytesPerPage = 700UL * 1024;
    /// Decoded submissions that are cached for reads of item bodies.
    constexpr std::size_t maxCachedSpecs = 4;
    /// What a submission takes besides the request, in sizes of its body: the copy that is stored and the items; while
    /// it is stored, an object too.
    constexpr std::size_t copiesWhileDecoding = 2;
    constexpr std::size_t copiesWhileStoring = 3;

    HttpResponse emptyResponse(unsigned status)
    {
        HttpResponse response;
        response.status = status;
        return response;
    }

    HttpResponse notFound(const CallerRequest& call)
    {
        return errorResponse(
            makeError(ErrorKind::UnknownPath, "no job `" + call.job.value() + "`", "submit the job first"),
            call.id.value());
    }

    /// A caller without a key is told the same whether there is such a job or not.
    HttpResponse noSuchJob(const CallerRequest& call)
    {
        if (call.hasWorkspaces && call.workspace.value().empty())
            return notIdentifiedResponse(call.id, "the call needs a key");
        return notFound(call);
    }

} // namespace

JobService::JobService(GatewayContext& context, JobStore& store, JobOwner& owner)
    : context(context)
    , store(store)
    , owner(owner)
    , accepted(context.metrics.counter("topaztack_jobs_accepted_total", "Jobs accepted"))
    , refused(context.metrics.counter("topaztack_jobs_refused_total", "Submissions refused"))
{
}

JobOrigin JobService::originOf(const JobHead& head) const
{
    const auto& table = this->context.routes;
    const auto* route = table ? matchRoute(*table, head.host, head.path) : nullptr;
    return { head.workspace, head.configuration, route };
}

JobOrigin JobService::originOf(const JobSpec& job) const
{
    const auto& table = this->context.routes;
    const auto* route = table ? matchRoute(*table, job.host, job.path) : nullptr;
    const auto* seen = this->owner.lastSeenHead(job.id);
    return { job.workspace, seen ? seen->head.configuration : ConfigVersion(), route };
}

std::optional<HttpResponse> JobService::refuse(const CallerRequest& call, const JobOrigin& job) const
{
    const auto present = this->context.routes ? this->context.routes->version : ConfigVersion();
    switch (decideJobAccess(job, { call.hasWorkspaces, call.workspace }, present)) {
    case JobAccess::Admitted:
        break;
    case JobAccess::OtherWorkspace:
        return noSuchJob(call);
    case JobAccess::NotIdentified:
        return notIdentifiedResponse(call.id, "the call needs a key");
    case JobAccess::ConfigurationTooOld:
        return notRunResponse(makeError(ErrorKind::NotReady, "the job was accepted under a newer configuration"),
            call.id, notReadyRetryAfter);
    }
    return std::nullopt;
}

/// The response to a submission with the id of another workspace's job; nothing if the job is the caller's.
std::optional<HttpResponse> JobService::refuseId(const CallerRequest& call, const JobHead& head) const
{
    auto refusal = this->refuse(call, this->originOf(head));
    if (!refusal || refusal->status == statusNotRun)
        return refusal;
    logEvent(LogLevel::Info, "job-id-taken", { { "job", call.id.value() }, { "workspace", call.workspace.value() } });
    auto response = errorResponse(
        makeError(ErrorKind::KeyReused, "the id is taken", "choose another id for the job"), call.id.value());
    response.status = statusConflict;
    return response;
}

HttpResponse JobService::unavailable(std::string_view callName, const Error& error, const RequestId& id) const
{
    logEvent(LogLevel::Info, "job-call-refused",
        { { "call", std::string(callName) }, { "id", id.value() }, { "error", error.message } });
    return notRunResponse(error, id, storeRetryAfter);
}

asio::awaitable<HttpResponse> JobService::submit(HttpExchange& exchange, CallerRequest call, Route route)
{
    const auto& request = exchange.request();
    const auto size = request.body.size();
    if (!exchange.reserve(copiesWhileDecoding * size))
        co_return this->unavailable("submit", makeError(ErrorKind::Overloaded, "no memory for the job"), call.id);
    const auto mayHold
        = [&exchange, size](std::size_t decoded) { return exchange.reserve(copiesWhileDecoding * size + decoded); };
    StoredSubmission submission;
    submission.id = JobId(call.id.value());
    submission.host = call.host;
    submission.path = std::string(targetPath(request.target));
    submission.body = request.body;
    submission.workspace = call.workspace;
    auto job = this->context.protocol.decodeSubmission(submission, mayHold);
    const bool hasRoom = exchange.reserve(copiesWhileStoring * size);
    if (!hasRoom || (!job && job.error().kind == ErrorKind::Overloaded))
        co_return this->unavailable("submit", makeError(ErrorKind::Overloaded, "no memory for the job"), call.id);
    if (!job || submission.id.value().empty()) {
        const auto error = job ? makeError(ErrorKind::BadRequest, "the job has no id") : job.error();
        logEvent(LogLevel::Warning, "job-refused", { { "job", call.id.value() }, { "error", error.message } });
        co_return errorResponse(error, call.id.value());
    }
    if (job.value().invalidEstimates > 0)
        logEvent(LogLevel::Warning, "job-estimates-not-understood",
            { { "job", call.id.value() }, { "estimates", std::to_string(job.value().invalidEstimates) },
                { "items", std::to_string(job.value().items.size()) } });
    const auto timeLimit = std::min(call.timeLimit.value_or(route.timeout), route.timeout);
    const auto deadline = Clock::now() + std::min<Duration>(maxResolveTime, timeLimit);
    auto response = co_await this->accept(std::move(submission), std::move(job).value(), call, deadline);
    (response.status == statusAccepted ? this->accepted : this->refused).add();
    logEvent(
        LogLevel::Info, "job-answered", { { "job", call.id.value() }, { "status", std::to_string(response.status) } });
    co_return response;
}

/// A job is accepted once the store has all of it. If it is unknown whether the head was written, it is written again;
/// the expected version lets at most one of the writes take effect.
asio::awaitable<HttpResponse> JobService::accept(
    StoredSubmission submission, JobSpec job, CallerRequest call, TimePoint deadline)
{
    const RequestId id(job.id.value());
    const auto* seen = this->owner.lastSeenHead(job.id);
    auto refusal = seen ? this->refuseId(call, seen->head) : std::nullopt;
    if (refusal)
        co_return std::move(*refusal);
    const auto stored = co_await this->store.putSubmission(submission);
    if (!stored)
        co_return this->unavailable("submit", stored.error(), id);
    JobHead head;
    head.owner = this->owner.preferredOwner(job.model, job.items.size());
    head.total = job.items.size();
    head.waiting = head.total;
    head.objects = this->store.countSubmissionObjects(submission.body.size());
    head.acceptedAt = unixTime();
    head.configuration = this->context.routes->version;
    head.host = submission.host;
    head.path = submission.path;
    head.model = job.model;
    head.workspace = job.workspace;
    const auto jobId = job.id;
    bool mayHaveTakenEffect = false;
    while (true) {
        std::vector<ItemResult> noResults;
        const auto write = co_await this->store.write(jobId, RowVersion(0), head, 0, std::move(noResults));
        const bool isOwn = write.outcome == JobWriteOutcome::Written || (write.current && write.current->head == head);
        if (isOwn) {
            this->owner.runOrHandOver(std::move(job), *write.current);
            co_return emptyResponse(statusAccepted);
        }
        if (write.outcome == JobWriteOutcome::Conflict && write.current) {
            this->owner.observeHead(jobId, *write.current);
            refusal = this->refuseId(call, write.current->head);
            if (refusal && refusal->status == statusConflict)
                co_await this->store.dropSubmission(submission);
            if (refusal)
                co_return std::move(*refusal);
            co_return emptyResponse(statusAccepted);
        }
        mayHaveTakenEffect = mayHaveTakenEffect || write.outcome == JobWriteOutcome::Unknown;
        const auto error = makeError(ErrorKind::PlatformAmbiguous, "the store did not say whether it has the job");
        if (!mayHaveTakenEffect)
            co_return this->unavailable(
                "submit", makeError(ErrorKind::PlatformUnreachable, "the store did not write the job's head"), id);
        if (Clock::now() >= deadline)
            co_return mayHaveRunResponse(error, id);
        co_await pauseFor(retryInterval);
    }
}

asio::awaitable<JobService::HeadLookup> JobService::findHead(JobId id)
{
    const auto* seen = this->owner.lastSeenHead(id);
    if (seen)
        co_return std::optional<StoredHead>(*seen);
    auto head = co_await this->store.readHead(id);
    if (head && head.value())
        this->owner.observeHead(id, *head.value());
    co_return std::move(head);
}

/// Waits until the change feed shows results after the caller's position, the job is over or the time is up. Reads the
/// store in each of these cases.
asio::awaitable<Result<std::vector<ItemResult>>> JobService::waitForResults(const CallerRequest& call)
{
    auto end = Clock::now() + std::min(call.wait, maxResultWait);
    if (this->context.drain)
        end = std::min<TimePoint>(end, this->context.drain->abandonAt);
    while (true) {
        const auto* seen = this->owner.lastSeenHead(call.job);
        const bool hasMore = !seen || seen->head.listed > call.position;
        const bool isOver = Clock::now() >= end || (seen && (seen->head.isEnded || call.position >= seen->head.total));
        if (hasMore || isOver) {
            auto results = co_await this->store.readResults(call.job, call.position);
            if (!results || !results.value().empty() || isOver)
                co_return std::move(results);
        }
        co_await this->owner.changed().waitUntil(end);
    }
}

asio::awaitable<HttpResponse> JobService::readResults(CallerRequest call)
{
    const auto head = co_await this->findHead(call.job);
    if (!head)
        co_return this->unavailable("read", head.error(), call.id);
    if (!head.value())
        co_return noSuchJob(call);
    auto refusal = this->refuse(call, this->originOf(head.value()->head));
    if (refusal)
        co_return std::move(*refusal);
    auto results = co_await this->waitForResults(call);
    if (!results)
        co_return this->unavailable("read", results.error(), call.id);
    ResultPage page;
    page.total = head.value()->head.total;
    std::size_t bytes = 0;
    for (auto& result : results.value()) {
        bytes += jsonSize(result);
        if (!page.results.empty() && bytes > bytesPerPage)
            break;
        page.results.push_back(std::move(result));
    }
    page.next = call.position + page.results.size();
    co_return this->context.protocol.encodeResults(page);
}

asio::awaitable<Result<std::shared_ptr<const JobSpec>>> JobService::findSpec(JobId id)
{
    const auto runner = this->owner.runnerOf(id);
    if (runner)
        co_return std::shared_ptr<const JobSpec>(runner, &runner->spec());
    for (const auto& spec : this->cachedSpecs) {
        const auto* seen = this->owner.lastSeenHead(id);
        // After a job was removed, another workspace's may have its id.
        const bool isCurrent = !seen || seen->head.workspace == spec->workspace;
        if (spec->id == id && isCurrent)
            co_return spec;
    }
    auto head = co_await this->findHead(id);
    if (!head)
        co_return std::move(head).error();
    if (!head.value())
        co_return std::shared_ptr<const JobSpec> {};
    auto submission = co_await this->store.readSubmission(id, head.value()->head);
    if (!submission)
        co_return std::move(submission).error();
    auto job = this->context.protocol.decodeSubmission(submission.value(), {});
    if (!job)
        co_return std::move(job).error();
    std::shared_ptr<const JobSpec> spec = std::make_shared<JobSpec>(std::move(job).value());
    this->cachedSpecs.push_front(spec);
    if (this->cachedSpecs.size() > maxCachedSpecs)
        this->cachedSpecs.pop_back();
    co_return spec;
}

asio::awaitable<HttpResponse> JobService::readItemBody(CallerRequest call)
{
    const auto spec = co_await this->findSpec(call.job);
    if (!spec)
        co_return this->unavailable("body", spec.error(), call.id);
    if (!spec.value())
        co_return noSuchJob(call);
    auto refusal = this->refuse(call, this->originOf(*spec.value()));
    if (refusal)
        co_return std::move(*refusal);
    const auto& items = spec.value()->items;
    const auto found = std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.id == call.item; });
    if (found == items.end())
        co_return notFound(call);
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "application/octet-stream" });
    response.body = found->body;
    co_return response;
}

/// If the answer to a write is lost, reading the head tells whether it took effect.
asio::awaitable<HttpResponse> JobService::end(CallerRequest call)
{
    const auto deadline = Clock::now() + maxResolveTime;
    bool mayHaveTakenEffect = false;
    Error problem;
    while (true) {
        const auto head = co_await this->store.readHead(call.job);
        if (head && !head.value())
            co_return noSuchJob(call);
        if (head) {
            auto current = *head.value();
            this->owner.observeHead(call.job, current);
            auto refusal = this->refuse(call, this->originOf(current.head));
            if (refusal)
                co_return std::move(*refusal);
            if (current.head.isEnded)
                co_return emptyResponse(200);
            auto newHead = current.head;
            newHead.isEnded = true;
            ++newHead.writes;
            std::vector<ItemResult> noResults;
            const auto write
                = co_await this->store.write(call.job, current.version, newHead, newHead.listed, std::move(noResults));
            if (write.current)
                this->owner.observeHead(call.job, *write.current);
            if (write.outcome == JobWriteOutcome::Written) {
                logEvent(LogLevel::Info, "job-ended",
                    { { "job", call.job.value() }, { "listed", std::to_string(newHead.listed) } });
                co_return emptyResponse(200);
            }
            mayHaveTakenEffect = mayHaveTakenEffect || write.outcome == JobWriteOutcome::Unknown;
            if (write.outcome == JobWriteOutcome::Conflict)
                continue;
            problem = makeError(ErrorKind::PlatformUnreachable, "the store did not write that the job has ended");
        } else {
            problem = head.error();
        }
        if (!mayHaveTakenEffect)
            co_return this->unavailable("end", problem, call.id);
        if (Clock::now() >= deadline)
            co_return mayHaveRunResponse(makeError(ErrorKind::PlatformAmbiguous, problem.message), call.id);
        co_await pauseFor(retryInterval);
    }
}

} // namespace topaztack
