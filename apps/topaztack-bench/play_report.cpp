#include "play.hpp"

#include <boost/json.hpp>

#include <iomanip>
#include <sstream>

namespace topaztack::bench {

namespace json = boost::json;

namespace {

    constexpr int nameWidth = 26;
    constexpr int countWidth = 11;

    double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    double share(Duration part, Duration whole)
    {
        return whole.count() == 0 ? 0 : static_cast<double>(part.count()) / static_cast<double>(whole.count());
    }

    double meanStaleness(const TrainerFigures& trainer)
    {
        const auto count = trainer.received.size();
        return count == 0 ? 0 : static_cast<double>(trainer.stalenessSum) / static_cast<double>(count);
    }

    std::uint64_t lostSamples(const TrainerFigures& trainer) { return trainer.wanted.size() - trainer.received.size(); }

    struct NamedCounts {
        std::string_view name;
        const OutcomeCounts& counts;
    };

    std::vector<NamedCounts> allCounts(const PlayFigures& figures)
    {
        return {
            { "bookings by ticket", figures.ticketBookings },
            { "bookings by own key", figures.keyBookings },
            { "reads", figures.reads },
            { "completions", figures.completions },
            { "streamed completions", figures.streams },
        };
    }

    void printCounts(std::ostream& out, const PlayFigures& figures)
    {
        out << std::left << std::setw(nameWidth) << "answers" << std::right;
        for (const auto* title : { "ran", "not-run", "unknown", "no answer", "unlabelled" })
            out << std::setw(countWidth) << title;
        out << '\n';
        for (const auto& [name, counts] : allCounts(figures)) {
            out << std::left << std::setw(nameWidth) << name << std::right;
            for (const auto count : { counts.ran, counts.notRun, counts.unknown, counts.unanswered, counts.unlabelled })
                out << std::setw(countWidth) << count;
            out << '\n';
        }
        out << "tickets issued " << figures.ticketsIssued << ", refused " << figures.ticketsRefused << '\n';
        for (const auto& [kind, count] : figures.errors)
            out << "  error " << kind << ": " << count << '\n';
    }

    void printTimes(std::ostream& out, std::string_view name, const LatencyHistogram& times)
    {
        out << name << " p50 " << milliseconds(times.quantile(0.5)) << " ms, p99 " << milliseconds(times.quantile(0.99))
            << " ms (" << times.count() << " calls)\n";
    }

    void printTrainer(std::ostream& out, const TrainerFigures& trainer)
    {
        out << "steps posted " << trainer.stepsPosted << ", whole " << trainer.stepsWhole << ", groups refused "
            << trainer.groupsRefused << '\n'
            << "samples wanted " << trainer.wanted.size() << ", received " << trainer.received.size() << ", doubled "
            << trainer.doubled << ", lost " << lostSamples(trainer) << ", mislabelled " << trainer.mislabelled
            << ", out of order " << trainer.outOfOrder << ", numbers skipped " << trainer.numbersSkipped << '\n'
            << "fetches " << trainer.fetches << ", failed " << trainer.fetchesFailed << ", repeats that differ "
            << trainer.fetchesDiffering << '\n'
            << "weight versions posted " << trainer.versionsPosted << ", refused " << trainer.versionsRefused
            << ", newest " << trainer.newestVersion << '\n'
            << "staleness mean " << meanStaleness(trainer) << ", max " << trainer.stalenessMost << ", over the bound "
            << trainer.tooStale << '\n'
            << "trainer idle " << share(trainer.idle, trainer.loop) * 100 << " % of "
            << milliseconds(trainer.loop) / 1000 << " s\n";
    }

    json::object countsJson(const OutcomeCounts& counts)
    {
        return { { "ran", counts.ran }, { "not_run", counts.notRun }, { "unknown", counts.unknown },
            { "unanswered", counts.unanswered }, { "unlabelled", counts.unlabelled } };
    }

    json::object timesJson(const LatencyHistogram& times)
    {
        return { { "calls", times.count() }, { "p50_ms", milliseconds(times.quantile(0.5)) },
            { "p99_ms", milliseconds(times.quantile(0.99)) } };
    }

    json::object trainerJson(const TrainerFigures& trainer)
    {
        return {
            { "steps_posted", trainer.stepsPosted },
            { "steps_whole", trainer.stepsWhole },
            { "groups_refused", trainer.groupsRefused },
            { "samples_wanted", trainer.wanted.size() },
            { "samples_received", trainer.received.size() },
            { "samples_doubled", trainer.doubled },
            { "samples_lost", lostSamples(trainer) },
            { "samples_mislabelled", trainer.mislabelled },
            { "samples_out_of_order", trainer.outOfOrder },
            { "numbers_skipped", trainer.numbersSkipped },
            { "fetches", trainer.fetches },
            { "fetches_failed", trainer.fetchesFailed },
            { "fetches_differing", trainer.fetchesDiffering },
            { "versions_posted", trainer.versionsPosted },
            { "versions_refused", trainer.versionsRefused },
            { "staleness_mean", meanStaleness(trainer) },
            { "staleness_max", trainer.stalenessMost },
            { "too_stale", trainer.tooStale },
            { "idle_share", share(trainer.idle, trainer.loop) },
        };
    }

    json::object auditJson(const AuditFigures& audit)
    {
        return {
            { "complete", audit.isComplete },
            { "doubles", audit.doubles },
            { "losses", audit.losses },
            { "false_not_run", audit.falseNotRun },
            { "foreign_answers", audit.foreignAnswers },
            { "differing_repeats", audit.differingRepeats },
        };
    }

} // namespace

std::string reportText(const PlayFigures& figures)
{
    const auto& audit = figures.audit;
    std::ostringstream out;
    out << std::setprecision(3) << "== play: " << figures.answered() << " requests, " << figures.bookings.size()
        << " bookings ==\n";
    printCounts(out, figures);
    printTimes(out, "bookings and reads:", figures.bookingTime);
    printTimes(out, "completions:", figures.completionTime);
    out << "-- audit of bookings against the services" << (audit.isComplete ? "" : ": INCOMPLETE") << " --\n"
        << "doubles " << audit.doubles << ", losses " << audit.losses << ", false not-run " << audit.falseNotRun
        << ", foreign answers " << audit.foreignAnswers << ", repeats that differ " << audit.differingRepeats << '\n'
        << "broken completions " << figures.brokenCompletions << '\n'
        << "-- trainer --\n";
    printTrainer(out, figures.trainer);
    out << (isBroken(figures) ? "A PROMISE WAS BROKEN\n" : "every promise that was checked held\n");
    return out.str();
}

json::object reportJson(const PlayFigures& figures)
{
    json::object report;
    report["requests"] = figures.answered();
    report["bookings"] = figures.bookings.size();
    report["tickets_issued"] = figures.ticketsIssued;
    report["tickets_refused"] = figures.ticketsRefused;
    json::object answers;
    for (const auto& [name, counts] : allCounts(figures))
        answers[name] = countsJson(counts);
    report["answers"] = std::move(answers);
    report["errors"] = json::value_from(figures.errors);
    report["booking_time"] = timesJson(figures.bookingTime);
    report["completion_time"] = timesJson(figures.completionTime);
    report["broken_completions"] = figures.brokenCompletions;
    report["audit"] = auditJson(figures.audit);
    report["trainer"] = trainerJson(figures.trainer);
    report["broken"] = isBroken(figures);
    return report;
}

} // namespace topaztack::bench
