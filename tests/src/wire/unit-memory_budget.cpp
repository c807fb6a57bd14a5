#include <topaztack/wire/memory_budget.hpp>

#include <CppUTest/TestHarness.h>

#include <list>

using namespace topaztack;

namespace {

constexpr std::size_t limit = 1200;

} // namespace

TEST_GROUP(MemoryBudget)
{
    std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(MemoryBudget { limit });
};

TEST(MemoryBudget, OneTransferMayHoldHalfOfIt)
{
    BudgetShare share(this->budget);
    CHECK_TRUE(share.resize(limit / 2));
    CHECK_FALSE(share.resize(limit / 2 + 1));
    LONGS_EQUAL(limit / 2, this->budget->used);
}

// Pattern: many answers grow without end at the same pace.
TEST(MemoryBudget, TransfersWithoutEndLeaveRoomForSmallOnes)
{
    static constexpr std::size_t transfers = 5;
    std::list<BudgetShare> endless;
    for (std::size_t transfer = 0; transfer < transfers; ++transfer)
        endless.emplace_back(this->budget);
    std::size_t size = 0;
    bool isGrowing = true;
    while (isGrowing) {
        ++size;
        for (auto& share : endless)
            isGrowing = share.resize(size) && isGrowing;
    }
    CHECK_TRUE(this->budget->used <= limit);
    BudgetShare small(this->budget);
    CHECK_TRUE(small.resize(limit / (transfers + 1) / 2));
}

TEST(MemoryBudget, SharesAreReturned)
{
    {
        BudgetShare share(this->budget);
        CHECK_TRUE(share.resize(500));
        CHECK_TRUE(share.resize(20));
        LONGS_EQUAL(20, this->budget->used);
    }
    LONGS_EQUAL(0, this->budget->used);
}
