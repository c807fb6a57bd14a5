#include <platform/records.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::platform;
using namespace std::chrono_literals;

namespace {

const std::string wholeConfiguration
    = R"({"version":7,"routes":[{"name":"r1","hostname":"a.example","prefix":"/p/","type":"rollout","timeoutMs":10000,)"
      R"("targetLatencyMs":400,"priority":1,"service":"lm","maxAttempts":3,"retentionS":40.0,"runTargetMs":7500,)"
      R"("singleVersion":true,"sessionAffinity":true,"resumable":true},)"
      R"({"name":"r2","hostname":"a.example","prefix":"/b/","type":"safe","timeoutMs":800,)"
      R"("trafficSplit":[{"service":"lm","weight":90},{"service":"app","weight":10}],"maxAttempts":2}],)"
      R"("services":[{"name":"lm","healthPath":"/healthz","maxConnections":160,"engine":{"slots":12,"kvCapacity":45276,)"
      R"("models":[{"name":"m"}]}},{"name":"app","maxConnections":110}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

const std::string wholeServer
    = R"({"service":"lm","address":"10.128.0.9:8080","zone":"z1","version":"v1","slots":12,"state":"ready",)"
      R"("coldRemainingMs":0,"models":[{"name":"m","version":3,"adapters":[]}],"sequence":4,"born":1800000000123})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(Records) {};

TEST(Records, AConfigurationBecomesRoutesAndPools)
{
    const auto table = decodeConfiguration(wholeConfiguration);
    LONGS_EQUAL(7, table.value()->version.value());
    const auto& batch = table.value()->routes.at(0);
    CHECK_TRUE(batch.kind == RouteKind::Batch);
    CHECK_TRUE(batch.retention == 40s);
    CHECK_TRUE(batch.jobTarget == 7500ms);
    CHECK_TRUE(batch.isSingleVersion);
    const auto& plain = table.value()->routes.at(1);
    CHECK_TRUE(plain.kind == RouteKind::Idempotent);
    LONGS_EQUAL(2, plain.pools.size());
    LONGS_EQUAL(90, plain.pools.at(0).weight);
    LONGS_EQUAL(12, table.value()->pools.at(0).engines->slots);
    CHECK_FALSE(table.value()->pools.at(1).engines.has_value());
    LONGS_EQUAL(33554432, table.value()->callers.maxBody);
}

TEST(Records, TenantsBecomeWorkspacesAndTheirKeysDigests)
{
    const std::string tenants = R"("version":7,"tenants":[{"name":"w1","apiKeys":["k1","k2"],"priority":0},)"
                                R"({"name":"w2","apiKeys":["k3","","k1"]}])";
    const auto decoded = decodeConfiguration(replaced(wholeConfiguration, "\"version\":7", tenants));
    const auto& table = *decoded.value();
    CHECK_TRUE(table.hasWorkspaces);
    LONGS_EQUAL(2, table.workspaces.size());
    LONGS_EQUAL(0, table.workspaces[0].rank.value());
    CHECK_FALSE(table.workspaces[1].rank.has_value());
    CHECK_TRUE(findWorkspace(table.keys, "k2") == WorkspaceName("w1"));
    CHECK_TRUE(findWorkspace(table.keys, "k3") == WorkspaceName("w2"));
    CHECK_TRUE(findWorkspace(table.keys, "k1") == WorkspaceName());
    LONGS_EQUAL(2, table.keys.unusable.size());
    const auto empty
        = decodeConfiguration(replaced(wholeConfiguration, "\"version\":7", R"("version":7,"tenants":[])"));
    CHECK_TRUE(empty.value()->hasWorkspaces);
    CHECK_FALSE(decodeConfiguration(wholeConfiguration).value()->hasWorkspaces);
}

// The error is logged.
TEST(Records, AnErrorInTheTenantsNamesNoKey)
{
    const auto wrong = decodeConfiguration(replaced(
        wholeConfiguration, "\"version\":7", R"("version":7,"tenants":[{"name":"w","apiKeys":["secret",8]}])"));
    CHECK_TRUE(wrong.error().message.find("`apiKeys`") != std::string::npos);
    CHECK_TRUE(wrong.error().message.find("secret") == std::string::npos);
}

TEST(Records, ADamagedConfigurationIsAnErrorThatNamesTheField)
{
    for (std::size_t length = 0; length < wholeConfiguration.size(); ++length)
        CHECK_FALSE(decodeConfiguration(wholeConfiguration.substr(0, length)).has_value());
    const auto wrong = decodeConfiguration(replaced(wholeConfiguration, "\"safe\"", "\"odd\""));
    CHECK_TRUE(wrong.error().message.find("`type`") != std::string::npos);
    const auto fraction = decodeConfiguration(replaced(wholeConfiguration, "\"version\":7", "\"version\":7.5"));
    CHECK_TRUE(fraction.error().message.find("`version`") != std::string::npos);
}

TEST(Records, AServersRecord)
{
    const auto server = decodeServer("i-1", wholeServer);
    STRCMP_EQUAL("i-1", server.value().name.value().c_str());
    STRCMP_EQUAL("lm", server.value().pool.value().c_str());
    CHECK_TRUE(server.value().endpoint == Endpoint({ "10.128.0.9", 8080 }));
    CHECK_FALSE(server.value().isLeaving);
    CHECK_TRUE(versionOf(server.value(), ModelName("m")) == WeightVersion(3));
    CHECK_TRUE(server.value().startedAt == 1800000000123ms);
    STRCMP_EQUAL("v1", server.value().softwareVersion.c_str());
    CHECK_TRUE(decodeServer("i-1", replaced(wholeServer, "\"ready\"", "\"draining\"")).value().isLeaving);
}

TEST(Records, ARecordOfAnotherWriterNamesNoServer)
{
    for (const std::string& bytes : { std::string("\xff\x00\x01", 3), std::string("null"), std::string("{}"),
             replaced(wholeServer, "\"ready\"", "\"resting\""), replaced(wholeServer, "\"ready\"", "1"),
             replaced(wholeServer, "10.128.0.9:8080", "somewhere"),
             replaced(wholeServer, "10.128.0.9:8080", "10.128.0.9:0"), replaced(wholeServer, "\"lm\"", "\"\""),
             replaced(wholeServer, "\"slots\":12", "\"slots\":[]"), replaced(wholeServer, "1800000000123", "\"then\""),
             replaced(wholeServer, "\"lm\"", "null") })
        CHECK_FALSE(decodeServer("i-1", bytes).has_value());
}

// Another writer's entry among those of the servers. A number beyond what JSON carries exactly was taken as it came: a
// start before 1970, slots that overflow a count, a weight version that no engine ever reaches.
TEST(Records, ADeeplyNestedEntryOrANumberOutOfRangeNamesNoServer)
{
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    CHECK_FALSE(decodeServer("i-1", replaced(wholeServer, "[]", nested)).has_value());
    CHECK_FALSE(decodeServer("i-1", nested).has_value());
    for (const std::string number :
        { "18446744073709551615", "18446744073709551616", "1e400", "9007199254740993", "-1" }) {
        CHECK_FALSE(decodeServer("i-1", replaced(wholeServer, "1800000000123", number)).has_value());
        CHECK_FALSE(decodeServer("i-1", replaced(wholeServer, "\"slots\":12", "\"slots\":" + number)).has_value());
        CHECK_FALSE(decodeServer("i-1", replaced(wholeServer, "\"version\":3", "\"version\":" + number)).has_value());
    }
    for (const std::string port : { "65536", "70000", "-1", "18446744073709551616" })
        CHECK_FALSE(decodeServer("i-1", replaced(wholeServer, ":8080", ":" + port)).has_value());
}

// The name is written into a header of each request.
TEST(Records, AServerWhoseNameIsNoHeaderValueIsNotUsed)
{
    CHECK_FALSE(decodeServer("i-1\r\nTopaztack-Deadline-Ms: 1", wholeServer).has_value());
    CHECK_FALSE(decodeServer("", wholeServer).has_value());
}

TEST(Records, ReclaimableServersAndTheTimeTheyHaveLeft)
{
    CHECK_FALSE(decodeServer("i-1", wholeServer).value().isReclaimable);
    CHECK_FALSE(decodeServer("i-1", wholeServer).value().leavesIn.has_value());
    const auto reclaimed
        = decodeServer("i-1", replaced(wholeServer, "\"ready\"", "\"draining\",\"spot\":true,\"leaves_ms\":8000"))
              .value();
    CHECK_TRUE(reclaimed.isReclaimable);
    CHECK_TRUE(reclaimed.isLeaving);
    CHECK_TRUE(reclaimed.leavesIn == 8000ms);
}

// A server whose record is refused gets no requests, which costs more than not knowing that it may be reclaimed.
TEST(Records, MalformedReclaimFieldsDoNotHideAServer)
{
    const auto server
        = decodeServer("i-1", replaced(wholeServer, "\"ready\"", "\"ready\",\"spot\":1,\"leaves_ms\":\"soon\""));
    CHECK_FALSE(server.value().isReclaimable);
    CHECK_FALSE(server.value().leavesIn.has_value());
}

TEST(Records, ANamedVersion)
{
    const auto version = decodePublishedVersion("version/m", R"({"model":"m","version":5})");
    STRCMP_EQUAL("m", version.value().model.value().c_str());
    LONGS_EQUAL(5, version.value().version.value());
    CHECK_FALSE(decodePublishedVersion("version/m", R"({"model":"m"})").has_value());
}
