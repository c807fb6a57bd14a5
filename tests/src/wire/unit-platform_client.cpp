#include "wire/run_awaitable.hpp"

#include <topaztack/wire/http_client.hpp>
#include <topaztack/wire/http_server.hpp>
#include <topaztack/wire/platform_client.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> listOddVms(HttpExchange& exchange)
{
    HttpResponse response;
    response.body = R"({"vms":[{"name":"vm-1","address":"127.0.0.1:9001","data_centre":"z1","state":"up"},)"
                    R"({"name":"odd-port","address":"127.0.0.1:70000","data_centre":"z1","state":"up"},)"
                    R"({"name":7,"address":"127.0.0.1:9002","data_centre":"z1","state":"up"},{"name":"bare"},[],)"
                    R"({"name":"vm-2","address":"127.0.0.1:9003","data_centre":"z2","state":"leaving"}]})";
    co_await exchange.respond(std::move(response));
}

} // namespace

TEST_GROUP(PlatformClient) {};

// One odd entry made the whole list unreadable, so that no VM or backend server was found any more.
TEST(PlatformClient, AnOddEntryDoesNotHideOtherVms)
{
    IoThreads threads { 1 };
    MetricsRegistry metrics;
    HttpServer server(
        threads, { "127.0.0.1", 0 }, [] { return HttpServerLimits {}; }, listOddVms, metrics, "test");
    CHECK_TRUE(server.start().has_value());
    threads.start();
    HttpClient http { threads.at(0) };
    PlatformClient client(http, { "127.0.0.1", server.port() }, 5s);
    const auto list = test::runOn(threads.at(0), client.listVms());
    threads.stop();
    LONGS_EQUAL(2, list.value().size());
    STRCMP_EQUAL("vm-1", list.value().at(0).name.c_str());
    CHECK_TRUE(list.value().at(1).isLeaving);
}
