#include <topaztack/policy/pool_scheduler.hpp>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

std::vector<ServerState> serversWith(std::size_t count, std::uint32_t slots)
{
    std::vector<ServerState> servers(count);
    for (std::size_t index = 0; index < count; ++index) {
        servers[index].name = BackendName("b-" + std::to_string(index));
        servers[index].isLocal = true;
        servers[index].share = { slots, 1 };
    }
    return servers;
}

AdmissionRequest askOf(std::uint64_t id, RequestClass requestClass, TimePoint deadline)
{
    AdmissionRequest ask;
    ask.request.id = id;
    ask.request.requestClass = requestClass;
    ask.request.deadline = deadline;
    return ask;
}

} // namespace

TEST_GROUP(PoolSchedulerTest)
{
    PoolScheduler pool;
    Random random { 1 };
    TimePoint now { 1h };

    void setup() override { replaceServers(this->pool, serversWith(2, 2), 8); }

    Admission ask(std::uint64_t id, RequestClass requestClass = RequestClass::Rollout, Duration allowed = 60s)
    {
        return admit(this->pool, askOf(id, requestClass, this->now + allowed), this->now, this->random);
    }

    std::vector<WaitResult> finish(ServerIndex server, RequestClass requestClass = RequestClass::Rollout)
    {
        const AttemptReport report { HealthSignal::Answered, 100ms };
        release(this->pool, this->pool.table.servers[server].name, requestClass, report, this->now, this->random);
        return dispatchWaiting(this->pool, this->now, this->random);
    }
};

TEST(PoolSchedulerTest, BookingGoesAheadOfWaitingRollouts)
{
    for (std::uint64_t id = 1; id <= 6; ++id)
        ask(id);
    LONGS_EQUAL(2, pool.queue.size);
    CHECK_TRUE(ask(7, RequestClass::Booking).kind == AdmissionKind::Queued);
    CHECK_TRUE(ask(8, RequestClass::Straggler).kind == AdmissionKind::Queued);
    const auto grants = finish(0);
    LONGS_EQUAL(1, grants.size());
    LONGS_EQUAL(7, grants.front().id);
}

TEST(PoolSchedulerTest, RolloutsLeaveASlotWhileBookingsCome)
{
    finish(ask(1, RequestClass::Booking).server, RequestClass::Booking);
    for (std::uint64_t id = 2; id <= 9; ++id)
        ask(id);
    CHECK_TRUE(ask(10, RequestClass::Booking).kind == AdmissionKind::Granted);
}

TEST(PoolSchedulerTest, FullQueueMakesRoomForABookingAndSaysWhenToComeBack)
{
    pool.queueLimit = 1;
    for (std::uint64_t id = 1; id <= 5; ++id)
        ask(id);
    const auto refused = ask(6);
    CHECK_TRUE(refused.kind == AdmissionKind::QueueFull);
    CHECK_TRUE(refused.retryAfter > 0ms);
    const auto booking = ask(7, RequestClass::Booking);
    CHECK_TRUE(booking.kind == AdmissionKind::Queued);
    CHECK_TRUE(booking.displaced == std::optional<std::uint64_t>(5));
}

TEST(PoolSchedulerTest, WhatCannotBeDoneInTimeIsRefusedAtOnce)
{
    ask(1);
    pool.table.health.meanSeconds = 1;
    for (std::uint64_t id = 2; id <= 8; ++id)
        ask(id);
    const auto refused = ask(9, RequestClass::Rollout, 1s);
    CHECK_TRUE(refused.kind == AdmissionKind::TooLate);
    CHECK_TRUE(refused.retryAfter >= 100ms);
}

TEST(PoolSchedulerTest, WaitingRequestIsGivenUpOnceItCannotBeDoneInTime)
{
    pool.table.health.meanSeconds = 1;
    for (std::uint64_t id = 1; id <= 4; ++id)
        ask(id);
    CHECK_TRUE(ask(5, RequestClass::Rollout, 3s).kind == AdmissionKind::Queued);
    now += 2500ms;
    const auto grants = dispatchWaiting(pool, now, random);
    LONGS_EQUAL(1, grants.size());
    CHECK_FALSE(grants.front().server.has_value());
}

TEST(PoolSchedulerTest, NoServerIsSaidAtOnce)
{
    for (auto& server : pool.table.servers)
        server.isDraining = true;
    CHECK_TRUE(ask(1).kind == AdmissionKind::NoServer);
}

