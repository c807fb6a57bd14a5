#pragma once

#include "context.hpp"
#include "job_owner.hpp"
#include "job_store.hpp"

#include <topaztack/wire/http_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <list>

/// @file
/// What trainers ask of jobs: submit, read results, read an item's body, end. Any VM answers for any job.

namespace topaztack {

/// A read that waits for a result is answered after this time in any case.
inline constexpr std::chrono::milliseconds maxResultWait { 1000 };

class JobService {
public:
    JobService(GatewayContext& context, JobStore& store, JobOwner& owner);

    boost::asio::awaitable<HttpResponse> submit(const HttpRequest& request, CallerRequest call, Route route);
    boost::asio::awaitable<HttpResponse> readResults(CallerRequest call);
    boost::asio::awaitable<HttpResponse> readItemBody(CallerRequest call);
    boost::asio::awaitable<HttpResponse> end(CallerRequest call);

private:
    using Found = Result<std::optional<StoredHead>>;

    boost::asio::awaitable<Found> findHead(JobId id);
    boost::asio::awaitable<HttpResponse> accept(StoredSubmission submission, JobSpec job, TimePoint deadline);
    boost::asio::awaitable<Result<std::vector<ItemResult>>> waitForResults(const CallerRequest& call);
    boost::asio::awaitable<Result<std::shared_ptr<const JobSpec>>> findSpec(JobId id);
    HttpResponse unavailable(std::string_view what, const Error& error, const RequestId& id) const;

    GatewayContext& context;
    JobStore& store;
    JobOwner& owner;
    /// Submissions read lately, for callers that ask for bodies.
    std::list<std::shared_ptr<const JobSpec>> specs;
    Counter& accepted;
    Counter& refused;
};

} // namespace topaztack
