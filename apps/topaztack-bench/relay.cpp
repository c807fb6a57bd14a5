#include "bench.hpp"

#include <topaztack/wire/http_client.hpp>
#include <topaztack/wire/sse.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <unistd.h>

/// What a VM adds to a call: latency over a direct call, processor time and memory.

namespace topaztack::bench {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::seconds callTimeout { 60 };
    constexpr std::chrono::milliseconds settleTime { 500 };

    struct RelayOptions {
        std::string vm { "127.0.0.1:17101" };
        std::string direct { "127.0.0.1:17401" };
        std::string servicePool { "booking-app" };
        std::string enginePool { "lm-rollout" };
        std::uint64_t pid { 0 };
        std::uint64_t seconds { 5 };
        std::uint64_t callers { 16 };
        std::uint64_t streams { 32 };
        std::uint64_t tokens { 500 };
        std::uint64_t openStreams { 0 };
    };

    /// The daemon's use of the machine, from /proc.
    struct Usage {
        std::chrono::microseconds processor { 0 };
        std::uint64_t residentBytes { 0 };
    };

    Usage usageOf(std::uint64_t pid)
    {
        constexpr int fieldsBeforeUserTime = 11;
        const auto directory = "/proc/" + std::to_string(pid);
        std::ifstream stat(directory + "/stat");
        std::string text;
        std::getline(stat, text, ')');
        for (int field = 0; field < fieldsBeforeUserTime; ++field)
            stat >> text;
        std::int64_t userTicks = 0;
        std::int64_t systemTicks = 0;
        stat >> userTicks >> systemTicks;
        std::uint64_t pages = 0;
        std::ifstream memory(directory + "/statm");
        memory >> pages >> pages;
        const auto tick = std::chrono::microseconds(std::chrono::seconds(1)) / sysconf(_SC_CLK_TCK);
        return { tick * (userTicks + systemTicks), pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) };
    }

    struct Figures {
        std::vector<Duration> latencies;
        std::uint64_t tokens { 0 };
        std::uint64_t failures { 0 };
    };

    struct Relay {
        Relay(const RelayOptions& options, asio::io_context& loop)
            : options(options)
            , loop(loop)
            , client(loop, { .idlePerEndpoint = 4096 })
        {
        }

        const RelayOptions& options;
        asio::io_context& loop;
        HttpClient client;
        std::uint64_t running { 0 };
    };

    asio::awaitable<void> rest(asio::io_context& loop, Duration time)
    {
        asio::steady_timer timer(loop, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    HttpRequest bookingRequest(const std::string& target)
    {
        HttpRequest request;
        request.method = "GET";
        request.target = target;
        return request;
    }

    HttpRequest streamRequest(const RelayOptions& options, std::uint64_t tokens)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/completions";
        request.body = json::serialize(json::object {
            { "model", options.enginePool }, { "prompt", "measure" }, { "max_tokens", tokens }, { "stream", true } });
        return request;
    }

    asio::awaitable<void> callOnce(Relay& relay, Endpoint endpoint, std::string target, Figures& figures)
    {
        const auto begin = Clock::now();
        const auto answer = co_await relay.client.call(endpoint, bookingRequest(target), begin + callTimeout);
        if (answer && answer.value().status == 200)
            figures.latencies.push_back(Clock::now() - begin);
        else
            ++figures.failures;
    }

    asio::awaitable<void> callInLoop(
        Relay& relay, Endpoint endpoint, std::string target, TimePoint end, Figures& figures)
    {
        ++relay.running;
        while (Clock::now() < end)
            co_await callOnce(relay, endpoint, target, figures);
        --relay.running;
    }

    asio::awaitable<void> callCounted(Relay& relay, Endpoint endpoint, std::string target, Figures& figures)
    {
        ++relay.running;
        co_await callOnce(relay, endpoint, target, figures);
        --relay.running;
    }

    asio::awaitable<void> streamOnce(Relay& relay, Endpoint endpoint, std::uint64_t tokens, Figures& figures)
    {
        ++relay.running;
        auto opened
            = co_await relay.client.open(endpoint, streamRequest(relay.options, tokens), Clock::now() + callTimeout);
        bool goesOn = opened.has_value() && opened.value()->head().status == 200;
        figures.failures += goesOn ? 0 : 1;
        SseReader events;
        while (goesOn) {
            const auto piece = co_await opened.value()->read(Clock::now() + callTimeout);
            goesOn = piece.has_value() && !piece.value().empty();
            if (!goesOn)
                break;
            events.feed(piece.value());
            while (events.next())
                ++figures.tokens;
        }
        --relay.running;
    }

    asio::awaitable<void> untilDone(Relay& relay)
    {
        while (relay.running > 0)
            co_await rest(relay.loop, std::chrono::milliseconds(5));
    }

    double microseconds(Duration duration) { return std::chrono::duration<double, std::micro>(duration).count(); }

    double quantile(std::vector<Duration> latencies, double fraction)
    {
        if (latencies.empty())
            return 0;
        std::sort(latencies.begin(), latencies.end());
        const auto place = static_cast<std::size_t>(fraction * static_cast<double>(latencies.size() - 1));
        return microseconds(latencies[place]);
    }

    /// Closed loop: as many requests as the callers can make.
    asio::awaitable<double> measureCapacity(Relay& relay, Endpoint vm, std::string target)
    {
        Figures figures;
        const auto before = usageOf(relay.options.pid);
        const auto begin = Clock::now();
        const auto end = begin + std::chrono::seconds(relay.options.seconds);
        for (std::uint64_t index = 0; index < relay.options.callers; ++index)
            asio::co_spawn(relay.loop, callInLoop(relay, vm, target, end, figures), asio::detached);
        co_await rest(relay.loop, std::chrono::seconds(relay.options.seconds));
        co_await untilDone(relay);
        const auto after = usageOf(relay.options.pid);
        const auto count = static_cast<double>(figures.latencies.size());
        const auto perSecond = count / std::chrono::duration<double>(Clock::now() - begin).count();
        std::cout << "requests/s at saturation," << perSecond << "\nfailures," << figures.failures
                  << "\nprocessor time a request us," << microseconds(after.processor - before.processor) / count
                  << "\n";
        co_return perSecond;
    }

    /// Open loop at a fixed rate, direct and relayed calls in turn.
    asio::awaitable<void> measureLatency(Relay& relay, Endpoint vm, std::string target, double perSecond)
    {
        const auto direct = parseEndpoint(relay.options.direct).value();
        Figures relayed;
        Figures plain;
        const auto gap = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
        const auto end = Clock::now() + std::chrono::seconds(relay.options.seconds);
        auto next = Clock::now();
        while (next < end) {
            asio::co_spawn(relay.loop, callCounted(relay, vm, target, relayed), asio::detached);
            asio::co_spawn(relay.loop, callCounted(relay, direct, "/bookings", plain), asio::detached);
            next += gap;
            co_await rest(relay.loop, next - Clock::now());
        }
        co_await untilDone(relay);
        for (const double fraction : { 0.5, 0.99 }) {
            const auto added = quantile(relayed.latencies, fraction) - quantile(plain.latencies, fraction);
            std::cout << "p" << fraction * 100 << " direct us," << quantile(plain.latencies, fraction) << "\np"
                      << fraction * 100 << " relayed us," << quantile(relayed.latencies, fraction) << "\np"
                      << fraction * 100 << " added us," << added << "\n";
        }
        std::cout << "failures at half load," << relayed.failures + plain.failures << "\n";
    }

    asio::awaitable<void> measureTokens(Relay& relay, Endpoint vm)
    {
        Figures figures;
        const auto before = usageOf(relay.options.pid);
        for (std::uint64_t index = 0; index < relay.options.streams; ++index)
            asio::co_spawn(relay.loop, streamOnce(relay, vm, relay.options.tokens, figures), asio::detached);
        co_await rest(relay.loop, settleTime);
        co_await untilDone(relay);
        const auto after = usageOf(relay.options.pid);
        std::cout << "streamed events," << figures.tokens << "\nstream failures," << figures.failures
                  << "\nprocessor time a streamed event us,"
                  << microseconds(after.processor - before.processor) / static_cast<double>(figures.tokens) << "\n";
    }

    asio::awaitable<void> measureMemory(Relay& relay, Endpoint vm)
    {
        Figures figures;
        const auto before = usageOf(relay.options.pid);
        for (std::uint64_t index = 0; index < relay.options.openStreams; ++index)
            asio::co_spawn(relay.loop, streamOnce(relay, vm, 100000, figures), asio::detached);
        co_await rest(relay.loop, std::chrono::seconds(relay.options.seconds));
        const auto after = usageOf(relay.options.pid);
        const auto growth = static_cast<double>(after.residentBytes) - static_cast<double>(before.residentBytes);
        std::cout << "open streams," << relay.running << "\nstream failures," << figures.failures
                  << "\nmemory an open stream KB," << growth / 1000 / static_cast<double>(relay.running) << "\n";
    }

    asio::awaitable<void> measureAll(Relay& relay)
    {
        const auto vm = parseEndpoint(relay.options.vm).value();
        const std::string target = "/v1/services/" + relay.options.servicePool + "/bookings";
        if (relay.options.openStreams > 0) {
            co_await measureMemory(relay, vm);
        } else {
            const auto perSecond = co_await measureCapacity(relay, vm, target);
            co_await measureLatency(relay, vm, target, perSecond / 2);
            co_await measureTokens(relay, vm);
        }
        relay.loop.stop();
    }

    int runRelay(const RelayOptions& options)
    {
        if (!parseEndpoint(options.vm) || !parseEndpoint(options.direct)) {
            std::cerr << "--vm and --direct take IP:PORT\n";
            return 2;
        }
        asio::io_context loop(1);
        Relay relay(options, loop);
        asio::co_spawn(loop, measureAll(relay), asio::detached);
        loop.run();
        return 0;
    }

} // namespace

void addRelay(CLI::App& app, std::function<int()>& run)
{
    const auto options = std::make_shared<RelayOptions>();
    auto* command = app.add_subcommand("relay", "what a VM adds to a call: latency, processor time, memory");
    command->add_option("--vm", options->vm, "callers' IP:PORT of the VM");
    command->add_option("--direct", options->direct, "IP:PORT of the service that direct calls go to");
    command->add_option("--service-pool", options->servicePool, "pool of plain services");
    command->add_option("--engine-pool", options->enginePool, "pool of engines");
    command->add_option("--pid", options->pid, "process id of the VM's daemon")->required();
    command->add_option("--seconds", options->seconds, "length of each phase");
    command->add_option("--callers", options->callers, "callers at once at saturation");
    command->add_option("--streams", options->streams, "streams at once");
    command->add_option("--tokens", options->tokens, "tokens of each stream");
    command->add_option("--open-streams", options->openStreams, "measure only the memory of this many open streams");
    command->callback([options, &run] { run = [options] { return runRelay(*options); }; });
}

} // namespace topaztack::bench
