#include "gateway/job_pages.hpp"
#include "gateway/stream_client.hpp"

#include <topaztack/base/log.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <iostream>
#include <sstream>
#include <thread>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

const HttpHeader forgedName { "Topaztack-Tenant", "w2" };
const HttpHeader forgedMark { "Topaztack-Tenant-Checked", "1" };

/// Longer than the age up to which a configuration counts as confirmed, with the long poll in progress.
constexpr auto outageUntilStale = 2200ms;

HttpHeader bearer(const std::string& key) { return { "Authorization", "Bearer " + key }; }

/// A way in, as method and target.
struct Call {
    std::string method;
    std::string target;
};

/// Every way in that needs a key; job `j1` is one of workspace w1.
const std::vector<Call> keyedCalls { { "POST", "/b/1" }, { "POST", "/u/1" }, { "POST", "/s/1" }, { "POST", "/o/1" },
    { "POST", "/j/j9" }, { "GET", "/j/j9" }, { "GET", "/-/lots/j1" }, { "GET", "/-/items/j1?id=a" },
    { "DELETE", "/-/lots/j1" }, { "GET", "/-/lots/none" } };

/// Takes what is written to the log until it is finished. Prints it if a test ends before, as a failed check does.
class LogCapture {
public:
    LogCapture()
        : before(std::cout.rdbuf(this->text.rdbuf()))
    {
        openLog("test", Incarnation(1), LogLevel::Debug);
    }

    ~LogCapture()
    {
        if (this->before)
            std::cout << this->finish();
    }

    std::string finish()
    {
        closeLog(std::chrono::seconds(5));
        std::cout.rdbuf(this->before);
        this->before = nullptr;
        return this->text.str();
    }

private:
    std::ostringstream text;
    std::streambuf* before;
};

} // namespace

TEST_GROUP(Workspaces)
{
    std::unique_ptr<TestEnvironment> env = std::make_unique<TestEnvironment>();
    /// For a VM that sees other rows than the rest.
    std::unique_ptr<StoreStandin> otherStore = std::make_unique<StoreStandin>(this->env->threads);

    void setup() override { this->configure(TestEnvironment::configurationWithWorkspaces(2)); }

    void teardown() override
    {
        this->env->gateways.clear();
        this->env->threads.stop();
    }

    void configure(const std::string& configuration) { this->env->store.put("op", "", "config", configuration); }

    /// Waits until a VM has a configuration.
    void waitForVersion(const RunningGateway& gateway, std::uint64_t version)
    {
        CHECK_TRUE(
            waitFor([&] { return this->env->state(gateway, "configuration").to_number<int>() == int(version); }));
    }

    HttpResponse call(const Endpoint& endpoint, const Call& call, std::vector<HttpHeader> headers)
    {
        headers.push_back({ "Topaztack-Request-Id", "r" });
        if (call.target.starts_with("/s/") || call.target.starts_with("/o/"))
            headers.push_back({ "Topaztack-Model", "m" });
        return this->env->call(endpoint, call.method, call.target, std::move(headers), "nine o clock");
    }

    HttpResponse submit(
        const RunningGateway& gateway, const std::string& key, const std::string& job, std::vector<std::string> items)
    {
        return this->env->call(gateway.callers, "POST", "/j/" + job, { { "Topaztack-Request-Id", job }, bearer(key) },
            TestEnvironment::jobBody(items));
    }

    HttpResponse read(const RunningGateway& gateway, const std::string& key, const std::string& job)
    {
        return this->env->call(
            gateway.callers, "GET", "/-/lots/" + job, { bearer(key), { "Topaztack-Wait-Ms", "200" } });
    }

    bool waitForResults(
        const RunningGateway& gateway, const std::string& key, const std::string& job, std::size_t count)
    {
        return waitFor([&] {
            const auto answer = this->read(gateway, key, job);
            return answer.status == 200 && boost::json::parse(answer.body).at("results").as_array().size() >= count;
        });
    }

    JobHead headOf(const std::string& job)
    {
        return parseJobHead(this->env->store.rowsOf("job-heads").at(job)).value();
    }

    /// The requests that reached a server carry a workspace and no key.
    void checkSeen(const WorkerStandin& server, const std::string& workspace)
    {
        const auto seen = server.seen();
        CHECK_FALSE(seen.empty());
        for (const auto& request : seen) {
            STRCMP_EQUAL(workspace.c_str(), request.workspace.c_str());
            STRCMP_EQUAL("", request.credential.c_str());
        }
    }
};

