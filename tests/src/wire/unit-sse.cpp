#include <topaztack/wire/sse.hpp>

#include <CppUTest/TestHarness.h>

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
