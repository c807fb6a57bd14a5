#include <topaztack/samples/item_length.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

TEST_GROUP(ItemLength) {};

TEST(ItemLength, RemainingEventsAreZeroBeforeAnyItemFinished)
{
    DOUBLES_EQUAL(0, remainingEvents({}, 100, 0), 0);
    LengthModel model;
    recordItemLength(model, 7, 0);
    DOUBLES_EQUAL(0, remainingEvents(model, 100, 0), 0);
}

TEST(ItemLength, EstimatesAreScaledByTheLengthsOfFinishedItems)
{
    LengthModel model;
    recordItemLength(model, 10, 770);
    recordItemLength(model, 20, 1540);
    DOUBLES_EQUAL(30, remainingEvents(model, 2310, 0), 0.001);
    DOUBLES_EQUAL(5, remainingEvents(model, 770, 5), 0.001);
}

// A tenth of the items is five times as long as the rest, which their estimates do not show.
TEST(ItemLength, ItemPastItsEstimateIsExpectedToContinue)
{
    LengthModel model;
    recordItemLength(model, 10, 770);
    DOUBLES_EQUAL(30, remainingEvents(model, 770, 100), 0.001);
}

TEST(ItemLength, FinalTokensEqualTheEstimateUntilItIsExceeded)
{
    LONGS_EQUAL(700, expectedFinalTokens({}, 700, 3));
    LengthModel model;
    recordItemLength(model, 10, 770);
    LONGS_EQUAL(770, expectedFinalTokens(model, 770, 0));
    LONGS_EQUAL(10010, expectedFinalTokens(model, 770, 100));
}

// Answers get shorter as a model learns, so early steps must not weigh as much as recent ones.
TEST(ItemLength, OlderItemsWeighLess)
{
    LengthModel model;
    for (int item = 0; item < 10000; ++item)
        recordItemLength(model, 20, 1000);
    for (int item = 0; item < 10000; ++item)
        recordItemLength(model, 10, 1000);
    DOUBLES_EQUAL(10, remainingEvents(model, 1000, 0), 0.1);
}
