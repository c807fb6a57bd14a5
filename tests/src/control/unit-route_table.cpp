#include <topaztack/control/route_table.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

namespace {

Route makeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route route;
    route.name = RouteName(name);
    route.host = host;
    route.prefix = prefix;
    return route;
}

RouteTable makeTable()
{
    RouteTable table;
    table.routes = { makeRoute("wide", "a.example", "/x/"), makeRoute("narrow", "a.example", "/x/y/"),
        makeRoute("other-host", "b.example", "/x/y/z/") };
    return table;
}

std::string matchedRouteName(std::string_view host, std::string_view path)
{
    const auto table = makeTable();
    const auto* route = matchRoute(table, host, path);
    return route ? route->name.value() : "none";
}

} // namespace

TEST_GROUP(RouteTable) {};

TEST(RouteTable, RouteWithTheLongestMatchingPrefixOfTheHostIsChosen)
{
    STRCMP_EQUAL("narrow", matchedRouteName("a.example", "/x/y/z/1").c_str());
    STRCMP_EQUAL("wide", matchedRouteName("a.example", "/x/z").c_str());
    STRCMP_EQUAL("other-host", matchedRouteName("b.example", "/x/y/z/1").c_str());
}

TEST(RouteTable, HostsAreComparedCaseInsensitively)
{
    STRCMP_EQUAL("wide", matchedRouteName("A.Example", "/x/").c_str());
}

TEST(RouteTable, PathsWithoutTheFullPrefixAndUnknownHostsDoNotMatch)
{
    STRCMP_EQUAL("none", matchedRouteName("a.example", "/x").c_str());
    STRCMP_EQUAL("none", matchedRouteName("a.example", "/xy/").c_str());
    STRCMP_EQUAL("none", matchedRouteName("c.example", "/x/").c_str());
}

TEST(RouteTable, PoolsAreChosenInProportionToTheirWeights)
{
    Route route;
    route.pools = { { PoolName("a"), 3 }, { PoolName("none"), 0 }, { PoolName("b"), 1 } };
    int chosenA = 0;
    int chosenB = 0;
    for (std::uint64_t draw = 0; draw < 400; ++draw) {
        const auto* pool = choosePool(route, draw);
        chosenA += pool->value() == "a" ? 1 : 0;
        chosenB += pool->value() == "b" ? 1 : 0;
    }
    LONGS_EQUAL(300, chosenA);
    LONGS_EQUAL(100, chosenB);
}

TEST(RouteTable, RouteWithoutPositiveWeightsHasNoPool)
{
    Route route;
    POINTERS_EQUAL(nullptr, choosePool(route, 7));
    route.pools = { { PoolName("a"), 0 } };
    POINTERS_EQUAL(nullptr, choosePool(route, 7));
}
