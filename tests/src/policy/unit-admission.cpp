#include "policy/overload_world.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

TEST_GROUP(Admission) { Random random { 7 }; };

namespace {
void show(const char* what, const World& world, double seconds, double capacity)
{
    const auto total = world.total();
    std::printf("%s: sent %zu in time %zu late %zu refused %zu sends %zu full %zu capacity part %.3f full part %.3f\n", what, total.sent,
        total.inTime, total.late, total.refused, world.sends, world.fulls, total.inTime / seconds / capacity,
        double(world.fulls) / world.sends);
    int count = 0;
    for (const auto& [name, each] : world.outcomes)
        if (++count < 6) std::printf("   %s sent %zu in time %zu late %zu refused %zu\n", name.c_str(), each.sent, each.inTime, each.late, each.refused);
}
}

TEST(Admission, Trial)
{
    for (std::uint64_t seed : {1,2,3}) {
    for (Duration interval : { Duration(0s), Duration(1s) }) {
    WorldOptions o; o.exchangeInterval = interval;
    World world(o, seed);
    world.takeAway(1, 0s, 20s);
    world.takeAway(2, 0s, 20s);
    world.addLoad("small", {3, 4}, 3, 0s, 14s);
    world.addLoad("flood", world.everyVm(), 677, 2s, 14s);
    world.run(2s);
    world.resetCounts();
    world.run(14s);
    show("B6", world, 12, world.capacity(1));
    }
    WorldOptions o; 
    for (Duration interval : { Duration(0s), Duration(1s) }) {
    o.exchangeInterval = interval;
    World world(o, seed);
    for (int n = 0; n < 75; ++n) {
       std::vector<std::size_t> at { std::size_t(n * 7) % 68 }; if (n % 2) at.push_back(std::size_t(n * 13) % 68);
       world.addLoad("s" + std::to_string(n), at, 20, 0s, 14s);
    }
    world.addLoad("flood", world.everyVm(), 700, 0s, 14s);
    world.run(4s);
    world.resetCounts();
    world.run(14s);
    show("share", world, 10, world.capacity(3));
    }
    }
}
