#include <topaztack/policy/pool_scheduler.hpp>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

std::vector<ServerState> makeServers(std::size_t count, std::uint32_t slots)
{
    std::vector<ServerState> servers(count);
    for (std::size_t index = 0; index < count; ++index) {
        servers[index].name = BackendName("b-" + std::to_string(index));
        servers[index].isLocal = true;
        servers[index].share = { slots, 1 };
    }
    return servers;
}

AdmissionRequest makeRequest(std::uint64_t id, RequestClass requestClass, TimePoint deadline)
{
    AdmissionRequest incoming;
    incoming.request.id = id;
    incoming.request.requestClass = requestClass;
    incoming.request.deadline = deadline;
    return incoming;
}

} // namespace

TEST_GROUP(PoolSchedulerTest)
{
    PoolScheduler pool;
    Random random { 1 };
    TimePoint now { 1h };

    void setup() override { replaceServers(this->pool, makeServers(2, 2), 8); }

    Admission admitRequest(std::uint64_t id, RequestClass requestClass = RequestClass::Rollout, Duration allowed = 60s)
    {
        return admit(this->pool, makeRequest(id, requestClass, this->now + allowed), this->now, this->random);
    }

    std::vector<WaitResult> finish(ServerIndex server, RequestClass requestClass = RequestClass::Rollout)
    {
        const AttemptReport report { HealthSignal::Answered, 100ms };
        release(this->pool, this->pool.table.servers[server].name, requestClass, report, this->now, this->random);
        return dispatchWaiting(this->pool, this->now, this->random);
    }
};

TEST(PoolSchedulerTest, BookingIsServedBeforeWaitingRollouts)
{
    for (std::uint64_t id = 1; id <= 6; ++id)
        admitRequest(id);
    LONGS_EQUAL(2, pool.queue.size);
    CHECK_TRUE(admitRequest(7, RequestClass::Booking).kind == AdmissionKind::Queued);
    CHECK_TRUE(admitRequest(8, RequestClass::Straggler).kind == AdmissionKind::Queued);
    const auto results = finish(0);
    LONGS_EQUAL(1, results.size());
    LONGS_EQUAL(7, results.front().id);
}

TEST(PoolSchedulerTest, SlotIsReservedForBookingsAfterABooking)
{
    finish(admitRequest(1, RequestClass::Booking).server, RequestClass::Booking);
    for (std::uint64_t id = 2; id <= 9; ++id)
        admitRequest(id);
    CHECK_TRUE(admitRequest(10, RequestClass::Booking).kind == AdmissionKind::Granted);
}

TEST(PoolSchedulerTest, FullQueueRefusesARolloutWithARetryTimeAndDisplacesOneForABooking)
{
    pool.queueLimit = 1;
    for (std::uint64_t id = 1; id <= 5; ++id)
        admitRequest(id);
    const auto refused = admitRequest(6);
    CHECK_TRUE(refused.kind == AdmissionKind::QueueFull);
    CHECK_TRUE(refused.retryAfter > 0ms);
    const auto booking = admitRequest(7, RequestClass::Booking);
    CHECK_TRUE(booking.kind == AdmissionKind::Queued);
    CHECK_TRUE(booking.displaced == std::optional<std::uint64_t>(5));
}

TEST(PoolSchedulerTest, RequestExpectedToMissItsDeadlineIsRefusedOnArrival)
{
    admitRequest(1);
    pool.table.health.meanSeconds = 1;
    for (std::uint64_t id = 2; id <= 8; ++id)
        admitRequest(id);
    const auto refused = admitRequest(9, RequestClass::Rollout, 1s);
    CHECK_TRUE(refused.kind == AdmissionKind::TooLate);
    CHECK_TRUE(refused.retryAfter >= 100ms);
}

TEST(PoolSchedulerTest, WaitingRequestIsDroppedOnceItCannotMeetItsDeadline)
{
    pool.table.health.meanSeconds = 1;
    for (std::uint64_t id = 1; id <= 4; ++id)
        admitRequest(id);
    CHECK_TRUE(admitRequest(5, RequestClass::Rollout, 3s).kind == AdmissionKind::Queued);
    now += 2500ms;
    const auto results = dispatchWaiting(pool, now, random);
    LONGS_EQUAL(1, results.size());
    CHECK_FALSE(results.front().server.has_value());
}

