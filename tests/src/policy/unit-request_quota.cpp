#include <topaztack/policy/keepers.hpp>
#include <topaztack/policy/request_quota.hpp>

#include <topaztack/base/random.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <set>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

constexpr Duration limitWindow = 4s;
const TimePoint start {};

/// What a server that states a limit may get within the window: one and a half times the limit, and 5 requests.
double allowedInWindow(double perSecond) { return 1.5 * perSecond * 4 + 5; }

std::size_t mostInWindow(std::vector<TimePoint> sent)
{
    std::sort(sent.begin(), sent.end());
    std::size_t most = 0;
    std::size_t oldest = 0;
    for (std::size_t newest = 0; newest < sent.size(); ++newest) {
        while (sent[newest] - sent[oldest] >= limitWindow)
            ++oldest;
        most = std::max(most, newest - oldest + 1);
    }
    return most;
}

std::vector<KeeperCandidate> makeVms(std::size_t count, std::size_t dataCentres)
{
    std::vector<KeeperCandidate> vms;
    for (std::size_t vm = 0; vm < count; ++vm)
        vms.push_back({ VmName("vm-" + std::to_string(vm)), DataCentre("z" + std::to_string(vm % dataCentres)) });
    return vms;
}

/// Requests that VMs ask for at random moments, each of the first of its keepers that it reaches.
struct Deployment {
    double perSecond { 1 };
    double demand { 10 };
    std::vector<KeeperCandidate> vms;
    /// Whether a VM reaches a keeper at a moment.
    std::function<bool(std::size_t vm, std::size_t keeper, Duration at)> reaches
        = [](std::size_t, std::size_t, Duration) { return true; };

    std::vector<TimePoint> play(Duration length, std::uint64_t seed) const
    {
        const auto keepers = rankKeepers("i-1", this->vms);
        std::vector<RequestBudget> budgets(keepers.size());
        std::vector<TimePoint> sent;
        Random random { seed };
        const auto mean = std::chrono::duration<double>(1 / this->demand);
        for (Duration at {}; at < length;
             at += std::chrono::duration_cast<Duration>(mean * (static_cast<double>(random.below(2000)) / 1000))) {
            const auto vm = random.below(this->vms.size());
            for (std::size_t rank = 0; rank < keepers.size(); ++rank) {
                if (!this->reaches(vm, keepers[rank], at))
                    continue;
                const auto rate = admissibleRate(this->perSecond) * keeperShare(rank);
                if (takeRequest(budgets[rank], rate, start + at))
                    sent.push_back(start + at);
                break;
            }
        }
        return sent;
    }
};

} // namespace

TEST_GROUP(RequestQuota) {};

// Hundreds of VMs send little each, and far more than the limit together.
TEST(RequestQuota, HundredsOfVmsShareALimitAndUseMostOfIt)
{
    for (const double perSecond : { 0.5, 1.0, 5.6, 40.0 }) {
        const Deployment deployment { .perSecond = perSecond, .demand = 27 * perSecond, .vms = makeVms(195, 5) };
        const auto sent = deployment.play(60s, 7);
        CHECK_TRUE(static_cast<double>(mostInWindow(sent)) <= allowedInWindow(perSecond));
        CHECK_TRUE(static_cast<double>(sent.size()) >= 0.9 * perSecond * 60);
    }
}

