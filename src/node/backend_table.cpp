#include <topaztack/node/backend_table.hpp>

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

Result<ChosenBackend> BackendTable::choose(const Document& document, const PoolName& pool)
{
    const BackendSettings* best = nullptr;
    std::shared_ptr<BackendLoad> bestLoad;
    std::pair<std::uint32_t, bool> bestCost;
    for (const auto& backend : document.backends) {
        if (backend.pool != pool || backend.draining)
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
        return makeError(ErrorKind::NoBackendServer, "pool `" + pool.value() + "` has no backend server in use");
    return ChosenBackend { *best, InFlightHold(std::move(bestLoad)) };
}

} // namespace topaztack