TEST(PoolSchedulerTest, RequestIsRefusedOnArrivalIfAllServersAreDraining)
{
    for (auto& server : pool.table.servers)
        server.isDraining = true;
    CHECK_TRUE(admitRequest(1).kind == AdmissionKind::NoServer);
}

TEST(PoolSchedulerTest, LeavingServerGetsNoRequests)
{
    markLeaving(pool.table.servers[0].health, now);
    for (std::uint64_t id = 1; id <= 2; ++id)
        LONGS_EQUAL(1, admitRequest(id).server);
    CHECK_TRUE(admitRequest(3).kind == AdmissionKind::Queued);
}

TEST(PoolSchedulerTest, EngineWithUnknownOrOlderVersionGetsNoRollout)
{
    pool.table.servers[0].takesRollouts = false;
    pool.table.servers[1].version = WeightVersion(3);
    auto request = makeRequest(1, RequestClass::Rollout, now + 60s);
    request.isRollout = true;
    request.oldestVersion = WeightVersion(4);
    CHECK_TRUE(admit(pool, request, now, random).kind == AdmissionKind::NoServer);
    request.oldestVersion = WeightVersion(3);
    CHECK_TRUE(admit(pool, request, now, random).kind == AdmissionKind::Granted);
}

TEST(PoolSchedulerTest, TrainersAreServedInProportionToTheirWeights)
{
    std::map<TrainerName, int> served;
    for (std::uint64_t id = 1; id <= 400; ++id) {
        auto request = makeRequest(id, RequestClass::Rollout, now + 1h);
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

// Arrivals, releases, cancellations, failures and late health signals in any order: no backend server is given more
// than its slots, every request finishes waiting exactly once, and none is left waiting while a slot is free.
TEST(PoolSchedulerTest, InvariantsHoldUnderRandomEvents)
{
    CHECK_TRUE(rc::check("limits hold", [](std::uint64_t seed) {
        Random generator(seed);
        PoolScheduler testPool;
        replaceServers(testPool, makeServers(3, 2), 2);
        testPool.queueLimit = 8;
        TimePoint time { 1h };
        std::multimap<ServerIndex, RequestClass> held;
        std::set<std::uint64_t> finishedIds;
        std::set<std::uint64_t> waitingIds;
        std::map<std::uint64_t, RequestClass> classes;
        const auto finishRequest = [&](std::uint64_t id, std::optional<ServerIndex> server) {
            RC_ASSERT(finishedIds.insert(id).second);
            waitingIds.erase(id);
            if (server)
                held.emplace(*server, classes[id]);
        };
        for (std::uint64_t id = 1; id <= 200; ++id) {
            time += std::chrono::milliseconds(generator.below(200));
            const auto action = generator.below(10);
            if (action < 5) {
                const auto requestClass = static_cast<RequestClass>(generator.below(3));
                classes[id] = requestClass;
                const auto incoming
                    = makeRequest(id, requestClass, time + std::chrono::milliseconds(generator.below(3000)));
                const auto admission = admit(testPool, incoming, time, generator);
                if (admission.displaced)
                    finishRequest(*admission.displaced, std::nullopt);
                if (admission.kind == AdmissionKind::Queued)
                    waitingIds.insert(id);
                else
                    finishRequest(
                        id, admission.kind == AdmissionKind::Granted ? std::optional(admission.server) : std::nullopt);
            } else if (action < 8 && !held.empty()) {
                const auto entry = std::next(held.begin(), static_cast<std::ptrdiff_t>(generator.below(held.size())));
                const auto healthSignal = static_cast<HealthSignal>(generator.below(3));
                release(testPool, testPool.table.servers[entry->first].name, entry->second, { healthSignal, 50ms },
                    time, generator);
                held.erase(entry);
            } else if (action == 8 && !waitingIds.empty()) {
                const auto cancelled = *waitingIds.begin();
                RC_ASSERT(cancelWaiting(testPool, cancelled));
                RC_ASSERT(!cancelWaiting(testPool, cancelled));
                finishRequest(cancelled, std::nullopt);
            }
            for (const auto& result : dispatchWaiting(testPool, time, generator))
                finishRequest(result.id, result.server);
            for (ServerIndex index = 0; index < 3; ++index) {
                RC_ASSERT(held.count(index) == testPool.table.servers[index].inFlight);
                RC_ASSERT(testPool.table.servers[index].inFlight <= 2U);
            }
            RC_ASSERT(testPool.queue.size == waitingIds.size());
            RC_ASSERT(testPool.table.health.ejected <= maxEjected(3));
        }
    }));
}
