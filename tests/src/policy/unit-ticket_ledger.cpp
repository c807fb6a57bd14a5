#include <topaztack/policy/home.hpp>
#include <topaztack/policy/ticket_ledger.hpp>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

CachedResponsePtr makeResponse(std::string body)
{
    boost::intrusive_ptr<CachedResponse> cachedResponse(new CachedResponse);
    cachedResponse->status = 200;
    cachedResponse->body = std::move(body);
    return cachedResponse;
}

const RequestDigest digestA = digestOf("POST", "/bookings", "a");
const RequestDigest digestB = digestOf("POST", "/bookings", "b");

} // namespace

TEST_GROUP(TicketLedgerTest)
{
    TicketLedger ledger;
    TicketLimits limits { 10s, 1024 * 1024 };
    TimePoint now { 1h };

    TicketVerdict claim(std::uint64_t counter, const RequestDigest& digest = digestA)
    {
        return claimTicket(this->ledger, this->limits, counter, digest, this->now).verdict;
    }
};

TEST(TicketLedgerTest, TicketIsDispatchedOnceAndRepeatsGetTheCachedResponse)
{
    const auto ticket = issueTickets(ledger, 3) + 1;
    CHECK_TRUE(claim(ticket) == TicketVerdict::Dispatch);
    CHECK_TRUE(claim(ticket) == TicketVerdict::Running);
    CHECK_TRUE(claim(ticket, digestB) == TicketVerdict::KeyReused);
    finishTicket(ledger, limits, ticket, makeResponse("first"), now);
    const auto repeat = claimTicket(ledger, limits, ticket, digestA, now);
    CHECK_TRUE(repeat.verdict == TicketVerdict::Finished);
    STRCMP_EQUAL("first", repeat.cachedResponse->body.c_str());
}

TEST(TicketLedgerTest, ReleasedTicketMayBeDispatchedAgain)
{
    const auto ticket = issueTickets(ledger, 1);
    CHECK_TRUE(claim(ticket) == TicketVerdict::Dispatch);
    releaseTicket(ledger, ticket);
    CHECK_TRUE(claim(ticket, digestB) == TicketVerdict::Dispatch);
}

TEST(TicketLedgerTest, ExpiredResponseIsDroppedAndItsTicketIsNotDispatchedAgain)
{
    const auto ticket = issueTickets(ledger, 1);
    CHECK_TRUE(claim(ticket) == TicketVerdict::Dispatch);
    finishTicket(ledger, limits, ticket, makeResponse("first"), now);
    now += limits.retention;
    CHECK_TRUE(claim(ticket) == TicketVerdict::RetentionOver);
    LONGS_EQUAL(0, ledger.bytes);
    LONGS_EQUAL(0, ledger.entries.size());
}

TEST(TicketLedgerTest, TicketsBelowTheLowWaterMarkAreNeverDispatched)
{
    const auto unused = issueTickets(ledger, 1);
    const auto used = issueTickets(ledger, 1);
    CHECK_TRUE(claim(used) == TicketVerdict::Dispatch);
    finishTicket(ledger, limits, used, makeResponse("x"), now);
    now += limits.retention;
    issueTickets(ledger, ticketWindow);
    CHECK_TRUE(claim(unused) == TicketVerdict::BelowLowWaterMark);
    CHECK_TRUE(claim(used) == TicketVerdict::RetentionOver);
    issueTickets(ledger, ticketWindow);
    CHECK_TRUE(claim(unused) == TicketVerdict::RetentionOver);
    CHECK_TRUE(claim(used) == TicketVerdict::RetentionOver);
    CHECK_TRUE(claim(0) == TicketVerdict::NeverIssued);
    CHECK_TRUE(claim(ledger.issued + 1) == TicketVerdict::NeverIssued);
}