// Servers got the callers' keys, and nothing told them the workspace but what the caller wrote.
TEST(Workspaces, AKnownKeyIsReplacedByTheWorkspacesName)
{
    auto& gateway = this->env->startGateway();
    for (const auto& key :
        { bearer("secret-1a"), bearer("secret-1b"), HttpHeader { "authorization", "bearer secret-1a" } }) {
        LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/b/1" }, { key, forgedName, forgedMark }).status);
        LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/u/1" }, { key, forgedName }).status);
        LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/s/1" }, { key, forgedName }).status);
    }
    this->checkSeen(this->env->booking, "w1");
    this->checkSeen(this->env->engine, "w1");
}

TEST(Workspaces, WithoutAKnownKeyEveryWayInIsRefusedAtOnce)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.eventTime = 300ms;
    LONGS_EQUAL(202, this->submit(gateway, "secret-1a", "j1", { "a" }).status);
    const std::vector<std::vector<HttpHeader>> callers { {}, { bearer("wrong") }, { bearer("") },
        { { "Authorization", "secret-1a" } }, { { "Authorization", "Basic secret-1a" } },
        { { "Topaztack-Tenant", "w1" }, forgedMark }, { bearer("wrong"), { "Topaztack-Tenant", "w1" }, forgedMark } };
    for (const auto& headers : callers) {
        for (const auto& each : keyedCalls) {
            const auto answer = this->call(gateway.callers, each, headers);
            LONGS_EQUAL_TEXT(401, answer.status, each.target.c_str());
            STRCMP_EQUAL("Bearer", std::string(findHeader(answer.headers, "WWW-Authenticate")).c_str());
            CHECK_TRUE(answer.body.find("send a key of your workspace") != std::string::npos);
        }
    }
    CHECK_TRUE(this->env->booking.seen().empty());
    CHECK_FALSE(this->headOf("j1").isEnded);
    LONGS_EQUAL(1, this->env->store.rowsOf("job-heads").size());
}

TEST(Workspaces, APublicRouteNeedsNoKeyAndPassesNoneOn)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/p/1" }, { forgedName, forgedMark }).status);
    LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/p/1" }, { bearer("wrong"), forgedName }).status);
    this->checkSeen(this->env->booking, "");
    LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/p/1" }, { bearer("secret-2"), forgedName }).status);
    STRCMP_EQUAL("w2", this->env->booking.seen().back().workspace.c_str());
    STRCMP_EQUAL("", this->env->booking.seen().back().credential.c_str());
}

// A configuration without workspaces leaves headers alone, as before.
TEST(Workspaces, WithoutWorkspacesTheCallersHeadersArePassedOn)
{
    this->configure(TestEnvironment::configuration(3));
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/b/1" }, { bearer("own"), forgedName }).status);
    STRCMP_EQUAL("w2", this->env->booking.seen().back().workspace.c_str());
    STRCMP_EQUAL("Bearer own", this->env->booking.seen().back().credential.c_str());
}

