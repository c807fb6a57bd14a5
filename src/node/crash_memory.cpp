#include <topaztack/node/crash_memory.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/wire/content_digest.hpp>

#include <algorithm>

namespace topaztack {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr Duration probeTimeout = 150ms;
    constexpr std::size_t maxRequests = 10'000;
    /// A server that ended is not back sooner; several attempts that see its end count once.
    constexpr Duration minTimeBetweenEnds = 1s;

    std::string contentOf(const CallInHand& call)
    {
        return contentDigest({ call.caller.value(), call.request.method, call.request.target, call.request.body });
    }

} // namespace

CrashMemory::CrashMemory(NodeContext& context)
    : context(context)
    , ends(context.metrics.counter("topaztack_server_ends_total", "Servers that ended while they ran a request"))
    , refused(context.metrics.counter(
          "topaztack_held_requests_refused_total", "Requests refused since they crash the servers that run them"))
{
}

bool CrashMemory::isHeld(const CallInHand& call)
{
    const std::lock_guard guard(this->lock);
    if (this->evidence.empty())
        return false;
    const auto now = Clock::now();
    std::erase_if(this->evidence, [now](const auto& each) { return isOutdated(each.second, now); });
    const auto found = this->evidence.find(contentOf(call));
    const bool isHeld = found != this->evidence.end() && judge(found->second, now) == CrashVerdict::Held;
    if (isHeld)
        this->refused.add();
    return isHeld;
}

void CrashMemory::recordEnd(const CallInHand& call, const BackendName& server)
{
    const std::lock_guard guard(this->lock);
    const auto content = contentOf(call);
    if (this->evidence.size() >= maxRequests && !this->evidence.contains(content))
        return;
    const auto now = Clock::now();
    auto& known = this->evidence[content];
    // A server's starts have no names of their own here.
    const bool isSeen = std::any_of(
        known.ends.begin(), known.ends.end(), [&server](const auto& end) { return end.first.name == server; });
    if (isSeen && now - known.lastAt < minTimeBetweenEnds)
        return;
    // What other VMs run at the server is not known, so the request never counts as the only suspected one.
    topaztack::recordEnd(known, { server, unixTime() }, false, now);
    this->ends.add();
    logEvent(LogLevel::Warning, "request-suspected",
        { { "request", call.id.value() }, { "content", content }, { "server", server.value() },
            { "ends", std::to_string(known.ends.size()) } });
}

asio::awaitable<void> CrashMemory::recordBreak(const CallInHand& call, BackendName server, Endpoint endpoint)
{
    const auto probed = co_await this->context.clients().backends.probe(
        std::move(endpoint), Clock::now() + probeTimeout, ProbeMode::AnyConnection);
    if (probed == ProbeResult::Refused)
        this->recordEnd(call, server);
}

void CrashMemory::recordRun(const CallInHand& call)
{
    const std::lock_guard guard(this->lock);
    if (!this->evidence.empty())
        this->evidence.erase(contentOf(call));
}

} // namespace topaztack
