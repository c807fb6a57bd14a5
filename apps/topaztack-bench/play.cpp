#include "play.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <memory>

namespace topaztack::bench {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds longestRetry { 1000 };
    constexpr std::chrono::milliseconds workerPoll { 20 };

    using Worker = asio::awaitable<void> (*)(Play&);

    asio::awaitable<void> runWorker(Play& play, Worker worker)
    {
        co_await worker(play);
        --play.workersLeft;
    }

    asio::awaitable<void> runPlay(Play& play)
    {
        while (play.workersLeft > 0)
            co_await rest(play, workerPoll);
        co_await audit(play);
        play.loop.stop();
    }

    void startWorkers(Play& play, Worker worker, std::uint64_t count)
    {
        for (std::uint64_t index = 0; index < count; ++index) {
            ++play.workersLeft;
            asio::co_spawn(play.loop, runWorker(play, worker), asio::detached);
        }
    }

    int playOnce(const PlayOptions& options)
    {
        asio::io_context loop(1);
        Play play(options, loop);
        startWorkers(play, bookInLoop, options.bookingWorkers);
        startWorkers(play, completeInLoop, options.completionWorkers);
        startWorkers(play, trainInLoop, 1);
        asio::co_spawn(loop, runPlay(play), asio::detached);
        loop.run();
        std::cout << reportText(play.figures) << std::flush;
        if (!options.jsonFile.empty())
            std::ofstream(options.jsonFile) << json::serialize(reportJson(play.figures)) << '\n';
        return isBroken(play.figures) ? 1 : 0;
    }

    std::vector<Endpoint> parseEndpoints(const std::vector<std::string>& texts)
    {
        std::vector<Endpoint> endpoints;
        for (const auto& text : texts) {
            const auto endpoint = parseEndpoint(text);
            if (!endpoint)
                throw CLI::ValidationError("`" + text + "` is not ADDRESS:PORT");
            endpoints.push_back(*endpoint);
        }
        return endpoints;
    }

    struct PlayArguments {
        PlayOptions options;
        std::vector<std::string> vms;
        std::vector<std::string> services;
        std::uint64_t seconds { 10 };
        std::uint64_t settleSeconds { 15 };
        std::uint64_t trainMilliseconds { 200 };
    };

    PlayOptions finishOptions(const PlayArguments& arguments)
    {
        auto options = arguments.options;
        options.vms = parseEndpoints(arguments.vms);
        options.services = parseEndpoints(arguments.services);
        options.time = std::chrono::seconds(arguments.seconds);
        options.settleTime = std::chrono::seconds(arguments.settleSeconds);
        options.trainTime = std::chrono::milliseconds(arguments.trainMilliseconds);
        return options;
    }

} // namespace

Play::Play(PlayOptions options, asio::io_context& loop)
    : options(std::move(options))
    , loop(loop)
    , client(loop)
    , random(this->options.seed)
    , end(Clock::now() + this->options.time)
{
}

bool Play::goesOn() const
{
    if (Clock::now() >= this->end)
        return false;
    return this->options.requests == 0 || this->figures.answered() < this->options.requests;
}

Endpoint Play::anyVm() { return this->options.vms[this->random.below(this->options.vms.size())]; }

std::uint64_t PlayFigures::answered() const
{
    return this->ticketBookings.total() + this->keyBookings.total() + this->reads.total() + this->completions.total()
        + this->streams.total();
}

asio::awaitable<std::optional<HttpResponse>> send(
    Play& play, Endpoint endpoint, HttpRequest request, std::chrono::milliseconds timeout)
{
    auto answer = co_await play.client.call(std::move(endpoint), std::move(request), Clock::now() + timeout);
    if (!answer)
        co_return std::nullopt;
    co_return std::move(answer).value();
}

asio::awaitable<void> rest(Play& play, std::chrono::milliseconds time)
{
    asio::steady_timer timer(play.loop, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::optional<Outcome> countAnswer(
    PlayFigures& figures, OutcomeCounts& counts, const std::optional<HttpResponse>& answer)
{
    if (!answer) {
        ++counts.unanswered;
        return std::nullopt;
    }
    boost::system::error_code problem;
    const auto body = json::parse(answer->body, problem);
    if (!problem && body.is_object() && body.as_object().contains("error"))
        ++figures.errors[json::value_to<std::string>(body.at("error").at("kind"))];
    const auto outcome = parseOutcome(findHeader(answer->headers, outcomeHeader));
    if (!outcome)
        ++counts.unlabelled;
    else if (*outcome == Outcome::Ran)
        ++counts.ran;
    else if (*outcome == Outcome::NotRun)
        ++counts.notRun;
    else
        ++counts.unknown;
    return outcome;
}

std::chrono::milliseconds retryTime(const std::optional<HttpResponse>& answer)
{
    constexpr std::chrono::milliseconds shortest { 50 };
    if (!answer)
        return shortest;
    const auto text = findHeader(answer->headers, "Retry-After");
    unsigned seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::clamp(std::chrono::milliseconds(seconds * 1000), shortest, longestRetry);
}

void addPlay(CLI::App& app, std::function<int()>& run)
{
    const auto arguments = std::make_shared<PlayArguments>();
    auto* command = app.add_subcommand("play",
        "Bookings, completions and a trainer's loop, then an audit; "
        "exit code 1 if a promise was broken.");
    auto& options = arguments->options;
    command->add_option("--vms", arguments->vms, "Callers' ports of the entry VMs")->delimiter(',')->required();
    command->add_option("--services", arguments->services, "Service stand-ins, for the audit")->delimiter(',');
    command->add_option("--service-pool", options.servicePool, "Pool of the bookings")->required();
    command->add_option("--engine-pool", options.enginePool, "Pool of the completions")->required();
    command->add_option("--trainer", options.trainer, "Trainer to play")->required();
    command->add_option("--seconds", arguments->seconds, "Length of the load")->capture_default_str();
    command->add_option("--requests", options.requests, "End the load after so many answers; 0 for no such end");
    command->add_option("--bookers", options.bookingWorkers, "Callers that book at once")->capture_default_str();
    command->add_option("--completers", options.completionWorkers, "Callers that complete at once")
        ->capture_default_str();
    command->add_option("--groups", options.groups, "Groups of a step")->capture_default_str();
    command->add_option("--samples", options.samples, "Samples of a group")->capture_default_str();
    command->add_option("--staleness-bound", options.stalenessBound, "The trainer's bound in the document")
        ->capture_default_str();
    command->add_option("--train-ms", arguments->trainMilliseconds, "Time of one training step")->capture_default_str();
    command->add_option("--settle-seconds", arguments->settleSeconds, "Longest wait for the last samples")
        ->capture_default_str();
    command->add_option("--seed", options.seed, "Seed of the load")->capture_default_str();
    command->add_option("--json", options.jsonFile, "Write the figures to this file");
    command->footer("Example: topaztack-bench play --vms 127.0.0.1:17101,127.0.0.1:17102 --services 127.0.0.1:17401 "
                    "--service-pool booking-app --engine-pool lm-rollout --trainer condolence --seconds 10");
    command->callback([arguments, &run] { run = [arguments] { return playOnce(finishOptions(*arguments)); }; });
}

} // namespace topaztack::bench
