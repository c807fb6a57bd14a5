#include <topaztack/node/backend_table.hpp>

#include <algorithm>

namespace topaztack {

BackendTable::BackendTable(NodeContext& context)
    : context(context)
{
}

std::shared_ptr<BackendLoad> BackendTable::loadOf(const BackendName& name)
{
    const std::lock_guard guard(this->lock);
    auto& load = this->loads[name];
    if (!load)
        load = std::make_shared<BackendLoad>();
    return load;
}

boost::asio::awaitable<SlotResult> BackendTable::acquire(SlotRequest request)
{
    const auto accepted = this->context.document();
    const BackendSettings* best = nullptr;
    std::shared_ptr<BackendLoad> bestLoad;
    std::pair<std::uint32_t, bool> bestCost;
    for (const auto& backend : accepted->document.backends) {
        const bool isAvoided
            = std::find(request.avoid.begin(), request.avoid.end(), backend.name) != request.avoid.end();
        if (backend.pool != request.pool || backend.draining || isAvoided)
            continue;
        auto load = this->loadOf(backend.name);
        const std::pair cost { load->inFlight.load(std::memory_order_relaxed),
            backend.dataCentre != this->context.settings.dataCentre };
        if (best && cost >= bestCost)
            continue;
        best = &backend;
        bestLoad = std::move(load);
        bestCost = cost;
    }
    if (!best)
        co_return SlotRefusal { makeError(
            ErrorKind::NoBackendServer, "pool `" + request.pool.value() + "` has no backend server in use") };
    co_return ChosenBackend { *best, InFlightHold(std::move(bestLoad)) };
}

} // namespace topaztack
