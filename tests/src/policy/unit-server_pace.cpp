#include <topaztack/base/random.hpp>
#include <topaztack/policy/server_pace.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };
constexpr std::uint64_t slots = 6;
constexpr std::size_t queueLength = 24;
constexpr Duration serviceTime = 25ms;

PaceStart paceStart(std::size_t vms, std::size_t vm, std::string_view server = "s/1")
{
    return { slots, slots + 4, vms, paceRank(server, "vm-" + std::to_string(vm)), serviceTime, true };
}

/// What happened at a server with six slots and room for 24 more, to which each VM always has requests to send.
struct RampUp {
    std::size_t sent { 0 };
    std::size_t refused { 0 };
    std::size_t served { 0 };
    std::size_t servedAfterHalfASecond { 0 };
    std::size_t mostInFirstMoment { 0 };
};

RampUp runRampUp(std::size_t vms, std::chrono::milliseconds length)
{
    struct Work {
        std::size_t vm;
        TimePoint sentAt;
        TimePoint end;
        std::uint32_t concurrency;
    };
    std::vector<ServerPace> paces(vms);
    std::vector<std::uint32_t> outstanding(vms, 0);
    for (std::size_t vm = 0; vm < vms; ++vm)
        begin(paces[vm], paceStart(vms, vm), start);
    std::deque<Work> queued;
    std::vector<Work> running;
    RampUp seen;
    Random random(3);
    for (auto now = start; now < start + length; now += 1ms) {
        for (auto& work : running) {
            if (work.end > now)
                continue;
            --outstanding[work.vm];
            ++seen.served;
            seen.servedAfterHalfASecond += now >= start + 500ms ? 1 : 0;
            recordAnswer(paces[work.vm], now, now - work.sentAt, serviceTime, work.concurrency);
        }
        std::erase_if(running, [now](const Work& work) { return work.end <= now; });
        const auto first = random.below(vms);
        for (std::size_t index = 0; index < vms; ++index) {
            const auto vm = (first + index) % vms;
            while (maySend(paces[vm], outstanding[vm], now)) {
                recordSend(paces[vm], now);
                ++seen.sent;
                if (queued.size() == queueLength) {
                    ++seen.refused;
                    recordRefusal(paces[vm], now, outstanding[vm] + 1);
                    break;
                }
                ++outstanding[vm];
                queued.push_back({ vm, now, now, outstanding[vm] });
            }
        }
        if (now <= start + 20ms)
            seen.mostInFirstMoment = std::max(seen.mostInFirstMoment, queued.size() + running.size());
        while (running.size() < slots && !queued.empty()) {
            running.push_back(queued.front());
            running.back().end = now + serviceTime;
            queued.pop_front();
        }
    }
    return seen;
}

void answer(ServerPace& pace, TimePoint now, Duration took)
{
    recordSend(pace, now - took);
    const auto used = static_cast<std::uint32_t>(std::max(1.0, window(pace, now)));
    recordAnswer(pace, now, took, serviceTime, used);
}

/// A pace that limits nothing any more.
ServerPace warmPace()
{
    ServerPace pace;
    begin(pace, paceStart(1, 0), start - 1min);
    for (auto now = start - 30s; now < start; now += 100ms)
        answer(pace, now, serviceTime);
    return pace;
}

} // namespace

TEST_GROUP(ServerPace) {};

// A server that has just started answers as expected from the first request on.
TEST(ServerPace, AColdServersWindowDoublesWithEachRoundUntilItLimitsNothing)
{
    ServerPace pace;
    begin(pace, paceStart(1, 0), start);
    const auto first = window(pace, start);
    CHECK_TRUE(first <= 2);
    auto now = start;
    int rounds = 0;
    for (; pace.phase != PacePhase::Unlimited && rounds < 20; ++rounds) {
        now += serviceTime;
        const auto round = static_cast<int>(window(pace, now));
        for (int request = 0; request < round; ++request)
            recordAnswer(pace, now, serviceTime, serviceTime, static_cast<std::uint32_t>(round));
    }
    CHECK_TRUE(rounds <= 4);
    CHECK_TRUE(maySend(pace, 9, now));
}

// A cold server takes ten times as long at first.
TEST(ServerPace, LateAnswersEndTheDoublingAndShrinkTheWindow)
{
    ServerPace pace;
    begin(pace, paceStart(1, 0), start);
    const auto first = window(pace, start);
    auto now = start;
    for (int request = 0; request < 10; ++request)
        answer(pace, now += 250ms, 250ms);
    CHECK_TRUE(pace.phase == PacePhase::Gradient);
    CHECK_TRUE(window(pace, now) < first / 2);
    for (int request = 0; request < 60; ++request)
        answer(pace, now += 100ms, serviceTime);
    CHECK_TRUE(pace.phase == PacePhase::Unlimited);
}

