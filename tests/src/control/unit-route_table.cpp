#include <topaztack/control/route_table.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

namespace {

Route routeAt(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route route;
    route.name = RouteName(name);
    route.host = host;
    route.prefix = prefix;
    return route;
}

RouteTable someTable()
{
    RouteTable table;
    table.routes = { routeAt("wide", "a.example", "/x/"), routeAt("narrow", "a.example", "/x/y/"),
        routeAt("other-host", "b.example", "/x/y/z/") };
    return table;
}

std::string matched(std::string_view host, std::string_view path)
{
    const auto table = someTable();
    const auto* route = matchRoute(table, host, path);
    return route ? route->name.value() : "none";
}

} // namespace

TEST_GROUP(RouteTable) {};

TEST(RouteTable, TheLongestPrefixOfTheHostWins)
{
    STRCMP_EQUAL("narrow", matched("a.example", "/x/y/z/1").c_str());
    STRCMP_EQUAL("wide", matched("a.example", "/x/z").c_str());
    STRCMP_EQUAL("other-host", matched("b.example", "/x/y/z/1").c_str());
}

TEST(RouteTable, HostsAreComparedWithoutCase) { STRCMP_EQUAL("wide", matched("A.Example", "/x/").c_str()); }

TEST(RouteTable, APathThatOnlyLooksLikeAPrefixDoesNotMatch)
{
    STRCMP_EQUAL("none", matched("a.example", "/x").c_str());
    STRCMP_EQUAL("none", matched("a.example", "/xy/").c_str());
    STRCMP_EQUAL("none", matched("c.example", "/x/").c_str());
}

TEST(RouteTable, PoolsAreDrawnByTheirWeights)
{
    Route route;
    route.pools = { { PoolName("a"), 3 }, { PoolName("none"), 0 }, { PoolName("b"), 1 } };
    int drawnA = 0;
    int drawnB = 0;
    for (std::uint64_t draw = 0; draw < 400; ++draw) {
        const auto* pool = choosePool(route, draw);
        drawnA += pool->value() == "a" ? 1 : 0;
        drawnB += pool->value() == "b" ? 1 : 0;
    }
    LONGS_EQUAL(300, drawnA);
    LONGS_EQUAL(100, drawnB);
}

TEST(RouteTable, ARouteWithoutWeightHasNoPool)
{
    Route route;
    POINTERS_EQUAL(nullptr, choosePool(route, 7));
    route.pools = { { PoolName("a"), 0 } };
    POINTERS_EQUAL(nullptr, choosePool(route, 7));
}