TEST(PoolSchedulerTest, LeavingServerGetsNoRequests)
{
    markLeaving(pool.table.servers[0].health, now);
    for (std::uint64_t id = 1; id <= 2; ++id)
        LONGS_EQUAL(1, ask(id).server);
    CHECK_TRUE(ask(3).kind == AdmissionKind::Queued);
}

TEST(PoolSchedulerTest, EngineOfUnknownOrOldVersionGetsNoRollout)
{
    pool.table.servers[0].takesRollouts = false;
    pool.table.servers[1].version = WeightVersion(3);
    auto request = askOf(1, RequestClass::Rollout, now + 60s);
    request.isRollout = true;
    request.oldestVersion = WeightVersion(4);
    CHECK_TRUE(admit(pool, request, now, random).kind == AdmissionKind::NoServer);
    request.oldestVersion = WeightVersion(3);
    CHECK_TRUE(admit(pool, request, now, random).kind == AdmissionKind::Granted);
}

TEST(PoolSchedulerTest, TrainersShareByWeight)
{
    std::map<TrainerName, int> served;
    for (std::uint64_t id = 1; id <= 400; ++id) {
        auto request = askOf(id, RequestClass::Rollout, now + 1h);
        request.request.trainer = TrainerName(id % 2 == 0 ? "heavy" : "light");
        request.request.weight = id % 2 == 0 ? 3 : 1;
        admit(pool, request, now, random);
    }
    for (int turn = 0; turn < 100; ++turn) {
        std::optional<QueuedRequest> next = popRequest(pool.queue, [](const QueuedRequest&) { return true; });
        ++served[next->trainer];
    }
    CHECK_TRUE(served[TrainerName("heavy")] >= 74 && served[TrainerName("heavy")] <= 76);
}

// Arrivals, releases, withdrawals, failures and late signs in any order: no backend server is given more than its
// slots, every request is settled exactly once, and nothing is left waiting while a slot is free.
TEST(PoolSchedulerTest, KeepsToItsLimitsUnderRandomEvents)
{
    CHECK_TRUE(rc::check("limits hold", [](std::uint64_t seed) {
        Random dice(seed);
        PoolScheduler book;
        replaceServers(book, serversWith(3, 2), 2);
        book.queueLimit = 8;
        TimePoint time { 1h };
        std::multimap<ServerIndex, RequestClass> held;
        std::set<std::uint64_t> settled;
        std::set<std::uint64_t> open;
        std::map<std::uint64_t, RequestClass> classes;
        const auto settle = [&](std::uint64_t id, std::optional<ServerIndex> server) {
            RC_ASSERT(settled.insert(id).second);
            open.erase(id);
            if (server)
                held.emplace(*server, classes[id]);
        };
        for (std::uint64_t id = 1; id <= 200; ++id) {
            time += std::chrono::milliseconds(dice.below(200));
            const auto what = dice.below(10);
            if (what < 5) {
                const auto requestClass = static_cast<RequestClass>(dice.below(3));
                classes[id] = requestClass;
                const auto ask = askOf(id, requestClass, time + std::chrono::milliseconds(dice.below(3000)));
                const auto admission = admit(book, ask, time, dice);
                if (admission.displaced)
                    settle(*admission.displaced, std::nullopt);
                if (admission.kind == AdmissionKind::Queued)
                    open.insert(id);
                else
                    settle(
                        id, admission.kind == AdmissionKind::Granted ? std::optional(admission.server) : std::nullopt);
            } else if (what < 8 && !held.empty()) {
                const auto place = std::next(held.begin(), static_cast<std::ptrdiff_t>(dice.below(held.size())));
                const auto sign = static_cast<HealthSignal>(dice.below(3));
                release(book, book.table.servers[place->first].name, place->second, { sign, 50ms }, time, dice);
                held.erase(place);
            } else if (what == 8 && !open.empty()) {
                const auto one = *open.begin();
                RC_ASSERT(cancelWaiting(book, one));
                RC_ASSERT(!cancelWaiting(book, one));
                settle(one, std::nullopt);
            }
            for (const auto& grant : dispatchWaiting(book, time, dice))
                settle(grant.id, grant.server);
            for (ServerIndex index = 0; index < 3; ++index) {
                RC_ASSERT(held.count(index) == book.table.servers[index].inFlight);
                RC_ASSERT(book.table.servers[index].inFlight <= 2U);
            }
            RC_ASSERT(book.queue.size == open.size());
            RC_ASSERT(book.table.health.ejected <= maxEjected(3));
        }
    }));
}