// Single answers of a warm server are late by the noise of its host.
TEST(ServerPace, AWarmServerIsNotLimitedBySingleLateAnswers)
{
    auto pace = warmPace();
    CHECK_TRUE(pace.phase == PacePhase::Unlimited);
    for (int request = 0; request < 100; ++request)
        answer(pace, start + request * 50ms, request % 4 == 0 ? 3 * serviceTime : serviceTime);
    CHECK_TRUE(pace.phase == PacePhase::Unlimited);
    CHECK_TRUE(maySend(pace, 9, start + 5s));
}

// A VM with one request per second never uses a window up.
TEST(ServerPace, AServerThatAnswersAsExpectedIsUnlimitedSoonWhateverTheWindowsUse)
{
    ServerPace pace;
    begin(pace, paceStart(350, 0), start);
    auto now = start + 3s;
    for (int request = 0; request < 12; ++request)
        recordAnswer(pace, now += 1s, serviceTime, serviceTime, 1);
    CHECK_TRUE(pace.phase == PacePhase::Unlimited);
}

// The requests of a burst are refused together.
TEST(ServerPace, RefusalsHalveTheWindowOncePerRoundTrip)
{
    auto pace = warmPace();
    CHECK_TRUE(recordRefusal(pace, start, 8) == PaceChange::Halved);
    DOUBLES_EQUAL(4, window(pace, start), 0.01);
    for (int request = 0; request < 7; ++request)
        CHECK_TRUE(recordRefusal(pace, start + 1ms, 8) == PaceChange::None);
    DOUBLES_EQUAL(4, window(pace, start + 1ms), 0.01);
    recordRefusal(pace, start + 100ms, 4);
    DOUBLES_EQUAL(2, window(pace, start + 100ms), 0.01);
}

// Two of three servers are down and 68 VMs send to the third: the window has to fall below one request per VM.
TEST(ServerPace, AWindowBelowOneIsATimeBetweenRequests)
{
    ServerPace pace;
    begin(pace, paceStart(1, 0), start);
    for (int refusal = 0; refusal < 4; ++refusal)
        recordRefusal(pace, start + refusal * 100ms, 1);
    const auto now = start + 500ms;
    CHECK_TRUE(window(pace, now) < 1);
    CHECK_TRUE(maySend(pace, 0, now));
    recordSend(pace, now);
    CHECK_FALSE(maySend(pace, 0, now + serviceTime));
    CHECK_TRUE(maySend(pace, 0, now + 2s));
    CHECK_FALSE(maySend(pace, 1, now + 2s));
}

// A queue of requests waits for a server that was full, but not for one that has just started or fails.
TEST(ServerPace, RequestsThatCanWaitAreHeldByOverloadOnly)
{
    ServerPace starting;
    begin(starting, paceStart(350, 0), start);
    recordSend(starting, start);
    CHECK_FALSE(maySend(starting, 1, start));
    CHECK_FALSE(isHeldByOverload(starting, 1, start));
    auto failing = warmPace();
    recordFailure(failing, start);
    CHECK_FALSE(isHeldByOverload(failing, 0, start));
    auto full = warmPace();
    for (int refusal = 0; refusal < 3; ++refusal)
        recordRefusal(full, start + refusal * 100ms, 1);
    const auto now = start + 300ms;
    recordSend(full, now);
    CHECK_TRUE(isHeldByOverload(full, 0, now));
    const auto opensAt = nextSendAt(full, 0, now);
    CHECK_TRUE(opensAt > now);
    CHECK_FALSE(isHeldByOverload(full, 0, opensAt));
}

// A server fails for a second and works for a second in turn; another one has room, and 100 requests per second come.
TEST(ServerPace, AFlappingServerGetsFewRequestsThatFail)
{
    ServerPace pace = warmPace();
    int failed = 0;
    for (auto now = start; now < start + 20s; now += 10ms) {
        if (!maySend(pace, 0, now)) {
            recordPassedOver(pace);
            continue;
        }
        recordSend(pace, now);
        const bool isFailing = (now - start) / 1s % 2 == 0;
        failed += isFailing ? 1 : 0;
        if (isFailing)
            recordFailure(pace, now + 1ms);
        else
            recordAnswer(pace, now + serviceTime, serviceTime, serviceTime, 1);
    }
    CHECK_TRUE(failed <= 20);
}

// One of three servers answers 500 at once, so that it is always the least loaded one. One VM sends 100 requests per
// second, another one a request per second.
TEST(ServerPace, AServerThatFailsAtOnceGetsUnderOneInTwentyRequests)
{
    for (const Duration interval : { Duration(10ms), Duration(1s) }) {
        ServerPace pace = warmPace();
        Random random(5);
        int hits = 0;
        auto now = start;
        for (int request = 0; request < 1010; ++request, now += interval) {
            const bool isPaced = !maySend(pace, 0, now);
            if (isPaced)
                recordPassedOver(pace);
            else if (random.below(3) == 0) {
                recordFailure(pace, now);
                hits += request >= 10 ? 1 : 0;
            }
        }
        CHECK_TRUE(hits < 50);
    }
}

