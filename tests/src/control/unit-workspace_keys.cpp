#include <topaztack/control/route_table.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

namespace {

const WorkspaceName one("one");
const WorkspaceName two("two");
const WorkspaceName none;

RouteTable someTable()
{
    RouteTable table;
    table.hasWorkspaces = true;
    addKey(table.keys, one, "key-1");
    addKey(table.keys, one, "key-1b");
    addKey(table.keys, two, "key-2");
    return table;
}

Route routeThatIs(bool isPublic, RouteKind kind = RouteKind::Idempotent)
{
    Route route;
    route.isPublic = isPublic;
    route.kind = kind;
    return route;
}

} // namespace

/// The load: 76 workspaces with a few keys each, and callers without keys, with old keys or with those of others.
TEST_GROUP(WorkspaceKeys) {};

TEST(WorkspaceKeys, EachKeyNamesItsWorkspace)
{
    const auto table = someTable();
    CHECK_TRUE(findWorkspace(table.keys, "key-1") == one);
    CHECK_TRUE(findWorkspace(table.keys, "key-1b") == one);
    CHECK_TRUE(findWorkspace(table.keys, "key-2") == two);
    for (const char* unknown : { "key", "key-11", "KEY-1", "key-1 " })
        CHECK_TRUE(findWorkspace(table.keys, unknown) == none);
}

// A memory dump must not show keys, and a digest must not be looked up in a prepared table.
TEST(WorkspaceKeys, OnlyAKeyedDigestIsKept)
{
    const auto table = someTable();
    for (const auto& key : table.keys.usable) {
        const std::string digest(key.digest.begin(), key.digest.end());
        CHECK_TRUE(digest.find("key-") == std::string::npos);
    }
    CHECK_TRUE(areEqualDigests(digestKey("key-1"), digestKey("key-1")));
    CHECK_FALSE(areEqualDigests(digestKey("key-1"), digestKey("key-2")));
}

// With a key of two workspaces a request could be taken for the other one's, whichever were chosen.
TEST(WorkspaceKeys, AKeyOfSeveralWorkspacesIsOfNoUse)
{
    auto table = someTable();
    addKey(table.keys, two, "key-1");
    CHECK_TRUE(findWorkspace(table.keys, "key-1") == none);
    LONGS_EQUAL(1, table.keys.unusable.size());
    CHECK_TRUE((table.keys.unusable[0].workspaces == std::vector<WorkspaceName> { one, two }));
    addKey(table.keys, WorkspaceName("three"), "key-1");
    addKey(table.keys, one, "key-1");
    CHECK_TRUE(findWorkspace(table.keys, "key-1") == none);
    CHECK_TRUE(findWorkspace(table.keys, "key-1b") == one);
}

TEST(WorkspaceKeys, EmptyKeysAndNamesThatNoHeaderCarriesAreUnusable)
{
    WorkspaceKeys keys;
    addKey(keys, one, "");
    addKey(keys, none, "key-3");
    addKey(keys, WorkspaceName("a\r\nTopaztack-Tenant: b"), "key-4");
    addKey(keys, one, "key-1");
    addKey(keys, one, "key-1");
    LONGS_EQUAL(3, keys.unusable.size());
    LONGS_EQUAL(1, keys.usable.size());
    for (const char* unusable : { "", "key-3", "key-4" })
        CHECK_TRUE(findWorkspace(keys, unusable) == none);
}

TEST(WorkspaceKeys, ACallerNeedsAKnownKeyUnlessTheRouteIsPublic)
{
    const auto table = someTable();
    const auto closed = routeThatIs(false);
    const auto open = routeThatIs(true);
    for (const Route* route : { static_cast<const Route*>(nullptr), &closed }) {
        CHECK_TRUE(decideAccess(table, route, "").verdict == AccessVerdict::KeyMissing);
        CHECK_TRUE(decideAccess(table, route, "key-3").verdict == AccessVerdict::KeyUnknown);
        CHECK_TRUE(decideAccess(table, route, "key-3").workspace == none);
        CHECK_TRUE(decideAccess(table, route, "key-2").verdict == AccessVerdict::Admitted);
        CHECK_TRUE(decideAccess(table, route, "key-2").workspace == two);
    }
    for (const char* key : { "", "key-3", "key-2" })
        CHECK_TRUE(decideAccess(table, &open, key).verdict == AccessVerdict::Admitted);
    CHECK_TRUE(decideAccess(table, &open, "key-3").workspace == none);
    CHECK_TRUE(decideAccess(table, &open, "key-2").workspace == two);
}

TEST(WorkspaceKeys, WithoutWorkspacesEveryCallerIsAdmittedAndHasNone)
{
    const RouteTable table;
    const auto access = decideAccess(table, nullptr, "key-1");
    CHECK_TRUE(access.verdict == AccessVerdict::Admitted && access.workspace == none);
    RouteTable empty;
    empty.hasWorkspaces = true;
    CHECK_TRUE(decideAccess(empty, nullptr, "key-1").verdict == AccessVerdict::KeyUnknown);
}

TEST(WorkspaceKeys, AJobIsOpenToItsWorkspaceAlone)
{
    const JobOrigin job { one, ConfigVersion(5), nullptr };
    const ConfigVersion present(5);
    CHECK_TRUE(decideJobAccess(job, { true, one }, present) == JobAccess::Admitted);
    CHECK_TRUE(decideJobAccess(job, { true, two }, present) == JobAccess::OtherWorkspace);
    CHECK_TRUE(decideJobAccess(job, { true, none }, present) == JobAccess::NotIdentified);
    const auto open = routeThatIs(true, RouteKind::Batch);
    CHECK_TRUE(decideJobAccess({ one, ConfigVersion(5), &open }, { true, none }, present) == JobAccess::NotIdentified);
}

// A VM that has not read the configuration that introduces workspaces must not show their jobs to everybody.
TEST(WorkspaceKeys, AVmWithAnOlderConfigurationWithoutWorkspacesDoesNotDecide)
{
    const JobOrigin job { one, ConfigVersion(5), nullptr };
    CHECK_TRUE(decideJobAccess(job, { false, none }, ConfigVersion(4)) == JobAccess::ConfigurationTooOld);
    CHECK_TRUE(decideJobAccess(job, { false, none }, ConfigVersion(6)) == JobAccess::Admitted);
}

TEST(WorkspaceKeys, AJobWithoutAWorkspaceIsAsOpenAsItsRoute)
{
    const auto closed = routeThatIs(false, RouteKind::Batch);
    const auto open = routeThatIs(true, RouteKind::Batch);
    const ConfigVersion present(5);
    for (const Route* route : { static_cast<const Route*>(nullptr), &closed, &open }) {
        const JobOrigin job { none, ConfigVersion(1), route };
        CHECK_TRUE(decideJobAccess(job, { true, two }, present) == JobAccess::Admitted);
        CHECK_TRUE(decideJobAccess(job, { false, none }, present) == JobAccess::Admitted);
        const auto expected = route == &open ? JobAccess::Admitted : JobAccess::NotIdentified;
        CHECK_TRUE(decideJobAccess(job, { true, none }, present) == expected);
    }
}