TEST(Workspaces, AJobIsUsedWithAnyKeyOfItsWorkspaceAndUnknownToOthers)
{
    auto& gateway = this->env->startGateway();
    auto& other = this->env->startGateway("vm-2", 2);
    LONGS_EQUAL(202, this->submit(gateway, "secret-1a", "j1", { "a", "b" }).status);
    CHECK_TRUE(this->headOf("j1").workspace == WorkspaceName("w1"));
    for (auto* vm : { &gateway, &other }) {
        CHECK_TRUE(this->waitForResults(*vm, "secret-1b", "j1", 2));
        for (const Call& each :
            std::vector<Call> { { "GET", "/-/lots/j1" }, { "GET", "/-/items/j1?id=a" }, { "DELETE", "/-/lots/j1" } }) {
            auto unknown = each;
            unknown.target.replace(unknown.target.find("j1"), 2, "j7");
            const auto answer = this->call(vm->callers, each, { bearer("secret-2") });
            auto expected = this->call(vm->callers, unknown, { bearer("secret-2") });
            expected.body.replace(expected.body.find("j7"), 2, "j1");
            LONGS_EQUAL(404, answer.status);
            STRCMP_EQUAL(expected.body.c_str(), answer.body.c_str());
            LONGS_EQUAL(expected.headers.size(), answer.headers.size());
        }
        LONGS_EQUAL(200, this->call(vm->callers, { "GET", "/-/items/j1?id=a" }, { bearer("secret-1b") }).status);
    }
    CHECK_FALSE(this->headOf("j1").isEnded);
    LONGS_EQUAL(200, this->call(other.callers, { "DELETE", "/-/lots/j1" }, { bearer("secret-1b") }).status);
    this->checkSeen(this->env->engine, "w1");
}

// The id of another workspace's job must not give its results, nor replace its items.
TEST(Workspaces, ASubmissionWithTheIdOfAnotherWorkspacesJobIsRefused)
{
    auto& gateway = this->env->startGateway();
    auto& other = this->env->startGateway("vm-2", 2);
    LONGS_EQUAL(202, this->submit(gateway, "secret-1a", "j1", { "a" }).status);
    for (auto* vm : { &other, &gateway }) {
        const auto refused = this->submit(*vm, "secret-2", "j1", { "x", "y", "z" });
        LONGS_EQUAL(409, refused.status);
        CHECK_TRUE(refused.body.find("choose another id") != std::string::npos);
        LONGS_EQUAL(202, this->submit(*vm, "secret-1b", "j1", { "a" }).status);
    }
    CHECK_TRUE(this->waitForResults(other, "secret-1a", "j1", 1));
    LONGS_EQUAL(1, this->env->engine.seen().size());
    LONGS_EQUAL(1, this->env->store.objects());
    LONGS_EQUAL(202, this->submit(other, "secret-2", "j2", { "x" }).status);
}

TEST(Workspaces, TextsAreReusedOnlyWithinAWorkspace)
{
    auto& gateway = this->env->startGateway();
    const auto runs = [this] { return this->env->engine.seen().size(); };
    LONGS_EQUAL(202, this->submit(gateway, "secret-1a", "j1", { "a" }).status);
    CHECK_TRUE(this->waitForResults(gateway, "secret-1a", "j1", 1));
    LONGS_EQUAL(202, this->submit(gateway, "secret-1b", "j2", { "a" }).status);
    CHECK_TRUE(this->waitForResults(gateway, "secret-1a", "j2", 1));
    LONGS_EQUAL(1, runs());
    LONGS_EQUAL(202, this->submit(gateway, "secret-2", "j3", { "a" }).status);
    CHECK_TRUE(this->waitForResults(gateway, "secret-2", "j3", 1));
    LONGS_EQUAL(2, runs());
    STRCMP_EQUAL("w2", this->env->engine.seen().back().workspace.c_str());
}

