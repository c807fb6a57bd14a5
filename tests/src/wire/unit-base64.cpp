#include <topaztack/wire/base64.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace topaztack;

TEST_GROUP(Base64) {};

TEST(Base64, KnownValues)
{
    STRCMP_EQUAL("", encodeBase64("").c_str());
    STRCMP_EQUAL("bm9kZS0x", encodeBase64("node-1").c_str());
    STRCMP_EQUAL("YQ==", encodeBase64("a").c_str());
    CHECK_TRUE(decodeBase64("bm9kZS0x") == "node-1");
    CHECK_TRUE(decodeBase64("YWI=") == "ab");
}

TEST(Base64, AnyBytesComeBack)
{
    CHECK_TRUE(rc::check([](const std::string& bytes) { RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes); }));
}

TEST(Base64, WhatIsNoBase64IsRefused)
{
    for (const auto* text : { "a", "ab", "abc", "abc!", "ab=c", "=abc", "====", "ab==ab==", "YQ==\n" })
        CHECK_FALSE(decodeBase64(text).has_value());
}