// One request of a hundred fails by its own content, and five are in flight at a time.
TEST(ServerPace, ASingleFailureHalvesTheWindowAndNoMore)
{
    ServerPace pace = warmPace();
    recordFailure(pace, start);
    CHECK_FALSE(maySend(pace, 0, start));
    recordAnswer(pace, start + 20ms, serviceTime, serviceTime, 5);
    CHECK_TRUE(window(pace, start + 20ms) >= 5);
    auto now = start + 20ms;
    for (int request = 0; request < 40; ++request)
        recordAnswer(pace, now += 50ms, serviceTime, serviceTime, 5);
    CHECK_TRUE(pace.phase == PacePhase::Unlimited);
}

TEST(ServerPace, AServerThatStopsFailingBeginsWithASmallWindow)
{
    ServerPace pace = warmPace();
    for (int failure = 0; failure < 3; ++failure)
        recordFailure(pace, start + failure * 5s);
    for (int request = 0; request < 40; ++request)
        recordPassedOver(pace);
    const auto now = start + 30s;
    CHECK_TRUE(maySend(pace, 0, now));
    CHECK_FALSE(maySend(pace, 1, now));
    answer(pace, now + serviceTime, serviceTime);
    CHECK_TRUE(window(pace, now + serviceTime) <= 2);
    CHECK_TRUE(maySend(pace, 0, now + serviceTime));
}

// 68 VMs learn within milliseconds of a server with six slots that has just started, and all have requests waiting.
TEST(ServerPace, SixtyEightVmsFillAServerThatStartsWithoutOverloadingIt)
{
    const auto seen = runRampUp(68, 3s);
    CHECK_TRUE(seen.mostInFirstMoment <= 2 * slots);
    CHECK_TRUE(seen.refused * 10 < seen.sent);
    // Six slots serve 240 requests per second.
    CHECK_TRUE(seen.servedAfterHalfASecond >= 420);
}

TEST(ServerPace, ThreeHundredFiftyVmsFillAServerThatStartsWithoutOverloadingIt)
{
    const auto seen = runRampUp(350, 6s);
    CHECK_TRUE(seen.mostInFirstMoment <= 2 * slots);
    CHECK_TRUE(seen.refused * 10 < seen.sent);
    CHECK_TRUE(seen.served >= 1010);
}

// Every server of a pool starts at once, and all VMs know it: they begin at different servers.
TEST(ServerPace, VmsBeginAtDifferentServersOfAPoolThatIsBackAtOnce)
{
    constexpr std::size_t vms = 68;
    constexpr int servers = 12;
    std::vector<int> firstSenders(servers, 0);
    int vmsWithAServer = 0;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        int mine = 0;
        for (int server = 0; server < servers; ++server) {
            ServerPace pace;
            begin(pace, paceStart(vms, vm, "s-" + std::to_string(server) + "/1"), start);
            mine += maySend(pace, 0, start) ? 1 : 0;
            firstSenders[static_cast<std::size_t>(server)] += maySend(pace, 0, start) ? 1 : 0;
        }
        vmsWithAServer += mine > 0 ? 1 : 0;
    }
    CHECK_TRUE(*std::max_element(firstSenders.begin(), firstSenders.end()) <= 2 * static_cast<int>(slots));
    CHECK_TRUE(vmsWithAServer * 2 > static_cast<int>(vms));
}

// A data centre is back after a partition: its servers ran all the time, and only the failures are known.
TEST(ServerPace, ServersOfADataCentreThatIsBackAreProbedWithOneRequestEach)
{
    ServerPace pace = warmPace();
    for (int request = 0; request < 30; ++request)
        recordFailure(pace, start + request * 2s);
    for (int request = 0; request < 40; ++request)
        recordPassedOver(pace);
    const auto now = start + 80s;
    CHECK_TRUE(maySend(pace, 0, now));
    CHECK_FALSE(maySend(pace, 1, now));
    auto time = now;
    for (int round = 0; round < 5; ++round) {
        time += 100ms;
        const auto requests = std::max(1, static_cast<int>(window(pace, time)));
        for (int request = 0; request < requests; ++request)
            answer(pace, time, serviceTime);
    }
    CHECK_TRUE(pace.phase == PacePhase::Unlimited);
}

// All servers of the pool are paced: the one with the most room is to be found.
TEST(ServerPace, TheShortfallIsLeastWhereTheMostRoomIs)
{
    ServerPace wide;
    begin(wide, paceStart(1, 0), start);
    ServerPace narrow;
    begin(narrow, paceStart(350, 0), start);
    ServerPace failing = warmPace();
    recordFailure(failing, start);
    CHECK_TRUE(shortfall(warmPace(), 9, start) == 0);
    CHECK_TRUE(shortfall(wide, 2, start) < shortfall(wide, 4, start));
    CHECK_TRUE(shortfall(wide, 2, start) < shortfall(narrow, 2, start));
    CHECK_TRUE(shortfall(narrow, 2, start) < shortfall(failing, 0, start));
}