TEST(Workspaces, AVmThatTakesAJobOverKeepsItsWorkspace)
{
    auto& first = this->env->startGateway("vm-1", 1);
    this->env->engine.faults.eventTime = 150ms;
    LONGS_EQUAL(202, this->submit(first, "secret-1a", "j1", itemIds(12)).status);
    CHECK_TRUE(this->waitForResults(first, "secret-1a", "j1", 4));
    this->env->gateways.clear();
    auto& second = this->env->startGateway("vm-2", 2);
    CHECK_TRUE(this->waitForResults(second, "secret-1b", "j1", 12));
    CHECK_TRUE(this->headOf("j1").workspace == WorkspaceName("w1"));
    LONGS_EQUAL(404, this->read(second, "secret-2", "j1").status);
    this->checkSeen(this->env->engine, "w1");
}

// Jobs that were accepted before workspaces were configured, or by an earlier version.
TEST(Workspaces, AJobWithoutAWorkspaceIsOpenToEveryKey)
{
    this->configure(TestEnvironment::configuration(3));
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->env->submit(gateway, "j1", { "a" }).status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j1", 1));
    this->configure(TestEnvironment::configurationWithWorkspaces(4));
    this->waitForVersion(gateway, 4);
    CHECK_TRUE(this->headOf("j1").workspace == WorkspaceName());
    LONGS_EQUAL(200, this->read(gateway, "secret-1a", "j1").status);
    LONGS_EQUAL(200, this->read(gateway, "secret-2", "j1").status);
    LONGS_EQUAL(401, this->read(gateway, "wrong", "j1").status);
    LONGS_EQUAL(401, this->call(gateway.callers, { "GET", "/-/lots/j1" }, {}).status);
}

TEST(Workspaces, AJobOfAPublicRouteNeedsNoKeyAndOtherJobsStillDo)
{
    auto open = boost::json::parse(TestEnvironment::configurationWithWorkspaces(3)).as_object();
    auto route = open["routes"].at(0).as_object();
    route["name"] = "open-jobs";
    route["prefix"] = "/q/";
    route["public"] = true;
    open["routes"].as_array().push_back(route);
    this->configure(boost::json::serialize(open));
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->submit(gateway, "secret-1a", "j1", { "a" }).status);
    LONGS_EQUAL(202,
        this->env
            ->call(gateway.callers, "POST", "/q/j2", { { "Topaztack-Request-Id", "j2" } },
                TestEnvironment::jobBody({ "b" }))
            .status);
    CHECK_TRUE(this->env->waitForResults(gateway, "j2", 1));
    LONGS_EQUAL(200, this->call(gateway.callers, { "GET", "/-/items/j2?id=b" }, {}).status);
    LONGS_EQUAL(404, this->call(gateway.callers, { "GET", "/-/items/j2?id=none" }, {}).status);
    for (const std::string job : { "j1", "none" }) {
        LONGS_EQUAL(401, this->call(gateway.callers, { "GET", "/-/lots/" + job }, {}).status);
        LONGS_EQUAL(401, this->call(gateway.callers, { "GET", "/-/items/" + job + "?id=a" }, {}).status);
        LONGS_EQUAL(401, this->call(gateway.callers, { "DELETE", "/-/lots/" + job }, { bearer("wrong") }).status);
    }
    LONGS_EQUAL(409,
        this->env
            ->call(gateway.callers, "POST", "/q/j1", { { "Topaztack-Request-Id", "j1" } },
                TestEnvironment::jobBody({ "b" }))
            .status);
}

// A key is revoked: what runs goes on, what comes is refused.
TEST(Workspaces, AStreamGoesOnWhenItsKeyIsRemoved)
{
    auto& gateway = this->env->startGateway();
    this->env->engine.faults.eventTime = 500ms;
    LONGS_EQUAL(202, this->submit(gateway, "secret-1a", "j1", { "a" }).status);
    std::thread change([this] {
        std::this_thread::sleep_for(600ms);
        this->configure(TestEnvironment::configurationWithWorkspaces(3, R"(["secret-1b"])"));
    });
    const auto whole = openStream(gateway, { .id = "s1", .headers = { bearer("secret-1a") } });
    change.join();
    CHECK_TRUE(whole.isComplete);
    LONGS_EQUAL(5, whole.events.size());
    this->waitForVersion(gateway, 3);
    LONGS_EQUAL(401, this->call(gateway.callers, { "POST", "/s/1" }, { bearer("secret-1a") }).status);
    CHECK_TRUE(this->waitForResults(gateway, "secret-1b", "j1", 1));
}