// Some VMs reach the first keeper while others don't, so that several keepers hand out requests at once.
TEST(RequestQuota, KeepersThatActAtTheSameTimeStayWithinWhatTheServerBears)
{
    rc::check([] {
        const auto perSecond = 0.25 * *rc::gen::inRange(1, 100);
        Deployment deployment { .perSecond = perSecond, .demand = 20 * perSecond, .vms = makeVms(30, 3) };
        const auto cutModulus = static_cast<std::size_t>(*rc::gen::inRange(2, 9));
        const auto cutAt = std::chrono::milliseconds(*rc::gen::inRange(0, 15'000));
        const auto first = rankKeepers("i-1", deployment.vms).front();
        deployment.reaches = [=](std::size_t vm, std::size_t keeper, Duration at) {
            return keeper != first || at < cutAt || vm % cutModulus != 0;
        };
        const auto sent = deployment.play(30s, *rc::gen::arbitrary<std::uint64_t>());
        RC_ASSERT(static_cast<double>(mostInWindow(sent)) <= allowedInWindow(perSecond));
    });
}

// The first keeper of a server is lost for good; its row in the store outlives it.
TEST(RequestQuota, WithoutItsFirstKeeperAServerStillGetsAPartOfItsLimit)
{
    Deployment deployment { .perSecond = 5, .demand = 50, .vms = makeVms(11, 3) };
    const auto first = rankKeepers("i-1", deployment.vms).front();
    deployment.reaches = [first](std::size_t, std::size_t keeper, Duration) { return keeper != first; };
    const auto sent = deployment.play(30s, 3);
    CHECK_TRUE(sent.size() >= 25);
    CHECK_TRUE(static_cast<double>(mostInWindow(sent)) <= allowedInWindow(5));
}

TEST(RequestQuota, KeepersAreTheSameOnEachVmAndInDifferentDataCentres)
{
    auto vms = makeVms(11, 3);
    const auto keepers = rankKeepers("i-1", vms);
    LONGS_EQUAL(3, keepers.size());
    std::set<DataCentre> dataCentres;
    std::vector<VmName> names;
    for (const auto keeper : keepers) {
        dataCentres.insert(vms[keeper].dataCentre);
        names.push_back(vms[keeper].name);
    }
    LONGS_EQUAL(3, dataCentres.size());
    std::reverse(vms.begin(), vms.end());
    const auto others = rankKeepers("i-1", vms);
    for (std::size_t rank = 0; rank < others.size(); ++rank)
        CHECK_TRUE(vms[others[rank]].name == names[rank]);
    LONGS_EQUAL(1, rankKeepers("i-1", makeVms(1, 1)).size());
    LONGS_EQUAL(0, rankKeepers("i-1", {}).size());
}

TEST(RequestQuota, ServersAreSpreadOverTheVms)
{
    const auto vms = makeVms(20, 4);
    std::set<std::size_t> first;
    for (int server = 0; server < 60; ++server)
        first.insert(rankKeepers("i-" + std::to_string(server), vms).front());
    CHECK_TRUE(first.size() >= 15);
}

// A VM that begins to keep a budget doesn't know what was sent before.
TEST(RequestQuota, ABudgetStartsEmpty)
{
    RequestBudget budget;
    CHECK_FALSE(takeRequest(budget, 2, start));
    CHECK_TRUE(timeUntilRequest(budget, 2) == 500ms);
    CHECK_FALSE(takeRequest(budget, 2, start + 499ms));
    CHECK_TRUE(takeRequest(budget, 2, start + 501ms));
}

TEST(RequestQuota, RequestsThatAreSentInAnyCaseAreMadeUpFor)
{
    RequestBudget budget;
    takeRequest(budget, 1, start);
    for (int order = 0; order < 3; ++order)
        chargeRequest(budget, 1, start + 1s);
    CHECK_FALSE(takeRequest(budget, 1, start + 3s));
    CHECK_TRUE(takeRequest(budget, 1, start + 4100ms));
}

// Answers overtake each other: one that was asked for before the limit was stated doesn't end it.
TEST(RequestQuota, OnlyANewerStatementReplacesALimit)
{
    LimitStatement known;
    CHECK_TRUE(applyStatement(known, { 2.0, start + 5s }));
    CHECK_FALSE(applyStatement(known, { std::nullopt, start + 4s }));
    DOUBLES_EQUAL(2, *known.perSecond, 0);
    CHECK_FALSE(applyStatement(known, { 2.0, start + 6s }));
    CHECK_TRUE(applyStatement(known, { std::nullopt, start + 7s }));
    CHECK_FALSE(known.perSecond.has_value());
}

TEST(RequestQuota, ALimitOfNoRequestsIsProbed)
{
    RequestBudget budget;
    takeRequest(budget, admissibleRate(0), start);
    CHECK_FALSE(takeRequest(budget, admissibleRate(0), start + 3s));
    CHECK_TRUE(takeRequest(budget, admissibleRate(0), start + 5s));
}
