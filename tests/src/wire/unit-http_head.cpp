#include "../../../src/wire/http_head.hpp"

#include <CppUTest/TestHarness.h>

using namespace topaztack;

namespace {

std::size_t endOf(const std::string& text)
{
    const auto [place, isFound] = HeadEnd {}(text.begin(), text.end());
    return isFound ? static_cast<std::size_t>(place - text.begin()) : std::string::npos;
}

bool passes(const std::vector<HttpHeader>& headers, unsigned version = 11)
{
    return !checkFields(headers, version).has_value();
}

} // namespace

TEST_GROUP(HttpHead) {};

TEST(HttpHead, EndsAtAnEmptyLineOrABareLineFeed)
{
    CHECK_TRUE(endOf("GET / HTTP/1.1\r\nA: b\r\n\r\nrest") == 24);
    CHECK_TRUE(endOf("GET / HTTP/1.1\r\nA: b\r\n") == std::string::npos);
    CHECK_TRUE(endOf("GET / HTTP/1.1\nA: b") == 15);
    CHECK_TRUE(endOf("") == std::string::npos);
}

TEST(HttpHead, AmbiguousBytesAreRefused)
{
    CHECK_FALSE(checkHead("GET / HTTP/1.1\r\nA: b\r\n\r\n").has_value());
    for (const std::string text : { "GET / HTTP/1.1\nA: b\r\n\r\n", "GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n",
             "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "GET / HTTP/1.1\r\nA: b\r\n\tc\r\n\r\n",
             "GET / HTTP/1.1\r\nA: \x01\r\n\r\n", "\nGET / HTTP/1.1\r\n\r\n" })
        CHECK_TRUE(checkHead(text).has_value());
    CHECK_TRUE(checkHead(std::string("GET / HTTP/1.1\r\nA: b\0\r\n\r\n", 25)).has_value());
}

TEST(HttpHead, LengthsMustBeSaidOnceAndOneWay)
{
    CHECK_TRUE(passes({ { "Content-Length", "3" } }));
    CHECK_TRUE(passes({ { "transfer-encoding", "Chunked" } }));
    CHECK_FALSE(passes({ { "Content-Length", "3" }, { "content-length", "3" } }));
    CHECK_FALSE(passes({ { "Content-Length", "3" }, { "Transfer-Encoding", "chunked" } }));
    CHECK_FALSE(passes({ { "Transfer-Encoding", "xchunked" } }));
    CHECK_FALSE(passes({ { "Transfer-Encoding", "gzip, chunked" } }));
    CHECK_FALSE(passes({ { "Transfer-Encoding", "chunked" }, { "Transfer-Encoding", "chunked" } }));
    CHECK_FALSE(passes({ { "Transfer-Encoding", "chunked" } }, 10));
    CHECK_FALSE(passes({ { "Host", "a" }, { "Host", "b" } }));
    CHECK_FALSE(passes(std::vector<HttpHeader>(101, { "A", "b" })));
}