TEST(Workspaces, AKeyThatANewConfigurationAddsIsAccepted)
{
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(401, this->call(gateway.callers, { "POST", "/b/1" }, { bearer("secret-1c") }).status);
    this->configure(TestEnvironment::configurationWithWorkspaces(3, R"(["secret-1c"])"));
    this->waitForVersion(gateway, 3);
    LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/b/1" }, { bearer("secret-1c") }).status);
    LONGS_EQUAL(401, this->call(gateway.callers, { "POST", "/b/1" }, { bearer("secret-1a") }).status);
}

TEST(Workspaces, AnAmbiguousKeyKeepsNothingElseFromWorking)
{
    this->configure(TestEnvironment::configurationWithWorkspaces(3, R"(["secret-1a","secret-2",""])"));
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/b/1" }, { bearer("secret-1a") }).status);
    LONGS_EQUAL(401, this->call(gateway.callers, { "POST", "/b/1" }, { bearer("secret-2") }).status);
}

// While the store doesn't answer, a key that this VM doesn't know may be new; its caller is not to give up.
TEST(Workspaces, WhileTheConfigurationIsUnconfirmedAnUnknownKeyIsAnswered503)
{
    LogCapture log;
    auto& gateway = this->env->startGateway();
    this->env->store.faults.isDown = true;
    std::this_thread::sleep_for(outageUntilStale);
    const auto unknown = this->call(gateway.callers, { "POST", "/b/1" }, { bearer("wrong") });
    LONGS_EQUAL(503, unknown.status);
    CHECK_FALSE(findHeader(unknown.headers, "Retry-After").empty());
    LONGS_EQUAL(503, this->call(gateway.callers, { "GET", "/-/lots/j1" }, { bearer("wrong") }).status);
    LONGS_EQUAL(401, this->call(gateway.callers, { "POST", "/b/1" }, {}).status);
    for (int request = 0; request < 5; ++request)
        LONGS_EQUAL(200, this->call(gateway.callers, { "POST", "/b/1" }, { bearer("secret-1a") }).status);
    const auto metrics = this->env->call(gateway.operators, "GET", "/metrics").body;
    CHECK_TRUE(metrics.find(R"(topaztack_callers_refused_total{reason="key-unconfirmed"} 2)") != std::string::npos);
    CHECK_TRUE(metrics.find(R"(topaztack_callers_refused_total{reason="key-missing"} 1)") != std::string::npos);
    const auto lines = log.finish();
    CHECK_TRUE(lines.find("event=caller-refused process=test incarnation=0000000000000001 id=r "
                          "reason=key-unconfirmed configuration=2 age_ms=")
        != std::string::npos);
    const auto admitted = lines.find("event=callers-admitted-on-stale-configuration");
    CHECK_TRUE(admitted != std::string::npos);
    CHECK_TRUE(lines.find("event=callers-admitted-on-stale-configuration", admitted + 1) == std::string::npos);
}

TEST(Workspaces, BeforeItsFirstConfigurationAVmAnswers503)
{
    this->env->gateways.push_back(std::make_unique<RunningGateway>(this->otherStore->endpoint(), "vm-1", 1));
    const auto& gateway = *this->env->gateways.back();
    for (const auto& each : keyedCalls) {
        for (const auto& key : { bearer("secret-1a"), bearer("") }) {
            LONGS_EQUAL(503, this->call(gateway.callers, each, { key }).status);
            LONGS_EQUAL(503, this->call(gateway.peers, each, { { "Topaztack-Tenant", "w1" }, forgedMark }).status);
        }
    }
}

