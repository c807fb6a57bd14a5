#include <topaztack/control/config_check.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace topaztack;
using namespace std::chrono_literals;

namespace {

Route routeTo(const std::string& name, const std::string& prefix, const std::string& pool)
{
    Route route;
    route.name = RouteName(name);
    route.host = "a.example";
    route.prefix = prefix;
    route.kind = RouteKind::Idempotent;
    route.timeout = 800ms;
    route.latencyObjective = 150ms;
    route.pools = { { PoolName(pool), 1 } };
    return route;
}

RouteTable soundTable()
{
    RouteTable table;
    table.version = ConfigVersion(3);
    table.routes = { routeTo("booking", "/b/", "app"), routeTo("all", "/", "app") };
    table.pools.push_back({ PoolName("app"), "/", 0, std::nullopt, PoolScalingLimits { 1, 4 } });
    table.pools.front().scaling->prices = { { DataCentre("z1"), 1.0 } };
    table.hasWorkspaces = true;
    table.workspaces = { { WorkspaceName("huka"), std::nullopt }, { WorkspaceName("moa"), 1 } };
    addKey(table.keys, WorkspaceName("huka"), "key-1");
    addKey(table.keys, WorkspaceName("moa"), "key-2");
    return table;
}

/// The only finding of a table; fails if there are none or several.
ConfigFinding onlyFinding(const RouteTable& table)
{
    const auto findings = checkRouteTable(table);
    LONGS_EQUAL(1, findings.size());
    return findings.empty() ? ConfigFinding {} : findings.front();
}

void checkFinding(const RouteTable& table, FindingSeverity severity, const std::string& where, const std::string& part)
{
    const auto finding = onlyFinding(table);
    CHECK_TRUE(finding.severity == severity);
    STRCMP_EQUAL(where.c_str(), finding.where.c_str());
    STRCMP_CONTAINS(part.c_str(), finding.what.c_str());
    CHECK_FALSE(finding.remedy.empty());
}

} // namespace

TEST_GROUP(ConfigCheck) { RouteTable table = soundTable(); };

TEST(ConfigCheck, NothingIsFoundInASoundConfiguration) { LONGS_EQUAL(0, checkRouteTable(this->table).size()); }

// matchRoute() takes the first one of equals, and hosts differ in case only.
TEST(ConfigCheck, ARouteWithTheHostAndPrefixOfAnEarlierOneNeverMatches)
{
    this->table.routes.push_back(routeTo("late", "/b/", "app"));
    this->table.routes.back().host = "A.Example";
    CHECK_TRUE(matchRoute(this->table, "a.example", "/b/1")->name == RouteName("booking"));
    checkFinding(this->table, FindingSeverity::Error, "route late", "route booking has the same host and prefix");
}

TEST(ConfigCheck, APrefixWithoutASlashInFrontNeverMatches)
{
    this->table.routes.front().prefix = "b/";
    checkFinding(this->table, FindingSeverity::Error, "route booking", "doesn't begin with /");
}

TEST(ConfigCheck, APrefixWithoutASlashAtItsEndMatchesOtherNames)
{
    this->table.routes.front().prefix = "/b";
    checkFinding(this->table, FindingSeverity::Warning, "route booking", "`/b`");
}

TEST(ConfigCheck, RoutesToPoolsThatDoNotExist)
{
    this->table.routes.front().pools.push_back({ PoolName("none"), 1 });
    checkFinding(this->table, FindingSeverity::Error, "route booking", "no pool `none`");
}

TEST(ConfigCheck, PoolsWithoutRoutes)
{
    this->table.pools.push_back({ PoolName("spare"), "/", 0, std::nullopt, std::nullopt });
    checkFinding(this->table, FindingSeverity::Warning, "pool spare", "no route");
}

TEST(ConfigCheck, OfTwoPoolsWithOneNameTheSecondIsNeverUsed)
{
    this->table.pools.push_back(this->table.pools.front());
    checkFinding(this->table, FindingSeverity::Error, "pool app", "another pool of that name");
}

TEST(ConfigCheck, WeightsThatAreAllZero)
{
    this->table.routes.front().pools.front().weight = 0;
    checkFinding(this->table, FindingSeverity::Error, "route booking", "weights");
}

