#include <topaztack/policy/server_silence.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

} // namespace

TEST_GROUP(ServerSilence) {};

// A data centre is cut off while each of its engines runs six generations, an event every 40 ms.
TEST(ServerSilence, AnEngineThatIsCutOffIsFoundLongBeforeItsStreamsTimeOut)
{
    const ServerActivity activity { 6, start, 40ms };
    CHECK_FALSE(isSilent(activity, start + 599ms));
    CHECK_TRUE(isSilent(activity, start + 600ms));
}

// Engines turn 3.5 to 8 times as slow: 320 ms an event.
TEST(ServerSilence, ASlowEngineIsNotSilent)
{
    const ServerActivity activity { 6, start, 320ms };
    CHECK_FALSE(isSilent(activity, start + 2500ms));
    CHECK_TRUE(isSilent(activity, start + 2560ms));
}

TEST(ServerSilence, APausedStreamAloneDoesNotMakeItsEngineSilent)
{
    CHECK_FALSE(isSilent({ 1, start, 40ms }, start + 10s));
    CHECK_FALSE(isSilent({ 0, start, 40ms }, start + 10s));
}