// Between VMs the name stands for the key. A VM that has no workspaces yet passes its callers' headers on unchecked.
TEST(Workspaces, ThePortBetweenVmsTakesANameOnlyWithTheMarkOfACheck)
{
    auto& gateway = this->env->startGateway();
    const HttpHeader name { "Topaztack-Tenant", "w1" };
    LONGS_EQUAL(200, this->call(gateway.peers, { "POST", "/b/1" }, { name, forgedMark }).status);
    this->checkSeen(this->env->booking, "w1");
    for (const auto& each : keyedCalls)
        LONGS_EQUAL(503, this->call(gateway.peers, each, { name, bearer("secret-1a") }).status);
    LONGS_EQUAL(1, this->env->booking.seen().size());
}

TEST(Workspaces, ACallAboutAJobThatAnotherVmAnswersKeepsItsWorkspace)
{
    auto& cutOff = this->env->startGatewayAt(this->env->store.sideEndpoint(), "vm-1", 1);
    auto& connected = this->env->startGateway("vm-2", 2);
    CHECK_TRUE(waitFor([&] { return this->env->state(cutOff, "peers").as_object().contains("vm-2"); }));
    this->env->store.faults.turnsSideAway = true;
    LONGS_EQUAL(202, this->submit(cutOff, "secret-1a", "j1", itemIds(3)).status);
    CHECK_TRUE(this->headOf("j1").workspace == WorkspaceName("w1"));
    CHECK_TRUE(this->waitForResults(connected, "secret-1b", "j1", 3));
    CHECK_TRUE(this->waitForResults(cutOff, "secret-1b", "j1", 3));
    LONGS_EQUAL(404, this->read(cutOff, "secret-2", "j1").status);
    LONGS_EQUAL(404, this->call(cutOff.callers, { "GET", "/-/items/j1?id=i1" }, { bearer("secret-2") }).status);
    LONGS_EQUAL(404, this->call(cutOff.callers, { "DELETE", "/-/lots/j1" }, { bearer("secret-2") }).status);
    LONGS_EQUAL(409, this->submit(cutOff, "secret-2", "j1", { "x" }).status);
    LONGS_EQUAL(200, this->call(cutOff.callers, { "GET", "/-/items/j1?id=i1" }, { bearer("secret-1b") }).status);
    this->checkSeen(this->env->engine, "w1");
}

TEST(Workspaces, ARequestThatAnotherVmCarriesKeepsItsWorkspace)
{
    auto& cutView = *this->otherStore;
    auto& sound = this->env->startGateway("vm-sound", 1);
    cutView.put("op", "", "config", TestEnvironment::configurationWithWorkspaces(2));
    for (const auto* server : { &this->env->booking, &this->env->engine }) {
        auto record = boost::json::parse(server->record(server == &this->env->booking ? "app" : "lm")).as_object();
        record["address"] = toText(this->env->refusing.add());
        cutView.put("servers", "", server->name, boost::json::serialize(record));
    }
    CHECK_TRUE(waitFor([&] { return this->env->store.rowsOf("gateways").contains("vm-sound"); }));
    cutView.put("gateways", "", "vm-sound", this->env->store.rowsOf("gateways").at("vm-sound"));
    auto& cut = this->env->startGatewayAt(cutView.endpoint(), "vm-cut", 2);
    CHECK_TRUE(waitFor([&] { return this->env->state(cut, "servers").as_array().size() == 2; }));
    CHECK_TRUE(waitFor([&] { return !this->env->state(cut, "peers").as_object().empty(); }));
    LONGS_EQUAL(200, this->call(cut.callers, { "POST", "/b/1" }, { bearer("secret-1a"), forgedName }).status);
    LONGS_EQUAL(401, this->call(cut.callers, { "POST", "/b/1" }, { bearer("wrong") }).status);
    const auto stream = openStream(cut, { .id = "s1", .headers = { bearer("secret-1a"), forgedName } });
    CHECK_TRUE(stream.isComplete);
    this->checkSeen(this->env->booking, "w1");
    this->checkSeen(this->env->engine, "w1");
    // The VM that carries a request may not have the new key yet.
    cutView.put("op", "", "config", TestEnvironment::configurationWithWorkspaces(3, R"(["secret-1c"])"));
    this->waitForVersion(cut, 3);
    LONGS_EQUAL(200, this->call(cut.callers, { "POST", "/u/1" }, { bearer("secret-1c") }).status);
    LONGS_EQUAL(2, this->env->state(sound, "configuration").to_number<int>());
}

