#include <topaztack/wire/sse.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <chrono>
#include <string>
#include <vector>

using namespace topaztack;

TEST_GROUP(Sse) {};

TEST(Sse, AnEventHasItsIdDataAndOtherFields)
{
    SseReader reader;
    reader.feed("x-version: 4\nid: 7\ndata: one\ndata: two\n\n");
    const auto event = reader.nextEvent();
    CHECK_TRUE(event.has_value());
    STRCMP_EQUAL("7", event->id.c_str());
    STRCMP_EQUAL("one\ntwo", event->data.c_str());
    LONGS_EQUAL(1, event->others.size());
    STRCMP_EQUAL("x-version", event->others[0].name.c_str());
    STRCMP_EQUAL("4", event->others[0].value.c_str());
    LONGS_EQUAL(0, reader.pending());
}

TEST(Sse, HalfAnEventIsPending)
{
    SseReader reader;
    reader.feed("id: 1\ndata: a\n\nid: 2\nda");
    CHECK_TRUE(reader.nextEvent().has_value());
    CHECK_FALSE(reader.nextEvent().has_value());
    LONGS_EQUAL(8, reader.pending());
}

TEST(Sse, CommentsAndEventsWithoutDataArePassedOver)
{
    SseReader reader;
    reader.feed(": note\n\nid: 1\n\nid: 2\r\ndata: b\r\n\r\n");
    const auto event = reader.nextEvent();
    STRCMP_EQUAL("2", event->id.c_str());
    STRCMP_EQUAL("b", event->data.c_str());
}

// A server's error between events, which callers took for a part of the stream.
TEST(Sse, TextThatBelongsToNoEventIsForeign)
{
    const auto isForeign = [](std::string_view text) {
        SseReader reader;
        reader.feed(text);
        while (reader.nextEvent()) { }
        return reader.hasForeignText();
    };
    CHECK_FALSE(isForeign(": note\n\nid: 1\n\nevent: x\nretry: 1000\n\nx-version: 4\nid: 2\r\ndata: b\r\n\r\n"));
    CHECK_TRUE(isForeign("id: 1\ndata: a\n\nout of memory\n\n"));
    CHECK_TRUE(isForeign("{\"error\":\"out of memory\"}\n\n"));
    CHECK_TRUE(isForeign("out of memory\nid: 1\ndata: a\n\n"));
}

TEST(Sse, EventsAndTheirBytesAreTheSameWhereverAStreamIsCut)
{
    rc::check("wherever a stream is cut", [] {
        const std::string text = ": hello\n\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: between\n\nid: 3\ndata: c\n\n";
        std::string seen;
        std::vector<std::string> ids;
        SseReader reader;
        std::size_t place = 0;
        while (place < text.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            reader.feed(std::string_view(text).substr(place, size));
            place += size;
            while (const auto event = reader.nextEvent()) {
                ids.push_back(event->id);
                seen += reader.bytes();
            }
        }
        RC_ASSERT(seen == text);
        RC_ASSERT((ids == std::vector<std::string> { "1", "2", "3" }));
        RC_ASSERT(reader.pending() == 0U);
    });
}

// A sender that ends no event and sends it in small pieces: each piece was searched from the start of the event.
TEST(Sse, TheTimeForAnEventGrowsWithItsSizeAlone)
{
    SseReader reader;
    static constexpr std::size_t pieces = 500'000;
    // A server has this long for an event.
    static constexpr std::chrono::milliseconds maxTime { 1500 };
    const auto startedAt = std::chrono::steady_clock::now();
    bool hasEvent = false;
    for (std::size_t count = 0; count < pieces; ++count) {
        reader.feed("x");
        hasEvent = hasEvent || reader.nextEvent().has_value();
    }
    CHECK_FALSE(hasEvent);
    CHECK_TRUE(std::chrono::steady_clock::now() - startedAt < maxTime);
    LONGS_EQUAL(pieces, reader.sinceLastEvent());
}
