#include "job_service.hpp"

#include "error_responses.hpp"

#include <topaztack/base/log.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr unsigned statusAccepted = 202;
    /// A write whose answer was lost is repeated for this long; it settles what became of it.
    constexpr Duration longestSettling = 5s;
    constexpr Duration repeatInterval = 100ms;
    /// The longest list of results in one answer.
    constexpr std::size_t bytesPerPage = 700UL * 1024;
    /// Decoded submissions kept for callers that ask for bodies.
    constexpr std::size_t keptSpecs = 4;

    HttpResponse plainAnswer(unsigned status)
    {
        HttpResponse response;
        response.status = status;
        return response;
    }

    HttpResponse noSuchJob(const CallerRequest& call)
    {
        return errorResponse(
            makeError(ErrorKind::UnknownPath, "no job `" + call.job.value() + "`", "submit the job first"),
            call.id.value());
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

HttpResponse JobService::unavailable(std::string_view what, const Error& error, const RequestId& id) const
{
    logEvent(LogLevel::Info, "job-call-refused",
        { { "call", std::string(what) }, { "id", id.value() }, { "error", error.message } });
    return notRunResponse(error, id, storeRetryAfter);
}

asio::awaitable<HttpResponse> JobService::submit(const HttpRequest& request, CallerRequest call, Route route)
{
    StoredSubmission submission;
    submission.id = JobId(call.id.value());
    submission.host = call.host;
    submission.path = std::string(targetPath(request.target));
    submission.body = request.body;
    auto job = this->context.protocol.decodeSubmission(submission);
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
    const auto deadline = Clock::now() + std::min<Duration>(longestSettling, timeLimit);
    auto response = co_await this->accept(std::move(submission), std::move(job).value(), deadline);
    (response.status == statusAccepted ? this->accepted : this->refused).add();
    logEvent(
        LogLevel::Info, "job-answered", { { "job", call.id.value() }, { "status", std::to_string(response.status) } });
    co_return response;
}

/// Accepted means that the store has the whole job. A head that may have been written is settled by writing it again:
/// the condition lets one of the writes take effect at most.
asio::awaitable<HttpResponse> JobService::accept(StoredSubmission submission, JobSpec job, TimePoint deadline)
{
    const RequestId id(job.id.value());
    const auto stored = co_await this->store.putSubmission(submission);
    if (!stored)
        co_return this->unavailable("submit", stored.error(), id);
    JobHead head;
    head.owner = this->owner.preferredOwner(job.model, job.items.size());
    head.total = job.items.size();
    head.waiting = head.total;
    head.objects = this->store.objectsFor(submission.body.size());
    head.acceptedAt = unixTime();
    head.configuration = this->context.routes->version;
    head.host = submission.host;
    head.path = submission.path;
    head.model = job.model;
    const auto jobId = job.id;
    bool mayHaveLanded = false;
    while (true) {
        std::vector<ItemResult> none;
        const auto write = co_await this->store.write(jobId, RowVersion(0), head, 0, std::move(none));
        const bool isOwn = write.end == JobWriteEnd::Written || (write.current && write.current->head == head);
        if (isOwn) {
            this->owner.place(std::move(job), *write.current);
            co_return plainAnswer(statusAccepted);
        }
        if (write.end == JobWriteEnd::Conflict && write.current) {
            this->owner.noteHead(jobId, *write.current);
            co_return plainAnswer(statusAccepted);
        }
        mayHaveLanded = mayHaveLanded || write.end == JobWriteEnd::Unknown;
        const auto error = makeError(ErrorKind::PlatformAmbiguous, "the store did not say whether it has the job");
        if (!mayHaveLanded)
            co_return this->unavailable(
                "submit", makeError(ErrorKind::PlatformUnreachable, "the store takes no job now"), id);
        if (Clock::now() >= deadline)
            co_return mayHaveRunResponse(error, id);
        co_await pauseFor(repeatInterval);
    }
}

asio::awaitable<JobService::Found> JobService::findHead(JobId id)
{
    const auto* seen = this->owner.seen(id);
    if (seen)
        co_return std::optional<StoredHead>(*seen);
    auto head = co_await this->store.readHead(id);
    if (head && head.value())
        this->owner.noteHead(id, *head.value());
    co_return std::move(head);
}

/// Waits until the feed shows more results than the caller has, and reads the store in any case.
asio::awaitable<Result<std::vector<ItemResult>>> JobService::waitForResults(const CallerRequest& call)
{
    const auto end = Clock::now() + std::min(call.wait, maxResultWait);
    while (true) {
        const auto* seen = this->owner.seen(call.job);
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
    auto results = co_await this->waitForResults(call);
    if (!results)
        co_return this->unavailable("read", results.error(), call.id);
    ResultPage page;
    page.total = head.value()->head.total;
    std::size_t bytes = 0;
    for (auto& result : results.value()) {
        bytes += result.output.size();
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
    for (const auto& spec : this->specs) {
        if (spec->id == id)
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
    auto job = this->context.protocol.decodeSubmission(submission.value());
    if (!job)
        co_return std::move(job).error();
    std::shared_ptr<const JobSpec> spec = std::make_shared<JobSpec>(std::move(job).value());
    this->specs.push_front(spec);
    if (this->specs.size() > keptSpecs)
        this->specs.pop_back();
    co_return spec;
}

asio::awaitable<HttpResponse> JobService::readItemBody(CallerRequest call)
{
    const auto spec = co_await this->findSpec(call.job);
    if (!spec)
        co_return this->unavailable("body", spec.error(), call.id);
    if (!spec.value())
        co_return noSuchJob(call);
    const auto& items = spec.value()->items;
    const auto found = std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.id == call.item; });
    if (found == items.end())
        co_return noSuchJob(call);
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "application/octet-stream" });
    response.body = found->body;
    co_return response;
}

/// A write whose answer was lost is settled by reading the head.
asio::awaitable<HttpResponse> JobService::end(CallerRequest call)
{
    const auto deadline = Clock::now() + longestSettling;
    bool mayHaveLanded = false;
    Error problem;
    while (true) {
        const auto head = co_await this->store.readHead(call.job);
        if (head && !head.value())
            co_return noSuchJob(call);
        if (head) {
            auto current = *head.value();
            this->owner.noteHead(call.job, current);
            if (current.head.isEnded)
                co_return plainAnswer(200);
            auto wanted = current.head;
            wanted.isEnded = true;
            ++wanted.writes;
            std::vector<ItemResult> none;
            const auto write
                = co_await this->store.write(call.job, current.version, wanted, wanted.listed, std::move(none));
            if (write.current)
                this->owner.noteHead(call.job, *write.current);
            if (write.end == JobWriteEnd::Written) {
                logEvent(LogLevel::Info, "job-ended",
                    { { "job", call.job.value() }, { "listed", std::to_string(wanted.listed) } });
                co_return plainAnswer(200);
            }
            mayHaveLanded = mayHaveLanded || write.end == JobWriteEnd::Unknown;
            if (write.end == JobWriteEnd::Conflict)
                continue;
            problem = makeError(ErrorKind::PlatformUnreachable, "the store did not take the end of the job");
        } else {
            problem = head.error();
        }
        if (!mayHaveLanded)
            co_return this->unavailable("end", problem, call.id);
        if (Clock::now() >= deadline)
            co_return mayHaveRunResponse(makeError(ErrorKind::PlatformAmbiguous, problem.message), call.id);
        co_await pauseFor(repeatInterval);
    }
}

} // namespace topaztack
