#include "standins/platform_api.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <stdexcept>

namespace topaztack::test {

namespace asio = boost::asio;
namespace json = boost::json;

PlatformApiStandin::PlatformApiStandin(IoThreads& threads, std::chrono::milliseconds silence)
    : silence(silence)
    , server(
          threads, { "127.0.0.1", 0 }, [] { return HttpServerLimits {}; },
          [this](HttpExchange& exchange) { return this->handle(exchange); }, this->metrics, "platform-api")
{
    if (!this->server.start())
        throw std::runtime_error("platform stand-in can't listen");
}

std::vector<DutyCall> PlatformApiStandin::calls() const
{
    const std::lock_guard guard(this->lock);
    return this->taken;
}

std::optional<std::map<std::string, std::uint64_t>> PlatformApiStandin::report(std::uint64_t window) const
{
    const std::lock_guard guard(this->lock);
    const auto found = this->countsByWindow.find(window);
    if (found == this->countsByWindow.end())
        return std::nullopt;
    return found->second;
}

std::size_t PlatformApiStandin::reports() const
{
    const std::lock_guard guard(this->lock);
    return this->countsByWindow.size();
}

std::vector<std::string> PlatformApiStandin::violations() const
{
    const std::lock_guard guard(this->lock);
    return this->broken;
}

/// Rules about one subject: a number belongs to one holder, numbers don't fall, and holders don't alternate.
void PlatformApiStandin::checkHolder(const std::string& subject, const DutyCall& call)
{
    auto& earlier = this->subjects[subject].calls;
    const auto describe = [&](const std::string& rule) {
        this->broken.push_back(rule + ": " + subject + " " + call.holder + " " + std::to_string(call.fencingNumber));
    };
    for (const auto& other : earlier) {
        if (other.fencingNumber == call.fencingNumber && other.holder != call.holder)
            describe("two holders with one number");
        if (other.fencingNumber > call.fencingNumber)
            describe("lower number after a higher one");
    }
    const auto ownLast = std::find_if(
        earlier.rbegin(), earlier.rend(), [&](const auto& other) { return other.holder == call.holder; });
    if (ownLast != earlier.rend() && ownLast != earlier.rbegin() && call.at - ownLast->at < this->silence)
        describe("holder returned within the silence");
    earlier.push_back(call);
}

void PlatformApiStandin::take(const HttpRequest& request)
{
    DutyCall call;
    call.path = request.target;
    call.body = request.body;
    call.holder = findHeader(request.headers, "Topaztack-Duty-Holder");
    call.fencingNumber = std::stoull(std::string(findHeader(request.headers, "Topaztack-Fencing-Token")));
    call.at = Clock::now();
    const auto value = json::parse(request.body);
    const std::lock_guard guard(this->lock);
    if (call.path == "/usage") {
        this->checkHolder("usage", call);
        const auto window = value.at("windowNumber").to_number<std::uint64_t>();
        std::map<std::string, std::uint64_t> counts;
        for (const auto& [workspace, count] : value.at("counts").as_object())
            counts[std::string(workspace)] = count.to_number<std::uint64_t>();
        const auto [found, isNew] = this->countsByWindow.emplace(window, counts);
        if (!isNew && found->second != counts)
            this->broken.push_back("different counts for window " + std::to_string(window));
    } else {
        this->checkHolder(
            json::value_to<std::string>(value.at("service")) + "/" + json::value_to<std::string>(value.at("zone")),
            call);
    }
    this->taken.push_back(std::move(call));
}

asio::awaitable<void> PlatformApiStandin::handle(HttpExchange& exchange)
{
    ++this->attemptCount;
    HttpResponse response;
    response.status = 200;
    if (this->faults.isDown)
        response.status = 503;
    else if (this->faults.isLimited)
        response.status = 429;
    else if (this->faults.hasNoServers && exchange.request().target == "/scale")
        response.status = 409;
    if (response.status == 200) {
        this->take(exchange.request());
        if (this->faults.answersToLose > 0) {
            --this->faults.answersToLose;
            co_return;
        }
    }
    const auto delay = this->faults.answerDelay.load();
    if (delay.count() > 0) {
        asio::steady_timer timer(co_await asio::this_coro::executor, delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    response.body = "{}";
    co_await exchange.respond(std::move(response));
}

} // namespace topaztack::test
