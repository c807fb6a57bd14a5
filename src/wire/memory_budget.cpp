#include <topaztack/wire/memory_budget.hpp>

#include <utility>

namespace topaztack {

bool mayGrow(const MemoryBudget& budget, std::size_t held, std::size_t size)
{
    const auto used = budget.used - held + size;
    return used <= budget.limit && size <= budget.limit - used;
}

BudgetShare::BudgetShare(std::shared_ptr<MemoryBudget> given)
    : budget(std::move(given))
{
}

BudgetShare::~BudgetShare() { this->budget->used -= this->held; }

bool BudgetShare::resize(std::size_t size)
{
    if (size > this->held && !mayGrow(*this->budget, this->held, size))
        return false;
    this->budget->used += size;
    this->budget->used -= this->held;
    this->held = size;
    return true;
}

} // namespace topaztack