TEST(TicketLedgerTest, RequestIsRefusedBeforeDispatchWhileCachedResponsesAreAtTheLimit)
{
    limits.maxResponseBytes = 1000;
    const auto first = issueTickets(ledger, 2);
    CHECK_TRUE(claim(first) == TicketVerdict::Dispatch);
    finishTicket(ledger, limits, first, makeResponse(std::string(2000, 'x')), now);
    const auto refused = claimTicket(ledger, limits, first + 1, digestA, now);
    CHECK_TRUE(refused.verdict == TicketVerdict::ResponseStoreFull);
    CHECK_TRUE(refused.retryAt == now + limits.retention);
    now = refused.retryAt;
    CHECK_TRUE(claim(first + 1) == TicketVerdict::Dispatch);
}

// Callers repeat requests in any order, with other bodies, late and early; requests finish, are released, or never
// complete.
TEST(TicketLedgerTest, TicketRunsAtMostOnceUnderRandomRepeats)
{
    CHECK_TRUE(rc::check("at most once", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        TicketLedger tickets;
        const TicketLimits smallLimits { 5s, 4096 };
        TimePoint time { 1h };
        std::map<std::uint64_t, int> runs;
        std::map<std::uint64_t, std::string> firstResponses;
        std::set<std::uint64_t> running;
        issueTickets(tickets, 4);
        for (const auto& [action, selector] : steps) {
            const std::uint64_t ticket = 1 + selector % 4;
            const auto digest = selector % 16 < 12 ? digestA : digestB;
            if (action % 5 < 2) {
                const auto decision = claimTicket(tickets, smallLimits, ticket, digest, time);
                if (decision.verdict == TicketVerdict::Dispatch)
                    RC_ASSERT(running.insert(ticket).second && runs[ticket] == 0);
                if (decision.verdict == TicketVerdict::Finished)
                    RC_ASSERT(decision.cachedResponse->body == firstResponses.at(ticket));
                if (decision.verdict == TicketVerdict::BelowLowWaterMark
                    || decision.verdict == TicketVerdict::ResponseStoreFull)
                    RC_ASSERT(runs[ticket] == 0);
            } else if (action % 5 == 2 && running.erase(ticket) > 0) {
                ++runs[ticket];
                firstResponses[ticket] = "answer " + std::to_string(action);
                finishTicket(tickets, smallLimits, ticket, makeResponse(firstResponses[ticket]), time);
            } else if (action % 5 == 3 && running.erase(ticket) > 0) {
                releaseTicket(tickets, ticket);
            } else {
                time += std::chrono::seconds(selector % 4);
            }
        }
        for (const auto& [ticket, count] : runs)
            RC_ASSERT(count <= 1);
    }));
}

TEST_GROUP(HomeTest)
{
    const VmIdentity self { VmName("vm-1"), Incarnation(1) };
    const Endpoint listed { "10.0.0.2", 7000 };
    const Endpoint gossiped { "10.0.0.3", 7000 };
    std::vector<PeerSettings> peers { { VmName("vm-2"), DataCentre("a"), listed } };

    HomeDecision decide(std::string name, std::uint64_t incarnation, const MembershipView* view = nullptr)
    {
        return decideHome({ { VmName(std::move(name)), Incarnation(incarnation) }, 1 }, this->self, view, this->peers);
    }
};

TEST(HomeTest, HomeIsHereOnlyForTheSameIncarnation)
{
    CHECK_TRUE(decide("vm-1", 1).kind == HomeKind::Here);
    CHECK_TRUE(decide("vm-1", 2).kind == HomeKind::Gone);
}

TEST(HomeTest, AddressComesFromMembershipElseFromSettings)
{
    MembershipView view;
    view.members.push_back({ { VmName("vm-2"), Incarnation(9) }, DataCentre("a"), gossiped, MemberState::Dead, 0, {} });
    CHECK_TRUE(decide("vm-2", 9).endpoint == listed);
    CHECK_TRUE(decide("vm-2", 9, &view).endpoint == gossiped);
    CHECK_TRUE(decide("vm-2", 9, &view).isBelievedDead);
    CHECK_TRUE(decide("vm-3", 9, &view).kind == HomeKind::NoAddress);
}
