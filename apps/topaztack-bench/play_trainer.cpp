#include "play.hpp"

#include <boost/json.hpp>

/// A trainer one step ahead: it posts the next step's groups, trains on the last step's samples, posts the new version,
/// and fetches by sequence number until the step is whole.

namespace topaztack::bench {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds callTimeout { 10000 };
    constexpr std::chrono::milliseconds fetchWait { 500 };
    constexpr std::chrono::milliseconds emptyFetchPause { 20 };
    constexpr std::uint64_t samplesAtOnce = 256;
    constexpr unsigned percentFetchedAgain = 25;
    constexpr unsigned mostPostings = 20;

    /// What the trainer has taken so far.
    struct Cursor {
        std::uint64_t sequence { 0 };
        std::map<std::uint64_t, std::uint64_t> receivedByStep;
        std::map<std::uint64_t, std::uint64_t> wantedByStep;
    };

    std::string trainerPath(const Play& play, std::string_view rest)
    {
        return "/v1/trainers/" + play.options.trainer + std::string(rest);
    }

    HttpRequest groupsRequest(const Play& play, std::uint64_t step)
    {
        json::array groups;
        for (std::uint64_t index = 0; index < play.options.groups; ++index) {
            json::object group;
            group["id"] = "step" + std::to_string(step) + "-group" + std::to_string(index);
            group["prompt"] = "prompt " + std::to_string(index) + " of step " + std::to_string(step);
            group["samples"] = play.options.samples;
            groups.push_back(std::move(group));
        }
        json::object body;
        body["step"] = step;
        body["groups"] = std::move(groups);
        HttpRequest request;
        request.method = "POST";
        request.target = trainerPath(play, "/groups");
        request.body = json::serialize(body);
        return request;
    }

    HttpRequest versionRequest(const Play& play, std::uint64_t version)
    {
        json::object body;
        body["version"] = version;
        HttpRequest request;
        request.method = "POST";
        request.target = trainerPath(play, "/versions");
        request.body = json::serialize(body);
        return request;
    }

    HttpRequest fetchRequest(const Play& play, std::uint64_t after)
    {
        HttpRequest request;
        request.target = trainerPath(play,
            "/samples?after=" + std::to_string(after) + "&max=" + std::to_string(samplesAtOnce)
                + "&wait_ms=" + std::to_string(fetchWait.count()));
        return request;
    }

    /// The samples of an answer; nothing if it isn't one.
    std::optional<json::array> samplesOf(const std::optional<HttpResponse>& answer)
    {
        if (!answer || answer->status != 200)
            return std::nullopt;
        boost::system::error_code problem;
        auto body = json::parse(answer->body, problem);
        auto* samples = problem || !body.is_object() ? nullptr : body.as_object().if_contains("samples");
        if (!samples || !samples->is_array())
            return std::nullopt;
        return std::move(samples->as_array());
    }

    /// Whether the spans cover the tokens in order; the oldest version that they name.
    std::optional<std::uint64_t> oldestVersion(const json::value& sample)
    {
        std::uint64_t next = 0;
        std::optional<std::uint64_t> oldest;
        for (const auto& span : sample.at("weight_versions").as_array()) {
            if (span.at("from").to_number<std::uint64_t>() != next)
                return std::nullopt;
            next = span.at("to").to_number<std::uint64_t>();
            const auto version = span.at("version").to_number<std::uint64_t>();
            oldest = std::min(oldest.value_or(version), version);
        }
        const auto* tokens = sample.as_object().if_contains("token_ids");
        if (tokens && tokens->as_array().size() != next)
            return std::nullopt;
        return oldest;
    }

    void takeLabels(const Play& play, TrainerFigures& figures, const json::value& sample)
    {
        const auto oldest = oldestVersion(sample);
        if (!oldest || *oldest > figures.newestVersion) {
            ++figures.mislabelled;
            return;
        }
        const auto staleness = figures.newestVersion - *oldest;
        figures.stalenessSum += staleness;
        figures.stalenessMost = std::max(figures.stalenessMost, staleness);
        if (staleness > play.options.stalenessBound)
            ++figures.tooStale;
    }

    void takeSample(Play& play, Cursor& cursor, const json::value& sample)
    {
        auto& figures = play.figures.trainer;
        const auto sequence = sample.at("seq").to_number<std::uint64_t>();
        if (sequence <= cursor.sequence)
            ++figures.outOfOrder;
        else
            figures.numbersSkipped += sequence - cursor.sequence - 1;
        cursor.sequence = std::max(cursor.sequence, sequence);
        const auto step = sample.at("step").to_number<std::uint64_t>();
        SlotName slot(
            step, json::value_to<std::string>(sample.at("group")), sample.at("index").to_number<std::uint64_t>());
        if (!figures.received.insert(std::move(slot)).second) {
            ++figures.doubled;
            return;
        }
        ++cursor.receivedByStep[step];
        takeLabels(play, figures, sample);
    }

