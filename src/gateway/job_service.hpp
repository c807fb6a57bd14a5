#pragma once

#include "context.hpp"
#include "job_owner.hpp"
#include "job_store.hpp"

#include <topaztack/wire/http_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <list>

/// @file
/// The calls of trainers about jobs: submit, read results, read an item's body, end. Any VM serves any job.

namespace topaztack {

/// Longest time that a read waits for new results.
inline constexpr std::chrono::milliseconds maxResultWait { 1000 };

class JobService {
public:
    JobService(GatewayContext& context, JobStore& store, JobOwner& owner);

    boost::asio::awaitable<HttpResponse> submit(HttpExchange& exchange, CallerRequest call, Route route);
    boost::asio::awaitable<HttpResponse> readResults(CallerRequest call);
    boost::asio::awaitable<HttpResponse> readItemBody(CallerRequest call);
    boost::asio::awaitable<HttpResponse> end(CallerRequest call);

private:
    using HeadLookup = Result<std::optional<StoredHead>>;

    /// @return the refusal; nothing if the caller may use the job.
    std::optional<HttpResponse> refuse(const CallerRequest& call, const JobOrigin& job) const;
    JobOrigin originOf(const JobHead& head) const;
    JobOrigin originOf(const JobSpec& job) const;
    boost::asio::awaitable<HeadLookup> findHead(JobId id);
    boost::asio::awaitable<HttpResponse> accept(
        StoredSubmission submission, JobSpec job, CallerRequest call, TimePoint deadline);
    std::optional<HttpResponse> refuseId(const CallerRequest& call, const JobHead& head) const;
    boost::asio::awaitable<Result<std::vector<ItemResult>>> waitForResults(const CallerRequest& call);
    boost::asio::awaitable<Result<std::shared_ptr<const JobSpec>>> findSpec(JobId id);
    HttpResponse unavailable(std::string_view callName, const Error& error, const RequestId& id) const;

    GatewayContext& context;
    JobStore& store;
    JobOwner& owner;
    /// The submissions decoded last, for reads of item bodies.
    std::list<std::shared_ptr<const JobSpec>> cachedSpecs;
    Counter& accepted;
    Counter& refused;
};

} // namespace topaztack
