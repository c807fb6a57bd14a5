#include <topaztack/base/utf8.hpp>

#include <CppUTest/TestHarness.h>
#include <boost/json.hpp>
#include <rapidcheck.h>

using namespace topaztack;

TEST_GROUP(Utf8) {};

TEST(Utf8, CharactersOfAllLengthsAreAccepted)
{
    for (const std::string_view text : { "", "plain", "\x7f", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf",
             "\xee\x80\x80", "\xef\xbf\xbf", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf", "Quito\xe2\x80\x93Riobamba" })
        CHECK_TRUE(isUtf8(text));
    CHECK_TRUE(isUtf8(std::string_view("\0", 1)));
}

TEST(Utf8, MalformedSequencesAreRefused)
{
    for (const std::string_view text :
        { "\x80", "\xff", "\xc0\xaf", "\xc1\xbf", "\xe0\x9f\xbf", "\xed\xa0\x80", "\xed\xbf\xbf", "\xf0\x8f\xbf\xbf",
            "\xf4\x90\x80\x80", "\xf5\x80\x80\x80", "\xe2\x82", "\xe2\x82x", "a\xc2", "\xf0\x9f\x98" })
        CHECK_FALSE(isUtf8(text));
}

// A text that is accepted and that the JSON library can't parse again would make the row that holds it unreadable.
TEST(Utf8, ATextIsAcceptedExactlyIfJsonCanBeParsedAgain)
{
    // Lead bytes and bytes at the borders of the ranges that may follow them.
    const auto byte = rc::gen::oneOf(rc::gen::arbitrary<std::uint8_t>(),
        rc::gen::element<std::uint8_t>(0x22, 0x5c, 0x7f, 0x80, 0x8f, 0x90, 0x9f, 0xa0, 0xbf, 0xc0, 0xc1, 0xc2, 0xdf,
            0xe0, 0xed, 0xef, 0xf0, 0xf4, 0xf5));
    CHECK_TRUE(rc::check([&] {
        const auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(byte);
        const std::string text(bytes.begin(), bytes.end());
        boost::system::error_code problem;
        const auto parsed = boost::json::parse(boost::json::serialize(boost::json::string(text)), problem);
        RC_ASSERT(isUtf8(text) == !problem);
        if (!problem)
            RC_ASSERT(parsed.as_string() == text);
    }));
}
