#include "gateway/fixture.hpp"

#include <src/gateway/table_follower.hpp>

#include <CppUTest/TestHarness.h>

#include <mutex>
#include <set>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

TEST_GROUP(TableFollower) {};

// An exception in the handler ended the coroutine that follows the table, without a word, while the VM went on serving.
TEST(TableFollower, AnExceptionOfItsHandlerDoesNotEndTheFollowing)
{
    IoThreads threads { 1 };
    StoreStandin store { threads };
    threads.start();
    VmSettings settings;
    settings.platform = store.endpoint();
    settings.platformTimeout = 1s;
    std::mutex lock;
    std::set<std::string> handled;
    bool hasThrown = false;
    GatewayContext context(settings, { VmName("vm-1"), Incarnation(1) }, platform::protocol());
    FollowOptions options;
    options.table = "servers";
    options.parts.emplace_back();
    options.wait = 200ms;
    TableFollower follower(context, options, [&](const std::vector<StoreRow>& rows, bool) {
        const std::lock_guard guard(lock);
        for (const auto& row : rows) {
            if (row.place.key == "b" && !std::exchange(hasThrown, true))
                throw std::length_error("odd entry");
            handled.insert(row.place.key);
        }
    });
    store.put("servers", "", "a", "1");
    follower.start();
    context.threads.start();
    const auto has = [&](const std::string& key) {
        return waitFor(
            [&] {
                const std::lock_guard guard(lock);
                return handled.contains(key);
            },
            5s);
    };
    CHECK_TRUE(has("a"));
    for (const std::string key : { "b", "c" })
        store.put("servers", "", key, "1");
    CHECK_TRUE(has("c"));
    store.put("servers", "", "d", "1");
    const bool isFollowing = has("d");
    context.threads.stop();
    threads.stop();
    CHECK_TRUE(isFollowing);
    CHECK_TRUE(hasThrown);
}
