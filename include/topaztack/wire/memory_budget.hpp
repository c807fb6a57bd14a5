#pragma once

#include <cstddef>
#include <memory>

/// @file
/// A limit for the memory of many transfers together, none of which states its size in advance.

namespace topaztack {

/// @brief Memory that transfers share. For one thread.
struct MemoryBudget {
    std::size_t limit { 0 };
    std::size_t used { 0 };
};

/// @brief Whether a transfer may grow. It may hold as much as stays free for others: one alone gets half of the budget,
/// n equal ones an (n+1)th part each. So transfers that never end are given up while small ones still find room.
/// @param held what the transfer holds of the budget.
/// @param size what it would hold then, in bytes.
bool mayGrow(const MemoryBudget& budget, std::size_t held, std::size_t size);

/// @brief What one transfer holds of a budget; returned to it at the end of the transfer.
class BudgetShare {
public:
    explicit BudgetShare(std::shared_ptr<MemoryBudget> budget);
    ~BudgetShare();
    BudgetShare(const BudgetShare&) = delete;
    BudgetShare& operator=(const BudgetShare&) = delete;

    /// @brief Changes what the transfer holds, in bytes.
    /// @return false if it may not grow so far; nothing has changed then.
    bool resize(std::size_t size);

private:
    std::shared_ptr<MemoryBudget> budget;
    std::size_t held { 0 };
};

} // namespace topaztack
