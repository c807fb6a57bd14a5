#include "play.hpp"

#include <boost/json.hpp>

/// What was answered against what the services ran.

namespace topaztack::bench {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds auditTimeout { 30000 };

    using RunsByKey = std::map<std::string, std::uint64_t>;

    bool addRuns(RunsByKey& runs, const std::string& body)
    {
        boost::system::error_code problem;
        const auto value = json::parse(body, problem);
        if (problem)
            return false;
        for (const auto& run : value.at("runs").as_array())
            runs[json::value_to<std::string>(run.at("key"))] += run.at("runs").to_number<std::uint64_t>();
        return true;
    }

    /// The service stand-in answers with the digest of the body it ran.
    bool isOwnAnswer(const BookingRecord& record)
    {
        boost::system::error_code problem;
        const auto value = json::parse(*record.answer, problem);
        const auto* digest = problem || !value.is_object() ? nullptr : value.as_object().if_contains("digest");
        return digest && digest->is_string() && digest->as_string() == toHex(stableHash(record.body));
    }

    void auditBooking(AuditFigures& audit, const BookingRecord& record, std::uint64_t runs)
    {
        if (runs > 1)
            ++audit.doubles;
        if (record.isSuccess && runs == 0)
            ++audit.losses;
        const bool isSaidNotRunOnly = record.notRun > 0 && record.ran == 0 && record.others == 0;
        if (isSaidNotRunOnly && runs > 0)
            ++audit.falseNotRun;
        if (record.isSuccess && record.answer && !isOwnAnswer(record))
            ++audit.foreignAnswers;
    }

} // namespace

asio::awaitable<void> audit(Play& play)
{
    auto& figures = play.figures.audit;
    RunsByKey runs;
    for (const auto& service : play.options.services) {
        HttpRequest request;
        request.target = "/standin/runs";
        const auto answer = co_await send(play, service, std::move(request), auditTimeout);
        if (!answer || !addRuns(runs, answer->body))
            figures.isComplete = false;
    }
    figures.differingRepeats = play.figures.differingRepeats;
    if (play.options.services.empty() || !figures.isComplete)
        co_return;
    for (const auto& [key, record] : play.figures.bookings) {
        const auto place = runs.find(key);
        auditBooking(figures, record, place == runs.end() ? 0 : place->second);
    }
}

bool isBroken(const PlayFigures& figures)
{
    const auto& audit = figures.audit;
    const auto& trainer = figures.trainer;
    const bool isBookingBroken = audit.doubles > 0 || audit.losses > 0 || audit.falseNotRun > 0
        || audit.foreignAnswers > 0 || audit.differingRepeats > 0 || !audit.isComplete;
    const bool isSampleBroken = trainer.doubled > 0 || trainer.outOfOrder > 0 || trainer.mislabelled > 0
        || trainer.tooStale > 0 || trainer.fetchesDiffering > 0 || trainer.received.size() < trainer.wanted.size();
    return isBookingBroken || isSampleBroken || figures.brokenCompletions > 0;
}

} // namespace topaztack::bench