// Log files, dumps and rows are read by more people than keys are given to. The evidence about a request that crashed
// a server is stored, and is the same whichever key of the workspace the caller used.
TEST(Workspaces, KeysAppearInNoLogLineDumpMetricOrRow)
{
    LogCapture log;
    auto& gateway = this->env->startGateway();
    LONGS_EQUAL(202, this->submit(gateway, "secret-1a", "j1", { "a" }).status);
    CHECK_TRUE(this->waitForResults(gateway, "secret-1b", "j1", 1));
    for (const char* key : { "secret-1a", "secret-2", "secret-wrong" }) {
        for (const auto& each : keyedCalls)
            this->call(gateway.callers, each, { bearer(key) });
    }
    this->env->registerServer(this->env->booking, "none");
    // A stand-in may close its connections a moment before its port, and is not taken for one that ended then.
    const std::vector<std::string> fragile { "i-fragile-1", "i-fragile-2", "i-fragile-3", "i-fragile-4", "i-fragile-5",
        "i-fragile-6" };
    for (const auto& name : fragile) {
        auto& server = this->env->addWorker(name);
        server.faults.deadlyBody = "nine o clock";
        this->env->registerServer(server, "app");
    }
    const auto evidence = [this] { return this->env->store.rowsOf("crash-records").size(); };
    const auto ask = [&](const std::string& key) {
        return this->call(gateway.callers, { "POST", "/u/1" }, { bearer(key) }).status;
    };
    CHECK_TRUE(waitFor([&] { return ask("secret-1a") > 0 && evidence() == 1; }));
    auto texts = this->env->store.contentWrittenByVms();
    texts += this->env->call(gateway.operators, "GET", "/debug/state").body;
    texts += this->env->call(gateway.operators, "GET", "/metrics").body;
    for (const auto& name : fragile)
        this->env->store.remove("servers", "", name);
    for (int spare = 0; spare < 7; ++spare)
        this->env->registerServer(this->env->addWorker("i-spare-" + std::to_string(spare)), "app");
    CHECK_TRUE(waitFor([&] { return this->env->state(gateway, "servers").as_array().size() == 9; }));
    LONGS_EQUAL(200, ask("secret-2"));
    std::this_thread::sleep_for(300ms);
    LONGS_EQUAL(1, evidence());
    LONGS_EQUAL(200, ask("secret-1b"));
    CHECK_TRUE(waitFor([&] { return evidence() == 0; }));
    this->configure(TestEnvironment::configurationWithWorkspaces(3, R"(["secret-1a","secret-2",""])"));
    this->waitForVersion(gateway, 3);
    this->configure(R"({"version":4,"routes":[],"services":[],"tenants":[{"name":"w","apiKeys":["secret-x",1]}]})");
    const auto isRefused = [&] {
        return this->call(gateway.callers, { "POST", "/b/1" }, { bearer("secret-2") }).status == 401;
    };
    CHECK_TRUE(waitFor(isRefused));
    std::this_thread::sleep_for(700ms);
    this->env->gateways.clear();
    const auto lines = log.finish();
    for (const char* event :
        { "caller-refused", "workspace-key-unusable", "configuration-refused", "request-suspected" })
        CHECK_TEXT(lines.find(std::string("event=") + event) != std::string::npos, event);
    CHECK_TRUE(lines.find("secret") == std::string::npos);
    CHECK_TRUE(texts.find("secret") == std::string::npos);
}
