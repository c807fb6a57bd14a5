#include <topaztack/wire/content_digest.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

TEST_GROUP(ContentDigest) {};

TEST(ContentDigest, EqualTextsHaveTheSameDigestAndOthersHaveNot)
{
    LONGS_EQUAL(32, contentDigest({ "POST", "/orders", "two chapels" }).size());
    CHECK_TRUE(
        contentDigest({ "POST", "/orders", "two chapels" }) == contentDigest({ "POST", "/orders", "two chapels" }));
    CHECK_TRUE(
        contentDigest({ "POST", "/orders", "two chapels" }) != contentDigest({ "POST", "/orders", "two chapel" }));
}

// Moving a byte from one field to the next gave the same joined text.
TEST(ContentDigest, TextsThatAreEqualOnlyOnceJoinedDiffer)
{
    CHECK_TRUE(contentDigest({ "/a", "bc" }) != contentDigest({ "/ab", "c" }));
    CHECK_TRUE(contentDigest({ "ab" }) != contentDigest({ "ab", "" }));
}
