#include <topaztack/node/backend_table.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr auto followInterval = 100ms;
    constexpr auto pollInterval = 1s;
    constexpr auto pollTimeout = 900ms;
    /// All VMs together read the list of VMs at most so often.
    constexpr auto vmListInterval = 20ms;
    constexpr auto shortestVmListInterval = 1s;

    struct EngineReport {
        LoadReport load;
        bool takesRollouts { true };
    };

    EngineReport parseReport(std::string_view body, TimePoint now)
    {
        const auto value = json::parse(body).as_object();
        const auto number = [&](std::string_view name) {
            const auto* found = value.if_contains(name);
            return found && found->is_number() ? found->to_number<std::uint32_t>() : 0U;
        };
        EngineReport report;
        report.load = { number("running"), number("queued"), now - std::chrono::milliseconds(number("age_ms")), true };
        const auto* version = value.if_contains("version");
        const auto* swapping = value.if_contains("swapping");
        const bool isSwapping = swapping && swapping->is_bool() && swapping->as_bool();
        report.takesRollouts = !isSwapping && !(version && version->is_null());
        return report;
    }

    struct CacheEvents {
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> evicted;
        std::uint64_t next { 0 };
    };

    CacheEvents parseEvents(std::string_view body)
    {
        const auto value = json::parse(body);
        CacheEvents events;
        events.next = value.at("next").to_number<std::uint64_t>();
        for (const auto& event : value.at("events").as_array()) {
            const auto text = json::value_to<std::string>(event.at("block"));
            std::uint64_t block = 0;
            std::from_chars(text.data(), text.data() + text.size(), block, 16);
            (event.at("kind").as_string() == "stored" ? events.stored : events.evicted).push_back(block);
        }
        return events;
    }

    HttpRequest getRequest(std::string target)
    {
        HttpRequest request;
        request.target = std::move(target);
        return request;
    }

    const BackendSettings* findBackend(const Document& document, const BackendName& name)
    {
        for (const auto& backend : document.backends) {
            if (backend.name == name)
                return &backend;
        }
        return nullptr;
    }

    AdmissionRequest askFor(SlotRequest request, std::uint64_t weight)
    {
        AdmissionRequest ask;
        ask.request.requestClass = request.requestClass;
        ask.request.trainer = std::move(request.trainer);
        ask.request.weight = weight;
        ask.request.deadline = request.deadline;
        ask.blocks = std::move(request.blocks);
        ask.avoid = std::move(request.avoid);
        ask.mayUseAvoided = request.mayUseAvoided;
        ask.oldestVersion = request.oldestVersion;
        ask.isRollout = request.isRollout;
        return ask;
    }

    asio::awaitable<void> pause(asio::io_context& loop, Duration time)
    {
        asio::steady_timer timer(loop, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

} // namespace

BackendTable::BackendTable(NodeContext& context)
    : context(context)
{
}

void BackendTable::start()
{
    auto& loop = this->context.threads.at(0);
    asio::co_spawn(loop, this->follow(), asio::detached);
    asio::co_spawn(loop, this->pollEngines(), asio::detached);
    asio::co_spawn(loop, this->pollVmList(), asio::detached);
}

/// Called with the lock held.
void BackendTable::takeDocument(const AcceptedDocument& accepted)
{
    if (accepted.version == this->refreshedFor)
        return;
    this->refreshedFor = accepted.version;
    for (const auto& pool : accepted.document.pools) {
        auto& known = this->pools[pool.name];
        if (!known)
            known = std::make_shared<SlotPool>(this->context, pool.name);
    }
    for (const auto& [name, pool] : this->pools)
        pool->refresh(accepted.document);
}

std::shared_ptr<SlotPool> BackendTable::poolOf(const PoolName& name)
{
    const auto accepted = this->context.document();
    const std::lock_guard guard(this->lock);
    this->takeDocument(*accepted);
    const auto found = this->pools.find(name);
    return found == this->pools.end() ? nullptr : found->second;
}

asio::awaitable<SlotResult> BackendTable::acquire(SlotRequest request)
{
    const auto accepted = this->context.document();
    const auto pool = this->poolOf(request.pool);
    if (!pool)
        co_return NoSlot { makeError(ErrorKind::UnknownPool, "no pool `" + request.pool.value() + "`"), 1s };
    const auto requestClass = request.requestClass;
    const auto* trainer = findTrainer(accepted->document, request.trainer);
    auto slot = co_await pool->acquire(askFor(std::move(request), trainer ? trainer->weight : 1));
    if (!slot)
        co_return std::move(slot).error();
    SlotHold hold(pool, slot.value(), requestClass);
    const auto newest = this->context.document();
    const auto* backend = findBackend(newest->document, slot.value());
    if (!backend)
        co_return NoSlot { makeError(ErrorKind::NoBackendServer, "the document in force changed"), 1s };
    co_return ChosenBackend { *backend, std::move(hold) };
}

std::vector<std::shared_ptr<SlotPool>> BackendTable::allPools(const AcceptedDocument& accepted)
{
    const std::lock_guard guard(this->lock);
    this->takeDocument(accepted);
    std::vector<std::shared_ptr<SlotPool>> list;
    for (const auto& [name, pool] : this->pools)
        list.push_back(pool);
    return list;
}

/// Membership, weight versions and passing time change what slots there are.
asio::awaitable<void> BackendTable::follow()
{
    std::uint64_t holders = 0;
    WeightViewPtr weights;
    while (true) {
        co_await pause(this->context.threads.at(0), followInterval);
        const auto accepted = this->context.document();
        if (!accepted)
            continue;
        const auto newHolders = slotHoldersDigest(this->context);
        auto newWeights = this->context.weights.load();
        const bool isChanged = newHolders != holders || newWeights != weights;
        holders = newHolders;
        weights = std::move(newWeights);
        for (const auto& pool : this->allPools(*accepted)) {
            if (isChanged)
                pool->refresh(accepted->document);
            pool->tick();
        }
    }
}

asio::awaitable<void> BackendTable::pollEngines()
{
    auto& loop = this->context.threads.at(0);
    while (true) {
        co_await pause(loop, pollInterval);
        const auto accepted = this->context.document();
        if (!accepted)
            continue;
        for (const auto& settings : accepted->document.pools) {
            if (settings.kind != PoolKind::Engine)
                continue;
            const auto pool = this->poolOf(settings.name);
            for (const auto& name : pool ? pool->servers() : std::vector<BackendName> {}) {
                const auto* backend = findBackend(accepted->document, name);
                if (backend && !std::exchange(this->isPolled[name], true))
                    asio::co_spawn(loop, this->pollEngine(pool, *backend), asio::detached);
            }
        }
    }
}

asio::awaitable<void> BackendTable::pollEngine(std::shared_ptr<SlotPool> pool, BackendSettings backend)
{
    const auto begin = Clock::now();
    auto answer = co_await this->context.clients().backends.call(
        backend.endpoint, getRequest("/engine/load"), begin + pollTimeout);
    if (answer) {
        if (!findHeader(answer.value().headers, leavingHeader).empty())
            pool->noteLeaving(backend.name);
        try {
            const auto report = parseReport(answer.value().body, Clock::now());
            pool->noteReport(backend.name, report.load, report.takesRollouts);
        } catch (const std::exception&) {
            pool->noteSign(backend.name, HealthSignal::Failed, 0us);
        }
        co_await this->pollEvents(pool, backend);
    } else {
        const bool isUnreachable = answer.error().progress == AttemptProgress::NothingWritten;
        pool->noteSign(backend.name, isUnreachable ? HealthSignal::Unreachable : HealthSignal::Failed, 0us);
    }
    this->isPolled[backend.name] = false;
}

asio::awaitable<void> BackendTable::pollEvents(std::shared_ptr<SlotPool> pool, BackendSettings backend)
{
    const auto target = "/engine/events?after=" + std::to_string(this->nextEvent[backend.name]);
    auto answer = co_await this->context.clients().backends.call(
        backend.endpoint, getRequest(target), Clock::now() + pollTimeout);
    if (!answer || answer.value().status != 200)
        co_return;
    try {
        const auto events = parseEvents(answer.value().body);
        this->nextEvent[backend.name] = events.next;
        pool->noteCacheEvents(backend.name, events.stored, events.evicted);
    } catch (const std::exception&) {
        this->nextEvent[backend.name] = 0;
    }
}

/// The platform's list names leaving machines; a backend server is found there by its address.
asio::awaitable<void> BackendTable::pollVmList()
{
    auto& loop = this->context.threads.at(0);
    while (true) {
        const auto view = this->context.members.load();
        const auto vms = view ? view->members.size() : this->context.settings.peerList.size() + 1;
        co_await pause(loop, std::max<Duration>(shortestVmListInterval, vmListInterval * vms));
        const auto accepted = this->context.document();
        if (!accepted)
            continue;
        const auto listed = co_await this->context.clients().platform.listVms();
        if (!listed)
            continue;
        for (const auto& vm : listed.value()) {
            for (const auto& backend : accepted->document.backends) {
                const auto pool
                    = vm.isLeaving && backend.endpoint == vm.endpoint ? this->poolOf(backend.pool) : nullptr;
                if (pool)
                    pool->noteLeaving(backend.name);
            }
        }
    }
}

json::value BackendTable::dump() const
{
    json::object all;
    const std::lock_guard guard(this->lock);
    for (const auto& [name, pool] : this->pools)
        all[name.value()] = pool->dump();
    return all;
}

} // namespace topaztack