TEST(ConfigCheck, ATimeLimitUnderTheObjective)
{
    this->table.routes.front().timeout = 100ms;
    checkFinding(this->table, FindingSeverity::Error, "route booking", "100 ms is under its objective of 150 ms");
}

TEST(ConfigCheck, ItemsThatAreAbandonedBeforeTheyAreDue)
{
    auto& route = this->table.routes.front();
    route.kind = RouteKind::Batch;
    route.retention = 5s;
    route.jobTarget = 7500ms;
    this->table.pools.front().engines = EngineCapacity { 8, 0, {} };
    checkFinding(this->table, FindingSeverity::Error, "route booking", "5000 ms");
}

TEST(ConfigCheck, MoreAttemptsThanThereAreServers)
{
    this->table.routes.front().maxAttempts = 5;
    checkFinding(this->table, FindingSeverity::Warning, "route booking", "at most 4 servers");
}

TEST(ConfigCheck, AMinimumOverTheMaximum)
{
    this->table.pools.front().scaling->min = 9;
    checkFinding(this->table, FindingSeverity::Error, "pool app", "min 9 is over max 4");
}

TEST(ConfigCheck, AWorkspaceWithoutAKey)
{
    this->table.workspaces.push_back({ WorkspaceName("rata"), std::nullopt });
    checkFinding(this->table, FindingSeverity::Error, "workspace rata", "no key");
}

TEST(ConfigCheck, AWorkspaceThatIsListedTwice)
{
    this->table.workspaces.push_back(this->table.workspaces.front());
    checkFinding(this->table, FindingSeverity::Error, "workspace huka", "listed twice");
}

// The key identifies neither, and no finding may show it.
TEST(ConfigCheck, AKeyOfTwoWorkspaces)
{
    addKey(this->table.keys, WorkspaceName("huka"), "key-3");
    addKey(this->table.keys, WorkspaceName("moa"), "key-3");
    checkFinding(this->table, FindingSeverity::Error, "workspace huka, moa", "several workspaces have the key");
    CHECK_TRUE(toText(onlyFinding(this->table)).find("key-3") == std::string::npos);
}

// VMs never apply a configuration whose version is not above the one that they have.
TEST(ConfigCheck, ChangesUnderTheSameVersionAreIgnored)
{
    CHECK_TRUE(checkReplacement(soundTable(), this->table).empty());
    this->table.routes.front().timeout = 900ms;
    LONGS_EQUAL(1, checkReplacement(soundTable(), this->table).size());
    this->table.version = ConfigVersion(4);
    CHECK_TRUE(checkReplacement(soundTable(), this->table).empty());
}

TEST(ConfigCheck, DifferencesByEntryWithoutKeys)
{
    RouteTable after = soundTable();
    after.routes.front().timeout = 900ms;
    after.keys = {};
    addKey(after.keys, WorkspaceName("huka"), "key-9");
    addKey(after.keys, WorkspaceName("moa"), "key-2");
    STRCMP_EQUAL("- [route booking] time limit = 800 ms\n+ [route booking] time limit = 900 ms\n"
                 "- [workspace huka] key count = 1\n+ [workspace huka] key count = 1 other keys\n",
        toText(diffRouteTables(this->table, after)).c_str());
    CHECK_TRUE(diffRouteTables(this->table, soundTable()).empty());
}

TEST(ConfigCheck, ADocumentWhosePoolHasOnlyDrainingServers)
{
    const std::string text = "[pool app]\nkind = service\n[backend b1]\npool = app\naddress = 10.0.0.1:80\n"
                             "data_centre = z1\n";
    LONGS_EQUAL(0, checkDocument(text, "d.ini").size());
    const auto findings = checkDocument(text + "draining = yes\n", "d.ini");
    LONGS_EQUAL(1, findings.size());
    STRCMP_CONTAINS("[pool app]", findings.front().where.c_str());
}

TEST(ConfigCheck, ErrorsOfADocumentAreFindingsWithTheirLine)
{
    const auto findings = checkDocument("[pool app]\nkind = wrong\n", "d.ini");
    CHECK_FALSE(findings.empty());
    STRCMP_EQUAL("d.ini:2: kind", findings.front().where.c_str());
    CHECK_TRUE(findings.front().severity == FindingSeverity::Error);
}
