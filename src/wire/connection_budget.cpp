#include <topaztack/wire/connection_budget.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    /// Part of the budget that is kept for small requests.
    constexpr std::size_t reservedPart = 8;

    /// Part of the process's memory that stays free beside what was measured.
    constexpr std::size_t freePart = 16;
    /// Part of what was planned that connections may hold in any case.
    constexpr std::size_t minPart = 8;

    ConnectionBudget::List& listOf(ConnectionBudget& budget, ConnectionPhase phase)
    {
        return budget.byPhase.at(static_cast<std::size_t>(phase));
    }

    void unlink(ConnectionBudget& budget, ConnectionUse& use)
    {
        if (use.is_linked())
            listOf(budget, use.phase).erase(ConnectionBudget::List::s_iterator_to(use));
    }

    ConnectionUse* firstOf(ConnectionBudget& budget, ConnectionPhase phase)
    {
        auto& list = listOf(budget, phase);
        return list.empty() ? nullptr : &list.front();
    }

    /// The longest stalled connection that reads a request or writes an answer.
    ConnectionUse* firstStalled(ConnectionBudget& budget, TimePoint now)
    {
        auto* receiving = firstOf(budget, ConnectionPhase::Receiving);
        auto* sending = firstOf(budget, ConnectionPhase::Sending);
        auto* first = receiving;
        if (!first || (sending && sending->progressAt < first->progressAt))
            first = sending;
        return first && now - first->progressAt >= stallTime ? first : nullptr;
    }

    void evict(ConnectionBudget& budget, ConnectionUse& use)
    {
        unlink(budget, use);
        use.isEvicted = true;
        use.evictedIn = use.phase;
        budget.heldByEvicted += use.held;
        ++budget.evictedConnections;
    }

} // namespace

std::size_t maxHeldBeside(
    const ConnectionBudget& budget, std::size_t planned, std::size_t processMemory, std::size_t resident)
{
    const auto others = resident - std::min(resident, budget.held);
    const auto usable = processMemory - processMemory / freePart;
    const auto left = usable - std::min(usable, others);
    return std::clamp(left, planned / minPart, planned);
}

void join(ConnectionBudget& budget, ConnectionUse& use, TimePoint now)
{
    ++budget.connections;
    use.progressAt = now;
    listOf(budget, use.phase).push_back(use);
}

void leave(ConnectionBudget& budget, ConnectionUse& use)
{
    unlink(budget, use);
    --budget.connections;
    budget.held -= use.held;
    if (!use.isEvicted)
        return;
    budget.heldByEvicted -= use.held;
    --budget.evictedConnections;
}

void changePhase(ConnectionBudget& budget, ConnectionUse& use, ConnectionPhase phase, TimePoint now)
{
    unlink(budget, use);
    use.phase = phase;
    use.progressAt = now;
    use.moved = 0;
    if (!use.isEvicted)
        listOf(budget, phase).push_back(use);
}

void recordProgress(ConnectionBudget& budget, ConnectionUse& use, std::size_t bytes, TimePoint now)
{
    use.moved += bytes;
    if (use.moved >= minProgress)
        changePhase(budget, use, use.phase, now);
}

bool tryHold(ConnectionBudget& budget, ConnectionUse& use, std::size_t size)
{
    const auto held = budget.held - use.held + size;
    if (size > use.held) {
        const bool isWithinOpenPart = held <= budget.maxHeld - budget.maxHeld / reservedPart;
        const bool leavesAsMuch = held <= budget.maxHeld && size <= budget.maxHeld - held;
        const bool isAlone = held <= budget.maxHeld - budget.maxHeld / (2 * reservedPart)
            && held - size <= budget.maxHeld / reservedPart;
        if (!isWithinOpenPart && !leavesAsMuch && !isAlone)
            return false;
    }
    if (use.isEvicted)
        budget.heldByEvicted = budget.heldByEvicted - use.held + size;
    budget.held = held;
    use.held = size;
    return true;
}

bool tryHoldOptional(ConnectionBudget& budget, ConnectionUse& use, std::size_t size)
{
    return budget.held - use.held + size <= budget.maxHeld / 2 && tryHold(budget, use, size);
}

std::vector<ConnectionUse*> evictStalled(ConnectionBudget& budget, TimePoint now)
{
    std::vector<ConnectionUse*> evicted;
    while (budget.held - budget.heldByEvicted > budget.maxHeld / 2) {
        auto* use = firstStalled(budget, now);
        if (!use)
            break;
        evict(budget, *use);
        evicted.push_back(use);
    }
    return evicted;
}

ConnectionUse* evictForNewConnection(ConnectionBudget& budget, TimePoint now)
{
    auto* chosen = firstOf(budget, ConnectionPhase::Closing);
    if (!chosen)
        chosen = firstStalled(budget, now);
    if (!chosen)
        chosen = firstOf(budget, ConnectionPhase::Idle);
    if (!chosen)
        chosen = firstOf(budget, ConnectionPhase::Receiving);
    if (chosen)
        evict(budget, *chosen);
    return chosen;
}

} // namespace topaztack
