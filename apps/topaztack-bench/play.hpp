#pragma once

#include "bench.hpp"

#include <topaztack/base/metrics.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/policy/outcome.hpp>
#include <topaztack/wire/http_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/// @file
/// The main job as a bounded load: bookings, completions and a trainer's loop, all on one thread, then an audit of what
/// was answered against what the services ran.

namespace topaztack::bench {

struct PlayOptions {
    std::vector<Endpoint> vms;
    std::vector<Endpoint> services;
    std::string servicePool;
    std::string enginePool;
    std::string trainer;
    std::chrono::seconds time { 10 };
    /// Ends the load early once this many requests were answered; zero for no such end.
    std::uint64_t requests { 0 };
    std::uint64_t bookingWorkers { 8 };
    std::uint64_t completionWorkers { 4 };
    std::uint64_t groups { 4 };
    std::uint64_t samples { 4 };
    std::uint64_t stalenessBound { 2 };
    std::chrono::milliseconds trainTime { 200 };
    std::chrono::seconds settleTime { 15 };
    std::uint64_t seed { 20261203 };
    std::string jsonFile;
};

/// @brief How many answers of each outcome a kind of request got.
struct OutcomeCounts {
    std::uint64_t ran { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    /// The connection to the VM failed: no answer, which the caller has to take for unknown.
    std::uint64_t unanswered { 0 };
    /// An answer without its outcome.
    std::uint64_t unlabelled { 0 };

    std::uint64_t total() const
    {
        return this->ran + this->notRun + this->unknown + this->unanswered + this->unlabelled;
    }
};

/// @brief What was answered to the sendings of one booking, all under one key.
struct BookingRecord {
    std::string body;
    /// The body of the first answer with the outcome `ran`.
    std::optional<std::string> answer;
    bool isSuccess { false };
    std::uint64_t ran { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t others { 0 };
};

/// @brief One place of a step: step, group, index.
using SlotName = std::tuple<std::uint64_t, std::string, std::uint64_t>;

struct TrainerFigures {
    std::uint64_t stepsPosted { 0 };
    std::uint64_t stepsWhole { 0 };
    std::uint64_t groupsRefused { 0 };
    std::uint64_t versionsPosted { 0 };
    std::uint64_t versionsRefused { 0 };
    std::uint64_t newestVersion { 1 };
    std::uint64_t fetches { 0 };
    std::uint64_t fetchesFailed { 0 };
    /// A fetch asked again, at another VM, that gave other samples.
    std::uint64_t fetchesDiffering { 0 };
    std::uint64_t doubled { 0 };
    /// Samples that did not come in rising order of their numbers.
    std::uint64_t outOfOrder { 0 };
    /// Numbers passed over: of samples withdrawn as stale before they were handed out. Losses are counted by slot.
    std::uint64_t numbersSkipped { 0 };
    std::uint64_t mislabelled { 0 };
    std::uint64_t tooStale { 0 };
    std::uint64_t stalenessSum { 0 };
    std::uint64_t stalenessMost { 0 };
    Duration idle { 0 };
    Duration loop { 0 };
    std::set<SlotName> wanted;
    std::set<SlotName> received;
};

/// @brief Broken promises, from the audit. All must be zero.
struct AuditFigures {
    bool isComplete { true };
    std::uint64_t doubles { 0 };
    std::uint64_t losses { 0 };
    std::uint64_t falseNotRun { 0 };
    /// An answer that belongs to another request.
    std::uint64_t foreignAnswers { 0 };
    /// A repeat that got another answer than the first.
    std::uint64_t differingRepeats { 0 };
};

/// @brief Everything that one play counts.
struct PlayFigures {
    std::uint64_t ticketsIssued { 0 };
    std::uint64_t ticketsRefused { 0 };
    OutcomeCounts ticketBookings;
    OutcomeCounts keyBookings;
    OutcomeCounts reads;
    OutcomeCounts completions;
    OutcomeCounts streams;
    /// Errors by kind, as the answers name them.
    std::map<std::string, std::uint64_t> errors;
    std::map<std::string, BookingRecord> bookings;
    std::uint64_t brokenCompletions { 0 };
    std::uint64_t differingRepeats { 0 };
    LatencyHistogram bookingTime;
    LatencyHistogram completionTime;
    TrainerFigures trainer;
    AuditFigures audit;

    std::uint64_t answered() const;
};

/// @brief What the coroutines of one play share; used on one thread.
struct Play {
    Play(PlayOptions options, boost::asio::io_context& loop);

    PlayOptions options;
    boost::asio::io_context& loop;
    HttpClient client;
    Random random;
    TimePoint end;
    PlayFigures figures;
    std::uint64_t workersLeft { 0 };
    std::uint64_t bookingCounter { 0 };

    /// @brief Whether the load goes on.
    bool goesOn() const;

    /// @brief A VM drawn at random, as the platform's balancer does.
    Endpoint anyVm();
};

/// @brief Sends a request; a failed connection gives nothing.
boost::asio::awaitable<std::optional<HttpResponse>> send(
    Play& play, Endpoint endpoint, HttpRequest request, std::chrono::milliseconds timeout);

/// @brief Waits on the play's thread.
boost::asio::awaitable<void> rest(Play& play, std::chrono::milliseconds time);

/// @brief Counts an answer by its outcome and error kind.
/// @return its outcome, if it has one.
std::optional<Outcome> countAnswer(
    PlayFigures& figures, OutcomeCounts& counts, const std::optional<HttpResponse>& answer);

/// @brief The time named by `Retry-After`, bounded to a second.
std::chrono::milliseconds retryTime(const std::optional<HttpResponse>& answer);

/// @name The load: each runs until Play::goesOn says no.
/// @{
boost::asio::awaitable<void> bookInLoop(Play& play);
boost::asio::awaitable<void> completeInLoop(Play& play);
boost::asio::awaitable<void> trainInLoop(Play& play);
/// @}

/// @brief Compares what was answered with `GET /standin/runs` of all services.
boost::asio::awaitable<void> audit(Play& play);

/// @brief Whether a promise was broken.
bool isBroken(const PlayFigures& figures);

/// @brief The summary for people.
std::string reportText(const PlayFigures& figures);

/// @brief The same figures as JSON.
boost::json::object reportJson(const PlayFigures& figures);

} // namespace topaztack::bench
