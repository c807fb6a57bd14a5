#include <topaztack/wire/store_client.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

} // namespace

TEST_GROUP(StoreContact) { StoreContact contact; };

TEST(StoreContact, AnOutageIsToldWhenItEnds)
{
    CHECK_FALSE(noteAnswer(this->contact, false, start).has_value());
    CHECK_FALSE(noteAnswer(this->contact, false, start + 3s).has_value());
    CHECK_TRUE(noteAnswer(this->contact, true, start + 6s) == Duration(6s));
    CHECK_TRUE(this->contact.regainedAt == start + 6s);
}

TEST(StoreContact, ASingleRefusedCallIsNoOutage)
{
    noteAnswer(this->contact, false, start);
    CHECK_FALSE(noteAnswer(this->contact, true, start + 20ms).has_value());
    CHECK_FALSE(this->contact.regainedAt.has_value());
}

// Pattern: all VMs come back at once after an outage, and the store refuses some of their calls.
TEST(StoreContact, RefusalsAfterAnOutageDoNotHideItsEnd)
{
    noteAnswer(this->contact, false, start);
    noteAnswer(this->contact, true, start + 6s);
    for (int call = 0; call < 10; ++call) {
        noteAnswer(this->contact, false, start + 6s + call * 20ms);
        noteAnswer(this->contact, true, start + 6s + call * 20ms + 5ms);
    }
    CHECK_TRUE(this->contact.regainedAt == start + 6s);
}