    void wantSlots(Play& play, Cursor& cursor, std::uint64_t step)
    {
        for (std::uint64_t group = 0; group < play.options.groups; ++group) {
            const auto name = "step" + std::to_string(step) + "-group" + std::to_string(group);
            for (std::uint64_t index = 0; index < play.options.samples; ++index)
                play.figures.trainer.wanted.emplace(step, name, index);
        }
        cursor.wantedByStep[step] = play.options.groups * play.options.samples;
    }

    /// Posts a step's groups; the same post may be sent again, since its slots are named.
    asio::awaitable<void> postGroups(Play& play, Cursor& cursor, std::uint64_t step)
    {
        auto& figures = play.figures.trainer;
        for (unsigned posting = 0; posting < mostPostings; ++posting) {
            auto request = groupsRequest(play, step);
            const auto target = play.anyVm();
            const auto answer = co_await send(play, target, std::move(request), callTimeout);
            if (answer && answer->status == 202) {
                ++figures.stepsPosted;
                wantSlots(play, cursor, step);
                co_return;
            }
            ++figures.groupsRefused;
            co_await rest(play, retryTime(answer));
        }
    }

    asio::awaitable<void> postVersion(Play& play)
    {
        auto& figures = play.figures.trainer;
        const auto version = figures.newestVersion + 1;
        for (unsigned posting = 0; posting < mostPostings; ++posting) {
            auto request = versionRequest(play, version);
            const auto target = play.anyVm();
            const auto answer = co_await send(play, target, std::move(request), callTimeout);
            if (answer && answer->status / 100 == 2) {
                ++figures.versionsPosted;
                figures.newestVersion = version;
                co_return;
            }
            ++figures.versionsRefused;
            if (answer && answer->status / 100 == 4 && answer->status != 429)
                co_return;
            co_await rest(play, retryTime(answer));
        }
    }

    std::size_t differing(const json::array& first, const json::array& second)
    {
        std::size_t count = 0;
        for (std::size_t place = 0; place < std::min(first.size(), second.size()); ++place)
            count += first[place] == second[place] ? 0 : 1;
        return count;
    }

    /// Asks another VM for the same samples: an answer may have been lost on its way.
    asio::awaitable<void> fetchAgain(Play& play, std::uint64_t after, const json::array& samples)
    {
        auto request = fetchRequest(play, after);
        const auto target = play.anyVm();
        const auto answer = co_await send(play, target, std::move(request), callTimeout);
        const auto again = samplesOf(answer);
        if (again && differing(samples, *again) > 0)
            ++play.figures.trainer.fetchesDiffering;
    }

    asio::awaitable<void> fetchOnce(Play& play, Cursor& cursor)
    {
        auto& figures = play.figures.trainer;
        const auto after = cursor.sequence;
        auto request = fetchRequest(play, after);
        const auto target = play.anyVm();
        const auto answer = co_await send(play, target, std::move(request), callTimeout);
        ++figures.fetches;
        const auto samples = samplesOf(answer);
        if (!samples) {
            ++figures.fetchesFailed;
            co_await rest(play, retryTime(answer));
            co_return;
        }
        for (const auto& sample : *samples)
            takeSample(play, cursor, sample);
        if (samples->empty())
            co_await rest(play, emptyFetchPause);
        else if (play.random.below(100) < percentFetchedAgain)
            co_await fetchAgain(play, after, *samples);
    }

    /// Fetches until a step is whole; the time spent is the trainer's idle time.
    asio::awaitable<void> awaitStep(Play& play, Cursor& cursor, std::uint64_t step)
    {
        auto& figures = play.figures.trainer;
        const auto begin = Clock::now();
        const auto settleEnd = play.end + play.options.settleTime;
        while (cursor.receivedByStep[step] < cursor.wantedByStep[step] && Clock::now() < settleEnd)
            co_await fetchOnce(play, cursor);
        if (cursor.wantedByStep[step] > 0 && cursor.receivedByStep[step] == cursor.wantedByStep[step])
            ++figures.stepsWhole;
        figures.idle += Clock::now() - begin;
    }

} // namespace

asio::awaitable<void> trainInLoop(Play& play)
{
    Cursor cursor;
    const auto begin = Clock::now();
    std::uint64_t step = 1;
    co_await postGroups(play, cursor, step);
    while (play.goesOn()) {
        co_await awaitStep(play, cursor, step);
        ++step;
        co_await postGroups(play, cursor, step);
        co_await rest(play, play.options.trainTime);
        co_await postVersion(play);
    }
    co_await awaitStep(play, cursor, step);
    play.figures.trainer.loop = Clock::now() - begin;
}

} // namespace topaztack::bench
